//! The streaming watch.

use serde::{Deserialize, Serialize};

use super::encoding::{Base64Bytes, int64, is_false, is_zero};
use super::error::ErrorBody;
use super::kv::{KeyValue, ResponseHeader};

/// Opens a watch; the only message a client sends on the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// What to watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key.
    pub key: Base64Bytes,
    /// First key past the range; empty for the one key.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
    /// First revision of interest; 0 for changes from now on.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub start_revision: i64,
    /// Whether the service sends empty answers from time to time.
    #[serde(skip_serializing_if = "is_false")]
    pub progress_notify: bool,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventType {
    /// The key was written. The default, which answers leave out.
    #[default]
    Put,
    /// The key was deleted, or its lease lapsed.
    Delete,
}

/// One change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Its kind.
    #[serde(rename = "type")]
    pub kind: EventType,
    /// The key after the change; without a value when it was deleted.
    pub kv: KeyValue,
}

/// One answer on a watch, inside a [`StreamItem`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether this answer says that the watch is open.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether the watch has been ended by the service.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// Oldest revision still held, when the watch asked for an older one.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub compact_revision: i64,
    /// The changes, in order.
    pub events: Vec<Event>,
}

/// One line of a streaming answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamItem<T> {
    /// The answer, unless the stream failed.
    #[serde(skip_serializing_if = "Option::is_none", default = "Option::default")]
    pub result: Option<T>,
    /// Why the stream failed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<ErrorBody>,
}
