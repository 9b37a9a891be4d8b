//! Why an operator's command failed.

use hookpoint_coordination::rollout::PointerView;
use hookpoint_protocol::platform::records::Stamp;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{BundleProblem, SignatureError};
use hookpoint_transport::platform::PlatformError;
use thiserror::Error;

/// Who holds the pointer instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Winner {
    /// Version in force.
    pub version: BundleVersion,
    /// Who rolled it; empty when nothing was ever rolled.
    pub by: String,
}

impl Winner {
    pub(super) fn of(pointer: Option<&PointerView<Stamp>>) -> Self {
        Self {
            version: pointer.map(|pointer| pointer.version).unwrap_or_default(),
            by: pointer.map_or_else(String::new, |pointer| pointer.attempt.by.clone()),
        }
    }
}

/// Why the last request failed, for people.
fn cause(failure: &Option<PlatformError>) -> String {
    let cause = failure.as_ref().map(ToString::to_string);
    cause.unwrap_or_else(|| "the time is over".to_owned())
}

/// A failed command.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// Another roll came first. Nothing was changed.
    #[error(
        "conflict: version {} was rolled by {} in the meantime; nothing was changed",
        winner.version.0, winner.by
    )]
    Conflict {
        /// Who came first.
        winner: Winner,
    },
    /// The version is not above the one in force. Nothing was changed.
    #[error(
        "version {} is not newer than version {} in force; prepare the document again",
        version.0, active.0
    )]
    NotNewer {
        /// Version asked for.
        version: BundleVersion,
        /// Version in force.
        active: BundleVersion,
    },
    /// No such version is prepared.
    #[error("no bundle of version {} is prepared", version.0)]
    NoSuchVersion {
        /// Version asked for.
        version: BundleVersion,
    },
    /// The bundle is not approved.
    #[error("version {} cannot be rolled: {source}", version.0)]
    NotApproved {
        /// Version asked for.
        version: BundleVersion,
        /// What is wrong with its approvals.
        source: SignatureError,
    },
    /// The bundle breaks a rule. Nothing was changed.
    #[error("the bundle breaks a rule: {0}")]
    BadBundle(BundleProblem),
    /// What the store holds is not what it should be. Nothing was changed.
    #[error("the record under `{key}` is damaged: {reason}")]
    DamagedRecord {
        /// Its key.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The platform did not take the request in time. Nothing was changed.
    #[error("nothing was changed: {}", cause(.0))]
    NotRun(Option<PlatformError>),
    /// The answer was lost and the store could not be read back in time.
    #[error("outcome unknown, look at the status later: {}", cause(.0))]
    Unknown(Option<PlatformError>),
}

impl OperatorError {
    /// Exit code of the command.
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
