//! Actions that a request machine requests from its session.

use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, Refusal, Timestamp, UnknownCause};

use crate::explain::Decision;

/// An action, to be carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Verify the group's term by a majority of its databases, with queries sent from
    /// now on.
    VerifyTerm,
    /// Request a connection to `database`; the answer is a lease event.
    Acquire {
        /// Database to connect to.
        database: DatabaseName,
        /// When to stop waiting for the connection.
        deadline: Timestamp,
    },
    /// Send the current unit on the held connection.
    Send {
        /// Whether to send the status query ahead of the unit, in the same flight.
        check: bool,
        /// Whether to send the status query behind the unit, in the same flight, and to
        /// hold back the end of the answer until [`RequestAction::Acknowledge`].
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
    /// Query the status of `database` after a pause, on any connection of the fleet. The
    /// answer is a probe event.
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
    /// Deliver the end of the answer that was held back.
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
