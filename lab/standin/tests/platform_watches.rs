//! Contract tests of watches: order, resumption, compaction and faults.

mod platform_client;

use hookpoint_standin::platform::{OutageMode, Platform, PlatformSettings};
use platform_client::{WatchStream, encode, grant, put, start};
use serde_json::{Value, json};
use std::time::Duration;

fn prefix(start: Option<&str>) -> Value {
    let mut request = json!({"key": encode("k/"), "range_end": encode("k0")});
    if let Some(start) = start {
        request["start_revision"] = json!(start);
    }
    request
}

async fn open(platform: &Platform, request: Value) -> WatchStream {
    let mut watch = WatchStream::open(platform, request).await;
    let created = watch.expect().await;
    assert_eq!(created["created"], true);
    assert!(created["header"]["revision"].is_string());
    watch
}

/// Reads events until `count` have arrived, each as `(revision, kind, key)`.
async fn events(watch: &mut WatchStream, count: usize) -> Vec<(String, String, String)> {
    let mut seen = Vec::new();
    while seen.len() < count {
        let response = watch.expect().await;
        for event in response["events"].as_array().expect("events") {
            let text = |value: &Value| value.as_str().unwrap_or("PUT").to_owned();
            let kv = &event["kv"];
            seen.push((
                text(&kv["mod_revision"]),
                text(&event["type"]),
                text(&kv["key"]),
            ));
        }
    }
    seen
}

fn event(revision: i64, kind: &str, key: &str) -> (String, String, String) {
    (revision.to_string(), kind.to_owned(), encode(key))
}

#[actix_web::test]
async fn events_arrive_in_revision_order_and_only_for_the_range() {
    let platform = start().await;
    let mut watch = open(&platform, prefix(None)).await;
    put(&platform, "k/1", "a").await;
    put(&platform, "other", "x").await;
    put(&platform, "k/2", "b").await;
    platform.delete("k/1");
    let expected = [
        event(2, "PUT", "k/1"),
        event(4, "PUT", "k/2"),
        event(5, "DELETE", "k/1"),
    ];
    assert_eq!(events(&mut watch, 3).await, expected);
}

#[actix_web::test]
async fn watch_resumes_where_an_earlier_one_ended() {
    let platform = start().await;
    let mut watch = open(&platform, prefix(None)).await;
    platform.put("k/1", b"a");
    assert_eq!(events(&mut watch, 1).await, [event(2, "PUT", "k/1")]);
    drop(watch);
    platform.put("k/2", b"b");
    platform.put("k/1", b"c");
    let mut resumed = open(&platform, prefix(Some("3"))).await;
    platform.put("k/3", b"d");
    let expected = [
        event(3, "PUT", "k/2"),
        event(4, "PUT", "k/1"),
        event(5, "PUT", "k/3"),
    ];
    assert_eq!(events(&mut resumed, 3).await, expected);
}

#[actix_web::test]
async fn filters_and_previous_values_follow_the_request() {
    let platform = start().await;
    platform.put("k/1", b"a");
    let mut request = prefix(None);
    request["filters"] = json!(["NOPUT"]);
    request["prev_kv"] = json!(true);
    let mut watch = open(&platform, request).await;
    platform.put("k/1", b"b");
    platform.delete("k/1");
    let response = watch.expect().await;
    let events = response["events"].as_array().expect("events");
    assert_eq!(events.len(), 1);
    assert_eq!(events[0]["type"], "DELETE");
    assert_eq!(events[0]["prev_kv"]["value"], encode("b"));
    assert_eq!(
        events[0]["kv"],
        json!({"key": encode("k/1"), "mod_revision": "4"})
    );
}

#[actix_web::test]
async fn watch_of_compacted_history_is_canceled_with_the_compacted_revision() {
    let platform = start().await;
    for _ in 0..5 {
        platform.put("k/1", b"a");
    }
    platform.compact(4).expect("compacted");
    let mut watch = open(&platform, prefix(Some("3"))).await;
    let last = watch.expect().await;
    assert_eq!(
        (&last["canceled"], &last["compact_revision"]),
        (&json!(true), &json!("4"))
    );
    assert_eq!(watch.next().await, None);
    let mut resumed = open(&platform, prefix(Some("5"))).await;
    assert_eq!(
        events(&mut resumed, 2).await,
        [event(5, "PUT", "k/1"), event(6, "PUT", "k/1")]
    );
}

#[actix_web::test]
async fn history_is_bounded() {
    let settings = PlatformSettings {
        history_limit: 10,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(settings)
        .await
        .expect("the platform starts");
    for round in 0..50 {
        platform.put(&format!("k/{}", round % 3), b"a");
    }
    let mut watch = open(&platform, prefix(Some("2"))).await;
    let last = watch.expect().await;
    let oldest: i64 = last["compact_revision"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("a revision");
    assert!((41..51).contains(&oldest), "{oldest}");
    assert_eq!(platform.list("k/").len(), 3, "the newest values are kept");
}

#[actix_web::test]
async fn expired_lease_produces_a_delete_event() {
    let platform = start().await;
    grant(&platform, 1, 7).await;
    let body = json!({"key": encode("k/held"), "value": "", "lease": "7"});
    platform_client::call_ok(&platform, "/v3/kv/put", body).await;
    let mut watch = open(&platform, prefix(None)).await;
    assert_eq!(events(&mut watch, 1).await, [event(3, "DELETE", "k/held")]);
    assert_eq!(platform.lease(7), None);
}

#[actix_web::test]
async fn hanging_service_sends_no_events_until_the_outage_ends() {
    let platform = start().await;
    let mut watch = open(&platform, prefix(None)).await;
    platform.faults().set_outage(Some(OutageMode::Hang));
    platform.put("k/1", b"a");
    let no_event = tokio::time::timeout(Duration::from_millis(300), watch.next()).await;
    assert!(no_event.is_err(), "{no_event:?}");
    platform.faults().set_outage(None);
    assert_eq!(events(&mut watch, 1).await, [event(2, "PUT", "k/1")]);
}

#[actix_web::test]
async fn outages_and_restores_close_open_watches() {
    let platform = start().await;
    let mut watch = open(&platform, prefix(None)).await;
    platform.faults().set_outage(Some(OutageMode::Refuse));
    assert_eq!(watch.next().await, None);
    platform.faults().set_outage(None);
    platform.put("k/1", b"a");
    platform.put("k/1", b"b");
    let mut watch = loop {
        // The server does not listen again immediately after the outage.
        match platform_client::try_call(&platform, "/v3/kv/range", json!({"key": encode("k/1")}))
            .await
        {
            Ok(_) => break open(&platform, prefix(None)).await,
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    };
    platform.restore(2).expect("restored");
    assert_eq!(watch.next().await, None);
    assert_eq!(platform.get("k/1").expect("the key exists").value, b"a");
    assert_eq!(platform.put("k/1", b"c"), 3, "revisions are reused");
}

#[actix_web::test]
async fn open_watches_are_counted_until_they_are_dropped() {
    let platform = start().await;
    let first = open(&platform, prefix(None)).await;
    let second = open(&platform, prefix(None)).await;
    assert_eq!(platform.counters().watches_open, 2);
    drop((first, second));
    let watches_closed = async {
        while platform.counters().watches_open > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(platform_client::RESPONSE_TIMEOUT, watches_closed)
        .await
        .expect("watches end with their callers");
}
