//! The platform's client against the platform stand-in, which has its own implementation of
//! the API's encoding: answers, faults, and whether each error states correctly if the
//! request was applied.

use std::time::Duration;

use hookpoint_protocol::platform::{
    Compare, EventType, PutRequest, RequestOperation, TransactionRequest,
};
use hookpoint_standin::platform::{OutageMode, Platform, PlatformSettings};
use hookpoint_state::Outcome;
use hookpoint_transport::platform::{PlatformClient, PlatformError, Watch};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn platform() -> Platform {
    Platform::start(PlatformSettings::default())
        .await
        .expect("a platform")
}

fn client(platform: &Platform) -> PlatformClient {
    PlatformClient::new(vec![platform.url()], Duration::from_millis(700))
}

fn put(key: &str, value: &str) -> PutRequest {
    PutRequest {
        key: key.into(),
        value: value.into(),
        lease: 0,
    }
}

#[actix_rt::test]
async fn keys_are_written_read_listed_and_compared() {
    let platform = platform().await;
    let client = client(&platform);
    assert_eq!(client.get("a/1").await.expect("an answer"), None);
    client.put(&put("a/1", "one")).await.expect("written");
    client.put(&put("a/2", "two")).await.expect("written");
    client.put(&put("b/1", "other")).await.expect("written");
    let found = client.get("a/1").await.expect("an answer").expect("a key");
    assert_eq!(found.value.to_text(), "one");
    let listed = client.list("a/").await.expect("an answer");
    let keys: Vec<String> = listed.kvs.iter().map(|entry| entry.key.to_text()).collect();
    assert_eq!(keys, vec!["a/1", "a/2"]);
    assert_eq!((listed.count, listed.more), (2, false));
    for (revision, succeeds) in [(found.mod_revision, true), (found.mod_revision, false)] {
        let request = TransactionRequest {
            compare: vec![Compare::unchanged_since("a/1", revision)],
            success: vec![RequestOperation::put("a/1", b"new".to_vec())],
            failure: vec![RequestOperation::get("a/1")],
        };
        let answer = client.transaction(&request).await.expect("an answer");
        assert_eq!(answer.succeeded, succeeds);
        assert_eq!(answer.responses.len(), 1);
        assert_eq!(answer.responses[0].response_range.is_some(), !succeeds);
    }
    let absent = TransactionRequest {
        compare: vec![Compare::unchanged_since("c", 0)],
        success: vec![RequestOperation::put("c", b"first".to_vec())],
        failure: Vec::new(),
    };
    assert!(
        client
            .transaction(&absent)
            .await
            .expect("an answer")
            .succeeded
    );
    assert!(
        !client
            .transaction(&absent)
            .await
            .expect("an answer")
            .succeeded
    );
}

#[actix_rt::test]
async fn a_value_of_a_large_bundle_is_stored_and_read() {
    let platform = platform().await;
    let client = client(&platform);
    let large = "x".repeat(1_000_000);
    client.put(&put("large", &large)).await.expect("written");
    let found = client
        .get("large")
        .await
        .expect("an answer")
        .expect("a key");
    assert_eq!(found.value.0.len(), large.len());
}

/// Name of the case, the injected fault, the outcome that the write must report, and a
/// check of its error.
type FaultCase = (
    &'static str,
    fn(&Platform),
    Outcome,
    fn(&PlatformError) -> bool,
);

#[actix_rt::test]
async fn errors_report_whether_the_write_ran() {
    let cases: Vec<FaultCase> = vec![
        (
            "hanging",
            |platform| platform.faults().set_outage(Some(OutageMode::Hang)),
            Outcome::Unknown,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
        ),
        (
            "without a leader",
            |platform| platform.faults().set_outage(Some(OutageMode::NoLeader)),
            Outcome::Unknown,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
        ),
        (
            "over the rate limit",
            |platform| {
                platform.faults().set_rate_limit(Some(0.0));
            },
            Outcome::NotRun,
            |error| matches!(error, PlatformError::RateLimited { .. }),
        ),
        (
            "answer lost",
            |platform| platform.faults().drop_next_responses(1),
            Outcome::Unknown,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
        ),
        (
            "too slow",
            |platform| platform.faults().set_delay(Some(Duration::from_secs(3))),
            Outcome::Unknown,
            |error| matches!(error, PlatformError::AnswerLost { .. }),
        ),
    ];
    for (name, fault, outcome, expected) in cases {
        let platform = platform().await;
        // Each case uses a new connection, so that none is reused after an outage.
        let client = client(&platform);
        fault(&platform);
        if name == "over the rate limit" {
            let _uses_the_only_token_in_the_bucket = client.get("x").await;
        }
        let error = client.put(&put("k", "v")).await.expect_err(name);
        assert!(expected(&error), "{name}: {error:?}");
        assert_eq!(error.outcome(), outcome, "{name}: {error}");
        assert!(error.is_transient(), "{name}: {error}");
        let written = platform.get("k").is_some();
        assert!(
            !(written && outcome == Outcome::NotRun),
            "{name}: the write ran"
        );
    }
}

