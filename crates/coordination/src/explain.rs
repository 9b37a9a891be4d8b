//! The bounded log of decisions: why a request was routed, held or refused, and which
//! database led a group at which time. Read by `hookpoint explain` and by the
//! simulator's reports.

use std::collections::VecDeque;

use hookpoint_state::{
    BundleVersion, DatabaseName, GroupName, NodeId, Outcome, Position, SessionId, Term, Timestamp,
};
use serde::{Deserialize, Serialize};

/// A decision that is recorded for later inspection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Decision {
    /// A request was routed to a database.
    Routed {
        /// Database that was chosen.
        database: DatabaseName,
        /// Why the database was chosen.
        reason: RouteReason,
        /// Position that the request's reads must see, if any.
        required: Option<Position>,
    },
    /// The position that a database reported did not include the one that the request
    /// must see. The request is routed elsewhere, or, if it may have committed, ends with
    /// an unknown outcome.
    CheckFailed {
        /// Database whose position was too old.
        database: DatabaseName,
        /// Term and position that the database reported.
        #[serde(rename = "place")]
        position: Position,
    },
    /// A request was not sent to a database yet, because no database could serve it or the
    /// group's term was not verified.
    Held {
        /// What must become available before the request can be routed; if that does not
        /// happen before the request's deadline, the request is refused.
        waiting_for: HoldReason,
    },
    /// A request was sent again because it provably did not run.
    Retried {
        /// Attempts made before this one.
        attempt: u32,
    },
    /// A commit was acknowledged.
    Acknowledged {
        /// Position of the commit.
        position: Position,
        /// Number of databases known to have flushed the commit.
        holders: u32,
    },
    /// A request ended without an answer from the database.
    Failed {
        /// Whether the request ran.
        outcome: Outcome,
        /// SQLSTATE reported to the caller.
        sqlstate: String,
    },
    /// A group has a new term or primary.
    Leadership {
        /// Group whose term or primary changed.
        group: GroupName,
        /// Highest known term of the group.
        term: Term,
        /// Primary of that term; `None` until it has been observed.
        primary: Option<DatabaseName>,
    },
    /// A bundle (a version of the configuration that is rolled out to all nodes) came into
    /// force on this node.
    BundleInForce {
        /// Version of the bundle.
        version: BundleVersion,
    },
    /// A node's state in the membership changed.
    Member {
        /// Node whose state changed.
        node: NodeId,
        /// New state, as returned by `MemberState::as_str`.
        state: String,
    },
}

/// Why a database was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// Writes are routed to the primary.
    Write,
    /// The configuration in force routes the group's reads to the primary.
    Preference,
    /// The nearest replica that is expected to be fresh enough.
    FreshReplica,
    /// No replica is known to be fresh enough.
    NoFreshReplica,
}

/// Condition that a held request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// A reachable primary.
    Primary,
    /// Verification of the group's term by a majority.
    Verification,
    /// Any reachable database.
    Database,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When the decision was made, by the node's own clock.
    pub at: Timestamp,
    /// Session concerned; `None` if the decision concerns no session.
    pub session: Option<SessionId>,
    /// Decision that was made.
    pub decision: Decision,
}

/// A ring buffer of the latest entries.
#[derive(Clone, Debug)]
pub struct ExplainRing {
    entries: VecDeque<Entry>,
    capacity: usize,
}

impl ExplainRing {
    /// Creates an empty ring of at most `capacity` entries, but at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Adds an entry, evicting the oldest one when the ring is full.
    pub fn record(&mut self, at: Timestamp, session: Option<SessionId>, decision: Decision) {
        if self.entries.len() == self.capacity {
            self.entries.pop_front();
        }
        self.entries.push_back(Entry {
            at,
            session,
            decision,
        });
    }

    /// Returns the entries from the oldest to the newest, either of one session or, with
    /// `None`, of all.
    pub fn entries(&self, session: Option<SessionId>) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |entry| session.is_none() || entry.session == session)
    }
}
