//! Error responses of the API.

use serde::{Deserialize, Serialize};

/// Body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Error text; sent by older gateways.
    #[serde(default)]
    pub error: String,
    /// gRPC status code of the underlying call.
    #[serde(default)]
    pub code: i32,
    /// Human-readable error text.
    #[serde(default)]
    pub message: String,
}

/// gRPC status codes that clients of the API distinguish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusCode {
    /// The arguments are invalid; the call had no effect.
    InvalidArgument,
    /// A deadline passed; the call may have taken effect.
    DeadlineExceeded,
    /// The key or lease does not exist; the call had no effect.
    NotFound,
    /// A rate limit was exceeded; the call had no effect.
    ResourceExhausted,
    /// A precondition does not hold; the call had no effect.
    FailedPrecondition,
    /// The requested revision is no longer held; the call had no effect.
    OutOfRange,
    /// The service is unavailable; the call may have taken effect.
    Unavailable,
    /// Any other status; the call may have taken effect.
    Other,
}

impl StatusCode {
    /// Returns the status code with this number.
    pub fn from_number(number: i32) -> Self {
        match number {
            3 => Self::InvalidArgument,
            4 => Self::DeadlineExceeded,
            5 => Self::NotFound,
            8 => Self::ResourceExhausted,
            9 => Self::FailedPrecondition,
            11 => Self::OutOfRange,
            14 => Self::Unavailable,
            _ => Self::Other,
        }
    }

    /// Returns whether the call certainly had no effect.
    pub fn is_certainly_not_applied(self) -> bool {
        !matches!(
            self,
            Self::DeadlineExceeded | Self::Unavailable | Self::Other
        )
    }
}
