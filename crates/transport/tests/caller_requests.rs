//! Tests of requests that are not repeatable.

mod caller_support;

use std::sync::Arc;

use caller_support::raw::{RawClient, bind, command_tags, execute, first_error, parse};
use caller_support::{FakeGroup, connect, sqlstate, start};
use hookpoint_protocol::extended::sync;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::tags::frontend;

const NOTICE: &str = "INSERT INTO notices VALUES (1) /*request_id='n1'*/";

fn ledger(group: &Arc<FakeGroup>) -> Vec<String> {
    group.server.lock().ledger.iter().cloned().collect()
}

#[actix_rt::test]
async fn request_with_identifier_runs_at_most_once_on_all_proxies() {
    let group = FakeGroup::new();
    let (first, second) = (start(&group).await, start(&group).await);
    let (mut client, _) = RawClient::begin(&first, &[]).await;
    let (mut other, _) = RawClient::begin(&second, &[]).await;
    let answer = client.query(NOTICE).await;
    assert_eq!(command_tags(&answer), ["INSERT 0 1"]);
    assert_eq!(answer.last().map(|frame| frame.body[0]), Some(b'I'));
    assert_eq!(ledger(&group), ["n1"]);
    for client in [&mut client, &mut other] {
        let answer = client.query(NOTICE).await;
        assert_eq!(first_error(&answer).as_deref(), Some("HR001"));
        assert!(command_tags(&answer).is_empty());
    }
    assert_eq!(group.ran_on("INSERT INTO notices").len(), 1);
    let ordinary = connect(&second).await;
    let error = ordinary.execute(NOTICE, &[]).await.expect_err("it ran");
    assert_eq!(sqlstate(&error), "HR001");
    let other_notice = NOTICE.replace("n1", "n2");
    let count = ordinary.execute(other_notice.as_str(), &[]).await;
    assert_eq!(count.expect("a write"), 1);
    assert_eq!(ledger(&group), ["n1", "n2"]);
    first.stop().await;
    second.stop().await;
}

#[actix_rt::test]
async fn lost_answer_is_resolved_by_retrying_on_any_proxy() {
    struct Case {
        name: &'static str,
        before: Option<&'static str>,
        after: Option<&'static str>,
        again: Result<&'static str, &'static str>,
    }
    let cases = [
        Case {
            name: "lost before the request",
            before: Some("INTO notices"),
            after: None,
            again: Ok("INSERT 0 1"),
        },
        Case {
            name: "lost before the commit",
            before: Some("COMMIT"),
            after: None,
            again: Ok("INSERT 0 1"),
        },
        Case {
            name: "lost after the commit",
            before: None,
            after: Some("COMMIT"),
            again: Err("HR001"),
        },
    ];
    for case in cases {
        let group = FakeGroup::new();
        let (first, second) = (start(&group).await, start(&group).await);
        let (mut client, _) = RawClient::begin(&first, &[]).await;
        group.server.lock().break_before = case.before.map(|text| (text.to_owned(), 1));
        group.server.lock().break_after = case.after.map(str::to_owned);
        let answer = client.query(NOTICE).await;
        assert_eq!(
            first_error(&answer).as_deref(),
            Some("08007"),
            "{}",
            case.name
        );
        group.server.lock().break_after = None;
        let (mut other, _) = RawClient::begin(&second, &[]).await;
        let answer = other.query(NOTICE).await;
        match case.again {
            Ok(tag) => assert_eq!(command_tags(&answer), [tag], "{}", case.name),
            Err(error) => {
                assert_eq!(
                    first_error(&answer).as_deref(),
                    Some(error),
                    "{}",
                    case.name
                );
            }
        }
        assert_eq!(ledger(&group), ["n1"], "{}", case.name);
        first.stop().await;
        second.stop().await;
    }
}

#[actix_rt::test]
async fn failed_request_with_identifier_leaves_no_ledger_row() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let failing = NOTICE.replace("(1)", "(FAILS)");
    let answer = client.query(&failing).await;
    assert_eq!(first_error(&answer).as_deref(), Some("23514"));
    assert!(ledger(&group).is_empty());
    assert_eq!(command_tags(&client.query(NOTICE).await), ["INSERT 0 1"]);
    group.server.lock().has_ledger = false;
    let answer = client.query(&NOTICE.replace("n1", "n3")).await;
    assert_eq!(first_error(&answer).as_deref(), Some("HN009"));
    assert_eq!(group.ran_on("INSERT INTO notices VALUES (1)").len(), 1);
    handle.stop().await;
}

