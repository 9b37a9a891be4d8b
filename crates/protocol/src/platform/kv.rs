//! Range, put, delete and transaction.

use serde::{Deserialize, Serialize};

use super::encoding::{Base64Bytes, int64, is_false, is_zero};

/// Header of every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// Revision of the store when the answer was made.
    #[serde(with = "int64")]
    pub revision: i64,
}

/// One key with its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Base64Bytes,
    /// Revision that created the key.
    #[serde(with = "int64")]
    pub create_revision: i64,
    /// Revision of the latest change.
    #[serde(with = "int64")]
    pub mod_revision: i64,
    /// Changes since the key was created, itself counted.
    #[serde(with = "int64")]
    pub version: i64,
    /// The value.
    pub value: Base64Bytes,
    /// Lease the key is attached to; 0 for none.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Reads a key, or the keys from `key` up to `range_end`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Base64Bytes,
    /// First key past the range; empty for the one key.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
    /// Most keys to answer; 0 for all.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub limit: i64,
    /// Whether to leave the values out.
    #[serde(skip_serializing_if = "is_false")]
    pub keys_only: bool,
}

/// Answer to [`RangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header.
    pub header: ResponseHeader,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit left keys out.
    pub more: bool,
    /// Keys in the range, whatever the limit.
    #[serde(with = "int64")]
    pub count: i64,
}

/// Writes a key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Base64Bytes,
    /// Its new value.
    pub value: Base64Bytes,
    /// Lease to attach it to; 0 for none.
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub lease: i64,
}

/// Answer to [`PutRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// Header.
    pub header: ResponseHeader,
}

/// Deletes a key or a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key.
    pub key: Base64Bytes,
    /// First key past the range; empty for the one key.
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub range_end: Base64Bytes,
}

/// Answer to [`DeleteRangeRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Keys deleted.
    #[serde(with = "int64")]
    pub deleted: i64,
}

/// What a comparison asks of the two sides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// The store's side is greater.
    Greater,
    /// The store's side is less.
    Less,
    /// Not equal.
    NotEqual,
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// The count of changes.
    #[default]
    Version,
    /// The revision of creation; 0 for a key that does not exist.
    Create,
    /// The revision of the latest change; 0 for a key that does not exist.
    Mod,
    /// The value.
    Value,
}

/// One comparison of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// What is asked of the two sides.
    pub result: CompareResult,
    /// What is looked at.
    pub target: CompareTarget,
    /// The key.
    pub key: Base64Bytes,
    /// Right side for [`CompareTarget::Version`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub version: i64,
    /// Right side for [`CompareTarget::Create`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub create_revision: i64,
    /// Right side for [`CompareTarget::Mod`].
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub mod_revision: i64,
    /// Right side for [`CompareTarget::Value`].
    #[serde(skip_serializing_if = "Base64Bytes::is_empty")]
    pub value: Base64Bytes,
}

impl Compare {
    /// Holds when the latest change of `key` has this revision; 0 when it does not
    /// exist.
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
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

impl RequestOperation {
    /// Reads one key.
    pub fn get(key: &str) -> Self {
        Self {
            request_range: Some(RangeRequest {
                key: key.into(),
                ..RangeRequest::default()
            }),
            ..Self::default()
        }
    }

    /// Writes one key.
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

/// Runs `success` when every comparison holds, else `failure`, as one change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionRequest {
    /// The comparisons.
    pub compare: Vec<Compare>,
    /// Operations when all hold.
    pub success: Vec<RequestOperation>,
    /// Operations otherwise.
    pub failure: Vec<RequestOperation>,
}

/// Answer to one operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOperation {
    /// Of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
    /// Of a write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_put: Option<PutResponse>,
    /// Of a deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_delete_range: Option<DeleteRangeResponse>,
}

/// Answer to [`TransactionRequest`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Whether every comparison held.
    pub succeeded: bool,
    /// Answers to the operations that ran, in order.
    pub responses: Vec<ResponseOperation>,
}

/// First key past all keys that start with `prefix`; empty when there is none.
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
