//! Tests of leases: relay, reuse, loss and the limits of the slots.

mod fake;

use std::collections::BTreeSet;
use std::time::Duration;

use fake::session::{answer, query, release, tags};
use fake::{FakeDatabase, LogEntry, Script, TIMEOUT, bundle, eventually, pools, request};
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::frame::Frame;
use hookpoint_state::Refusal;
use hookpoint_transport::lease::LeaseSource;

#[actix_rt::test]
async fn connection_is_relayed_and_reused() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let mut bodies = BTreeSet::new();
    for session in 1..=3 {
        let mut lease = pools
            .acquire(request("books-0", session, TIMEOUT))
            .await
            .unwrap();
        lease.commands.send(query("WHO")).await.unwrap();
        let answer = answer(&mut lease).await.unwrap();
        assert_eq!(tags(&answer), "TDCZ");
        bodies.insert(answer[1].body.clone());
        lease.commands.send(release(true)).await.unwrap();
    }
    assert_eq!(bodies.len(), 1);
    assert_eq!(database.started(), 1);
    let Some(LogEntry::Started(_, parameters)) = database.log().first().cloned() else {
        panic!("the first entry is the start");
    };
    assert_eq!(parameters["user"], "proxy");
    assert_eq!(parameters["database"], "library");
    assert_eq!(parameters["idle_session_timeout"], "10000");
    let idle_transaction = &parameters["idle_in_transaction_session_timeout"];
    assert_eq!(idle_transaction, "65000");
}

#[actix_rt::test]
async fn slots_limit_connections_and_further_requests_wait() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 3, &[database.address]), |_| {});
    let mut sessions = Vec::new();
    for session in 1..=20 {
        let pools = pools.clone();
        sessions.push(actix_rt::spawn(async move {
            let mut lease = pools
                .acquire(request("books-0", session, TIMEOUT))
                .await
                .unwrap();
            lease.commands.send(query("BEGIN")).await.unwrap();
            answer(&mut lease).await.unwrap();
            lease.commands.send(query("COMMIT")).await.unwrap();
            answer(&mut lease).await.unwrap();
            lease.commands.send(release(true)).await.unwrap();
        }));
    }
    for session in sessions {
        session.await.unwrap();
    }
    assert_eq!(database.most_open(), 3);
    // No transaction was interleaved with another one on its connection.
    for connection in 1..=3 {
        let queries: Vec<String> = database
            .log()
            .into_iter()
            .filter_map(|seen| match seen {
                LogEntry::Message(number, b'Q', text) if number == connection => Some(text),
                _ => None,
            })
            .collect();
        for pair in queries.chunks(2) {
            assert_eq!(pair, ["BEGIN", "COMMIT"]);
        }
    }
}

#[actix_rt::test]
async fn wait_ends_at_its_deadline() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let held = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    let wait = Duration::from_millis(30);
    let refused = pools.acquire(request("books-0", 2, wait)).await;
    assert_eq!(refused.unwrap_err(), Refusal::WaitDeadline);
    held.commands.send(release(true)).await.unwrap();
    pools.acquire(request("books-0", 3, TIMEOUT)).await.unwrap();
    assert_eq!(database.started(), 1);
}

#[actix_rt::test]
async fn lost_connection_is_reported_after_earlier_replies() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let mut lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    lease.commands.send(query("WHO")).await.unwrap();
    answer(&mut lease).await.unwrap();
    lease.commands.send(query("DIE")).await.unwrap();
    assert_eq!(answer(&mut lease).await, None);
    let mut next = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
    next.commands.send(query("WHO")).await.unwrap();
    assert!(answer(&mut next).await.is_some());
    assert_eq!(database.started(), 2);
}

/// Lists the ways a lease can end and whether the next session gets the same connection.
#[actix_rt::test]
async fn only_a_clean_connection_is_reused() {
    let cases: [(&str, &[&str], Option<BackendCommand>, bool); 7] = [
        ("untouched and dropped", &[], None, true),
        ("idle", &["WHO"], Some(release(true)), true),
        (
            "answer outstanding",
            &["WHO", "ROWS 500"],
            Some(release(true)),
            true,
        ),
        ("in a transaction", &["BEGIN"], Some(release(true)), false),
        ("state unknown", &["WHO"], Some(release(false)), false),
        ("dropped without a word", &["WHO"], None, false),
        (
            "failed outside a transaction",
            &["FAIL"],
            Some(release(true)),
            true,
        ),
    ];
    for (name, queries, end, reused) in cases {
        let database = FakeDatabase::start(Script::default()).await;
        let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
        let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
        for text in queries {
            lease.commands.send(query(text)).await.unwrap();
        }
        if let Some(end) = end {
            lease.commands.send(end).await.unwrap();
        } else if !queries.is_empty() {
            eventually(|| database.queries().len() == queries.len()).await;
        }
        drop(lease);
        let mut next = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
        next.commands.send(query("WHO")).await.unwrap();
        assert_eq!(tags(&answer(&mut next).await.unwrap()), "TDCZ", "{name}");
        assert_eq!(database.started() == 1, reused, "{name}");
        assert_eq!(database.most_open(), 1, "{name}");
    }
}

#[actix_rt::test]
async fn slow_session_stops_reading_from_its_connection() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let mut lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    lease.commands.send(query("ROWS 50000")).await.unwrap();
    let mut rows = 0;
    let mut largest = 0;
    loop {
        let reply = tokio::time::timeout(TIMEOUT, lease.replies.recv()).await;
        let Some(BackendReply::Frames(frames)) = reply.unwrap() else {
            panic!("the connection was lost");
        };
        largest = largest.max(frames.iter().map(Frame::wire_length).sum::<usize>());
        rows += frames.iter().filter(|frame| frame.tag == b'D').count();
        if frames.last().is_some_and(|frame| frame.tag == b'Z') {
            break;
        }
    }
    assert_eq!(rows, 50_000);
    assert!(largest < 70_000, "one reply held {largest} bytes");
}
