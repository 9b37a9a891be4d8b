//! Messages of the etcd v3 API in their published JSON form.
//!
//! Requests with unknown fields are rejected, as by the gateway. Fields of the
//! real API that this stand-in does not implement are therefore rejected rather
//! than ignored.

use super::encoding::{base64_bytes, base64_list, int64, is_default};
use serde::{Deserialize, Serialize};

/// Response header: the member that responded and the revision of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Header {
    /// Cluster identifier.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub cluster_id: i64,
    /// Identifier of the member that responded.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub member_id: i64,
    /// Revision of the store when the request was applied.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub revision: i64,
    /// Raft term of the service.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub raft_term: i64,
}

/// A key with its value, revisions and lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct KeyValue {
    /// Key, as raw bytes.
    #[serde(with = "base64_bytes", skip_serializing_if = "is_default")]
    pub key: Vec<u8>,
    /// Revision at which the key was created.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub create_revision: i64,
    /// Revision of the last change.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub mod_revision: i64,
    /// Number of writes since the key was created, creation included.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub version: i64,
    /// Value, as raw bytes.
    #[serde(with = "base64_bytes", skip_serializing_if = "is_default")]
    pub value: Vec<u8>,
    /// Lease that the key is bound to; 0 for none.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub lease: i64,
}

/// Request of `/v3/kv/range`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RangeRequest {
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// First key after the range; empty for one key, a zero byte for all keys
    /// from `key` on.
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Vec<u8>,
    /// Maximum number of keys in the response; 0 for no limit.
    #[serde(with = "int64")]
    pub limit: i64,
    /// Revision to read at; 0 for the newest.
    #[serde(with = "int64")]
    pub revision: i64,
    /// Whether a member may respond from its local state, without a quorum.
    pub serializable: bool,
    /// Whether values are left out.
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    /// Whether only the count is returned.
    #[serde(alias = "countOnly")]
    pub count_only: bool,
}

/// Response of `/v3/kv/range`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RangeResponse {
    /// Response header.
    pub header: Header,
    /// Keys in ascending order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit truncated the result.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// Number of keys in the range, regardless of the limit.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub count: i64,
}

/// Request of `/v3/kv/put`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PutRequest {
    /// Key, as raw bytes.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// Value, as raw bytes.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Lease to bind the key to; 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
    /// Whether the previous key-value pair is returned.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
    /// Whether the previous value is kept.
    #[serde(alias = "ignoreValue")]
    pub ignore_value: bool,
    /// Whether the previous lease is kept.
    #[serde(alias = "ignoreLease")]
    pub ignore_lease: bool,
}

/// Response of `/v3/kv/put`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PutResponse {
    /// Response header.
    pub header: Header,
    /// Previous key-value pair, if requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyValue>,
}

/// Request of `/v3/kv/deleterange`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeleteRangeRequest {
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// First key after the range, as in [`RangeRequest::range_end`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Vec<u8>,
    /// Whether the deleted key-value pairs are returned.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Response of `/v3/kv/deleterange`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DeleteRangeResponse {
    /// Response header.
    pub header: Header,
    /// Number of keys deleted.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub deleted: i64,
    /// Deleted key-value pairs, if requested.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<KeyValue>,
}

/// Relation between a field of a key and the argument of a compare.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// The field equals the argument.
    #[default]
    Equal,
    /// The field is greater than the argument.
    Greater,
    /// The field is less than the argument.
    Less,
    /// The field differs from the argument.
    NotEqual,
}

/// Field of a key that a compare examines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of writes since the key was created; 0 when it does not exist.
    #[default]
    Version,
    /// Revision of creation; 0 when the key does not exist.
    Create,
    /// Revision of the last change; 0 when the key does not exist.
    Mod,
    /// Value, as raw bytes.
    Value,
    /// Identifier of the lease.
    Lease,
}

/// One condition of a transaction.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Compare {
    /// Relation that must hold.
    pub result: CompareResult,
    /// Field of the key that is compared.
    pub target: CompareTarget,
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// First key after the range, as in [`RangeRequest::range_end`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Vec<u8>,
    /// Argument for [`CompareTarget::Version`].
    #[serde(with = "int64")]
    pub version: i64,
    /// Argument for [`CompareTarget::Create`].
    #[serde(with = "int64", alias = "createRevision")]
    pub create_revision: i64,
    /// Argument for [`CompareTarget::Mod`].
    #[serde(with = "int64", alias = "modRevision")]
    pub mod_revision: i64,
    /// Argument for [`CompareTarget::Value`].
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Argument for [`CompareTarget::Lease`].
    #[serde(with = "int64")]
    pub lease: i64,
}

