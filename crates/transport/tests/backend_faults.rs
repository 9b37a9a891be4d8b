//! Tests of pools under faults: start-up, refusals, cancellation, draining and expired
//! connections.

mod fake;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fake::session::{answer, ask, query, release, tags};
use fake::{
    Authentication, FakeDatabase, LogEntry, Script, TIMEOUT, bundle, eventually, pools, request,
};
use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_protocol::scram::Verifier;
use hookpoint_state::Refusal;
use hookpoint_transport::backend::{BackendSettings, LocalPools};
use hookpoint_transport::lease::LeaseSource;
use hookpoint_transport::shared::Shared;
use tokio::net::TcpListener;

#[actix_rt::test]
async fn authentication_methods_succeed_or_are_refused() {
    let verifier = Verifier::from_password("secret", 4_096);
    let rejected = |sqlstate: &str| {
        Err(Refusal::BackendRefused {
            sqlstate: sqlstate.to_owned(),
        })
    };
    let scram = Authentication::Scram(verifier);
    let cleartext = Authentication::Cleartext("secret".to_owned());
    let cases = [
        ("trust", Authentication::Trust, None, Ok(())),
        ("clear text", cleartext.clone(), Some("secret"), Ok(())),
        (
            "wrong clear text",
            cleartext.clone(),
            Some("guess"),
            rejected("28P01"),
        ),
        ("no password", cleartext, None, rejected("28000")),
        ("scram", scram.clone(), Some("secret"), Ok(())),
        ("wrong scram", scram, Some("guess"), rejected("28P01")),
        (
            "md5",
            Authentication::Method(5),
            Some("secret"),
            rejected("28000"),
        ),
    ];
    for (name, authentication, password, expected) in cases {
        let database = FakeDatabase::start(Script {
            authentication,
            ..Script::default()
        })
        .await;
        let (_, pools) = pools(bundle(1, 1, &[database.address]), |settings| {
            let password = password.map(|password| ("books".into(), password.to_owned()));
            settings.passwords.extend(password);
        });
        let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await;
        assert_eq!(lease.map(|_| ()), expected, "{name}");
    }
}

/// Returns an address on which no process listens.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[actix_rt::test]
async fn unreachable_database_is_refused_at_once_and_marked() {
    let address = unused_address().await;
    let (shared, pools) = pools(bundle(1, 1, &[address]), |_| {});
    for _ in 0..2 {
        let refused = pools.acquire(request("books-0", 1, TIMEOUT)).await;
        assert_eq!(refused.unwrap_err(), Refusal::NoDatabase);
    }
    let view = shared.view(&"books".into()).unwrap();
    assert!(!view.databases[0].reachable);
}

#[actix_rt::test]
async fn silent_database_counts_as_unreachable() {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (_, pools) = pools(bundle(1, 1, &[silent.local_addr().unwrap()]), |settings| {
        settings.connect_timeout = Duration::from_millis(50);
    });
    let refused = pools.acquire(request("books-0", 1, TIMEOUT)).await;
    assert_eq!(refused.unwrap_err(), Refusal::NoDatabase);
}

#[actix_rt::test]
async fn request_waits_while_slots_are_taken() {
    let database = FakeDatabase::start(Script {
        slots: 0,
        ..Script::default()
    })
    .await;
    let (shared, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let waiting = actix_rt::spawn(outcome(pools.clone(), 1));
    eventually(|| database.started() >= 3).await;
    assert!(shared.view(&"books".into()).unwrap().databases[0].reachable);
    database.script(|script| script.slots = 1);
    assert_eq!(waiting.await.unwrap(), Ok(()));
}

/// Returns the result of a lease request of a session.
async fn outcome(pools: Arc<LocalPools>, session: u64) -> Result<(), Refusal> {
    let lease = pools.acquire(request("books-0", session, TIMEOUT)).await;
    lease.map(|_| ())
}

#[actix_rt::test]
async fn unknown_names_and_a_missing_bundle_are_refused() {
    let (_, pools) = pools(bundle(1, 1, &[]), |_| {});
    let refused = pools.acquire(request("books-9", 1, TIMEOUT)).await;
    assert_eq!(refused.unwrap_err(), Refusal::NoDatabase);
    let shared = Arc::new(Shared::new("here".into()));
    let settings = BackendSettings::new(Vec::new());
    let pools = LocalPools::new(shared, settings);
    let refused = pools.acquire(request("books-0", 1, TIMEOUT)).await;
    assert_eq!(refused.unwrap_err(), Refusal::NoBundle);
}

#[actix_rt::test]
async fn cancel_request_never_reaches_the_next_session() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let mut lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    // No query runs, so nothing is cancelled.
    lease.commands.send(BackendCommand::Cancel).await.unwrap();
    lease.commands.send(query("SLEEP")).await.unwrap();
    eventually(|| database.queries() == ["SLEEP"]).await;
    lease.commands.send(BackendCommand::Cancel).await.unwrap();
    assert_eq!(tags(&answer(&mut lease).await.unwrap()), "EZ");
    lease.commands.send(release(true)).await.unwrap();
    let mut next = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
    assert_eq!(ask(&mut next, query("WHO")).await, "TDCZ");
    let log = database.log();
    let cancelled = log
        .iter()
        .position(|seen| *seen == LogEntry::Cancelled(1))
        .unwrap();
    let next = |wanted: &str| {
        let found = log.iter().position(
            |seen| matches!(seen, LogEntry::Message(1, b'Q', text) if text.contains(wanted)),
        );
        found.unwrap()
    };
    // The status query, which absorbs a late cancellation, runs between the two sessions.
    assert!(cancelled < next("pg_is_in_recovery") && next("pg_is_in_recovery") < next("WHO"));
    assert_eq!(
        database.count(|seen| matches!(seen, LogEntry::Cancelled(_))),
        1
    );
    assert_eq!(database.started(), 1);
}

