//! A small client of the key-value service for the contract tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use awc::error::SendRequestError;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures::StreamExt;
use hookpoint_standin::platform::{Platform, PlatformSettings};
use serde_json::{Value, json};
use std::time::Duration;

/// Timeout that is long enough for any response on a busy machine.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

pub fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

pub async fn start() -> Platform {
    Platform::start(PlatformSettings::default())
        .await
        .expect("the platform starts")
}

pub fn client() -> awc::Client {
    awc::Client::builder().timeout(RESPONSE_TIMEOUT).finish()
}

/// Sends a request and returns the HTTP status and the JSON body.
pub async fn call(platform: &Platform, path: &str, body: Value) -> (u16, Value) {
    try_call(platform, path, body).await.expect("a response")
}

pub async fn try_call(
    platform: &Platform,
    path: &str,
    body: Value,
) -> Result<(u16, Value), SendRequestError> {
    let url = format!("{}{path}", platform.url());
    let mut response = client().post(url).send_json(&body).await?;
    let bytes = response.body().await.expect("a whole body");
    let body = serde_json::from_slice(&bytes).expect("JSON");
    Ok((response.status().as_u16(), body))
}

/// Sends a request that must succeed and returns the JSON body.
pub async fn call_ok(platform: &Platform, path: &str, body: Value) -> Value {
    let (status, response) = call(platform, path, body).await;
    assert_eq!(status, 200, "{path}: {response}");
    response
}

pub async fn put(platform: &Platform, key: &str, value: &str) -> Value {
    let body = json!({"key": encode(key), "value": encode(value)});
    call_ok(platform, "/v3/kv/put", body).await
}

pub async fn grant(platform: &Platform, ttl: i64, id: i64) -> Value {
    call_ok(
        platform,
        "/v3/lease/grant",
        json!({"TTL": ttl, "ID": id.to_string()}),
    )
    .await
}

/// An open watch.
pub struct WatchStream {
    body: awc::ClientResponse,
    buffer: Vec<u8>,
}

impl WatchStream {
    pub async fn open(platform: &Platform, create_request: Value) -> Self {
        Self::open_at(&platform.url(), create_request).await
    }

    pub async fn open_at(url: &str, create_request: Value) -> Self {
        let url = format!("{url}/v3/watch");
        let body = json!({ "create_request": create_request });
        let response = client()
            .post(url)
            .send_json(&body)
            .await
            .expect("a response");
        assert_eq!(response.status().as_u16(), 200);
        Self {
            body: response.map_body(|_, body| body),
            buffer: Vec::new(),
        }
    }

    /// Returns the next response, or `None` when the stream has ended or broken.
    pub async fn next(&mut self) -> Option<Value> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let mut frame: Value = serde_json::from_slice(&line).expect("JSON");
                return Some(frame["result"].take());
            }
            let chunk = tokio::time::timeout(RESPONSE_TIMEOUT, self.body.next());
            let chunk = chunk.await.expect("the watch responds in time")?.ok()?;
            self.buffer.extend_from_slice(&chunk);
        }
    }

    pub async fn expect(&mut self) -> Value {
        self.next().await.expect("a response on the watch")
    }
}
