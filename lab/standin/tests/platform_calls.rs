//! Contract tests of the key-value service stand-in: each call of the etcd JSON
//! mapping, its responses and its errors.

mod platform_client;

use hookpoint_standin::platform::RequestKind;
use platform_client::{call, call_ok, encode, grant, put, start};
use serde_json::{Value, json};

/// Writes the keys a/1, a/2, a/3 and b at revisions 2 to 5, and a/1 again at 6.
async fn fill(platform: &hookpoint_standin::platform::Platform) {
    for (key, value) in [
        ("a/1", "one"),
        ("a/2", "two"),
        ("a/3", "three"),
        ("b", "bee"),
    ] {
        put(platform, key, value).await;
    }
    put(platform, "a/1", "uno").await;
}

fn item(key: &str, value: &str, create: &str, modified: &str, version: &str) -> Value {
    json!({
        "key": encode(key), "value": encode(value), "create_revision": create,
        "mod_revision": modified, "version": version,
    })
}

#[actix_web::test]
async fn range_responds_like_the_gateway() {
    let platform = start().await;
    fill(&platform).await;
    let one = item("a/1", "uno", "2", "6", "2");
    let two = item("a/2", "two", "3", "3", "1");
    let three = item("a/3", "three", "4", "4", "1");
    let bee = item("b", "bee", "5", "5", "1");
    let old_one = item("a/1", "one", "2", "2", "1");
    let (a, a_end, zero) = (encode("a/"), encode("a0"), encode("\0"));
    let cases = [
        (
            json!({"key": encode("a/1")}),
            json!({"kvs": [one], "count": "1"}),
        ),
        (json!({"key": encode("none")}), json!({})),
        (
            json!({"key": a, "range_end": a_end}),
            json!({"kvs": [one, two, three], "count": "3"}),
        ),
        (
            json!({"key": a, "rangeEnd": a_end}),
            json!({"kvs": [one, two, three], "count": "3"}),
        ),
        (
            json!({"key": a, "range_end": a_end, "limit": "2"}),
            json!({"kvs": [one, two], "more": true, "count": "3"}),
        ),
        (
            json!({"key": a, "range_end": a_end, "limit": 3, "serializable": true}),
            json!({"kvs": [one, two, three], "count": "3"}),
        ),
        (
            json!({"key": encode("a/3"), "range_end": zero}),
            json!({"kvs": [three, bee], "count": "2"}),
        ),
        (
            json!({"key": encode("a/1"), "revision": "5"}),
            json!({"kvs": [old_one], "count": "1"}),
        ),
        (
            json!({"key": a, "range_end": a_end, "revision": 3}),
            json!({"kvs": [old_one, two], "count": "2"}),
        ),
        (
            json!({"key": a, "range_end": a_end, "count_only": true}),
            json!({"count": "3"}),
        ),
        (
            json!({"key": encode("b"), "range_end": encode("a")}),
            json!({}),
        ),
    ];
    for (request, expected) in cases {
        let mut response = call_ok(&platform, "/v3/kv/range", request.clone()).await;
        let header = response
            .as_object_mut()
            .expect("an object")
            .remove("header");
        assert_eq!(response, expected, "{request}");
        let header = header.expect("a header");
        assert_eq!(header["revision"], "6", "{request}");
        for name in ["cluster_id", "member_id", "raft_term"] {
            assert!(header[name].is_string(), "{name} in {header}");
        }
    }
}

