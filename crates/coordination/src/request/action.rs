//! What a request machine asks its session to do.

use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, Refusal, Timestamp, UnknownCause};

use crate::explain::Decision;

/// An action, to be carried out in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Ask a majority of the group for its term, from now on.
    VerifyTerm,
    /// Ask for a connection to `database`; the answer is a lease event.
    Acquire {
        /// Database to reach.
        database: DatabaseName,
        /// When to give up.
        deadline: Timestamp,
    },
    /// Send the current unit on the held connection.
    Send {
        /// Put the status query ahead of it, in the same flight.
        check: bool,
        /// Put the status query behind it, in the same flight, and hold back the end of
        /// the answer until [`RequestAction::Acknowledge`].
        probe: bool,
    },
    /// Let the unit's answer flow to the caller. Until then it is held back; the
    /// session stops reading the connection when its buffer is full.
    Deliver,
    /// Throw the unit's answer away. The connection is released next.
    Discard,
    /// Send the status query alone on the held connection after a pause.
    Probe {
        /// The pause.
        after: Duration,
    },
    /// Ask `database` for its status after a pause, on any connection of the fleet. The
    /// answer is a probe event.
    AskStatus {
        /// The database.
        database: DatabaseName,
        /// The pause.
        after: Duration,
    },
    /// A commit at `position` of `database` has waited long for its majority: no more
    /// writes are to go there until one has it.
    Doubt {
        /// The database.
        database: DatabaseName,
        /// Position of the commit.
        position: Position,
    },
    /// Deliver the end of the answer that was held back.
    Acknowledge {
        /// What the session's later reads must see, if that has moved.
        position: Option<Position>,
    },
    /// The session's later reads must see this.
    Require {
        /// The position, joined to what was required before.
        position: Position,
    },
    /// Give the connection back.
    Release {
        /// False when its state is not known and it has to be closed.
        reusable: bool,
    },
    /// Hold the request until the view changes or the time has come.
    Wait {
        /// When to fire the timer.
        until: Timestamp,
    },
    /// Answer that the request did not run. Final.
    Refuse {
        /// Why.
        refusal: Refusal,
    },
    /// Answer that the outcome is unknown. Final.
    Unknown {
        /// Why.
        cause: UnknownCause,
    },
    /// Put a decision on the explain record.
    Record(Decision),
    /// The transaction is over; the session may take the next request. Final.
    Finished,
}