#[actix_rt::test]
async fn stale_sender_does_not_reach_the_next_session() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    let stale = lease.commands.clone();
    lease.commands.send(release(true)).await.unwrap();
    drop(lease);
    let mut next = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
    assert!(stale.send(BackendCommand::Cancel).await.is_err());
    assert_eq!(ask(&mut next, query("WHO")).await, "TDCZ");
}

#[actix_rt::test]
async fn abandoned_lease_is_cancelled_and_its_slot_freed() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    lease.commands.send(query("SLEEP")).await.unwrap();
    eventually(|| database.queries() == ["SLEEP"]).await;
    drop(lease);
    let mut next = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
    assert_eq!(ask(&mut next, query("WHO")).await, "TDCZ");
    assert_eq!(database.most_open(), 1);
}

#[actix_rt::test]
async fn draining_database_gets_no_new_work_and_finishes_running_work() {
    let database = FakeDatabase::start(Script::default()).await;
    let (shared, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let mut held = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    let waiting = actix_rt::spawn(outcome(pools.clone(), 2));
    assert_eq!(ask(&mut held, query("BEGIN")).await, "CZ");
    let mut draining = bundle(2, 1, &[database.address]);
    draining.drain.insert("books-0".into());
    shared.install_bundle(draining);
    assert_eq!(waiting.await.unwrap(), Err(Refusal::NoDatabase));
    assert_eq!(ask(&mut held, query("COMMIT")).await, "CZ");
    held.commands.send(release(true)).await.unwrap();
    eventually(|| database.count(|seen| *seen == LogEntry::Ended(1)) == 1).await;
    let refused = pools.acquire(request("books-0", 3, TIMEOUT)).await;
    assert_eq!(refused.unwrap_err(), Refusal::NoDatabase);
    shared.install_bundle(bundle(3, 1, &[database.address]));
    eventually(|| database.started() == 1).await;
    let back = acquire_with_retries(&pools).await;
    assert_eq!(back, Ok(()));
}

async fn acquire_with_retries(pools: &LocalPools) -> Result<(), Refusal> {
    for _ in 0..1_000 {
        let lease = pools.acquire(request("books-0", 4, TIMEOUT)).await;
        if lease.is_ok() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Err(Refusal::NoDatabase)
}

#[actix_rt::test]
async fn bundle_can_move_and_remove_a_database() {
    let first = FakeDatabase::start(Script::default()).await;
    let second = FakeDatabase::start(Script::default()).await;
    let (shared, pools) = pools(bundle(1, 1, &[first.address]), |_| {});
    let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    lease.commands.send(release(true)).await.unwrap();
    shared.install_bundle(bundle(2, 1, &[second.address]));
    eventually(|| first.count(|seen| matches!(seen, LogEntry::Ended(_))) == 1).await;
    let lease = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
    assert_eq!((first.started(), second.started()), (1, 1));
    lease.commands.send(release(true)).await.unwrap();
    shared.install_bundle(bundle(3, 1, &[]));
    eventually(|| second.count(|seen| matches!(seen, LogEntry::Ended(_))) == 1).await;
    let refused = pools.acquire(request("books-0", 3, TIMEOUT)).await;
    assert_eq!(refused.unwrap_err(), Refusal::NoDatabase);
    assert!(pools.counts().is_empty());
}

#[actix_rt::test]
async fn idle_connection_is_kept_alive() {
    let database = FakeDatabase::start(Script::default()).await;
    let (shared, pools) = pools(bundle(1, 1, &[database.address]), |settings| {
        settings.idle_session_timeout = Duration::from_secs(3);
    });
    let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    lease.commands.send(release(true)).await.unwrap();
    let heartbeat = |seen: &LogEntry| matches!(seen, LogEntry::Message(_, b'Q', text) if text.contains("recovery"));
    eventually(|| database.count(heartbeat) >= 4).await;
    assert_eq!(database.count(|seen| matches!(seen, LogEntry::Ended(_))), 0);
    let view = shared.view(&"books".into()).unwrap();
    assert!(view.primary().is_some(), "the heartbeat tells the status");
}

/// A holder that was paused beyond the idle timeout finds its connection closed and opens
/// another one; the request is not affected.
#[actix_rt::test]
async fn closed_connection_is_not_granted() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |settings| {
        settings.idle_session_timeout = Duration::from_millis(200);
    });
    let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    lease.commands.send(release(true)).await.unwrap();
    eventually(|| pools.counts()[&"books-0".into()].idle == 1).await;
    // Pauses the whole process, including the heartbeats.
    std::thread::sleep(Duration::from_millis(400));
    let mut lease = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
    assert_eq!(ask(&mut lease, query("WHO")).await, "TDCZ");
    assert_eq!(database.started(), 2);
    assert_eq!(database.most_open(), 1);
}

