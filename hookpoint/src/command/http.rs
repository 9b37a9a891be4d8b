//! Reads from a proxy's operators' endpoint.

use std::time::Duration;

use anyhow::{Context, Result, ensure};
use serde::de::DeserializeOwned;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer accepted, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Reads the JSON at `path` of the endpoint at `base`.
///
/// # Errors
/// When there is no such answer.
pub async fn get_json<T: DeserializeOwned>(base: &str, path: &str) -> Result<T> {
    // A host name will do here, as the endpoint may stand behind one.
    ensure!(
        base.starts_with("http://"),
        "--admin: `{base}` is no URL of the form http://host:port"
    );
    let url = format!("{}{path}", base.trim_end_matches('/'));
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let response = client.get(&url).send().await;
    // The library's error is not shareable between threads, so only its text is kept.
    let mut response = response.map_err(|error| anyhow::anyhow!("cannot read {url}: {error}"))?;
    let status = response.status();
    ensure!(
        status.is_success(),
        "cannot read {url}: HTTP status {status}"
    );
    let body = response.body().limit(MAXIMUM_ANSWER_BYTES).await;
    let body = body.with_context(|| format!("cannot read {url}"))?;
    serde_json::from_slice(&body).with_context(|| format!("{url} answers something else"))
}
