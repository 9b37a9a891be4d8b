//! Each settable fault of the key-value service stand-in.

mod platform_client;

use hookpoint_standin::platform::{
    Machine, MachineState, OutageMode, Platform, PlatformSettings, RequestKind, machine_key,
};
use platform_client::{PATIENCE, call, done, encode, grant, put, start, try_call};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const SHORT: Duration = Duration::from_millis(200);

fn read(key: &str) -> Value {
    json!({ "key": encode(key) })
}

fn write(key: &str) -> Value {
    json!({"key": encode(key), "value": encode("new")})
}

/// Waits until a request is answered again.
async fn answered(platform: &Platform) {
    let tries = async {
        while try_call(platform, "/v3/kv/range", read("k")).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, tries)
        .await
        .expect("the service comes back");
}

#[actix_web::test]
async fn an_answer_is_lost_after_its_request_took_effect() {
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
        platform.faults().lose_next_answers(1);
        done(&platform, "/v3/kv/range", read("k")).await;
        let lost = try_call(&platform, path, request).await;
        assert!(lost.is_err(), "{path}: {lost:?}");
    }
    assert!(platform.get("a").is_some());
    assert!(platform.get("b").is_some());
    assert!(platform.get("old").is_none());
    assert_eq!(platform.leases(), [8]);
    assert_eq!(platform.counters().answers_lost, 5);
    put(&platform, "c", "answered again").await;
}

#[actix_web::test]
async fn past_the_rate_limit_requests_are_refused_without_effect() {
    let platform = start().await;
    platform.faults().set_rate_limit(Some(0.001));
    let mut refused = 0;
    for index in 0..5 {
        let (status, answer) = call(&platform, "/v3/kv/put", write(&format!("k{index}"))).await;
        if status == 429 {
            assert_eq!(answer["code"], 8);
            assert_eq!(answer["message"], "etcdserver: too many requests");
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
async fn a_rate_limit_lets_its_rate_pass() {
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
        (OutageMode::Refuse, PATIENCE, "an error"),
        (OutageMode::Hang, SHORT, "no answer"),
        (OutageMode::NoLeader, PATIENCE, "status 503"),
    ];
    for (mode, patience, expected) in cases {
        let platform = start().await;
        put(&platform, "k", "x").await;
        platform.faults().set_outage(Some(mode));
        let attempt = try_call(&platform, "/v3/kv/put", write("during"));
        let seen = match tokio::time::timeout(patience, attempt).await {
            Err(_) => "no answer",
            Ok(Err(_)) => "an error",
            Ok(Ok((503, answer))) if answer["code"] == 14 => "status 503",
            Ok(Ok(other)) => panic!("{mode:?}: {other:?}"),
        };
        assert_eq!(seen, expected, "{mode:?}");
        platform.faults().set_outage(None);
        answered(&platform).await;
        assert!(platform.get("during").is_none(), "{mode:?}");
        assert!(platform.get("k").is_some(), "{mode:?}");
    }
}

#[actix_web::test]
async fn connections_are_refused_during_an_outage_and_the_port_is_kept() {
    let platform = start().await;
    let address = platform.address();
    platform.faults().set_outage(Some(OutageMode::Refuse));
    let refused = async {
        while tokio::net::TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(PATIENCE, refused)
        .await
        .expect("connections are refused");
    platform.faults().set_outage(None);
    answered(&platform).await;
    assert_eq!(platform.address(), address);
}

#[actix_web::test]
async fn timed_faults_end_by_themselves() {
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
        tokio::time::timeout(PATIENCE, back)
            .await
            .expect("the outage ends");
        assert_eq!(platform.faults().outage(), None);
    }
}

#[actix_web::test]
async fn slow_answers_come_after_their_effect() {
    let platform = start().await;
    platform.faults().set_delay(Some(SHORT));
    let begun = Instant::now();
    let mut slow = Box::pin(put(&platform, "k", "x"));
    while platform.get("k").is_none() {
        let answered = tokio::time::timeout(Duration::from_millis(5), &mut slow).await;
        assert!(answered.is_err(), "the answer came before the effect");
    }
    slow.await;
    assert!(begun.elapsed() >= SHORT);
}

#[actix_web::test]
async fn an_old_answer_is_served_while_writes_go_on() {
    let platform = start().await;
    for value in ["one", "two", "three"] {
        put(&platform, "k", value).await;
    }
    platform.faults().serve_old_revision(Some(3));
    let answer = done(&platform, "/v3/kv/range", read("k")).await;
    assert_eq!(answer["kvs"][0]["value"], encode("two"));
    assert_eq!(answer["header"]["revision"], "3");
    let compare = json!({
        "compare": [{"key": encode("k"), "target": "MOD", "mod_revision": "3"}],
        "success": [{"request_put": write("k")}],
    });
    let answer = done(&platform, "/v3/kv/txn", compare).await;
    assert_eq!(
        answer.get("succeeded"),
        None,
        "a compare is held against the newest"
    );
    platform.faults().serve_old_revision(None);
    let answer = done(&platform, "/v3/kv/range", read("k")).await;
    assert_eq!(answer["kvs"][0]["value"], encode("three"));
}

#[actix_web::test]
async fn a_lease_lapses_unless_it_is_renewed() {
    let platform = start().await;
    for (id, key) in [(1, "renewed"), (2, "paused")] {
        grant(&platform, 2, id).await;
        let body = json!({"key": encode(key), "value": "", "lease": id.to_string()});
        done(&platform, "/v3/kv/put", body).await;
    }
    let lapsing = async {
        while platform.lease(2).is_some() {
            done(&platform, "/v3/lease/keepalive", json!({"ID": "1"})).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, lapsing)
        .await
        .expect("the lease lapses");
    assert!(platform.get("paused").is_none());
    assert!(platform.get("renewed").is_some());
    let answer = done(&platform, "/v3/lease/keepalive", json!({"ID": "2"})).await;
    assert_eq!(answer["result"].get("TTL"), None, "its holder finds out");
    let (status, _) = call(
        &platform,
        "/v3/kv/put",
        json!({"key": encode("k"), "lease": "2"}),
    )
    .await;
    assert_eq!(status, 404);
}

#[actix_web::test]
async fn the_machine_list_follows_the_truth_with_its_lag() {
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
    settled(&platform).await;
    assert_eq!(platform.list("machines/sj-sala-a/").len(), 2);

    platform.machines().set_lag(SHORT);
    let begun = Instant::now();
    platform
        .machines()
        .set(machine("n1", MachineState::Leaving));
    platform.machines().remove("sj-sala-a", "n2");
    settled(&platform).await;
    assert!(begun.elapsed() >= SHORT);
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

async fn settled(platform: &Platform) {
    let settling = async {
        while platform.machines().pending() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, settling)
        .await
        .expect("the list settles");
}

#[actix_web::test]
async fn a_stopped_stand_in_lets_its_port_go() {
    let platform = start().await;
    let address = platform.address();
    platform.stop().await;
    let connected = tokio::net::TcpStream::connect(address).await;
    assert!(connected.is_err());
}
