//! Requests and responses for watches, which are streamed.

use serde::{Deserialize, Serialize};

use super::encoding::{Base64Bytes, int64, is_false, is_zero};
use super::error::ErrorBody;
use super::kv::{KeyValue, ResponseHeader};

/// Request to open a watch; the only message that a client sends on the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Parameters of the watch.
    pub create_request: WatchCreateRequest,
}

/// Parameters of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key of the range, or the single key to watch.
    pub key: Base64Bytes,
    /// First key past the range; empty for the single key `key`.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
    /// First revision whose changes are reported; 0 for changes from now on.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub start_revision: i64,
    /// Whether the service periodically sends responses without events.
    #[serde(skip_serializing_if = "is_false")]
    pub progress_notify: bool,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// The key was written. The default, which is omitted from responses.
    #[default]
    Put,
    /// The key was deleted, or its lease expired.
    Delete,
}

/// One change of a watched key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key after the change; without a value when the key was deleted.
    pub kv: KeyValue,
}

/// One response on a watch, inside a [`StreamItem`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header of the response.
    pub header: ResponseHeader,
    /// Whether this response confirms that the watch was opened.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether the service has ended the watch.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// Oldest revision still held, when the watch requested an older one; else 0.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub compact_revision: i64,
    /// The changes, in order.
    pub events: Vec<Event>,
}

/// One line of a streaming response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamItem<T> {
    /// The response, unless the stream failed.
    #[serde(skip_serializing_if = "Option::is_none", default = "Option::default")]
    pub result: Option<T>,
    /// The error, if the stream failed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<ErrorBody>,
}
