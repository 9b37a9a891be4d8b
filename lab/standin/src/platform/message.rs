//! Messages of the etcd v3 API in their published JSON form.
//!
//! Requests refuse unknown fields, as the gateway does; fields of the real API
//! that this stand-in leaves out are therefore refused and never ignored.

use super::encoding::{base64_bytes, base64_list, int64, is_default};
use serde::{Deserialize, Serialize};

/// Answer header: who answered, and at which revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Header {
    /// Identifier of the cluster.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub cluster_id: i64,
    /// Identifier of the member that answered.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub member_id: i64,
    /// Revision of the store when the request was applied.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub revision: i64,
    /// Term of the service's own consensus.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub raft_term: i64,
}

/// A key with its value and revisions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct KeyValue {
    /// The key.
    #[serde(with = "base64_bytes", skip_serializing_if = "is_default")]
    pub key: Vec<u8>,
    /// Revision at which the key was created.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub create_revision: i64,
    /// Revision of the last change.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub mod_revision: i64,
    /// Number of changes since the key was created.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub version: i64,
    /// The value.
    #[serde(with = "base64_bytes", skip_serializing_if = "is_default")]
    pub value: Vec<u8>,
    /// Lease that the key is bound to; 0 for none.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub lease: i64,
}

/// `/v3/kv/range`.
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
    /// Greatest number of keys in the answer; 0 for no limit.
    #[serde(with = "int64")]
    pub limit: i64,
    /// Revision to read at; 0 for the newest.
    #[serde(with = "int64")]
    pub revision: i64,
    /// Whether a member may answer without asking the others.
    pub serializable: bool,
    /// Whether values are left out.
    #[serde(alias = "keysOnly")]
    pub keys_only: bool,
    /// Whether only the count is answered.
    #[serde(alias = "countOnly")]
    pub count_only: bool,
}

/// Answer of `/v3/kv/range`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RangeResponse {
    /// Answer header.
    pub header: Header,
    /// The keys, in order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut the answer.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// Number of keys in the range.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub count: i64,
}

/// `/v3/kv/put`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PutRequest {
    /// The key.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Vec<u8>,
    /// Lease to bind the key to; 0 for none.
    #[serde(with = "int64")]
    pub lease: i64,
    /// Whether the earlier value is answered.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
    /// Whether the earlier value is kept.
    #[serde(alias = "ignoreValue")]
    pub ignore_value: bool,
    /// Whether the earlier lease is kept.
    #[serde(alias = "ignoreLease")]
    pub ignore_lease: bool,
}

/// Answer of `/v3/kv/put`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct PutResponse {
    /// Answer header.
    pub header: Header,
    /// The earlier value, when asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyValue>,
}

/// `/v3/kv/deleterange`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DeleteRangeRequest {
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// First key after the range, as in [`RangeRequest::range_end`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Vec<u8>,
    /// Whether the deleted keys are answered.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Answer of `/v3/kv/deleterange`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DeleteRangeResponse {
    /// Answer header.
    pub header: Header,
    /// Number of keys deleted.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub deleted: i64,
    /// The deleted keys, when asked for.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub prev_kvs: Vec<KeyValue>,
}

/// How a compare holds a key against its argument.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// The key's is greater.
    Greater,
    /// The key's is less.
    Less,
    /// Not equal.
    NotEqual,
}

/// What of a key is compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Number of changes.
    #[default]
    Version,
    /// Revision of creation; 0 when the key does not exist.
    Create,
    /// Revision of the last change; 0 when the key does not exist.
    Mod,
    /// The value.
    Value,
    /// The lease.
    Lease,
}

/// One condition of a transaction.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Compare {
    /// Relation that must hold.
    pub result: CompareResult,
    /// What is compared.
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

/// `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TxnRequest {
    /// Conditions; all must hold.
    pub compare: Vec<Compare>,
    /// Operations when they hold.
    pub success: Vec<RequestOperation>,
    /// Operations when one does not.
    pub failure: Vec<RequestOperation>,
}

/// Answer of one operation of a transaction.
#[derive(Debug, Clone, Serialize)]
pub enum ResponseOperation {
    /// Of a read.
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    /// Of a write.
    #[serde(rename = "response_put")]
    Put(PutResponse),
    /// Of a delete.
    #[serde(rename = "response_delete_range")]
    DeleteRange(DeleteRangeResponse),
}

