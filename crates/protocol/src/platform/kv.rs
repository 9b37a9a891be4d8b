//! Requests and responses for range, put, delete and transaction.

use serde::{Deserialize, Serialize};

use super::encoding::{Base64Bytes, int64, is_false, is_zero};

/// Header of every response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// Revision of the store when the response was created.
    #[serde(with = "int64")]
    pub revision: i64,
}

/// One key with its value and metadata.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Name of the key, as bytes.
    pub key: Base64Bytes,
    /// Revision in which the key was created.
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// Revision of the latest change of the key.
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// Number of changes since the key was created, including its creation.
    #[serde(with = "int64")]
    pub version: i64,
    /// Value of the key; empty in a response that omits values and in a deletion event.
    pub value: Base64Bytes,
    /// Identifier of the lease that the key is attached to; 0 for none.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Request to read a key, or the keys from `key` up to `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range, or the single key to read.
    pub key: Base64Bytes,
    /// First key past the range; empty for the single key `key`.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
    /// Largest number of keys to return; 0 for all.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub limit: i64,
    /// Whether to omit the values.
    #[serde(skip_serializing_if = "is_false")]
    pub keys_only: bool,
}

/// Response to [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header of the response.
    pub header: ResponseHeader,
    /// The keys with their values, in key order.
    pub kvs: Vec<KeyValue>,
    /// Whether keys were omitted because of the limit.
    pub more: bool,
    /// Number of keys in the range, regardless of the limit.
    #[serde(with = "int64")]
    pub count: i64,
}

/// Request to write a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key to write.
    pub key: Base64Bytes,
    /// The new value.
    pub value: Base64Bytes,
    /// Identifier of the lease to attach the key to; 0 for none.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Response to [`PutRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// Header of the response.
    pub header: ResponseHeader,
}

/// Request to delete a key or a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key of the range, or the single key to delete.
    pub key: Base64Bytes,
    /// First key past the range; empty for the single key `key`.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
}

/// Response to [`DeleteRangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// Header of the response.
    pub header: ResponseHeader,
    /// Number of keys deleted.
    #[serde(with = "int64")]
    pub deleted: i64,
}

/// Relation that a comparison requires between the stored value and the given one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The stored value is equal.
    #[default]
    Equal,
    /// The stored value is greater.
    Greater,
    /// The stored value is less.
    Less,
    /// The stored value is not equal.
    NotEqual,
}

/// Property of a key that a comparison checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of changes; see [`KeyValue::version`].
    #[default]
    Version,
    /// Revision of creation; 0 for a key that does not exist.
    Create,
    /// Revision of the latest change; 0 for a key that does not exist.
    Mod,
    /// Value of the key.
    Value,
}

/// One comparison of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Relation of the property to the value with which the comparison succeeds.
    pub result: CompareResult,
    /// Property of the key that is checked.
    pub target: CompareTarget,
    /// Key whose property is checked.
    pub key: Base64Bytes,
    /// Value to compare with when `target` is [`CompareTarget::Version`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub version: i64,
    /// Value to compare with when `target` is [`CompareTarget::Create`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub create_revision: i64,
    /// Value to compare with when `target` is [`CompareTarget::Mod`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub mod_revision: i64,
    /// Value to compare with when `target` is [`CompareTarget::Value`].
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub value: Base64Bytes,
}

impl Compare {
    /// Creates a comparison that holds when the latest change of `key` has the revision
    /// `mod_revision`; with 0 it holds when the key does not exist.
    pub fn unchanged_since(key: &str, mod_revision: i64) -> Self {
        Self {
            target: CompareTarget::Mod,
            key: key.into(),
            mod_revision,
            ..Self::default()
        }
    }
}

/// One operation of a transaction; exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOperation {
    /// Reads a key or a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Writes a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletes a key or a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

impl RequestOperation {
    /// Creates an operation that reads one key.
    pub fn get(key: &str) -> Self {
        Self {
            request_range: Some(RangeRequest {
                key: key.into(),
                ..RangeRequest::default()
            }),
            ..Self::default()
        }
    }

    /// Creates an operation that writes one key, without a lease.
    pub fn put(key: &str, value: impl Into<Base64Bytes>) -> Self {
        Self {
            request_put: Some(PutRequest {
                key: key.into(),
                value: value.into(),
                lease: 0,
            }),
            ..Self::default()
        }
    }
}

/// Request to run the operations of `success` when every comparison holds, else those of
/// `failure`, atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionRequest {
    /// Comparisons that decide which operations run.
    pub compare: Vec<Compare>,
    /// Operations to run when all comparisons hold.
    pub success: Vec<RequestOperation>,
    /// Operations to run otherwise.
    pub failure: Vec<RequestOperation>,
}

/// Response to one operation of a transaction; one field is set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOperation {
    /// Response to a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
    /// Response to a write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_put: Option<PutResponse>,
    /// Response to a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_delete_range: Option<DeleteRangeResponse>,
}

/// Response to [`TransactionRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionResponse {
    /// Header of the response.
    pub header: ResponseHeader,
    /// Whether every comparison held.
    pub succeeded: bool,
    /// Responses to the operations that ran, in order.
    pub responses: Vec<ResponseOperation>,
}

/// Returns the first key past all keys that start with `prefix`; empty when there is none.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    end
}
