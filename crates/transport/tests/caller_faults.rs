//! Tests of the answers that callers get when connections break, leases are refused and
//! primaries change.

mod caller_support;

use caller_support::raw::{RawClient, command_tags, first_error, tags};
use caller_support::{DATABASES, FakeGroup, GROUP, start};
use hookpoint_coordination::explain::Decision;
use hookpoint_coordination::status::Role;
use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::frame::Frame;
use hookpoint_state::{Position, Refusal};

/// Returns the transaction status in the last `ReadyForQuery`.
fn state(answer: &[Frame]) -> char {
    let ready = answer.last().expect("an answer");
    assert_eq!(ready.tag, b'Z');
    char::from(ready.body[0])
}

/// Returns the first word of the first error's `DETAIL`.
fn outcome(answer: &[Frame]) -> String {
    let error = answer
        .iter()
        .find(|frame| frame.tag == b'E')
        .expect("an error");
    assert!(BackendError::from_frame(error).is_some());
    let fields = error.body.split(|byte| *byte == 0);
    let detail = fields.filter_map(|field| field.strip_prefix(b"D")).next();
    let text = String::from_utf8_lossy(detail.unwrap_or_default()).into_owned();
    text.split_whitespace()
        .next()
        .unwrap_or_default()
        .to_owned()
}

/// A statement, the expected SQLSTATE if it fails, and the transaction status afterwards.
type Step = (&'static str, Option<&'static str>, char);

async fn run_steps(client: &mut RawClient, case: &str, steps: &[Step]) {
    for (text, error, expected) in steps {
        let answer = client.query(text).await;
        assert_eq!(first_error(&answer).as_deref(), *error, "{case}: {text}");
        assert_eq!(state(&answer), *expected, "{case}: {text}");
    }
}

#[actix_rt::test]
async fn broken_connection_is_reported_with_the_proved_outcome() {
    let cases: &[(&str, &str, usize, &[Step])] = &[
        (
            "a lone read is read again",
            "'x'",
            1,
            &[("SELECT 'x'", None, 'I')],
        ),
        (
            "a lone write may have run",
            "INSERT",
            1,
            &[
                ("INSERT INTO t VALUES (1)", Some("08007"), 'I'),
                ("SELECT 1", None, 'I'),
            ],
        ),
        (
            "a block that never sent COMMIT did not run",
            "UPDATE",
            1,
            &[
                ("BEGIN", None, 'T'),
                ("INSERT INTO t VALUES (1)", None, 'T'),
                ("UPDATE t SET i = 2", Some("HN010"), 'E'),
                ("INSERT INTO t VALUES (3)", Some("25P02"), 'E'),
                ("COMMIT", None, 'I'),
                ("INSERT INTO t VALUES (4)", None, 'I'),
            ],
        ),
        (
            "a COMMIT may have run",
            "COMMIT",
            1,
            &[
                ("BEGIN", None, 'T'),
                ("INSERT INTO t VALUES (1)", None, 'T'),
                ("COMMIT", Some("08007"), 'I'),
                ("SELECT 1", None, 'I'),
            ],
        ),
    ];
    for (case, needle, count, steps) in cases {
        let group = FakeGroup::new();
        let handle = start(&group).await;
        group.server.lock().break_before = Some(((*needle).to_owned(), *count));
        let (mut client, _) = RawClient::begin(&handle, &[]).await;
        run_steps(&mut client, case, steps).await;
        handle.stop().await;
    }
}

#[actix_rt::test]
async fn failed_block_ends_only_with_rollback_or_commit() {
    let steps: &[Step] = &[
        ("BEGIN", None, 'T'),
        ("INSERT INTO t VALUES (FAILS)", Some("23514"), 'E'),
        ("SELECT 1", Some("25P02"), 'E'),
        ("ROLLBACK", None, 'I'),
        ("BEGIN", None, 'T'),
        ("INSERT INTO t VALUES (FAILS); COMMIT", Some("23514"), 'E'),
        ("COMMIT", None, 'I'),
        ("BEGIN", None, 'T'),
        ("LISTEN x", Some("0A000"), 'E'),
        ("SELECT 1", Some("25P02"), 'E'),
        ("ROLLBACK", None, 'I'),
        ("BEGIN; INSERT INTO t VALUES (1); COMMIT", None, 'I'),
        ("BEGIN READ ONLY", None, 'T'),
        ("SELECT 1", None, 'T'),
        ("COMMIT", None, 'I'),
    ];
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    run_steps(&mut client, "blocks", steps).await;
    handle.stop().await;
}

