//! The key-value service met through a link.

mod platform_client;

use hookpoint_standin::links::{LinkProxy, LinkSettings, RegionSpacing, ZoneLinks};
use hookpoint_standin::platform::Platform;
use platform_client::{RESPONSE_TIMEOUT, WatchStream, client, encode, start};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const SHORT: Duration = Duration::from_millis(200);
const HERE: &str = "al-sala-b";
const THERE: &str = "sj-sala-a";

fn link(platform: &Platform) -> (ZoneLinks, LinkProxy) {
    let links = ZoneLinks::costa_rica(RegionSpacing::Apart);
    let settings = LinkSettings::new(HERE, THERE, Some(platform.address()));
    let proxy = LinkProxy::start(&links, settings).expect("a link");
    (links, proxy)
}

#[actix_web::test]
async fn calls_take_the_latency_of_the_link() {
    let platform = start().await;
    let (links, proxy) = link(&platform);
    let url = format!("http://{}/v3/kv/put", proxy.address());
    let begun = Instant::now();
    let body = json!({"key": encode("k"), "value": encode("v")});
    let mut response = client()
        .post(url)
        .send_json(&body)
        .await
        .expect("an answer");
    let answer: Value = response.json().await.expect("JSON");
    assert_eq!(answer["header"]["revision"], "2");
    let round_trip = 2 * links.delay(HERE, THERE);
    assert!(begun.elapsed() >= 2 * round_trip, "connecting and asking");
}

#[actix_web::test]
async fn a_watch_behind_a_cut_hears_all_when_it_heals() {
    let platform = start().await;
    let (links, proxy) = link(&platform);
    let url = format!("http://{}", proxy.address());
    let request = json!({"key": encode("k"), "range_end": encode("l")});
    let mut watch = WatchStream::open_at(&url, request).await;
    assert_eq!(watch.expect().await["created"], true);
    links.cut_zone(HERE);
    platform.put("k/1", b"a");
    platform.put("k/2", b"b");
    let silent = tokio::time::timeout(SHORT, watch.next()).await;
    assert!(silent.is_err(), "{silent:?}");
    links.heal_all();
    let mut heard = Vec::new();
    while heard.len() < 2 {
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, watch.expect())
            .await
            .expect("in time");
        let events = answer["events"].as_array().expect("events").clone();
        heard.extend(events.into_iter().map(|event| event["kv"]["key"].clone()));
    }
    assert_eq!(heard, [encode("k/1"), encode("k/2")]);
}