/// Answer of `/v3/kv/txn`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct TxnResponse {
    /// Answer header.
    pub header: Header,
    /// Whether the conditions held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// One answer an operation.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<ResponseOperation>,
}

/// `/v3/kv/compaction`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CompactionRequest {
    /// History up to this revision is dropped.
    #[serde(with = "int64")]
    pub revision: i64,
    /// Accepted for likeness; the stand-in always compacts at once.
    pub physical: bool,
}

/// An answer with nothing but its header.
#[derive(Debug, Clone, Default, Serialize)]
pub struct HeaderResponse {
    /// Answer header.
    pub header: Header,
}

/// `/v3/lease/grant`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub ttl: i64,
    /// Identifier wished for; 0 to let the service choose.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Answer of `/v3/lease/grant` and of `/v3/lease/keepalive`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LeaseResponse {
    /// Answer header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_default")]
    pub id: i64,
    /// Time to live, in seconds; left out (0) when the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_default")]
    pub ttl: i64,
}

/// `/v3/lease/keepalive` and `/v3/lease/revoke`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// `/v3/lease/timetolive`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseTimeToLiveRequest {
    /// The lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Whether the keys bound to it are answered.
    pub keys: bool,
}

/// Answer of `/v3/lease/timetolive`.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LeaseTimeToLiveResponse {
    /// Answer header.
    pub header: Header,
    /// The lease.
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_default")]
    pub id: i64,
    /// Seconds left; -1 when the lease does not exist.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_default")]
    pub ttl: i64,
    /// Time to live when granted, in seconds.
    #[serde(
        rename = "grantedTTL",
        with = "int64",
        skip_serializing_if = "is_default"
    )]
    pub granted_ttl: i64,
    /// Keys bound to the lease, when asked for.
    #[serde(with = "base64_list", skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<Vec<u8>>,
}

/// What kind of events a watch leaves out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum WatchFilter {
    /// No puts.
    #[serde(rename = "NOPUT")]
    NoPut,
    /// No deletes.
    #[serde(rename = "NODELETE")]
    NoDelete,
}

/// `/v3/watch`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchRequest {
    /// The watch to open.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreateRequest,
}

/// The watch that a [`WatchRequest`] opens.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WatchCreateRequest {
    /// First key of the range.
    #[serde(with = "base64_bytes")]
    pub key: Vec<u8>,
    /// First key after the range, as in [`RangeRequest::range_end`].
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub range_end: Vec<u8>,
    /// First revision to tell of; 0 for those to come.
    #[serde(with = "int64", alias = "startRevision")]
    pub start_revision: i64,
    /// Whether an empty answer is sent now and then on a quiet watch.
    #[serde(alias = "progressNotify")]
    pub progress_notify: bool,
    /// Kinds of events left out.
    pub filters: Vec<WatchFilter>,
    /// Whether events carry the earlier value.
    #[serde(alias = "prevKv")]
    pub prev_kv: bool,
}

/// Kind of an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum EventKind {
    /// A key was written; left out of the JSON as the default.
    #[default]
    Put,
    /// A key was deleted or its lease lapsed.
    Delete,
}

/// One change of one key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Event {
    /// Kind of change.
    #[serde(rename = "type", skip_serializing_if = "is_default")]
    pub kind: EventKind,
    /// The key after the change; only key and revision for a delete.
    pub kv: KeyValue,
    /// The key before the change, when asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prev_kv: Option<KeyValue>,
}

/// One answer on a watch.
#[derive(Debug, Clone, Default, Serialize)]
pub struct WatchResponse {
    /// Answer header.
    pub header: Header,
    /// Whether this answer tells that the watch was opened.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// Whether this answer tells that the watch has ended.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// Oldest revision left, when the watch ended for it.
    #[serde(with = "int64", skip_serializing_if = "is_default")]
    pub compact_revision: i64,
    /// Why the watch has ended.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub cancel_reason: String,
    /// Changes, in revision order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// Frame of a streamed answer.
#[derive(Debug, Clone, Serialize)]
pub struct StreamResult<T> {
    /// The answer.
    pub result: T,
}
