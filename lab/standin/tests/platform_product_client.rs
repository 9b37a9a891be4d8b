//! Contract between the proxies' own platform client and the key-value
//! service: what each error of the client says of a request's effect.

mod platform_client;

use hookpoint_protocol::platform::{
    Compare, EventType, PutRequest, RequestOperation, TransactionRequest,
};
use hookpoint_standin::platform::{OutageMode, Platform};
use hookpoint_state::Outcome;
use hookpoint_transport::platform::{PlatformClient, PlatformError, WatchEvent};
use platform_client::{PATIENCE, start};
use std::time::Duration;

/// How long the client waits for an answer where one must come.
const LONG: Duration = Duration::from_secs(20);

/// How long it waits where none comes.
const SHORT: Duration = Duration::from_secs(1);

fn client(platform: &Platform, timeout: Duration) -> PlatformClient {
    PlatformClient::new(vec![platform.url()], timeout)
}

fn put(key: &str, lease: i64) -> PutRequest {
    PutRequest {
        key: key.into(),
        value: "value".into(),
        lease,
    }
}

#[actix_web::test]
async fn errors_tell_of_the_effect() {
    /// Name, patience of the client, fault, lease of the put, the error that is
    /// due, and whether the put takes effect all the same.
    type Case = (
        &'static str,
        Duration,
        fn(&Platform),
        i64,
        fn(&PlatformError) -> bool,
        bool,
    );
    let cases: [Case; 7] = [
        (
            "lost answer",
            LONG,
            |platform| platform.faults().lose_next_answers(1),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            true,
        ),
        (
            "slow answer",
            SHORT,
            |platform| platform.faults().set_delay(Some(LONG)),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            true,
        ),
        (
            "hanging",
            SHORT,
            |platform| platform.faults().set_outage(Some(OutageMode::Hang)),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            false,
        ),
        (
            "no leader",
            LONG,
            |platform| platform.faults().set_outage(Some(OutageMode::NoLeader)),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            false,
        ),
        (
            "rate limit",
            LONG,
            |platform| platform.faults().set_rate_limit(Some(0.0)),
            0,
            |error| matches!(error, PlatformError::RateLimited { .. }),
            false,
        ),
        (
            "unknown lease",
            LONG,
            |_| {},
            99,
            |error| matches!(error, PlatformError::Refused { code: 5, .. }),
            false,
        ),
        (
            "refusing",
            LONG,
            |platform| platform.faults().set_outage(Some(OutageMode::Refuse)),
            0,
            |error| {
                matches!(
                    error,
                    PlatformError::Connect { .. } | PlatformError::AnswerLost { .. }
                )
            },
            false,
        ),
    ];
    for (name, patience, fault, lease, due, takes_effect) in cases {
        let platform = start().await;
        let client = client(&platform, patience);
        client.list("k").await.expect("an answer before the fault");
        fault(&platform);
        let error = client.put(&put("k", lease)).await.expect_err(name);
        assert!(due(&error), "{name}: {error:?}");
        assert_eq!(platform.get("k").is_some(), takes_effect, "{name}");
        if takes_effect {
            assert_eq!(error.outcome(), Outcome::Unknown, "{name}");
        }
        platform.faults().clear();
    }
}

#[actix_web::test]
async fn a_lost_transaction_is_resolved_by_reading_back() {
    let platform = start().await;
    let client = client(&platform, LONG);
    client.put(&put("pointer", 0)).await.expect("written");
    let held = client.get("pointer").await.expect("read").expect("the key");
    let attempt = |name: &str| TransactionRequest {
        compare: vec![Compare::unchanged_since("pointer", held.mod_revision)],
        success: vec![RequestOperation::put("pointer", name)],
        failure: vec![RequestOperation::get("pointer")],
    };
    platform.faults().lose_next_answers(1);
    let lost = client.transaction(&attempt("first")).await;
    assert!(
        matches!(lost, Err(PlatformError::AnswerLost { .. })),
        "{lost:?}"
    );
    let second = client
        .transaction(&attempt("second"))
        .await
        .expect("an answer");
    assert!(!second.succeeded, "the first attempt took effect");
    let now = client.get("pointer").await.expect("read").expect("the key");
    assert_eq!(now.value.to_text(), "first");
}

#[actix_web::test]
async fn a_watch_resumes_behind_the_last_revision_seen() {
    let platform = start().await;
    let client = client(&platform, SHORT);
    let mut watch = client.watch("k/", 0).await.expect("a watch");
    next(&mut watch).await;
    // A quiet watch outlives the patience for answers.
    let silent = watch.next(2 * SHORT).await;
    assert!(matches!(silent, Ok(None)), "{silent:?}");
    platform.put("k/1", b"a");
    let seen = next(&mut watch).await;
    assert_eq!(keys(&seen), ["k/1"]);
    platform.faults().set_outage(Some(OutageMode::Refuse));
    assert!(watch.next(PATIENCE).await.is_err());
    platform.put("k/2", b"b");
    platform.delete("k/1");
    platform.faults().set_outage(None);
    let mut watch = loop {
        match client.watch("k/", seen.revision + 1).await {
            Ok(watch) => break watch,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    };
    next(&mut watch).await;
    let mut missed = next(&mut watch).await;
    while missed.changes.len() < 2 {
        missed.changes.extend(next(&mut watch).await.changes);
    }
    assert_eq!(keys(&missed), ["k/2", "k/1"]);
    assert_eq!(missed.changes[1].kind, EventType::Delete);

    platform.compact(platform.revision()).expect("compacted");
    let mut late = client.watch("k/", 2).await.expect("a watch");
    next(&mut late).await;
    let over = late.next(PATIENCE).await;
    assert!(
        matches!(
            over,
            Err(PlatformError::Compacted {
                compact_revision: 4
            })
        ),
        "{over:?}"
    );
}

async fn next(watch: &mut hookpoint_transport::platform::Watch) -> WatchEvent {
    watch
        .next(PATIENCE)
        .await
        .expect("the watch goes on")
        .expect("in time")
}

fn keys(event: &WatchEvent) -> Vec<String> {
    event
        .changes
        .iter()
        .map(|change| change.kv.key.to_text())
        .collect()
}

#[actix_web::test]
async fn a_holder_finds_out_that_its_lease_has_lapsed() {
    let platform = start().await;
    let client = client(&platform, LONG);
    let lease = client
        .grant_lease(Duration::from_secs(60))
        .await
        .expect("a lease");
    client.put(&put("held", lease.id)).await.expect("written");
    let alive = client.keep_lease_alive(lease.id).await.expect("an answer");
    assert_eq!(alive.time_to_live, 60);
    platform.expire_lease(lease.id).expect("in force");
    let lapsed = client.keep_lease_alive(lease.id).await.expect("an answer");
    assert_eq!(lapsed.time_to_live, 0);
    assert_eq!(client.get("held").await.expect("read"), None);
    let refused = client.put(&put("held", lease.id)).await;
    assert!(
        matches!(refused, Err(PlatformError::Refused { code: 5, .. })),
        "{refused:?}"
    );
}
