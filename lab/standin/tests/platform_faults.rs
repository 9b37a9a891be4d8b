//! Tests of each fault that the key-value service stand-in can inject.

mod platform_client;

use hookpoint_standin::platform::{
    Machine, MachineState, OutageMode, Platform, PlatformSettings, RequestKind, machine_key,
};
use platform_client::{RESPONSE_TIMEOUT, call, call_ok, encode, grant, put, start, try_call};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const SHORT_DELAY: Duration = Duration::from_millis(200);

fn read(key: &str) -> Value {
    json!({ "key": encode(key) })
}

fn write(key: &str) -> Value {
    json!({"key": encode(key), "value": encode("new")})
}

/// Waits until the service responds to a request again.
async fn wait_until_responding(platform: &Platform) {
    let tries = async {
        while try_call(platform, "/v3/kv/range", read("k")).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, tries)
        .await
        .expect("the service responds again");
}

#[actix_web::test]
async fn response_is_dropped_after_its_request_took_effect() {
    let platform = start().await;
    put(&platform, "old", "x").await;
    grant(&platform, 60, 7).await;
    let cases = [
        ("/v3/kv/put", write("a")),
        (
            "/v3/kv/txn",
            json!({"success": [{"request_put": write("b")}]}),
        ),
        ("/v3/kv/deleterange", read("old")),
        ("/v3/lease/grant", json!({"TTL": "60", "ID": "8"})),
        ("/v3/lease/revoke", json!({"ID": "7"})),
    ];
    for (path, request) in cases {
        platform.faults().drop_next_responses(1);
        call_ok(&platform, "/v3/kv/range", read("k")).await;
        let lost = try_call(&platform, path, request).await;
        assert!(lost.is_err(), "{path}: {lost:?}");
    }
    assert!(platform.get("a").is_some());
    assert!(platform.get("b").is_some());
    assert!(platform.get("old").is_none());
    assert_eq!(platform.leases(), [8]);
    assert_eq!(platform.counters().responses_dropped, 5);
    put(&platform, "c", "after the fault").await;
}

#[actix_web::test]
async fn requests_above_the_rate_limit_are_rejected_without_effect() {
    let platform = start().await;
    platform.faults().set_rate_limit(Some(0.001));
    let mut refused = 0;
    for index in 0..5 {
        let (status, response) = call(&platform, "/v3/kv/put", write(&format!("k{index}"))).await;
        if status == 429 {
            assert_eq!(response["code"], 8);
            assert_eq!(response["message"], "etcdserver: too many requests");
            refused += 1;
        }
    }
    assert_eq!(refused, 4, "one request of burst");
    assert_eq!(platform.list("k").len(), 1);
    let counters = platform.counters();
    assert_eq!((counters.rate_limited, counters.rejected()), (4, 4));
    assert_eq!(counters.of(RequestKind::Put), 5);
    platform.faults().set_rate_limit(None);
    put(&platform, "k", "x").await;
}

#[actix_web::test]
async fn rate_limit_admits_requests_up_to_its_rate() {
    let settings = PlatformSettings {
        requests_per_second: Some(50.0),
        ..PlatformSettings::default()
    };
    let platform = Platform::start(settings)
        .await
        .expect("the platform starts");
    let mut passed = 0;
    let mut tried = 0;
    while passed < 60 {
        let (status, _) = call(&platform, "/v3/kv/range", read("k")).await;
        passed += usize::from(status == 200);
        tried += 1;
    }
    assert_eq!(platform.counters().total(), tried);
    assert_eq!(platform.counters().rate_limited, tried - 60);
}

#[actix_web::test]
async fn outages_have_no_effect_on_the_store() {
    let cases = [
        (OutageMode::Refuse, RESPONSE_TIMEOUT, "an error"),
        (OutageMode::Hang, SHORT_DELAY, "no response"),
        (OutageMode::NoLeader, RESPONSE_TIMEOUT, "status 503"),
    ];
    for (mode, patience, expected) in cases {
        let platform = start().await;
        put(&platform, "k", "x").await;
        platform.faults().set_outage(Some(mode));
        let attempt = try_call(&platform, "/v3/kv/put", write("during"));
        let seen = match tokio::time::timeout(patience, attempt).await {
            Err(_) => "no response",
            Ok(Err(_)) => "an error",
            Ok(Ok((503, response))) if response["code"] == 14 => "status 503",
            Ok(Ok(other)) => panic!("{mode:?}: {other:?}"),
        };
        assert_eq!(seen, expected, "{mode:?}");
        platform.faults().set_outage(None);
        wait_until_responding(&platform).await;
        assert!(platform.get("during").is_none(), "{mode:?}");
        assert!(platform.get("k").is_some(), "{mode:?}");
    }
}

#[actix_web::test]
async fn connections_are_refused_during_an_outage_and_the_port_stays_reserved() {
    let platform = start().await;
    let address = platform.address();
    platform.faults().set_outage(Some(OutageMode::Refuse));
    let refused = async {
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, refused)
        .await
        .expect("connections are refused");
    platform.faults().set_outage(None);
    wait_until_responding(&platform).await;
    assert_eq!(platform.address(), address);
}

