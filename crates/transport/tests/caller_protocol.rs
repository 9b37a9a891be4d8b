//! Tests of the caller side with raw messages: the extended query protocol, COPY,
//! features that pooling does not support, and cancel requests.

mod caller_support;

use std::time::Duration;

use caller_support::raw::{
    RawClient, bind, close, command_tags, describe, execute, first_error, packet, parse, reported,
    startup, tags,
};
use caller_support::{DATABASES, FakeGroup, start};
use hookpoint_protocol::extended::{query, sync};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::tags::frontend;

const FLUSH: Frame = Frame {
    tag: frontend::FLUSH,
    body: bytes::Bytes::new(),
};

#[actix_rt::test]
async fn extended_messages_are_answered_in_order() {
    let cases: Vec<(&str, Vec<Frame>, &str)> = vec![
        ("only sync", vec![sync()], "Z"),
        (
            "unnamed statement",
            vec![
                parse("", "SELECT 1"),
                bind("", ""),
                describe('P', ""),
                execute(""),
                sync(),
            ],
            "12TDCZ",
        ),
        (
            "named statement, prepared and described",
            vec![parse("s", "SELECT 1"), describe('S', "s"), sync()],
            "1tTZ",
        ),
        (
            "named statement of an earlier unit",
            vec![bind("", "s"), execute(""), sync()],
            "2DCZ",
        ),
        (
            "unnamed statement of an earlier unit",
            vec![bind("", ""), execute(""), sync()],
            "2DCZ",
        ),
        (
            "two statements and a close",
            vec![
                parse("t", "INSERT INTO t VALUES (1)"),
                bind("", "t"),
                execute(""),
                close('S', "t"),
                bind("p", "s"),
                execute("p"),
                close('P', "p"),
                sync(),
            ],
            "12C32DC3Z",
        ),
        (
            "closed statement",
            vec![bind("", "t"), execute(""), sync()],
            "EZ",
        ),
        (
            "close of nothing",
            vec![close('S', "nothing"), sync()],
            "3Z",
        ),
        (
            "failing parse in the middle",
            vec![
                bind("", "s"),
                execute(""),
                parse("u", "syntax error"),
                bind("", "u"),
                sync(),
            ],
            "2DCEZ",
        ),
        (
            "statement that failed to parse",
            vec![bind("", "u"), sync()],
            "EZ",
        ),
        (
            "failing execute",
            vec![
                parse("", "SELECT FAILS"),
                bind("", ""),
                execute(""),
                bind("", "s"),
                sync(),
            ],
            "12EZ",
        ),
        (
            "all is well again",
            vec![bind("", "s"), execute(""), sync()],
            "2DCZ",
        ),
        (
            "own parameter",
            vec![
                parse("", "SHOW hookpoint.request_id"),
                describe('S', ""),
                bind("", ""),
                describe('P', ""),
                execute(""),
                sync(),
            ],
            "1tT2TDCZ",
        ),
    ];
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    for (case, messages, expected) in cases {
        client.send(&messages).await;
        let answer = client.until_ready().await;
        let answer: Vec<Frame> = answer
            .into_iter()
            .filter(|frame| frame.tag != b'S')
            .collect();
        assert_eq!(tags(&answer), expected, "{case}");
    }
    handle.stop().await;
}

#[actix_rt::test]
async fn pipelined_units_are_answered_one_after_another() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let mut messages = Vec::new();
    for number in 0..50 {
        let text = format!("SELECT 'n{number}'");
        messages.extend([parse("", &text), bind("", ""), execute(""), sync()]);
        messages.push(query(&format!("INSERT INTO t VALUES ({number})")));
    }
    client.send(&messages).await;
    for number in 0..50 {
        let read = client.until_ready().await;
        let row = read.iter().find(|frame| frame.tag == b'D').expect("a row");
        assert!(row.body.ends_with(format!("n{number}").as_bytes()));
        assert_eq!(command_tags(&client.until_ready().await), ["INSERT 0 1"]);
    }
    handle.stop().await;
}

#[actix_rt::test]
async fn flush_is_answered_before_the_sync() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    client
        .send(&[parse("s", "SELECT 1"), describe('S', "s"), FLUSH])
        .await;
    for expected in ["1", "t", "T"] {
        let frame = client.next().await.expect("an answer");
        if frame.tag != b'S' {
            assert_eq!(tags(&[frame]), expected);
        }
    }
    client
        .send(&[
            parse("", "INSERT INTO t VALUES (1)"),
            bind("", ""),
            execute(""),
            FLUSH,
        ])
        .await;
    for expected in ["1", "2", "C"] {
        assert_eq!(tags(&[client.next().await.expect("an answer")]), expected);
    }
    client.send(&[sync()]).await;
    assert!(tags(&client.until_ready().await).ends_with('Z'));
    client.send(&[parse("", "syntax error"), FLUSH]).await;
    assert_eq!(tags(&[client.next().await.expect("an answer")]), "E");
    client.send(&[bind("", ""), execute(""), sync()]).await;
    assert_eq!(tags(&client.until_ready().await), "Z");
    client
        .send(&[
            parse("", "SELECT 1"),
            FLUSH,
            parse("", "LISTEN x"),
            bind("", ""),
            sync(),
        ])
        .await;
    let answer = client.until_ready().await;
    assert_eq!(first_error(&answer).as_deref(), Some("0A000"));
    assert!(group.ran_on("LISTEN").is_empty());
    assert_eq!(command_tags(&client.query("SELECT 1").await), ["SELECT 1"]);
    handle.stop().await;
}