#[actix_web::test]
async fn put_and_delete_return_previous_values_on_request() {
    let platform = start().await;
    fill(&platform).await;
    let request = json!({"key": encode("b"), "value": encode("bay"), "prev_kv": true});
    let response = call_ok(&platform, "/v3/kv/put", request).await;
    assert_eq!(response["prev_kv"], item("b", "bee", "5", "5", "1"));
    assert_eq!(response["header"]["revision"], "7");

    let request = json!({"key": encode("b"), "prev_kv": true});
    let response = call_ok(&platform, "/v3/kv/deleterange", request.clone()).await;
    assert_eq!(response["deleted"], "1");
    assert_eq!(
        response["prev_kvs"],
        json!([item("b", "bay", "5", "7", "2")])
    );
    assert_eq!(response["header"]["revision"], "8");

    let response = call_ok(&platform, "/v3/kv/deleterange", request).await;
    assert_eq!(response.get("deleted"), None);
    assert_eq!(
        response["header"]["revision"], "8",
        "nothing deleted, no new revision"
    );
    put(&platform, "b", "new").await;
    let created = platform.get("b").expect("the key exists");
    assert_eq!((created.create_revision, created.version), (9, 1));
}

#[actix_web::test]
async fn compares_evaluate_as_documented() {
    let platform = start().await;
    fill(&platform).await;
    let target = |target: &str, result: &str, argument: Value| {
        let mut compare = json!({"key": encode("a/1"), "target": target, "result": result});
        let fields = compare.as_object_mut().expect("an object");
        fields.extend(argument.as_object().expect("an object").clone());
        compare
    };
    let missing = |name: &str, argument: Value| json!({"key": encode("none"), "target": name, "result": "EQUAL", "value": argument});
    let cases = [
        (target("MOD", "EQUAL", json!({"mod_revision": "6"})), true),
        (target("MOD", "EQUAL", json!({"modRevision": 6})), true),
        (target("MOD", "EQUAL", json!({"mod_revision": "5"})), false),
        (target("MOD", "GREATER", json!({"mod_revision": "5"})), true),
        (target("MOD", "LESS", json!({"mod_revision": "6"})), false),
        (
            target("MOD", "NOT_EQUAL", json!({"mod_revision": "5"})),
            true,
        ),
        (
            target("CREATE", "EQUAL", json!({"create_revision": "2"})),
            true,
        ),
        (
            target("CREATE", "NOT_EQUAL", json!({"create_revision": "2"})),
            false,
        ),
        (target("VERSION", "EQUAL", json!({"version": "2"})), true),
        (target("VERSION", "LESS", json!({"version": "3"})), true),
        (
            target("VALUE", "EQUAL", json!({"value": encode("uno")})),
            true,
        ),
        (
            target("VALUE", "EQUAL", json!({"value": encode("one")})),
            false,
        ),
        (
            target("VALUE", "GREATER", json!({"value": encode("one")})),
            true,
        ),
        (target("LEASE", "EQUAL", json!({})), true),
        (target("LEASE", "GREATER", json!({"lease": "0"})), false),
        (json!({"key": encode("none"), "target": "CREATE"}), true),
        (
            json!({"key": encode("none"), "target": "MOD", "result": "GREATER"}),
            false,
        ),
        (missing("VALUE", json!("")), false),
        (json!({"key": encode("none")}), true),
        (
            json!({"key": encode("a/"), "range_end": encode("a0"), "target": "MOD",
                   "result": "LESS", "mod_revision": "7"}),
            true,
        ),
        (
            json!({"key": encode("a/"), "range_end": encode("a0"), "target": "MOD",
                   "result": "LESS", "mod_revision": "6"}),
            false,
        ),
    ];
    for (compare, expected) in cases {
        let request = json!({"compare": [compare]});
        let response = call_ok(&platform, "/v3/kv/txn", request).await;
        let succeeded = response.get("succeeded").is_some_and(|value| value == true);
        assert_eq!(succeeded, expected, "{compare}");
        assert_eq!(
            response["header"]["revision"], "6",
            "a transaction without writes"
        );
    }
}

