//! Outcomes of requests and their reasons.
//!
//! Every failure reported to a caller states whether the request ran, did not run or may
//! have run. The SQLSTATE classes are documented in `docs/OPERATIONS.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a request took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran, and its answer was delivered.
    Ran,
    /// The request did not run and will not run later.
    NotRun,
    /// The request may have run; this node cannot determine it.
    Unknown,
}

impl Outcome {
    /// Returns the text of the error field that drivers can parse (`DETAIL`).
    pub fn as_field(self) -> &'static str {
        match self {
            Outcome::Ran => "hookpoint.outcome=ran",
            Outcome::NotRun => "hookpoint.outcome=not_run",
            Outcome::Unknown => "hookpoint.outcome=unknown",
        }
    }
}

/// Reason why a request was refused. A refused request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The wait queue of the database is full.
    #[error("the queue for a connection is full")]
    QueueFull,
    /// The tenant has reached its own limit, or exceeds its share while the queue is
    /// overloaded.
    #[error("the tenant is over its limit")]
    TenantLimit,
    /// No connection became free before the deadline.
    #[error("no connection became free before the deadline")]
    WaitDeadline,
    /// The group has no known primary and none appeared before the deadline.
    #[error("the group has no primary")]
    NoPrimary,
    /// No database of the group can be reached.
    #[error("no database of the group can be reached")]
    NoDatabase,
    /// This proxy is shutting down.
    #[error("the proxy is stopping")]
    Stopping,
    /// The group is not in the bundle.
    #[error("the group is not in the configuration bundle")]
    UnknownGroup,
    /// No bundle is in force on this proxy yet.
    #[error("no configuration bundle is in force yet")]
    NoBundle,
    /// The feature is not supported by transaction pooling.
    #[error("transaction pooling cannot carry {feature}")]
    Unsupported {
        /// Name of the feature, such as `LISTEN`.
        feature: String,
    },
    /// A request with the same identifier already ran.
    #[error("a request with this identifier already ran")]
    AlreadyRan,
    /// The connection broke inside a transaction whose `COMMIT` was never sent, so the
    /// database rolls it back.
    #[error("the connection broke before COMMIT was sent; the transaction is rolled back")]
    RolledBack,
    /// The back end refused the request before running it, and no retry was left.
    #[error("the database refused the request before running it ({sqlstate})")]
    BackendRefused {
        /// SQLSTATE of the back end's refusal.
        sqlstate: String,
    },
}

impl Refusal {
    /// Returns the SQLSTATE reported to the caller. Class `HN` means "not run".
    pub fn sqlstate(&self) -> &'static str {
        match self {
            Refusal::QueueFull => "HN001",
            Refusal::TenantLimit => "HN002",
            Refusal::WaitDeadline => "HN003",
            Refusal::NoPrimary => "HN004",
            Refusal::NoDatabase => "HN005",
            Refusal::Stopping => "HN006",
            Refusal::UnknownGroup => "HN007",
            Refusal::NoBundle => "HN008",
            Refusal::Unsupported { .. } => "0A000",
            Refusal::AlreadyRan => "HR001",
            Refusal::BackendRefused { .. } => "HN009",
            Refusal::RolledBack => "HN010",
        }
    }

    /// Returns the outcome of the refused request. [`Refusal::AlreadyRan`] concerns the
    /// earlier request with the same identifier; this attempt itself did not run.
    pub fn outcome(&self) -> Outcome {
        Outcome::NotRun
    }

    /// Returns how long the caller should wait before it retries; `None` if a retry
    /// cannot help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::QueueFull | Refusal::TenantLimit | Refusal::WaitDeadline => {
                Some(Duration::from_millis(250))
            }
            Refusal::NoPrimary | Refusal::NoDatabase | Refusal::NoBundle => {
                Some(Duration::from_millis(1_000))
            }
            Refusal::Stopping | Refusal::RolledBack | Refusal::BackendRefused { .. } => {
                Some(Duration::ZERO)
            }
            Refusal::UnknownGroup | Refusal::Unsupported { .. } | Refusal::AlreadyRan => None,
        }
    }
}

/// SQLSTATE for a request whose outcome is unknown (`transaction_resolution_unknown`).
pub const UNKNOWN_SQLSTATE: &str = "08007";

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum UnknownCause {
    /// The connection broke after the request was sent and before its answer.
    #[error("the connection to the database broke while the request ran")]
    ConnectionLost,
    /// The write is committed on one database, but no majority confirmed it in time.
    #[error("no majority confirmed the commit in time")]
    NoMajority,
    /// The primary that ran the request has been replaced.
    #[error("the primary was replaced while the request ran")]
    TermChanged,
    /// The answer did not arrive before the deadline.
    #[error("the answer did not arrive before the deadline")]
    Deadline,
}