#[actix_rt::test]
async fn preparing_with_a_flush_holds_no_connection_and_reads_go_to_replicas() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    for number in 0..3 {
        let (name, text) = (format!("s{number}"), format!("SELECT 'n{number}'"));
        client
            .send(&[parse(&name, &text), describe('S', &name), FLUSH])
            .await;
        for expected in ["1", "t", "T"] {
            assert_eq!(tags(&[client.next().await.expect("an answer")]), expected);
        }
        group
            .until("the connection is given back", |group| {
                group.open_connections() == 0
            })
            .await;
        client.send(&[bind("", &name), execute(""), sync()]).await;
        let answer = client.until_ready().await;
        assert_eq!(command_tags(&answer), ["SELECT 1"]);
        assert_ne!(group.ran_on(&text), [DATABASES[0]], "it ran on a replica");
    }
    client.send(&[parse("f", "syntax error"), FLUSH]).await;
    assert_eq!(tags(&[client.next().await.expect("an answer")]), "E");
    client.send(&[sync()]).await;
    assert_eq!(tags(&client.until_ready().await), "Z");
    handle.stop().await;
}

#[actix_rt::test]
async fn simple_query_ends_extended_messages() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let insert = "INSERT INTO t VALUES (1)";
    let cases = [
        (
            vec![parse("", insert), bind("", ""), execute("")],
            "12CTDCZ",
        ),
        (
            vec![parse("", insert), bind("", ""), execute(""), FLUSH],
            "12CTDCZ",
        ),
        (vec![parse("a", "SELECT 1"), FLUSH], "1TDCZ"),
        (vec![parse("a", "SELECT 1")], "1TDCZ"),
    ];
    for (mut messages, expected) in cases {
        messages.push(query("SELECT 'q'"));
        client.send(&messages).await;
        let answer = client.until_ready().await;
        assert_eq!(tags(&answer).replace('S', ""), expected);
    }
    client
        .send(&[parse("", "syntax error"), query("SELECT 'skipped'"), sync()])
        .await;
    assert_eq!(tags(&client.until_ready().await), "EZ");
    assert!(group.ran_on("skipped").is_empty());
    handle.stop().await;
}

#[actix_rt::test]
async fn features_incompatible_with_pooling_are_refused_and_not_sent() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    for text in [
        "LISTEN channel",
        "CREATE TEMP TABLE x (i int)",
        "SELECT pg_advisory_lock(1)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "SELECT 1; LISTEN channel",
        "SET hookpoint.request_id = 'x'; INSERT INTO t VALUES (1)",
        "SELECT set_config('hookpoint.request_id', 'x', false)",
    ] {
        let answer = client.query(text).await;
        assert_eq!(first_error(&answer).as_deref(), Some("0A000"), "{text}");
        client
            .send(&[parse("", text), bind("", ""), execute(""), sync()])
            .await;
        let answer = client.until_ready().await;
        assert_eq!(tags(&answer), "EZ", "{text}");
    }
    assert!(group.log().is_empty());
    assert!(group.acquired.lock().is_empty());
    handle.stop().await;
}

#[actix_rt::test]
async fn copy_is_relayed_completely() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let data = |text: &str| Frame::new(frontend::COPY_DATA, text.as_bytes().to_vec());
    let done = Frame::new(frontend::COPY_DONE, Vec::new());
    let fail = Frame::new(frontend::COPY_FAIL, b"no\0".to_vec());
    client.send(&[query("COPY t FROM STDIN")]).await;
    assert_eq!(tags(&[client.next().await.expect("an answer")]), "G");
    client.send(&[data("one"), data("two"), done.clone()]).await;
    let answer = client.until_ready().await;
    assert_eq!(command_tags(&answer), ["COPY 1"]);
    assert!(reported(&answer, "hookpoint.token").is_some());
    let extended = [
        parse("", "COPY t FROM STDIN"),
        bind("", ""),
        execute(""),
        sync(),
    ];
    client.send(&extended).await;
    for expected in ["1", "2", "G"] {
        assert_eq!(tags(&[client.next().await.expect("an answer")]), expected);
    }
    client.send(&[data("three"), done, sync()]).await;
    assert_eq!(command_tags(&client.until_ready().await), ["COPY 1"]);
    assert_eq!(group.server.lock().copied, b"onetwothree");
    client.send(&extended).await;
    client.send(&[data("x"), fail.clone(), sync()]).await;
    assert_eq!(
        first_error(&client.until_ready().await).as_deref(),
        Some("57014")
    );
    client
        .send(&[query("COPY t FROM STDIN"), data("x"), fail])
        .await;
    assert_eq!(
        first_error(&client.until_ready().await).as_deref(),
        Some("57014")
    );
    let answer = client.query("COPY t TO STDOUT").await;
    assert_eq!(tags(&answer), "HddcCZ");
    client
        .send(&[query("COPY t FROM STDIN"), data("half")])
        .await;
    drop(client);
    group
        .until("the half copy is undone", |_| handle.sessions() == 0)
        .await;
    handle.stop().await;
}

