//! Bodies of the platform's key-value API, compared with samples in the form published in
//! the documentation of the service.

use hookpoint_protocol::platform::{
    Compare, CompareResult, CompareTarget, DeleteRangeRequest, ErrorBody, EventType,
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveResponse, PutRequest, RangeRequest,
    RangeResponse, RequestOperation, StatusCode, StreamItem, TransactionRequest,
    TransactionResponse, WatchCreateRequest, WatchRequest, WatchResponse, prefix_end,
};
use serde_json::{Value, json};

fn parse<T: serde::de::DeserializeOwned>(sample: Value) -> T {
    serde_json::from_value(sample).expect("the sample is valid")
}

fn to_json<T: serde::Serialize>(body: &T) -> Value {
    serde_json::to_value(body).expect("the body is serializable")
}

fn header(revision: &str) -> Value {
    json!({
        "cluster_id": "12585971608760269493",
        "member_id": "13847567121247652255",
        "revision": revision,
        "raft_term": "3"
    })
}

#[test]
fn requests_are_serialized_as_published() {
    let range = RangeRequest {
        key: "foo".into(),
        range_end: "fop".into(),
        limit: 7,
        keys_only: true,
    };
    let put = PutRequest {
        key: "foo".into(),
        value: "bar".into(),
        lease: 5_000_000_000,
    };
    let transaction = TransactionRequest {
        compare: vec![Compare {
            target: CompareTarget::Create,
            key: "foo".into(),
            create_revision: 2,
            ..Compare::default()
        }],
        success: vec![RequestOperation::put("foo", b"bar".to_vec())],
        failure: vec![
            RequestOperation::get("foo"),
            RequestOperation {
                request_delete_range: Some(DeleteRangeRequest {
                    key: "a".into(),
                    range_end: "b".into(),
                }),
                ..RequestOperation::default()
            },
        ],
    };
    let watch = WatchRequest {
        create_request: WatchCreateRequest {
            key: "foo".into(),
            start_revision: 9,
            ..WatchCreateRequest::default()
        },
    };
    let grant = LeaseGrantRequest {
        time_to_live: 60,
        id: 0,
    };
    let cases = [
        (
            to_json(&range),
            json!({"key": "Zm9v", "range_end": "Zm9w", "limit": "7", "keys_only": true}),
        ),
        (
            to_json(&put),
            json!({"key": "Zm9v", "value": "YmFy", "lease": "5000000000"}),
        ),
        (
            to_json(&transaction),
            json!({
                "compare": [
                    {"result": "EQUAL", "target": "CREATE", "key": "Zm9v", "create_revision": "2"}
                ],
                "success": [{"request_put": {"key": "Zm9v", "value": "YmFy"}}],
                "failure": [
                    {"request_range": {"key": "Zm9v"}},
                    {"request_delete_range": {"key": "YQ==", "range_end": "Yg=="}}
                ]
            }),
        ),
        (
            to_json(&watch),
            json!({"create_request": {"key": "Zm9v", "start_revision": "9"}}),
        ),
        (to_json(&grant), json!({"TTL": "60", "ID": "0"})),
    ];
    for (body, expected) in cases {
        assert_eq!(body, expected);
    }
}

#[test]
fn responses_are_deserialized_as_published() {
    let range: RangeResponse = parse(json!({
        "header": header("2"),
        "kvs": [{
            "key": "Zm9v", "create_revision": "2", "mod_revision": "2", "version": "1",
            "value": "YmFy"
        }],
        "count": "1"
    }));
    assert_eq!(
        (range.header.revision, range.count, range.more),
        (2, 1, false)
    );
    assert_eq!(range.kvs[0].value.to_text(), "bar");
    let empty: RangeResponse = parse(json!({"header": header("2")}));
    assert_eq!((empty.kvs.len(), empty.count), (0, 0));
    let successful: TransactionResponse = parse(json!({
        "header": header("3"),
        "succeeded": true,
        "responses": [{"response_put": {"header": {"revision": "3"}}}]
    }));
    assert!(successful.succeeded && successful.responses[0].response_put.is_some());
    let failed: TransactionResponse = parse(json!({"header": header("3")}));
    assert!(!failed.succeeded && failed.responses.is_empty());
    let created: StreamItem<WatchResponse> =
        parse(json!({"result": {"header": header("1"), "created": true}}));
    assert!(
        created
            .result
            .is_some_and(|response| response.created && response.events.is_empty())
    );
    let changed: StreamItem<WatchResponse> = parse(json!({"result": {
        "header": header("2"),
        "events": [
            {"kv": {"key": "Zm9v", "mod_revision": "2", "value": "YmFy"}},
            {"type": "DELETE", "kv": {"key": "Zm9v", "mod_revision": "3"}}
        ]
    }}));
    let kinds: Vec<EventType> = changed
        .result
        .map(|response| response.events.iter().map(|event| event.kind).collect())
        .unwrap_or_default();
    assert_eq!(kinds, vec![EventType::Put, EventType::Delete]);
    let compacted: StreamItem<WatchResponse> = parse(json!({"result": {
        "header": header("9"), "canceled": true, "compact_revision": "7"
    }}));
    assert!(
        compacted
            .result
            .is_some_and(|response| response.canceled && response.compact_revision == 7)
    );
    let lease: LeaseGrantResponse =
        parse(json!({"header": header("2"), "ID": "7587862094447405061", "TTL": "60"}));
    assert_eq!(
        (lease.id, lease.time_to_live),
        (7_587_862_094_447_405_061, 60)
    );
    let expired: StreamItem<LeaseKeepAliveResponse> =
        parse(json!({"result": {"header": header("2"), "ID": "7587862094447405061"}}));
    assert!(
        expired
            .result
            .is_some_and(|response| response.time_to_live == 0)
    );
}

#[test]
fn status_codes_tell_whether_the_call_had_no_effect() {
    let body: ErrorBody = parse(json!({
        "error": "etcdserver: requested lease not found",
        "code": 5,
        "message": "etcdserver: requested lease not found"
    }));
    assert_eq!(StatusCode::from_number(body.code), StatusCode::NotFound);
    let cases = [
        (3, true),
        (4, false),
        (5, true),
        (8, true),
        (9, true),
        (11, true),
        (14, false),
        (2, false),
        (13, false),
        (0, false),
        (-1, false),
    ];
    for (number, not_run) in cases {
        let code = StatusCode::from_number(number);
        assert_eq!(code.is_certainly_not_applied(), not_run, "status {number}");
    }
}

#[test]
fn malformed_bodies_are_refused() {
    let bodies = [
        r#"{"kvs": [{"key": "not base64!"}]}"#,
        r#"{"count": "many"}"#,
        r#"{"count": 1.5}"#,
        r#"{"count": "99999999999999999999"}"#,
        r#"{"kvs": {}}"#,
        "[]x",
        "",
    ];
    for body in bodies {
        let result = serde_json::from_str::<RangeResponse>(body);
        assert!(result.is_err(), "{body}");
    }
}

#[test]
fn end_of_a_prefix_is_the_first_key_past_it() {
    let cases: [(&[u8], &[u8]); 4] = [
        (b"/a/", b"/a0"),
        (b"a\xff", b"b"),
        (b"\xff\xff", b""),
        (b"", b""),
    ];
    for (prefix, end) in cases {
        assert_eq!(prefix_end(prefix), end);
    }
    assert_eq!(CompareResult::default(), CompareResult::Equal);
}
