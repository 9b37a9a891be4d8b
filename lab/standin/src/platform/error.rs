//! Errors of the key-value service stand-in.

use actix_web::http::StatusCode;
use serde::Serialize;
use thiserror::Error;

/// Errors of starting the stand-in.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// Binding a loopback port failed.
    #[error("platform stand-in: binding a loopback port failed: {0}")]
    Bind(#[source] std::io::Error),
    /// Spawning the server thread failed.
    #[error("platform stand-in: spawning the server thread failed: {0}")]
    Thread(#[source] std::io::Error),
    /// The server thread ended before it reported its address.
    #[error("platform stand-in: the server thread ended before it was ready")]
    Ended,
}

/// Errors of requests, with the messages and codes of the etcd API.
///
/// The numbers are those of gRPC status codes, which the published JSON
/// gateway maps to HTTP status codes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApiError {
    /// The body is not valid JSON for the called method.
    #[error("{0}")]
    Malformed(String),
    /// A range, put or compare has no key.
    #[error("etcdserver: key is not provided")]
    EmptyKey,
    /// A transaction writes one key twice.
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    /// A transaction has more operations than the service accepts.
    #[error("etcdserver: too many operations in txn request")]
    TooManyOperations,
    /// A put keeps the value or lease of a key that does not exist.
    #[error("etcdserver: key not found")]
    KeyNotFound,
    /// The named lease does not exist or has expired.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    /// A grant requests an identifier that is in use.
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    /// A grant requests a time to live above the service's maximum.
    #[error("etcdserver: too large lease TTL")]
    LeaseTtlTooLarge,
    /// The requested revision has been compacted.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
    /// The requested revision does not exist yet.
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    /// The request exceeds the rate limit.
    #[error("etcdserver: too many requests")]
    TooManyRequests,
    /// The service currently has no leader.
    #[error("etcdserver: no leader")]
    NoLeader,
    /// The request uses a part of the real API that the stand-in does not implement.
    #[error("{0} is not part of this stand-in")]
    Unsupported(&'static str),
}

impl ApiError {
    /// Returns the gRPC status code.
    pub fn code(&self) -> u32 {
        match self {
            Self::Malformed(_)
            | Self::EmptyKey
            | Self::DuplicateKey
            | Self::TooManyOperations
            | Self::KeyNotFound => 3,
            Self::LeaseNotFound => 5,
            Self::TooManyRequests => 8,
            Self::LeaseExists => 9,
            Self::LeaseTtlTooLarge | Self::Compacted | Self::FutureRevision => 11,
            Self::Unsupported(_) => 12,
            Self::NoLeader => 14,
        }
    }

    /// Returns the HTTP status code to which the gateway maps this error.
    pub fn status(&self) -> StatusCode {
        match self.code() {
            5 => StatusCode::NOT_FOUND,
            8 => StatusCode::TOO_MANY_REQUESTS,
            12 => StatusCode::NOT_IMPLEMENTED,
            14 => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the JSON body of the error response.
    pub fn body(&self) -> ErrorBody {
        let message = self.to_string();
        ErrorBody {
            error: message.clone(),
            code: self.code(),
            message,
        }
    }
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Error message, under the field name of older gateways.
    pub error: String,
    /// Returns the gRPC status code.
    pub code: u32,
    /// Error message.
    pub message: String,
}