#[actix_rt::test]
async fn an_invalid_request_fails_permanently() {
    let platform = platform().await;
    let client = client(&platform);
    let error = client.put(&put("", "v")).await.expect_err("no key");
    assert!(matches!(error, PlatformError::Refused { .. }), "{error:?}");
    assert_eq!(
        (error.outcome(), error.is_transient()),
        (Outcome::NotRun, false)
    );
}

#[actix_rt::test]
async fn the_next_url_is_tried_when_one_does_not_answer() {
    let platform = platform().await;
    let urls = vec!["http://127.0.0.1:9".to_owned(), platform.url()];
    let client = PlatformClient::new(urls, Duration::from_secs(1));
    let first = client.put(&put("k", "v")).await;
    assert!(
        matches!(first, Err(PlatformError::Connect { .. })),
        "{first:?}"
    );
    client
        .put(&put("k", "v"))
        .await
        .expect("the second URL answers");
}

/// Reopens the watch as soon as the platform listens again after an outage.
async fn reopen_watch(client: &PlatformClient, revision: i64) -> Watch {
    let opening = async {
        loop {
            match client.watch("w/", revision).await {
                Ok(watch) => return watch,
                Err(error) => assert!(error.is_transient(), "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, opening)
        .await
        .expect("a watch")
}

#[actix_rt::test]
async fn a_watch_resumes_at_its_revision_or_reports_compaction() {
    let platform = platform().await;
    let client = client(&platform);
    platform.put("w/a", b"1");
    let start = platform.revision() + 1;
    let mut watch = client.watch("w/", start).await.expect("a watch");
    platform.put("w/b", b"2");
    platform.put("other", b"3");
    platform.delete("w/a");
    let mut seen = Vec::new();
    let mut revision = start;
    while seen.len() < 2 {
        let event = watch
            .next(TEST_TIMEOUT)
            .await
            .expect("a change")
            .expect("in time");
        revision = event.revision;
        seen.extend(
            event
                .changes
                .iter()
                .map(|change| (change.kind, change.kv.key.to_text())),
        );
    }
    let expected = [(EventType::Put, "w/b"), (EventType::Delete, "w/a")];
    assert_eq!(seen, expected.map(|(kind, key)| (kind, key.to_owned())));
    platform.faults().set_outage(Some(OutageMode::Refuse));
    let interrupted = watch.next(TEST_TIMEOUT).await;
    assert!(interrupted.is_err(), "{interrupted:?}");
    platform.put("w/c", b"4");
    platform.faults().clear();
    let mut watch = reopen_watch(&client, revision + 1).await;
    let change = loop {
        let event = watch
            .next(TEST_TIMEOUT)
            .await
            .expect("a change")
            .expect("in time");
        if let Some(change) = event.changes.into_iter().next() {
            break change;
        }
    };
    assert_eq!(change.kv.key.to_text(), "w/c");
    platform.compact(platform.revision()).expect("compacted");
    let mut watch = client.watch("w/", 1).await.expect("a watch");
    let compacted = loop {
        match watch.next(TEST_TIMEOUT).await {
            Ok(event) => assert!(event.is_some_and(|event| event.changes.is_empty())),
            Err(error) => break error,
        }
    };
    assert!(
        matches!(compacted, PlatformError::Compacted { .. }),
        "{compacted:?}"
    );
    let idle = client
        .watch("w/", 0)
        .await
        .expect("a watch")
        .next(Duration::from_millis(1))
        .await;
    assert!(idle.is_ok(), "{idle:?}");
}

#[actix_rt::test]
async fn a_lease_is_renewed_until_it_expires() {
    let platform = platform().await;
    let client = client(&platform);
    let lease = client
        .grant_lease(Duration::from_millis(59_500))
        .await
        .expect("a lease");
    assert_eq!(lease.time_to_live, 60);
    let request = PutRequest {
        lease: lease.id,
        ..put("leased", "v")
    };
    client.put(&request).await.expect("written");
    let renewed = client.keep_lease_alive(lease.id).await.expect("renewed");
    assert!(renewed.time_to_live > 0);
    platform.expire_lease(lease.id).expect("expired");
    assert_eq!(client.get("leased").await.expect("an answer"), None);
    let expired = client.keep_lease_alive(lease.id).await.expect("an answer");
    assert_eq!(expired.time_to_live, 0);
    let other = client
        .grant_lease(Duration::from_secs(60))
        .await
        .expect("a lease");
    client.revoke_lease(other.id).await.expect("revoked");
    let error = client
        .revoke_lease(other.id)
        .await
        .expect_err("no such lease");
    assert_eq!(
        (error.outcome(), error.is_transient()),
        (Outcome::NotRun, false)
    );
}
