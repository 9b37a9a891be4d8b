//! Contract tests between the proxies' platform client and the key-value
//! service: whether a request took effect after each kind of client error.

mod platform_client;

use hookpoint_protocol::platform::{
    Compare, EventType, PutRequest, RequestOperation, TransactionRequest,
};
use hookpoint_standin::platform::{OutageMode, Platform};
use hookpoint_state::Outcome;
use hookpoint_transport::platform::{PlatformClient, PlatformError, WatchEvent};
use platform_client::{RESPONSE_TIMEOUT, start};
use std::time::Duration;

/// Client timeout for cases in which a response must arrive.
const LONG_TIMEOUT: Duration = Duration::from_secs(20);

/// Client timeout for cases in which no response arrives.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);

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
async fn errors_report_whether_the_request_may_have_taken_effect() {
    /// Name, timeout of the client, fault, lease of the put, predicate of the
    /// expected error, and whether the put takes effect despite the error.
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
            "dropped response",
            LONG_TIMEOUT,
            |platform| platform.faults().drop_next_responses(1),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            true,
        ),
        (
            "slow response",
            SHORT_TIMEOUT,
            |platform| platform.faults().set_delay(Some(LONG_TIMEOUT)),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            true,
        ),
        (
            "hanging",
            SHORT_TIMEOUT,
            |platform| platform.faults().set_outage(Some(OutageMode::Hang)),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            false,
        ),
        (
            "no leader",
            LONG_TIMEOUT,
            |platform| platform.faults().set_outage(Some(OutageMode::NoLeader)),
            0,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
            false,
        ),
        (
            "rate limit",
            LONG_TIMEOUT,
            |platform| platform.faults().set_rate_limit(Some(0.0)),
            0,
            |error| matches!(error, PlatformError::RateLimited { .. }),
            false,
        ),
        (
            "unknown lease",
            LONG_TIMEOUT,
            |_| {},
            99,
            |error| matches!(error, PlatformError::Refused { code: 5, .. }),
            false,
        ),
        (
            "connection refused",
            LONG_TIMEOUT,
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
    for (name, timeout, fault, lease, is_expected, takes_effect) in cases {
        let platform = start().await;
        let client = client(&platform, timeout);
        client.list("k").await.expect("a response before the fault");
        fault(&platform);
        let error = client.put(&put("k", lease)).await.expect_err(name);
        assert!(is_expected(&error), "{name}: {error:?}");
        assert_eq!(platform.get("k").is_some(), takes_effect, "{name}");
        if takes_effect {
            assert_eq!(error.outcome(), Outcome::Unknown, "{name}");
        }
        platform.faults().clear();
    }
}

#[actix_web::test]
async fn transaction_with_a_lost_response_is_resolved_by_reading_back() {
    let platform = start().await;
    let client = client(&platform, LONG_TIMEOUT);
    client.put(&put("pointer", 0)).await.expect("written");
    let held = client
        .get("pointer")
        .await
        .expect("read")
        .expect("the key exists");
    let attempt = |name: &str| TransactionRequest {
        compare: vec![Compare::unchanged_since("pointer", held.mod_revision)],
        success: vec![RequestOperation::put("pointer", name)],
        failure: vec![RequestOperation::get("pointer")],
    };
    platform.faults().drop_next_responses(1);
    let lost = client.transaction(&attempt("first")).await;
    assert!(
        matches!(lost, Err(PlatformError::AnswerLost { .. })),
        "{lost:?}"
    );
    let second = client
        .transaction(&attempt("second"))
        .await
        .expect("a response");
    assert!(!second.succeeded, "the first attempt took effect");
    let now = client
        .get("pointer")
        .await
        .expect("read")
        .expect("the key exists");
    assert_eq!(now.value.to_text(), "first");
}

#[actix_web::test]
async fn watch_resumes_after_the_last_revision_seen() {
    let platform = start().await;
    let client = client(&platform, SHORT_TIMEOUT);
    let mut watch = client.watch("k/", 0).await.expect("a watch");
    next(&mut watch).await;
    // A watch without events outlives the client's response timeout.
    let no_event = watch.next(2 * SHORT_TIMEOUT).await;
    assert!(matches!(no_event, Ok(None)), "{no_event:?}");
    platform.put("k/1", b"a");
    let seen = next(&mut watch).await;
    assert_eq!(keys(&seen), ["k/1"]);
    platform.faults().set_outage(Some(OutageMode::Refuse));
    assert!(watch.next(RESPONSE_TIMEOUT).await.is_err());
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
    let mut compacted_watch = client.watch("k/", 2).await.expect("a watch");
    next(&mut compacted_watch).await;
    let result = compacted_watch.next(RESPONSE_TIMEOUT).await;
    assert!(
        matches!(
            result,
            Err(PlatformError::Compacted {
                compact_revision: 4
            })
        ),
        "{result:?}"
    );
}

async fn next(watch: &mut hookpoint_transport::platform::Watch) -> WatchEvent {
    watch
        .next(RESPONSE_TIMEOUT)
        .await
        .expect("the watch stays open")
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
async fn keepalive_and_put_report_an_expired_lease() {
    let platform = start().await;
    let client = client(&platform, LONG_TIMEOUT);
    let lease = client
        .grant_lease(Duration::from_secs(60))
        .await
        .expect("a lease");
    client.put(&put("held", lease.id)).await.expect("written");
    let alive = client.keep_lease_alive(lease.id).await.expect("a response");
    assert_eq!(alive.time_to_live, 60);
    platform.expire_lease(lease.id).expect("an active lease");
    let expired = client.keep_lease_alive(lease.id).await.expect("a response");
    assert_eq!(expired.time_to_live, 0);
    assert_eq!(client.get("held").await.expect("read"), None);
    let rejected = client.put(&put("held", lease.id)).await;
    assert!(
        matches!(rejected, Err(PlatformError::Refused { code: 5, .. })),
        "{rejected:?}"
    );
}