#[actix_web::test]
async fn timed_faults_end_after_their_duration() {
    for mode in [OutageMode::Refuse, OutageMode::Hang, OutageMode::NoLeader] {
        let platform = start().await;
        platform
            .faults()
            .set_outage_for(mode, Duration::from_secs(1));
        assert_eq!(platform.faults().outage(), Some(mode));
        let back = async {
            while !matches!(
                try_call(&platform, "/v3/kv/range", read("k")).await,
                Ok((200, _))
            ) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(RESPONSE_TIMEOUT, back)
            .await
            .expect("the outage ends");
        assert_eq!(platform.faults().outage(), None);
    }
}

#[actix_web::test]
async fn delayed_responses_arrive_after_their_effect() {
    let platform = start().await;
    platform.faults().set_delay(Some(SHORT_DELAY));
    let start_time = Instant::now();
    let mut slow = Box::pin(put(&platform, "k", "x"));
    while platform.get("k").is_none() {
        let answered = tokio::time::timeout(Duration::from_millis(5), &mut slow).await;
        assert!(answered.is_err(), "the response arrived before the effect");
    }
    slow.await;
    assert!(start_time.elapsed() >= SHORT_DELAY);
}

#[actix_web::test]
async fn old_revision_is_served_to_reads_while_writes_continue() {
    let platform = start().await;
    for value in ["one", "two", "three"] {
        put(&platform, "k", value).await;
    }
    platform.faults().serve_old_revision(Some(3));
    let response = call_ok(&platform, "/v3/kv/range", read("k")).await;
    assert_eq!(response["kvs"][0]["value"], encode("two"));
    assert_eq!(response["header"]["revision"], "3");
    let compare = json!({
        "compare": [{"key": encode("k"), "target": "MOD", "mod_revision": "3"}],
        "success": [{"request_put": write("k")}],
    });
    let response = call_ok(&platform, "/v3/kv/txn", compare).await;
    assert_eq!(
        response.get("succeeded"),
        None,
        "a compare uses the newest revision"
    );
    platform.faults().serve_old_revision(None);
    let response = call_ok(&platform, "/v3/kv/range", read("k")).await;
    assert_eq!(response["kvs"][0]["value"], encode("three"));
}

#[actix_web::test]
async fn lease_expires_unless_it_is_renewed() {
    let platform = start().await;
    for (id, key) in [(1, "renewed"), (2, "paused")] {
        grant(&platform, 2, id).await;
        let body = json!({"key": encode(key), "value": "", "lease": id.to_string()});
        call_ok(&platform, "/v3/kv/put", body).await;
    }
    let expiring = async {
        while platform.lease(2).is_some() {
            call_ok(&platform, "/v3/lease/keepalive", json!({"ID": "1"})).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, expiring)
        .await
        .expect("the lease expires");
    assert!(platform.get("paused").is_none());
    assert!(platform.get("renewed").is_some());
    let response = call_ok(&platform, "/v3/lease/keepalive", json!({"ID": "2"})).await;
    assert_eq!(
        response["result"].get("TTL"),
        None,
        "the keepalive reports the expiry"
    );
    let (status, _) = call(
        &platform,
        "/v3/kv/put",
        json!({"key": encode("k"), "lease": "2"}),
    )
    .await;
    assert_eq!(status, 404);
}

#[actix_web::test]
async fn machine_list_reflects_changes_after_its_lag() {
    let platform = start().await;
    let machine = |node: &str, state| Machine {
        node: node.to_owned(),
        zone: "sj-sala-a".to_owned(),
        region: "san-jose".to_owned(),
        peer_address: "127.0.0.1:4100".parse().expect("an address"),
        state,
    };
    platform.machines().set(machine("n1", MachineState::Live));
    platform.machines().set(machine("n2", MachineState::Live));
    wait_until_applied(&platform).await;
    assert_eq!(platform.list("machines/sj-sala-a/").len(), 2);

    platform.machines().set_lag(SHORT_DELAY);
    let start_time = Instant::now();
    platform
        .machines()
        .set(machine("n1", MachineState::Leaving));
    platform.machines().remove("sj-sala-a", "n2");
    wait_until_applied(&platform).await;
    assert!(start_time.elapsed() >= SHORT_DELAY);
    let listed = platform.list("machines/");
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].key, machine_key("sj-sala-a", "n1").into_bytes());
    let value: Value = serde_json::from_slice(&listed[0].value).expect("JSON");
    let expected = json!({
        "node": "n1", "zone": "sj-sala-a", "region": "san-jose",
        "peer_address": "127.0.0.1:4100", "state": "leaving",
    });
    assert_eq!(value, expected);
}

async fn wait_until_applied(platform: &Platform) {
    let applying = async {
        while platform.machines().pending() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, applying)
        .await
        .expect("all machine changes are applied");
}

#[actix_web::test]
async fn stopped_stand_in_releases_its_port() {
    let platform = start().await;
    let address = platform.address();
    platform.stop().await;
    let connected = tokio::net::TcpStream::connect(address).await;
    assert!(connected.is_err());
}
