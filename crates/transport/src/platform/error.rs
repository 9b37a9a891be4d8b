//! Why a request to the platform failed, and what that says of its effect.

use std::time::Duration;

use hookpoint_state::Outcome;
use thiserror::Error;

/// A failed request to the platform.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// No connection could be made; nothing was sent.
    #[error("cannot connect to the platform at {url}: {reason}")]
    Connect {
        /// Base URL tried.
        url: String,
        /// Text of the library's error.
        reason: String,
    },
    /// Over the rate limit; the request did not run.
    #[error("the platform refuses requests at its rate limit")]
    RateLimited {
        /// Pause the service asked for, if it did.
        retry_after: Option<Duration>,
    },
    /// The service refused the request; it did not run.
    #[error("the platform refused the request ({code}): {message}")]
    Refused {
        /// Status code of the underlying call.
        code: i32,
        /// The service's text.
        message: String,
    },
    /// The service or the way to it failed after the request was sent; it may have run.
    #[error("the platform's answer was lost: {reason}")]
    AnswerLost {
        /// What happened.
        reason: String,
    },
    /// The answer is no answer of the API; the request may have run.
    #[error("the platform's answer is malformed: {reason}")]
    MalformedAnswer {
        /// What is wrong with it.
        reason: String,
    },
    /// The revision asked of a watch is no longer held.
    #[error("the platform has forgotten changes before revision {compact_revision}")]
    Compacted {
        /// Oldest revision still held.
        compact_revision: i64,
    },
    /// The body cannot be encoded; nothing was sent.
    #[error("the request cannot be encoded: {reason}")]
    Encode {
        /// Text of the library's error.
        reason: String,
    },
}

impl PlatformError {
    /// What the error says of the request's effect.
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

    /// Whether the same request may succeed a little later.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. }
                | Self::RateLimited { .. }
                | Self::AnswerLost { .. }
                | Self::MalformedAnswer { .. }
        )
    }

    /// The pause the service asked for.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::RateLimited { retry_after } => *retry_after,
            _ => None,
        }
    }
}
