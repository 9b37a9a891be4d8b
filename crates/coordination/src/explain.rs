//! The bounded record of decisions: why a request was routed, held or refused, and who
//! led a group when. Read by `hookpoint explain` and by the simulator's reports.

use std::collections::VecDeque;

use hookpoint_state::{
    BundleVersion, DatabaseName, GroupName, NodeId, Outcome, Position, SessionId, Term, Timestamp,
};
use serde::{Deserialize, Serialize};

/// What was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Decision {
    /// A request goes to a database.
    Routed {
        /// The database.
        database: DatabaseName,
        /// Why this one.
        reason: RouteReason,
        /// What its reads must see.
        required: Option<Position>,
    },
    /// A replica's check failed and the read goes elsewhere.
    CheckFailed {
        /// The database that was behind.
        database: DatabaseName,
        /// Where it was.
        place: Position,
    },
    /// A request is held.
    Held {
        /// What it waits for.
        waiting_for: HoldReason,
    },
    /// A request is sent again because it provably did not run.
    Retried {
        /// Attempts so far.
        attempt: u32,
    },
    /// A commit was acknowledged.
    Acknowledged {
        /// Its position.
        position: Position,
        /// How many databases hold it.
        holders: u32,
    },
    /// A request ended without its answer.
    Failed {
        /// Whether it ran.
        outcome: Outcome,
        /// SQLSTATE told to the caller.
        sqlstate: String,
    },
    /// A group has a new term or primary.
    Leadership {
        /// The group.
        group: GroupName,
        /// Its term.
        term: Term,
        /// Its primary, once seen.
        primary: Option<DatabaseName>,
    },
    /// A bundle came into force.
    BundleInForce {
        /// Its version.
        version: BundleVersion,
    },
    /// A node's state in the membership changed.
    Member {
        /// The node.
        node: NodeId,
        /// Its new state.
        state: String,
    },
}

/// Why a database was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// A write needs the primary.
    Write,
    /// The bundle sends the group's reads to the primary.
    Preference,
    /// A fresh replica of the nearest kind.
    FreshReplica,
    /// No replica is known to be fresh enough.
    NoFreshReplica,
}

/// What a held request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldReason {
    /// A primary.
    Primary,
    /// A verified term.
    Verification,
    /// Any reachable database.
    Database,
}

/// One entry of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When, in the node's own time.
    pub at: Timestamp,
    /// Session concerned, if any.
    pub session: Option<SessionId>,
    /// The decision.
    pub decision: Decision,
}

/// A ring of the latest entries.
#[derive(Clone, Debug)]
pub struct ExplainRing {
    entries: VecDeque<Entry>,
    capacity: usize,
}

impl ExplainRing {
    /// A ring of at most `capacity` entries.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Adds an entry; the oldest one makes room.
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

    /// Entries from the oldest to the newest, of one session or of all.
    pub fn entries(&self, session: Option<SessionId>) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |entry| session.is_none() || entry.session == session)
    }
}
