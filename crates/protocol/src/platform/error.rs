//! Error answers of the API.

use serde::{Deserialize, Serialize};

/// Body of an error answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Short text, as older gateways send it.
    #[serde(default)]
    pub error: String,
    /// Status code of the underlying call.
    #[serde(default)]
    pub code: i32,
    /// Text for people.
    #[serde(default)]
    pub message: String,
}

/// Status codes of the underlying call that a client treats apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusCode {
    /// The arguments are wrong; nothing ran.
    InvalidArgument,
    /// A deadline passed; the call may have run.
    DeadlineExceeded,
    /// The key or lease does not exist; nothing ran.
    NotFound,
    /// Over the rate limit; nothing ran.
    ResourceExhausted,
    /// A precondition does not hold; nothing ran.
    FailedPrecondition,
    /// The revision asked for is gone; nothing ran.
    OutOfRange,
    /// The service is away; the call may have run.
    Unavailable,
    /// Anything else; the call may have run.
    Other,
}

impl StatusCode {
    /// The code with this number.
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

    /// Whether the call certainly had no effect.
    pub fn is_not_run(self) -> bool {
        !matches!(
            self,
            Self::DeadlineExceeded | Self::Unavailable | Self::Other
        )
    }
}