#[actix_web::test]
async fn transaction_is_one_revision_and_reads_its_own_writes() {
    let platform = start().await;
    fill(&platform).await;
    let request = json!({
        "compare": [{"key": encode("a/1"), "target": "MOD", "mod_revision": "6"}],
        "success": [
            {"request_put": {"key": encode("c"), "value": encode("sea")}},
            {"request_delete_range": {"key": encode("a/"), "range_end": encode("a0")}},
            {"requestRange": {"key": encode("c")}},
        ],
        "failure": [{"request_put": {"key": encode("never"), "value": ""}}],
    });
    let response = call_ok(&platform, "/v3/kv/txn", request.clone()).await;
    assert_eq!(response["succeeded"], true);
    assert_eq!(response["header"]["revision"], "7");
    let responses = &response["responses"];
    assert_eq!(responses[0]["response_put"]["header"]["revision"], "7");
    assert_eq!(responses[1]["response_delete_range"]["deleted"], "3");
    assert_eq!(
        responses[2]["response_range"]["kvs"],
        json!([item("c", "sea", "7", "7", "1")])
    );

    let response = call_ok(&platform, "/v3/kv/txn", request).await;
    assert_eq!(
        response.get("succeeded"),
        None,
        "the condition no longer holds"
    );
    assert_eq!(response["header"]["revision"], "8");
    assert!(platform.get("never").is_some());
    assert!(platform.get("a/1").is_none());
}

#[actix_web::test]
async fn one_of_two_writers_with_the_same_condition_succeeds() {
    let platform = start().await;
    put(&platform, "active", "start").await;
    for round in 0..20 {
        let held = platform.get("active").expect("the key exists").mod_revision;
        let attempt = |name: &str| {
            json!({
                "compare": [{"key": encode("active"), "target": "MOD", "mod_revision": held.to_string()}],
                "success": [{"request_put": {"key": encode("active"), "value": encode(name)}}],
                "failure": [{"request_range": {"key": encode("active")}}],
            })
        };
        let (first, second) = futures::join!(
            call_ok(&platform, "/v3/kv/txn", attempt("first")),
            call_ok(&platform, "/v3/kv/txn", attempt("second")),
        );
        let won = |response: &Value| response.get("succeeded").is_some();
        assert!(
            won(&first) != won(&second),
            "round {round}: {first} {second}"
        );
        let (winner, loser) = if won(&first) {
            ("first", &second)
        } else {
            ("second", &first)
        };
        let seen = &loser["responses"][0]["response_range"]["kvs"][0]["value"];
        assert_eq!(*seen, encode(winner), "the loser sees the winner's value");
        assert_eq!(
            platform.get("active").expect("the key exists").value,
            winner.as_bytes()
        );
    }
}

#[actix_web::test]
async fn leases_are_granted_renewed_and_revoked() {
    let platform = start().await;
    let granted = grant(&platform, 60, 7).await;
    assert_eq!(
        (&granted["ID"], &granted["TTL"]),
        (&json!("7"), &json!("60"))
    );
    let chosen = grant(&platform, 60, 0).await;
    assert!(
        chosen["ID"]
            .as_str()
            .is_some_and(|id| id.parse::<i64>().is_ok_and(|id| id > 0))
    );

    let bound = json!({"key": encode("held"), "value": encode("me"), "lease": "7"});
    call_ok(&platform, "/v3/kv/put", bound).await;
    let read = call_ok(&platform, "/v3/kv/range", json!({"key": encode("held")})).await;
    assert_eq!(read["kvs"][0]["lease"], "7");

    let alive = call_ok(&platform, "/v3/lease/keepalive", json!({"ID": "7"})).await;
    assert_eq!(
        (&alive["result"]["ID"], &alive["result"]["TTL"]),
        (&json!("7"), &json!("60"))
    );
    let unknown = call_ok(&platform, "/v3/lease/keepalive", json!({"ID": "8"})).await;
    assert_eq!(
        unknown["result"].get("TTL"),
        None,
        "a lease that does not exist has no TTL"
    );

    let asked = json!({"ID": "7", "keys": true});
    let state = call_ok(&platform, "/v3/lease/timetolive", asked).await;
    assert_eq!(state["grantedTTL"], "60");
    assert_eq!(state["keys"], json!([encode("held")]));
    let gone = call_ok(&platform, "/v3/lease/timetolive", json!({"ID": "8"})).await;
    assert_eq!((&gone["TTL"], gone.get("grantedTTL")), (&json!("-1"), None));

    call_ok(&platform, "/v3/lease/revoke", json!({"ID": "7"})).await;
    assert!(
        platform.get("held").is_none(),
        "the key is deleted with its lease"
    );
    assert_eq!(platform.leases().len(), 1);
}

