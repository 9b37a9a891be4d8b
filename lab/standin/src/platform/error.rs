//! Errors of the key-value service stand-in.

use actix_web::http::StatusCode;
use serde::Serialize;
use thiserror::Error;

/// Why the stand-in could not be started or stopped.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No loopback port could be had.
    #[error("the platform stand-in found no loopback port: {0}")]
    Bind(#[source] std::io::Error),
    /// The server's thread could not be started.
    #[error("the platform stand-in's thread did not start: {0}")]
    Thread(#[source] std::io::Error),
    /// The server's thread ended before it answered.
    #[error("the platform stand-in ended early")]
    Ended,
}

/// Why a request was refused, in the words and codes of the etcd API.
///
/// The numbers are those of gRPC status codes, which the published JSON
/// gateway maps to HTTP status codes.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApiError {
    /// The body is not the JSON of the called method.
    #[error("{0}")]
    Malformed(String),
    /// A range, put or compare without a key.
    #[error("etcdserver: key is not provided")]
    EmptyKey,
    /// A transaction writes one key twice.
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    /// A transaction with more operations than the service takes.
    #[error("etcdserver: too many operations in txn request")]
    TooManyOperations,
    /// A put that keeps the value of a key that does not exist.
    #[error("etcdserver: key not found")]
    KeyNotFound,
    /// The named lease does not exist, or has lapsed.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    /// A grant with an identifier in use.
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    /// A grant with a time to live beyond the service's limit.
    #[error("etcdserver: too large lease TTL")]
    LeaseTtlTooLarge,
    /// The revision asked for is gone.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted,
    /// The revision asked for does not exist yet.
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    /// The rate limit is reached.
    #[error("etcdserver: too many requests")]
    TooManyRequests,
    /// The service has no leader for now.
    #[error("etcdserver: no leader")]
    NoLeader,
    /// Part of the real API that the stand-in leaves out.
    #[error("{0} is not part of this stand-in")]
    Unsupported(&'static str),
}

impl ApiError {
    /// The gRPC status code.
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

    /// The HTTP status code that the gateway gives this error.
    pub fn status(&self) -> StatusCode {
        match self.code() {
            5 => StatusCode::NOT_FOUND,
            8 => StatusCode::TOO_MANY_REQUESTS,
            12 => StatusCode::NOT_IMPLEMENTED,
            14 => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// The JSON body of this error.
    pub fn body(&self) -> ErrorBody {
        let message = self.to_string();
        ErrorBody {
            error: message.clone(),
            code: self.code(),
            message,
        }
    }
}

/// JSON body of a refused request.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// The message, under the name that older gateways used.
    pub error: String,
    /// The gRPC status code.
    pub code: u32,
    /// The message.
    pub message: String,
}
