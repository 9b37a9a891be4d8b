//! Errors of the operators' commands.

use hookpoint_coordination::rollout::PointerView;
use hookpoint_protocol::platform::records::ChangeStamp;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{BundleProblem, SignatureError};
use hookpoint_transport::platform::PlatformError;
use thiserror::Error;

/// The roll that moved the active pointer first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedRoll {
    /// Version in force.
    pub version: BundleVersion,
    /// Name of the operator who rolled it; empty if nothing was ever rolled.
    pub by: String,
}

impl AppliedRoll {
    pub(super) fn of(pointer: Option<&PointerView<ChangeStamp>>) -> Self {
        Self {
            version: pointer.map(|pointer| pointer.version).unwrap_or_default(),
            by: pointer.map_or_else(String::new, |pointer| pointer.attempt.by.clone()),
        }
    }
}

/// Describes why the last request failed; `None` means that the deadline passed.
fn cause(failure: &Option<PlatformError>) -> String {
    let cause = failure.as_ref().map(ToString::to_string);
    cause.unwrap_or_else(|| "the time is over".to_owned())
}

/// Why an operator's command failed, and whether it changed anything.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// Another roll was applied first. Nothing was changed.
    #[error(
        "conflict: version {} was rolled by {} in the meantime; nothing was changed",
        conflicting.version.0, conflicting.by
    )]
    Conflict {
        /// The roll that was applied.
        conflicting: AppliedRoll,
    },
    /// The version is not above the one in force. Nothing was changed.
    #[error(
        "version {} is not newer than version {} in force; prepare the document again",
        version.0, active.0
    )]
    NotNewer {
        /// The requested version.
        version: BundleVersion,
        /// Version in force.
        active: BundleVersion,
    },
    /// No such version is prepared.
    #[error("no bundle of version {} is prepared", version.0)]
    NoSuchVersion {
        /// The requested version.
        version: BundleVersion,
    },
    /// The bundle lacks a valid approval.
    #[error("version {} cannot be rolled: {source}", version.0)]
    NotApproved {
        /// The requested version.
        version: BundleVersion,
        /// Why its signatures are not accepted.
        source: SignatureError,
    },
    /// The bundle breaks a rule. Nothing was changed.
    #[error("the bundle breaks a rule: {0}")]
    BadBundle(BundleProblem),
    /// A stored record cannot be decoded or does not match its digest. Nothing was changed.
    #[error("the record under `{key}` is damaged: {reason}")]
    DamagedRecord {
        /// Key of the record.
        key: String,
        /// Why the record is rejected.
        reason: String,
    },
    /// The platform did not accept the request before the deadline. Nothing was changed.
    #[error("nothing was changed: {}", cause(.0))]
    NotRun(Option<PlatformError>),
    /// The answer was lost, and the store could not be read before the deadline to find out
    /// the outcome.
    #[error("outcome unknown, look at the status later: {}", cause(.0))]
    Unknown(Option<PlatformError>),
}

impl OperatorError {
    /// Returns the exit code of the command: 2 if the bundle breaks a rule; 3 if another roll
    /// was applied first or the version is not newer than the one in force; 4 if the outcome is
    /// unknown; 5 if the platform did not accept the request; 1 if the version is not prepared or
    /// not approved, or a record is damaged.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::BadBundle(_) => 2,
            Self::Conflict { .. } | Self::NotNewer { .. } => 3,
            Self::Unknown(_) => 4,
            Self::NotRun(_) => 5,
            Self::NoSuchVersion { .. } | Self::NotApproved { .. } | Self::DamagedRecord { .. } => 1,
        }
    }
}