#[actix_rt::test]
async fn transaction_mode_of_a_block_cannot_change() {
    let steps: &[Step] = &[
        ("BEGIN READ ONLY", None, 'T'),
        ("SET TRANSACTION READ WRITE", Some("0A000"), 'E'),
        ("INSERT INTO t VALUES (1)", Some("25P02"), 'E'),
        ("ROLLBACK", None, 'I'),
        (
            "BEGIN READ ONLY; SET TRANSACTION READ WRITE",
            Some("0A000"),
            'I',
        ),
        ("BEGIN READ ONLY", None, 'T'),
        ("SET transaction_read_only = off", Some("0A000"), 'E'),
        ("COMMIT", None, 'I'),
        ("BEGIN READ ONLY", None, 'T'),
        ("COMMIT; INSERT INTO t VALUES (1)", Some("0A000"), 'E'),
        ("COMMIT", None, 'I'),
        ("BEGIN", None, 'T'),
        ("SAVEPOINT s", None, 'T'),
        ("SET LOCAL timezone = 'UTC'", None, 'T'),
        ("SET timezone = 'UTC'", Some("0A000"), 'E'),
        ("ROLLBACK", None, 'I'),
    ];
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    run_steps(&mut client, "modes", steps).await;
    assert!(group.ran_on("INSERT").is_empty());
    let refused = group.shared.explain(None);
    let refused = refused.iter().filter(
        |entry| matches!(&entry.decision, Decision::Failed { sqlstate, .. } if sqlstate == "0A000"),
    );
    assert_eq!(refused.count(), 5, "each refusal is recorded");
    handle.stop().await;
}

#[actix_rt::test]
async fn refused_leases_are_reported_as_not_run() {
    let cases = [
        (Refusal::QueueFull, "HN001"),
        (Refusal::TenantLimit, "HN002"),
        (Refusal::WaitDeadline, "HN003"),
        (Refusal::Stopping, "HN006"),
    ];
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    for (refusal, sqlstate) in cases {
        let refusals = vec![refusal];
        group
            .refusals
            .lock()
            .insert(DATABASES[0].to_owned(), refusals);
        let answer = client.query("INSERT INTO t VALUES (1)").await;
        assert_eq!(first_error(&answer).as_deref(), Some(sqlstate));
        assert_eq!(outcome(&answer), "hookpoint.outcome=not_run");
    }
    assert!(group.ran_on("INSERT").is_empty());
    let refusals = vec![Refusal::NoDatabase; 2];
    group
        .refusals
        .lock()
        .insert(DATABASES[0].to_owned(), refusals);
    let answer = client.query("INSERT INTO t VALUES (2)").await;
    assert_eq!(command_tags(&answer), ["INSERT 0 1"], "held and sent later");
    assert_eq!(group.ran_on("INSERT"), [DATABASES[0]]);
    handle.stop().await;
}

