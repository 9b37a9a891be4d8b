//! What a session tells its request machine.

use hookpoint_state::{DatabaseName, Position, Refusal};

use crate::request::profile::Unit;
use crate::status::BackendStatus;

/// How a unit's answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnitResult {
    /// Without an error.
    Succeeded,
    /// With an error of this SQLSTATE.
    Failed {
        /// SQLSTATE of the first error in the unit.
        sqlstate: String,
    },
}

/// An event in the life of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request has arrived. Always the first event.
    Begin,
    /// A majority of the group was asked after the request arrived, and this is the
    /// verified primary's position. Answers [`super::RequestAction::VerifyTerm`].
    TermVerified {
        /// Term and position of the verified primary.
        position: Position,
    },
    /// No majority answered the verification.
    VerifyFailed,
    /// A connection was granted. Answers [`super::RequestAction::Acquire`].
    LeaseGranted {
        /// Database the connection leads to.
        database: DatabaseName,
    },
    /// No connection was granted; nothing ran. It may come after
    /// [`RequestEvent::LeaseGranted`] and before any answer, when the lease is held by
    /// another node and the unit was sent along with the request for it.
    LeaseRefused {
        /// Database that was asked for.
        database: DatabaseName,
        /// Why.
        refusal: Refusal,
    },
    /// Answer to the status query sent ahead of the unit.
    CheckAnswered {
        /// What it says.
        status: BackendStatus,
    },
    /// The current unit's answer has ended (`ReadyForQuery`).
    UnitFinished {
        /// How.
        result: UnitResult,
        /// Whether a transaction block is open now.
        in_transaction: bool,
    },
    /// The caller sent another unit of the same transaction.
    NextUnit {
        /// The unit.
        unit: Unit,
    },
    /// Answer to the status query sent behind a unit that may commit, or to a later
    /// probe.
    ProbeAnswered {
        /// What it says.
        status: BackendStatus,
    },
    /// No answer to [`super::RequestAction::AskStatus`].
    ProbeFailed,
    /// The connection is gone.
    ConnectionLost,
    /// The view of the group has changed.
    ViewChanged,
    /// The time of an earlier [`super::RequestAction::Wait`] has come.
    TimerFired,
    /// The caller has gone away.
    CallerGone,
}
