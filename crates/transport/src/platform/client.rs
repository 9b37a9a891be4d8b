//! Requests with a single answer.

use std::cell::Cell;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode as HttpStatus;
use awc::http::header::{CONTENT_TYPE, RETRY_AFTER};
use hookpoint_protocol::platform::{
    ErrorBody, KeyValue, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest,
    LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse, PutRequest, PutResponse,
    RangeRequest, RangeResponse, StatusCode, StreamItem, TransactionRequest, TransactionResponse,
    prefix_end,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::PlatformError;

/// Default limit on the time to wait for an answer.
pub const DEFAULT_REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer accepted, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// A client of the key-value service.
pub struct PlatformClient {
    pub(super) http: awc::Client,
    urls: Vec<String>,
    current: Cell<usize>,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client that uses the first of `urls` that answers. Each is a base URL
    /// such as `http://127.0.0.1:2379`.
    pub fn new(urls: Vec<String>, timeout: Duration) -> Self {
        let connector = awc::Connector::new().timeout(timeout);
        let http = awc::Client::builder()
            .connector(connector)
            .timeout(timeout)
            .finish();
        let urls = urls
            .into_iter()
            .map(|url| url.trim_end_matches('/').to_owned())
            .collect();
        Self {
            http,
            urls,
            current: Cell::new(0),
            timeout,
        }
    }

    /// Reads one key; `None` if it does not exist.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn get(&self, key: &str) -> Result<Option<KeyValue>, PlatformError> {
        let request = RangeRequest {
            key: key.into(),
            ..RangeRequest::default()
        };
        Ok(self.range(&request).await?.kvs.into_iter().next())
    }

    /// Reads all keys that start with `prefix`.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn list(&self, prefix: &str) -> Result<RangeResponse, PlatformError> {
        let request = RangeRequest {
            key: prefix.into(),
            range_end: prefix_end(prefix.as_bytes()).into(),
            ..RangeRequest::default()
        };
        self.range(&request).await
    }

    /// Reads the keys in the range of `request`.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn range(&self, request: &RangeRequest) -> Result<RangeResponse, PlatformError> {
        self.call("/v3/kv/range", request).await
    }

    /// Writes one key.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn put(&self, request: &PutRequest) -> Result<PutResponse, PlatformError> {
        self.call("/v3/kv/put", request).await
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn transaction(
        &self,
        request: &TransactionRequest,
    ) -> Result<TransactionResponse, PlatformError> {
        self.call("/v3/kv/txn", request).await
    }

    /// Requests a lease of `time_to_live`, rounded up to whole seconds.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn grant_lease(
        &self,
        time_to_live: Duration,
    ) -> Result<LeaseGrantResponse, PlatformError> {
        let seconds = time_to_live.as_millis().div_ceil(1_000);
        let request = LeaseGrantRequest {
            time_to_live: i64::try_from(seconds).unwrap_or(i64::MAX),
            id: 0,
        };
        self.call("/v3/lease/grant", &request).await
    }

    /// Renews a lease once. An answer with no time left means that the lease has expired.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn keep_lease_alive(&self, id: i64) -> Result<LeaseKeepAliveResponse, PlatformError> {
        let request = LeaseKeepAliveRequest { id };
        let item: StreamItem<LeaseKeepAliveResponse> =
            self.call("/v3/lease/keepalive", &request).await?;
        match (item.result, item.error) {
            (Some(result), _) => Ok(result),
            (None, Some(error)) => Err(api_error(&error)),
            (None, None) => Err(malformed("neither a result nor an error")),
        }
    }

    /// Revokes a lease.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn revoke_lease(&self, id: i64) -> Result<LeaseRevokeResponse, PlatformError> {
        self.call("/v3/lease/revoke", &LeaseRevokeRequest { id })
            .await
    }

    /// Returns whether any URL is configured.
    pub(super) fn has_urls(&self) -> bool {
        !self.urls.is_empty()
    }

    /// Returns the base URL in use.
    pub(super) fn base_url(&self) -> Result<&str, PlatformError> {
        let count = self.urls.len().max(1);
        self.urls
            .get(self.current.get() % count)
            .map(String::as_str)
            .ok_or_else(|| PlatformError::Connect {
                url: String::new(),
                reason: "no platform URL is configured".to_owned(),
            })
    }

    /// Switches to the next URL after a failure.
    pub(super) fn rotate(&self) {
        self.current.set(self.current.get().wrapping_add(1));
    }

    async fn call<Request: Serialize, Answer: DeserializeOwned>(
        &self,
        path: &str,
        request: &Request,
    ) -> Result<Answer, PlatformError> {
        let answer = tokio::time::timeout(self.timeout, self.call_once(path, request)).await;
        let answer = answer.unwrap_or_else(|_| {
            Err(PlatformError::AnswerLost {
                reason: "no answer in time".to_owned(),
            })
        });
        if let Err(error) = &answer
            && error.is_transient()
        {
            self.rotate();
        }
        answer
    }

    async fn call_once<Request: Serialize, Answer: DeserializeOwned>(
        &self,
        path: &str,
        request: &Request,
    ) -> Result<Answer, PlatformError> {
        let body = encode(request)?;
        let url = format!("{}{path}", self.base_url()?);
        let mut response = self
            .http
            .post(&url)
            .insert_header((CONTENT_TYPE, "application/json"))
            .send_body(body)
            .await
            .map_err(|error| send_error(&url, &error))?;
        let retry_after = parse_retry_after(&response);
        let status = response.status();
        let body = response
            .body()
            .limit(MAXIMUM_ANSWER_BYTES)
            .await
            .map_err(|error| PlatformError::AnswerLost {
                reason: error.to_string(),
            })?;
        if !status.is_success() {
            return Err(status_error(status, &body, retry_after));
        }
        serde_json::from_slice(&body).map_err(|error| malformed(error.to_string()))
    }
}

