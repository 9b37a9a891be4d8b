//! The streaming watch: changes of keys as lines of JSON.

use std::pin::Pin;
use std::time::Duration;

use awc::http::header::CONTENT_TYPE;
use bytes::{Bytes, BytesMut};
use futures::{Stream, StreamExt};
use hookpoint_protocol::platform::{
    Event, StreamItem, WatchCreateRequest, WatchRequest, WatchResponse, prefix_end,
};

use super::client::{PlatformClient, api_error, encode, malformed, send_error, status_error};
use super::error::PlatformError;

/// Longest line accepted on a watch, in bytes.
const MAXIMUM_LINE_BYTES: usize = 32 * 1024 * 1024;
/// Largest body read from an answer that refuses a watch, in bytes.
const MAXIMUM_ERROR_BYTES: usize = 64 * 1024;

type Body = Pin<Box<dyn Stream<Item = Result<Bytes, awc::error::PayloadError>>>>;

/// Changes received from a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Revision up to which changes have been received; a watch resumes after it.
    pub revision: i64,
    /// The changes, in order; empty when the service only reports its revision.
    pub changes: Vec<Event>,
}

/// An open watch. Dropping it closes its connection.
pub struct Watch {
    body: Body,
    buffer: BytesMut,
}

impl PlatformClient {
    /// Watches all keys that start with `prefix`, from `start_revision` on, or from now
    /// on if that is 0.
    ///
    /// # Errors
    /// A [`PlatformError`].
    pub async fn watch(&self, prefix: &str, start_revision: i64) -> Result<Watch, PlatformError> {
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key: prefix.into(),
                range_end: prefix_end(prefix.as_bytes()).into(),
                start_revision,
                progress_notify: true,
            },
        };
        let opened = self.open_watch(&request).await;
        if opened.is_err() {
            self.rotate();
        }
        opened
    }

    async fn open_watch(&self, request: &WatchRequest) -> Result<Watch, PlatformError> {
        let url = format!("{}/v3/watch", self.base_url()?);
        let mut response = self
            .http
            .post(&url)
            .insert_header((CONTENT_TYPE, "application/json"))
            .send_body(encode(request)?)
            .await
            .map_err(|error| send_error(&url, &error))?;
        let status = response.status();
        if !status.is_success() {
            let body = response.body().limit(MAXIMUM_ERROR_BYTES).await;
            return Err(status_error(status, &body.unwrap_or_default(), None));
        }
        Ok(Watch {
            body: Box::pin(response),
            buffer: BytesMut::new(),
        })
    }
}

impl Watch {
    /// Waits for the next changes; `None` if nothing arrived within `limit`, in which
    /// case no change is lost.
    ///
    /// # Errors
    /// A [`PlatformError`] when the watch has ended; a new watch can resume it.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<WatchEvent>, PlatformError> {
        loop {
            if let Some(line) = self.take_line() {
                return read_line(&line).map(Some);
            }
            let Ok(chunk) = tokio::time::timeout(limit, self.body.next()).await else {
                return Ok(None);
            };
            let chunk = chunk
                .ok_or_else(|| lost("the watch has ended"))?
                .map_err(|error| lost(error.to_string()))?;
            if self.buffer.len() + chunk.len() > MAXIMUM_LINE_BYTES {
                return Err(malformed("a line of the watch is too long"));
            }
            self.buffer.extend_from_slice(&chunk);
        }
    }

    fn take_line(&mut self) -> Option<BytesMut> {
        loop {
            let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
            let line = self.buffer.split_to(end + 1);
            if !line.trim_ascii().is_empty() {
                return Some(line);
            }
        }
    }
}

fn lost(reason: impl Into<String>) -> PlatformError {
    PlatformError::AnswerLost {
        reason: reason.into(),
    }
}

fn read_line(line: &[u8]) -> Result<WatchEvent, PlatformError> {
    let item: StreamItem<WatchResponse> =
        serde_json::from_slice(line).map_err(|error| malformed(error.to_string()))?;
    if let Some(error) = item.error {
        return Err(api_error(&error));
    }
    let Some(response) = item.result else {
        return Err(malformed("neither a result nor an error"));
    };
    if response.compact_revision > 0 {
        return Err(PlatformError::Compacted {
            compact_revision: response.compact_revision,
        });
    }
    if response.canceled {
        return Err(lost("the service has ended the watch"));
    }
    Ok(WatchEvent {
        revision: response.header.revision,
        changes: response.events,
    })
}