#[actix_rt::test]
async fn node_that_is_not_home_keeps_no_idle_connection() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let lease = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    lease.commands.send(release(true)).await.unwrap();
    eventually(|| pools.counts()[&"books-0".into()].idle == 1).await;
    pools.set_home_filter(Arc::new(|_| false));
    eventually(|| database.count(|seen| *seen == LogEntry::Ended(1)) == 1).await;
    let mut lease = pools.acquire(request("books-0", 2, TIMEOUT)).await.unwrap();
    assert_eq!(ask(&mut lease, query("WHO")).await, "TDCZ");
    lease.commands.send(release(true)).await.unwrap();
    eventually(|| database.count(|seen| *seen == LogEntry::Ended(2)) == 1).await;
}

/// Two nodes both consider themselves the home. The database's slot limit decides, and
/// the slots move as soon as one node learns that it is not the home.
#[actix_rt::test]
async fn slots_move_to_the_home_when_memberships_agree() {
    let database = FakeDatabase::start(Script {
        slots: 2,
        ..Script::default()
    })
    .await;
    let (_, former) = pools(bundle(1, 2, &[database.address]), |_| {});
    let (_, home) = pools(bundle(1, 2, &[database.address]), |_| {});
    let idle = former
        .acquire(request("books-0", 1, TIMEOUT))
        .await
        .unwrap();
    let mut held = former
        .acquire(request("books-0", 2, TIMEOUT))
        .await
        .unwrap();
    idle.commands.send(release(true)).await.unwrap();
    eventually(|| former.counts()[&"books-0".into()].idle == 1).await;
    let first = actix_rt::spawn(outcome(home.clone(), 3));
    // The database refuses the home's connections, and the home keeps the request
    // waiting.
    eventually(|| database.started() >= 4).await;
    assert_eq!(home.counts()[&"books-0".into()].waiting, 1);
    former.set_home_filter(Arc::new(|_| false));
    assert_eq!(first.await.unwrap(), Ok(()));
    // The running lease is finished first; only then does its slot move.
    assert_eq!(ask(&mut held, query("WHO")).await, "TDCZ");
    held.commands.send(release(true)).await.unwrap();
    let two = [outcome(home.clone(), 4), outcome(home.clone(), 5)];
    assert_eq!(futures::future::join_all(two).await, [Ok(()), Ok(())]);
    eventually(|| former.counts()[&"books-0".into()].connections() == 0).await;
}

#[actix_rt::test]
async fn cancelled_request_does_not_take_a_connection() {
    let database = FakeDatabase::start(Script::default()).await;
    let (_, pools) = pools(bundle(1, 1, &[database.address]), |_| {});
    let held = pools.acquire(request("books-0", 1, TIMEOUT)).await.unwrap();
    let withdrawn = pools.acquire(request("books-0", 2, TIMEOUT));
    let early = tokio::time::timeout(Duration::from_millis(20), withdrawn).await;
    assert!(early.is_err());
    eventually(|| pools.counts()[&"books-0".into()].waiting == 0).await;
    held.commands.send(release(true)).await.unwrap();
    pools.acquire(request("books-0", 3, TIMEOUT)).await.unwrap();
    assert_eq!(database.started(), 1);
}