pub(super) fn encode<Request: Serialize>(request: &Request) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(request).map_err(|error| PlatformError::Encode {
        reason: error.to_string(),
    })
}

pub(super) fn malformed(reason: impl Into<String>) -> PlatformError {
    PlatformError::MalformedAnswer {
        reason: reason.into(),
    }
}

/// Classifies an error that occurred before the head of the answer. Only a failure to
/// connect proves that nothing was sent.
pub(super) fn send_error(url: &str, error: &SendRequestError) -> PlatformError {
    let reason = error.to_string();
    match error {
        SendRequestError::Connect(error) if is_before_sending(error) => PlatformError::Connect {
            url: url.to_owned(),
            reason,
        },
        SendRequestError::Url(_) => PlatformError::Connect {
            url: url.to_owned(),
            reason,
        },
        _ => PlatformError::AnswerLost { reason },
    }
}

/// Returns whether an error proves that nothing was sent. The library also returns
/// `Disconnected` for a connection that was closed instead of an answer.
fn is_before_sending(error: &ConnectError) -> bool {
    matches!(
        error,
        ConnectError::SslIsNotSupported
            | ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Timeout
            | ConnectError::Unresolved
            | ConnectError::Io(_)
    )
}

/// Classifies an answer with an error status. Without a readable body, only the statuses
/// that a gateway returns before it forwards a request prove that nothing ran.
pub(super) fn status_error(
    status: HttpStatus,
    body: &[u8],
    retry_after: Option<Duration>,
) -> PlatformError {
    if status == HttpStatus::TOO_MANY_REQUESTS {
        return PlatformError::RateLimited { retry_after };
    }
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(error) if error.code != 0 => api_error(&error),
        _ => PlatformError::AnswerLost {
            reason: format!("HTTP status {status}"),
        },
    }
}

/// Classifies an error body of the API.
pub(super) fn api_error(error: &ErrorBody) -> PlatformError {
    let code = StatusCode::from_number(error.code);
    let message = if error.message.is_empty() {
        error.error.clone()
    } else {
        error.message.clone()
    };
    if code == StatusCode::ResourceExhausted {
        return PlatformError::RateLimited { retry_after: None };
    }
    if code.is_certainly_not_applied() {
        return PlatformError::Refused {
            code: error.code,
            message,
        };
    }
    PlatformError::AnswerLost { reason: message }
}

fn parse_retry_after<Body>(response: &awc::ClientResponse<Body>) -> Option<Duration> {
    let text = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_secs)
}
