//! Leases.

use serde::{Deserialize, Serialize};

use super::encoding::int64;
use super::kv::ResponseHeader;

/// Asks for a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub time_to_live: i64,
    /// Identifier wanted; 0 lets the service choose.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Answer to [`LeaseGrantRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Time to live granted, in seconds.
    #[serde(rename = "TTL", with = "int64")]
    pub time_to_live: i64,
}

/// Renews a lease once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveRequest {
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Answer to [`LeaseKeepAliveRequest`], inside a [`super::StreamItem`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseKeepAliveResponse {
    /// Header.
    pub header: ResponseHeader,
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
    /// Time left, in seconds; 0 when the lease has lapsed.
    #[serde(rename = "TTL", with = "int64")]
    pub time_to_live: i64,
}

/// Gives a lease back; its keys go with it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRevokeRequest {
    /// Identifier of the lease.
    #[serde(rename = "ID", with = "int64")]
    pub id: i64,
}

/// Answer to [`LeaseRevokeRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRevokeResponse {
    /// Header.
    pub header: ResponseHeader,
}