#[actix_rt::test]
async fn cancel_request_reaches_only_its_own_session() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, greeting) = RawClient::begin(&handle, &[]).await;
    let key = greeting
        .iter()
        .find(|frame| frame.tag == b'K')
        .expect("a key");
    let mut body = 80_877_102_u32.to_be_bytes().to_vec();
    body.extend_from_slice(&key.body);
    let cancel = packet(&body);
    let wrong = {
        let mut wrong = body.clone();
        let last = wrong.len() - 1;
        wrong[last] ^= 1;
        packet(&wrong)
    };
    async fn send(handle: &hookpoint_transport::caller::CallerHandle, request: &[u8]) {
        let mut other = RawClient::open(handle).await;
        other.send_raw(request).await;
        assert!(
            other.next().await.is_none(),
            "a cancel request is not answered"
        );
    }
    send(&handle, &cancel).await;
    assert_eq!(command_tags(&client.query("SELECT 1").await), ["SELECT 1"]);
    client.send(&[query("SELECT SLEEPS")]).await;
    group
        .until("it sleeps", |group| !group.ran_on("SLEEPS").is_empty())
        .await;
    send(&handle, &wrong).await;
    assert_eq!(group.server.lock().cancels, 0);
    send(&handle, &cancel).await;
    assert_eq!(
        first_error(&client.until_ready().await).as_deref(),
        Some("57014")
    );
    group.hold_leases.send_replace(true);
    client.send(&[query("INSERT INTO t VALUES (1)")]).await;
    assert!(client.is_silent(Duration::from_millis(50)).await);
    send(&handle, &cancel).await;
    assert_eq!(
        first_error(&client.until_ready().await).as_deref(),
        Some("57014")
    );
    group.hold_leases.send_replace(false);
    assert!(group.ran_on("INSERT").is_empty());
    assert_eq!(
        command_tags(&client.query("INSERT INTO t VALUES (2)").await),
        ["INSERT 0 1"]
    );
    assert_eq!(group.server.lock().cancels, 1);
    handle.stop().await;
}

#[actix_rt::test]
async fn deallocate_and_discard_remove_statements() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    for (text, tag) in [
        ("DEALLOCATE a", "DEALLOCATE"),
        ("DEALLOCATE PREPARE \"a\"", "DEALLOCATE"),
        ("DEALLOCATE ALL", "DEALLOCATE ALL"),
        ("DISCARD ALL;", "DISCARD ALL"),
    ] {
        client.send(&[parse("a", "SELECT 1"), sync()]).await;
        assert_eq!(tags(&client.until_ready().await).replace('S', ""), "1Z");
        assert_eq!(command_tags(&client.query(text).await), [tag]);
        client.send(&[bind("", "a"), sync()]).await;
        let answer = client.until_ready().await;
        assert_eq!(first_error(&answer).as_deref(), Some("26000"), "{text}");
    }
    let answer = client.query("DEALLOCATE missing").await;
    assert_eq!(first_error(&answer).as_deref(), Some("26000"));
    handle.stop().await;
}

#[actix_rt::test]
async fn large_answer_is_relayed_with_bounded_memory() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let answer = client.query("SELECT ROWS 20000").await;
    let rows = answer.iter().filter(|frame| frame.tag == b'D').count();
    assert_eq!(rows, 20_000);
    assert_eq!(command_tags(&answer), ["SELECT 20000"]);
    handle.stop().await;
}

#[actix_rt::test]
async fn protocol_versions_and_options_are_negotiated() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let cases = [
        (196_608, None, "R"),
        (196_610, None, "v"),
        (196_608, Some(("_pq_.x", "1")), "v"),
    ];
    for (version, parameters, first) in cases {
        let mut client = RawClient::open(&handle).await;
        client
            .send_raw(&startup(version, parameters.as_slice()))
            .await;
        let answer = client.until_ready().await;
        assert!(tags(&answer).starts_with(first), "{version} {parameters:?}");
        assert!(tags(&answer).ends_with("KZ"));
    }
    let mut client = RawClient::open(&handle).await;
    for code in [80_877_103_u32, 80_877_104] {
        client.send_raw(&packet(&code.to_be_bytes())).await;
        let mut answer = [0; 1];
        tokio::io::AsyncReadExt::read_exact(&mut client.socket, &mut answer)
            .await
            .expect("a byte");
        assert_eq!(&answer, b"N");
    }
    client
        .send_raw(&startup(196_608, &[("DateStyle", "German")]))
        .await;
    let answer = client.until_ready().await;
    assert_eq!(reported(&answer, "DateStyle").as_deref(), Some("German"));
    assert_eq!(
        reported(&answer, "client_encoding").as_deref(),
        Some("UTF8")
    );
    assert_eq!(DATABASES.len(), 3);
    handle.stop().await;
}