/// One operation of a transaction.
#[derive(Debug, Clone, Deserialize)]
pub enum RequestOperation {
    /// A read.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeRequest),
    /// A write.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutRequest),
    /// A delete.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    DeleteRange(DeleteRangeRequest),
}

/// Request of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TxnRequest {
    /// Conditions; all must hold.
    pub compare: Vec<Compare>,
    /// Operations to run when all conditions hold.
    pub success: Vec<RequestOperation>,
    /// Operations to run when at least one condition does not hold.
    pub failure: Vec<RequestOperation>,
}

/// Response to one operation of a transaction.
#[derive(Debug, Clone, Serialize)]
pub enum ResponseOperation {
    /// Response to a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Of a write.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Of a delete.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Response of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TxnResponse {
    /// Response header.
    pub header: Header,
    /// Whether all conditions held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// One response per operation, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOperation>,
}

/// Request of `/v3/kv/compaction`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CompactionRequest {
    /// History up to this revision is dropped.
    #[serde(with = "int64")]
    pub revision: i64,
    /// Accepted for compatibility; the stand-in always compacts synchronously.
    pub physical: bool,
}

/// A response that consists only of its header.
#[derive(Debug, Clone, Default, Serialize)]
pub struct HeaderResponse {
    /// Response header.
    pub header: Header,
}

/// Request of `/v3/lease/grant`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
    /// Requested identifier; 0 lets the service choose one.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Response of `/v3/lease/grant` and `/v3/lease/keepalive`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LeaseResponse {
    /// Response header.
    pub header: Header,
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_default")]
    pub id: i64,
    /// Time to live, in seconds; 0 and omitted when the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_default")]
    pub ttl: i64,
}

/// Request of `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseRequest {
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Request of `/v3/lease/timetolive`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseTimeToLiveRequest {
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Whether the keys bound to the lease are returned.
    pub keys: bool,
}

/// Response of `/v3/lease/timetolive`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LeaseTimeToLiveResponse {
    /// Response header.
    pub header: Header,
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_default")]
    pub id: i64,
    /// Remaining seconds; -1 when the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_default")]
    pub ttl: i64,
    /// Time to live that was granted, in seconds.
    #[serde(
        rename = "grantedTTL",
        with = "int64",
        skip_serializing_if = "is_default"
    )]
    pub granted_ttl: i64,
    /// Keys bound to the lease, if requested.
    #[serde(with = "base64_list", skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<Vec<u8>>,
}

/// Kind of events that a watch omits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum WatchFilter {
    /// Omits puts.
    #[serde(rename = "NOPUT")]
    NoPut,
    /// Omits deletes.
    #[serde(rename = "NODELETE")]
    NoDelete,
}

/// Request of `/v3/watch`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchRequest {
    /// Parameters of the watch to open.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// Parameters of the watch that a [`WatchRequest`] opens.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchCreateRequest {
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// First key after the range, as in [`RangeRequest::range_end`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Vec<u8>,
    /// First revision to report; 0 starts after the newest revision.
    #[serde(with = "int64", alias = "startRevision")]
    pub start_revision: i64,
    /// Whether an empty response is sent periodically while there are no events.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
    /// Kinds of events that are omitted.
    pub filters: Vec<WatchFilter>,
    /// Whether events carry the previous key-value pair.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Kind of an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventKind {
    /// A key was written; as the default value, omitted from the JSON.
    #[default]
    Put,
    /// A key was deleted or its lease expired.
    Delete,
}

/// One change of one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Kind of change.
    #[serde(rename = "type", skip_serializing_if = "is_default")]
    pub kind: EventKind,
    /// Key-value pair after the change; only key and revision for a delete.
    pub kv: KeyValue,
    /// Key-value pair before the change, if requested.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyValue>,
}

/// One response on a watch stream.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WatchResponse {
    /// Response header.
    pub header: Header,
    /// Whether this response confirms that the watch was created.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// Whether this response reports that the watch was canceled.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// Compacted revision, when the watch was canceled because of a compaction.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub compact_revision: i64,
    /// Reason of the cancellation; empty otherwise.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// Events in revision order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// Frame of a streamed response.
#[derive(Debug, Clone, Serialize)]
pub struct StreamResult<T> {
    /// Response inside the frame.
    pub result: T,
}
