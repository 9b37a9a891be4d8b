//! Events that a session sends to its request machine.
//!
//! A unit (see [`Unit`]) is a simple query, or extended-protocol messages up to and including
//! `Sync`. A transaction consists of one or more units.

use hookpoint_state::{DatabaseName, Position, Refusal};

use crate::request::profile::Unit;
use crate::status::BackendStatus;

/// Whether the database reported an error in its answer to a unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnitResult {
    /// The unit ended without an error.
    Succeeded,
    /// The unit ended with an error.
    Failed {
        /// SQLSTATE of the first error in the unit.
        sqlstate: String,
    },
}

/// Event in the course of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request has arrived. Always the first event.
    Begin,
    /// The group's term was verified: a majority of the group answered queries sent
    /// after the request arrived. Answers [`super::RequestAction::VerifyTerm`].
    TermVerified {
        /// Term and position of the verified primary.
        position: Position,
    },
    /// The group's term could not be verified.
    VerifyFailed,
    /// A connection was granted. Answers [`super::RequestAction::Acquire`].
    LeaseGranted {
        /// Database that the connection is open to.
        database: DatabaseName,
    },
    /// No connection was granted; nothing ran. The event may come after
    /// [`RequestEvent::LeaseGranted`] and before any answer, when another node holds the
    /// lease and the unit was sent along with the request for the lease.
    LeaseRefused {
        /// Database that was requested.
        database: DatabaseName,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// The status query sent ahead of the unit was answered: `check` in
    /// [`super::RequestAction::Send`].
    CheckAnswered {
        /// Status that the database reported.
        status: BackendStatus,
    },
    /// The current unit's answer has ended (`ReadyForQuery`).
    UnitFinished {
        /// Whether the answer contained an error.
        result: UnitResult,
        /// Whether a transaction block is open after the unit.
        in_transaction: bool,
    },
    /// The caller sent another unit of the same transaction.
    NextUnit {
        /// The next unit.
        unit: Unit,
    },
    /// The status query sent directly after a unit that may commit, or a later probe for
    /// whether a majority has flushed the commit, was answered.
    ProbeAnswered {
        /// Status that the database reported.
        status: BackendStatus,
    },
    /// [`super::RequestAction::QueryStatus`] got no answer.
    ProbeFailed,
    /// The connection was lost.
    ConnectionLost,
    /// The observed state of the group has changed.
    ViewChanged,
    /// The time of an earlier [`super::RequestAction::Wait`] has been reached.
    TimerFired,
    /// The caller has disconnected.
    CallerDisconnected,
}