#[actix_web::test]
async fn key_rebound_to_another_lease_outlives_the_first_lease() {
    let platform = start().await;
    grant(&platform, 60, 1).await;
    grant(&platform, 60, 2).await;
    for lease in ["1", "2"] {
        let bound = json!({"key": encode("held"), "value": encode("me"), "lease": lease});
        call_ok(&platform, "/v3/kv/put", bound).await;
    }
    platform.expire_lease(1).expect("the lease");
    assert!(platform.get("held").is_some());
    platform.expire_lease(2).expect("the lease");
    assert!(platform.get("held").is_none());
}

#[actix_web::test]
async fn errors_carry_the_documented_codes() {
    let platform = start().await;
    fill(&platform).await;
    grant(&platform, 60, 7).await;
    platform.compact(4).expect("compacted");
    let key = encode("k");
    let put_twice = json!([
        {"request_put": {"key": key, "value": ""}}, {"request_put": {"key": key, "value": ""}}
    ]);
    let put_and_delete = json!([
        {"request_put": {"key": key, "value": ""}}, {"request_delete_range": {"key": key}}
    ]);
    let many: Vec<Value> = vec![json!({"request_range": {"key": key}}); 129];
    let cases = [
        ("/v3/kv/range", json!({}), 400, 3),
        ("/v3/kv/range", json!({"key": "not base64!"}), 400, 3),
        (
            "/v3/kv/range",
            json!({"key": key, "sort_order": "DESCEND"}),
            400,
            3,
        ),
        ("/v3/kv/range", json!({"key": key, "limit": "many"}), 400, 3),
        (
            "/v3/kv/range",
            json!({"key": key, "revision": "3"}),
            400,
            11,
        ),
        (
            "/v3/kv/range",
            json!({"key": key, "revision": "100"}),
            400,
            11,
        ),
        ("/v3/kv/put", json!({"value": key}), 400, 3),
        ("/v3/kv/put", json!({"key": key, "lease": "99"}), 404, 5),
        (
            "/v3/kv/put",
            json!({"key": key, "ignore_value": true}),
            400,
            3,
        ),
        ("/v3/kv/txn", json!({"success": put_twice}), 400, 3),
        ("/v3/kv/txn", json!({"success": put_and_delete}), 400, 3),
        ("/v3/kv/txn", json!({"success": many}), 400, 3),
        (
            "/v3/kv/txn",
            json!({"success": [{"request_txn": {}}]}),
            400,
            3,
        ),
        (
            "/v3/kv/txn",
            json!({"compare": [{"target": "MOD"}]}),
            400,
            3,
        ),
        ("/v3/kv/compaction", json!({"revision": "2"}), 400, 11),
        ("/v3/kv/compaction", json!({"revision": "99"}), 400, 11),
        ("/v3/lease/grant", json!({"TTL": "5", "ID": "7"}), 400, 9),
        ("/v3/lease/grant", json!({"TTL": "9000000001"}), 400, 11),
        ("/v3/lease/revoke", json!({"ID": "99"}), 404, 5),
        ("/v3/watch", json!({"create_request": {}}), 400, 3),
        ("/v3/watch", json!({"cancel_request": {}}), 400, 3),
    ];
    for (path, request, status, code) in cases {
        let (seen, response) = call(&platform, path, request.clone()).await;
        assert_eq!(seen, status, "{path} {request}: {response}");
        assert_eq!(response["code"], code, "{path} {request}: {response}");
        assert!(response["message"].is_string() && response["message"] == response["error"]);
    }
    assert_eq!(
        platform.revision(),
        6,
        "no refused request changed anything"
    );
    assert_eq!(platform.counters().of(RequestKind::Txn), 5);
}
