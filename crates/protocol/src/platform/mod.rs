//! Bodies of the etcd v3 API in its published JSON-over-HTTP mapping: 64-bit integers
//! are decimal strings, byte strings are base64, and fields at their default are omitted
//! from responses.

mod encoding;
mod error;
mod kv;
mod lease;
pub mod records;
mod watch;

pub use encoding::Base64Bytes;
pub use error::{ErrorBody, StatusCode};
pub use kv::{
    Compare, CompareResult, CompareTarget, DeleteRangeRequest, DeleteRangeResponse, KeyValue,
    PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOperation, ResponseHeader,
    ResponseOperation, TransactionRequest, TransactionResponse, prefix_end,
};
pub use lease::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse,
};
pub use watch::{Event, EventType, StreamItem, WatchCreateRequest, WatchRequest, WatchResponse};
