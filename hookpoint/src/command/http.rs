//! HTTP requests to a proxy's admin endpoint.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use serde::de::DeserializeOwned;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest response body accepted, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Fetches `path` from the endpoint at `base` and decodes its JSON body.
///
/// # Errors
/// Fails if `base` is not an HTTP URL, the request fails or the body is not the expected
/// JSON.
pub async fn get_json<T: DeserializeOwned>(base: &str, path: &str) -> Result<T> {
    // Host names are accepted, as the endpoint may be published under one.
    ensure!(
        base.starts_with("http://"),
        "--admin: `{base}` is no URL of the form http://host:port"
    );
    let url = format!("{}{path}", base.trim_end_matches('/'));
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let response = client.get(&url).send().await;
    // awc's error is not `Send + Sync`, so only its text is kept.
    let mut response = response.map_err(|error| anyhow::anyhow!("cannot read {url}: {error}"))?;
    let status = response.status();
    ensure!(
        status.is_success(),
        "cannot read {url}: HTTP status {status}"
    );
    let body = response.body().limit(MAXIMUM_ANSWER_BYTES).await;
    let body = body.with_context(|| format!("cannot read {url}"))?;
    serde_json::from_slice(&body).with_context(|| format!("{url} did not return the expected JSON"))
}
