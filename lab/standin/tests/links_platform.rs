//! Tests of the key-value service accessed through a link.

mod platform_client;

use hookpoint_standin::links::{LinkProxy, LinkSettings, RegionSpacing, ZoneLinks};
use hookpoint_standin::platform::Platform;
use platform_client::{RESPONSE_TIMEOUT, WatchStream, client, encode, start};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const QUIET_PERIOD: Duration = Duration::from_millis(200);
const CALLER_ZONE: &str = "al-sala-b";
const TARGET_ZONE: &str = "sj-sala-a";

fn link(platform: &Platform) -> (ZoneLinks, LinkProxy) {
    let links = ZoneLinks::costa_rica(RegionSpacing::UseRegionLatency);
    let settings = LinkSettings::new(CALLER_ZONE, TARGET_ZONE, Some(platform.address()));
    let proxy = LinkProxy::start(&links, settings).expect("a link");
    (links, proxy)
}

#[actix_web::test]
async fn calls_take_the_latency_of_the_link() {
    let platform = start().await;
    let (links, proxy) = link(&platform);
    let url = format!("http://{}/v3/kv/put", proxy.address());
    let start_time = Instant::now();
    let body = json!({"key": encode("k"), "value": encode("v")});
    let mut response = client()
        .post(url)
        .send_json(&body)
        .await
        .expect("a response");
    let response_body: Value = response.json().await.expect("JSON");
    assert_eq!(response_body["header"]["revision"], "2");
    let round_trip = 2 * links.delay(CALLER_ZONE, TARGET_ZONE);
    assert!(
        start_time.elapsed() >= 2 * round_trip,
        "one round trip to connect and one for the request"
    );
}

#[actix_web::test]
async fn watch_receives_all_events_after_a_cut_is_healed() {
    let platform = start().await;
    let (links, proxy) = link(&platform);
    let url = format!("http://{}", proxy.address());
    let request = json!({"key": encode("k"), "range_end": encode("l")});
    let mut watch = WatchStream::open_at(&url, request).await;
    assert_eq!(watch.expect().await["created"], true);
    links.cut_zone(CALLER_ZONE);
    platform.put("k/1", b"a");
    platform.put("k/2", b"b");
    let no_event = tokio::time::timeout(QUIET_PERIOD, watch.next()).await;
    assert!(no_event.is_err(), "{no_event:?}");
    links.heal_all();
    let mut received = Vec::new();
    while received.len() < 2 {
        let response = tokio::time::timeout(RESPONSE_TIMEOUT, watch.expect())
            .await
            .expect("in time");
        let events = response["events"].as_array().expect("events").clone();
        received.extend(events.into_iter().map(|event| event["kv"]["key"].clone()));
    }
    assert_eq!(received, [encode("k/1"), encode("k/2")]);
}
