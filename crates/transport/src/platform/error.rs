//! Errors of platform requests, and whether the request may have taken effect.

use std::time::Duration;

use hookpoint_state::Outcome;
use thiserror::Error;

/// A failed request to the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No connection could be made; nothing was sent.
    #[error("cannot connect to the platform at {url}: {reason}")]
    Connect {
        /// The base URL that was tried.
        url: String,
        /// Error text of the library.
        reason: String,
    },
    /// The rate limit was exceeded; the request did not run.
    #[error("the platform refuses requests at its rate limit")]
    RateLimited {
        /// Pause requested by the service, if any.
        retry_after: Option<Duration>,
    },
    /// The service refused the request; it did not run.
    #[error("the platform refused the request ({code}): {message}")]
    Refused {
        /// Status code of the underlying call.
        code: i32,
        /// Error text of the service.
        message: String,
    },
    /// The service or the connection to it failed after the request was sent; the request
    /// may have run.
    #[error("the platform's answer was lost: {reason}")]
    AnswerLost {
        /// Description of the failure.
        reason: String,
    },
    /// The answer does not conform to the API; the request may have run.
    #[error("the platform's answer is malformed: {reason}")]
    MalformedAnswer {
        /// Description of the error in the answer.
        reason: String,
    },
    /// The revision requested by a watch has been compacted.
    #[error("the platform has compacted changes before revision {compact_revision}")]
    Compacted {
        /// Oldest revision still available.
        compact_revision: i64,
    },
    /// The request body cannot be encoded; nothing was sent.
    #[error("the request cannot be encoded: {reason}")]
    Encode {
        /// Error text of the library.
        reason: String,
    },
}

impl PlatformError {
    /// Returns whether the request may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::AnswerLost { .. } | Self::MalformedAnswer { .. } => Outcome::Unknown,
            Self::Connect { .. }
            | Self::RateLimited { .. }
            | Self::Refused { .. }
            | Self::Compacted { .. }
            | Self::Encode { .. } => Outcome::NotRun,
        }
    }

    /// Returns whether the same request may succeed a little later.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::RateLimited { .. }
                | Self::AnswerLost { .. }
                | Self::MalformedAnswer { .. }
        )
    }

    /// Returns the pause requested by the service, if any.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::RateLimited { retry_after } => *retry_after,
            _ => None,
        }
    }
}