#[actix_rt::test]
async fn request_id_setting_applies_to_the_next_write_only() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    client.query("SET hookpoint.request_id = 's1'").await;
    client.query("SELECT 1").await;
    assert!(
        ledger(&group).is_empty(),
        "a read does not use up the identifier"
    );
    assert_eq!(
        command_tags(&client.query("INSERT INTO t VALUES (1)").await),
        ["INSERT 0 1"]
    );
    assert_eq!(
        command_tags(&client.query("INSERT INTO t VALUES (2)").await),
        ["INSERT 0 1"]
    );
    assert_eq!(ledger(&group), ["s1"]);
    client.query("SET hookpoint.request_id = 's1'").await;
    let answer = client.query("INSERT INTO t VALUES (3)").await;
    assert_eq!(first_error(&answer).as_deref(), Some("HR001"));
    assert_eq!(
        command_tags(&client.query("INSERT INTO t VALUES (4)").await),
        ["INSERT 0 1"]
    );
    client.query("SET hookpoint.request_id = 's2'").await;
    client.query("RESET hookpoint.request_id").await;
    client.query("INSERT INTO t VALUES (5)").await;
    assert_eq!(ledger(&group), ["s1"]);
    assert!(group.ran_on("VALUES (3)").is_empty());
    handle.stop().await;
}

#[actix_rt::test]
async fn request_identifier_commits_or_rolls_back_with_its_block() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    for end in ["ROLLBACK", "COMMIT"] {
        client.query("BEGIN").await;
        assert_eq!(command_tags(&client.query(NOTICE).await), ["INSERT 0 1"]);
        client.query(end).await;
        assert_eq!(ledger(&group).len(), usize::from(end == "COMMIT"));
    }
    client.query("BEGIN").await;
    let answer = client.query(NOTICE).await;
    assert_eq!(first_error(&answer).as_deref(), Some("HR001"));
    assert_eq!(answer.last().map(|frame| frame.body[0]), Some(b'E'));
    assert_eq!(command_tags(&client.query("ROLLBACK").await), ["ROLLBACK"]);
    client.query("BEGIN /*request_id='b1'*/").await;
    client.query("INSERT INTO t VALUES (1)").await;
    client.query("INSERT INTO t VALUES (2)").await;
    client.query("COMMIT").await;
    assert_eq!(ledger(&group), ["b1", "n1"]);
    handle.stop().await;
}

#[actix_rt::test]
async fn request_identifiers_that_cannot_be_guaranteed_are_refused() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let long = format!(
        "INSERT INTO t VALUES (1) /*request_id='{}'*/",
        "x".repeat(300)
    );
    for text in [
        "BEGIN; INSERT INTO t VALUES (1); COMMIT /*request_id='x'*/",
        long.as_str(),
    ] {
        let answer = client.query(text).await;
        assert_eq!(first_error(&answer).as_deref(), Some("0A000"), "{text}");
    }
    client
        .query("SET hookpoint.request_id = E'back\\\\slash'")
        .await;
    let answer = client.query("INSERT INTO t VALUES (1)").await;
    assert_eq!(first_error(&answer).as_deref(), Some("0A000"));
    client.query("RESET hookpoint.request_id").await;
    client.query("BEGIN").await;
    client.query("SAVEPOINT s").await;
    let answer = client.query(NOTICE).await;
    assert_eq!(first_error(&answer).as_deref(), Some("0A000"));
    client.query("ROLLBACK").await;
    let flush = Frame::new(frontend::FLUSH, Vec::new());
    let opening = [parse("", "SELECT 1"), bind("", ""), execute(""), flush];
    for later_messages in [
        vec![parse("", NOTICE), bind("", ""), execute(""), sync()],
        vec![
            parse("", "SET hookpoint.request_id = 'x'"),
            bind("", ""),
            execute(""),
            sync(),
        ],
    ] {
        client.send(&opening).await;
        client.send(&later_messages).await;
        let answer = client.until_ready().await;
        assert_eq!(first_error(&answer).as_deref(), Some("0A000"));
    }
    assert!(group.ran_on("INSERT").is_empty());
    assert!(group.ran_on("SET").is_empty());
    handle.stop().await;
}
