//! Actions that a request machine requests from its session. A unit is a simple query, or
//! extended-protocol messages up to and including `Sync`. The status query returns a database's
//! role, term, log position and the positions that its replicas have flushed.

use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, Refusal, Timestamp, UnknownCause};

use crate::explain::Decision;

/// An action, to be carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Verify the group's term by a majority of its databases, with queries sent from
    /// now on.
    VerifyTerm,
    /// Request a connection to `database`; the answer is
    /// [`super::RequestEvent::LeaseGranted`] or [`super::RequestEvent::LeaseRefused`].
    Acquire {
        /// Database to connect to.
        database: DatabaseName,
        /// When to stop waiting for the connection.
        deadline: Timestamp,
    },
    /// Send the current unit on the held connection.
    Send {
        /// Whether to send the status query ahead of the unit, in the same write. Its answer
        /// shows the database's role and term, and whether it has reached the position that
        /// the request must see.
        check: bool,
        /// Whether to send the status query behind the unit, in the same write, and to hold
        /// back the end of the answer until [`RequestAction::Acknowledge`]. The end of the
        /// answer tells the caller that its transaction is committed, so it may be sent only
        /// once status answers show that a majority of the group has flushed the commit.
        probe: bool,
    },
    /// Forward the unit's answer to the caller. Until then the answer is held back; the
    /// session stops reading the connection when its buffer is full.
    Deliver,
    /// Discard the unit's answer. The connection is released next.
    Discard,
    /// Send the status query alone on the held connection after a pause.
    Probe {
        /// Pause before the query is sent.
        after: Duration,
    },
    /// Query the status of `database` after a pause, on a connection of any node of the
    /// fleet. The answer is [`super::RequestEvent::ProbeAnswered`] or
    /// [`super::RequestEvent::ProbeFailed`].
    QueryStatus {
        /// Database whose status is queried.
        database: DatabaseName,
        /// Pause before the query is sent.
        after: Duration,
    },
    /// A commit at `position` of `database` has waited too long for its majority: route
    /// no more writes there until a majority has flushed it.
    MarkUnconfirmed {
        /// Database on which the commit waits for its majority.
        database: DatabaseName,
        /// Position of the commit.
        position: Position,
    },
    /// Send the caller the end of the answer, which was held back because of `probe` in
    /// [`RequestAction::Send`].
    Acknowledge {
        /// Position that the session's later reads must see; `None` if it is unchanged.
        position: Option<Position>,
    },
    /// Require the session's later reads to see a position.
    Require {
        /// The position, merged with the one that was required before.
        position: Position,
    },
    /// Release the connection.
    Release {
        /// Whether the connection may be reused; false when its state is unknown and it
        /// must be closed.
        reusable: bool,
    },
    /// Hold the request until the group's view changes or a time is reached.
    Wait {
        /// When to send [`super::RequestEvent::TimerFired`].
        until: Timestamp,
    },
    /// Answer that the request did not run. Final.
    Refuse {
        /// Reason reported to the caller.
        refusal: Refusal,
    },
    /// Answer that the outcome is unknown. Final.
    Unknown {
        /// Reason reported to the caller.
        cause: UnknownCause,
    },
    /// Add a decision to the explain log.
    Record(Decision),
    /// The transaction has ended; the session may start the next request. Final.
    Finished,
}
