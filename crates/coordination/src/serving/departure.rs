//! How long a database that leaves the fleet still receives new work.
//!
//! The time runs from the database's announcement, but a node only knows when it received the
//! announcement. A node that starts, was paused or was partitioned, or whose upstream was, receives
//! it late. Each node therefore tracks the time up to which it knows every change in the store: an
//! announcement that is new to it was made after that time. The grace period is counted from there,
//! which is at most some seconds too early and never too late. If nodes know different lower bounds
//! for the same announcement, the latest one applies.

use std::time::Duration;

use hookpoint_state::Timestamp;
use serde::{Deserialize, Serialize};

/// How long an entry has to be absent, while this node follows the store without a gap, before the
/// database is known to have left: more than two heartbeats, since an entry that expired in an
/// outage is written again with the next heartbeat.
pub const ABSENCE_CONFIRMED_AFTER: Duration = Duration::from_millis(3_500);

/// Time within which databases and operators rewrite what was lost when the store was restored from
/// an older copy: more than two heartbeats.
pub const REWRITE_TIME: Duration = Duration::from_millis(3_500);

/// The time up to which a node knows every change in the store.
///
/// A store that was restored from a copy does not list the changes that it lost, although it had
/// acknowledged them. Until these have been rewritten, its updates do not extend the coverage.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    until: Timestamp,
    before_last_update: Timestamp,
    /// Updates as of an earlier time may lack lost changes.
    incomplete_until: Timestamp,
}

impl Coverage {
    /// Records an update from the store that includes every change up to `until`.
    pub fn extend(&mut self, until: Timestamp) {
        self.before_last_update = self.until;
        if until >= self.incomplete_until {
            self.until = self.until.max(until);
        }
    }

    /// Records that the store changed its era; `now` is when this node observed it.
    pub fn note_era(&mut self, now: Timestamp) {
        self.incomplete_until = now + REWRITE_TIME;
    }

    /// Records that the store has been in its era for longer than the rewriting takes.
    pub fn settle(&mut self) {
        self.incomplete_until = Timestamp::default();
    }

    /// Returns the time up to which every change is known; zero for a node that has just started.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// Returns the same time as of before the latest update: what that update reports happened
    /// later.
    pub fn before_last_update(&self) -> Timestamp {
        self.before_last_update
    }
}

/// When a node received a piece of information, and a lower bound for when the event happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnedTimes {
    /// When the node received the information.
    pub at: Timestamp,
    /// The event happened later than this.
    pub not_before: Timestamp,
}

/// How a node knows that a database leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartureEvidence {
    /// Its registration says so.
    Announced,
    /// Its registration is missing, which may be due to an outage of the store.
    Missing,
}

/// The departure of a database, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    evidence: DepartureEvidence,
    learned_at: Timestamp,
    not_before: Timestamp,
}

impl Departure {
    /// Creates the record of a departure that is new to this node.
    pub fn new(evidence: DepartureEvidence, learned: LearnedTimes) -> Self {
        Self {
            evidence,
            learned_at: learned.at,
            not_before: learned.not_before.min(learned.at),
        }
    }

    /// Returns how the departure is known.
    pub fn evidence(&self) -> DepartureEvidence {
        self.evidence
    }

    /// Returns when this node received the information.
    pub fn learned_at(&self) -> Timestamp {
        self.learned_at
    }

    /// Returns the start of the grace period: the database began to leave no earlier.
    pub fn counted_from(&self) -> Timestamp {
        self.not_before
    }

    /// Applies a lower bound known to another node: the database began to leave no earlier than
    /// `not_before`.
    pub fn raise_lower_bound(&mut self, not_before: Timestamp) {
        self.not_before = self.not_before.max(not_before.min(self.learned_at));
    }

    /// Returns until when the database receives new work, if that is allowed for `limit` after it
    /// began to leave.
    ///
    /// Many registrations go missing in an outage of the store although their databases are alive.
    /// A node that receives this information late would drop them all, so it keeps using them until
    /// their absence is conclusive.
    pub fn grace_period_end(&self, limit: Duration) -> Timestamp {
        let ends = self.not_before + limit;
        match self.evidence {
            DepartureEvidence::Announced => ends,
            DepartureEvidence::Missing => {
                ends.max(self.learned_at + ABSENCE_CONFIRMED_AFTER.min(limit))
            }
        }
    }
}
