//! Requests and responses for leases.

use serde::{Deserialize, Serialize};

use super::encoding::int64;
use super::kv::ResponseHeader;

/// Request to grant a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Requested time to live, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub time_to_live: i64,
    /// Requested identifier; 0 lets the service choose one.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Response to [`LeaseGrantRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantResponse {
    /// Header of the response.
    pub header: ResponseHeader,
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Granted time to live, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub time_to_live: i64,
}

/// Request to renew a lease once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveRequest {
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Response to [`LeaseKeepAliveRequest`], inside a [`super::StreamItem`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveResponse {
    /// Header of the response.
    pub header: ResponseHeader,
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Remaining time to live, in seconds; 0 when the lease has expired.
    #[serde(rename = "TTL", with = "int64")]
    pub time_to_live: i64,
}

/// Request to revoke a lease, which also deletes the keys attached to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRevokeRequest {
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Response to [`LeaseRevokeRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRevokeResponse {
    /// Header of the response.
    pub header: ResponseHeader,
}