#[actix_rt::test]
async fn write_refused_by_a_demoted_primary_runs_on_the_new_one() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    client.query("INSERT INTO t VALUES (1)").await;
    group.server.lock().promote(DATABASES[1]);
    let view = FakeGroup::observe_all;
    let answer = {
        client
            .send(&[hookpoint_protocol::extended::query(
                "INSERT INTO t VALUES (2)",
            )])
            .await;
        group
            .until("the old primary refused it", |group| {
                group.acquired.lock().len() > 1
            })
            .await;
        view(&group);
        client.until_ready().await
    };
    assert_eq!(command_tags(&answer), ["INSERT 0 1"]);
    assert_eq!(
        group.ran_on("VALUES (2)").last().expect("it ran"),
        DATABASES[1]
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn answer_of_a_lagging_replica_is_discarded() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    client.query("INSERT INTO t VALUES (1)").await;
    group.observe_all();
    for node in group.server.lock().nodes.values_mut() {
        if node.role == Role::Replica {
            node.position = Position::new(1, 50);
        }
    }
    let answer = client.query("SELECT 'mine'").await;
    assert_eq!(command_tags(&answer), ["SELECT 1"]);
    let ran = group.ran_on("SELECT 'mine'");
    assert_ne!(ran[0], DATABASES[0], "the replica was tried");
    assert_eq!(ran.last().expect("it ran"), DATABASES[0]);
    assert_eq!(
        tags(&answer).matches('D').count(),
        1,
        "one answer was delivered"
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn block_whose_connection_broke_between_units_did_not_run() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    for (end, error, state) in [
        ("COMMIT", Some("HN010"), 'I'),
        ("SELECT 1", Some("HN010"), 'E'),
    ] {
        let (mut client, _) = RawClient::begin(&handle, &[]).await;
        client.query("BEGIN").await;
        client.query("INSERT INTO t VALUES (1)").await;
        group.kill_connections().await;
        run_steps(&mut client, "lost while idle", &[(end, error, state)]).await;
    }
    handle.stop().await;
}

#[actix_rt::test]
async fn messages_after_a_commit_are_held_in_bounded_memory() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let few = "BEGIN; INSERT INTO t VALUES (1); COMMIT; SELECT ROWS 3";
    let answer = client.query(few).await;
    assert_eq!(
        command_tags(&answer),
        ["BEGIN", "INSERT 0 1", "COMMIT", "SELECT 3"]
    );
    let many = "BEGIN; INSERT INTO t VALUES (1); COMMIT; SELECT ROWS 2000";
    let answer = client.query(many).await;
    assert_eq!(first_error(&answer).as_deref(), Some("08007"));
    assert_eq!(
        command_tags(&answer),
        ["BEGIN", "INSERT 0 1"],
        "no COMMIT was reported"
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn read_does_not_wait_for_a_partitioned_replica() {
    let group = FakeGroup::new();
    let mut bundle = caller_support::bundle();
    bundle.version.0 = 2;
    bundle.limits.wait_ms = 20_000;
    group.shared.install_bundle(bundle);
    let handle = start(&group).await;
    let silent = DATABASES[1..].iter().map(|name| (*name).to_owned());
    group.server.lock().silent = silent.collect();
    let (mut client, _) = RawClient::begin(&handle, &[]).await;
    let answer = client.query("SELECT 'x'").await;
    assert_eq!(command_tags(&answer), ["SELECT 1"]);
    assert_eq!(tags(&answer).matches('D').count(), 1);
    assert_eq!(
        group.ran_on("SELECT 'x'").last().expect("it ran"),
        DATABASES[0]
    );
    handle.stop().await;
}

#[actix_rt::test]
async fn cancelled_status_query_is_retried() {
    for (failing, expected) in [(1, None), (3, None), (4, Some("08007"))] {
        let group = FakeGroup::new();
        let handle = start(&group).await;
        group.server.lock().failing_probes = failing;
        let (mut client, _) = RawClient::begin(&handle, &[]).await;
        let answer = client.query("INSERT INTO t VALUES (1)").await;
        assert_eq!(
            first_error(&answer).as_deref(),
            expected,
            "{failing} failures"
        );
        handle.stop().await;
    }
}

#[actix_rt::test]
async fn unknown_groups_are_refused() {
    let group = FakeGroup::new();
    let handle = start(&group).await;
    let (_, greeting) = RawClient::begin(&handle, &[("database", "nowhere")]).await;
    assert_eq!(first_error(&greeting).as_deref(), Some("3D000"));
    let (mut client, _) = RawClient::begin(&handle, &[("database", GROUP)]).await;
    let mut bundle = caller_support::bundle();
    bundle.version.0 = 2;
    bundle.groups.clear();
    group.shared.install_bundle(bundle);
    let answer = client.query("SELECT 1").await;
    assert_eq!(first_error(&answer).as_deref(), Some("HN007"));
    assert_eq!(outcome(&answer), "hookpoint.outcome=not_run");
    handle.stop().await;
}
