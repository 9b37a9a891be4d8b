//! For how long a database that leaves still gets new work.
//!
//! The time runs from its announcement, and a node only knows when it heard of that. A node that
//! starts, was paused or cut off, or whose upstream was, hears late. So each node keeps up to
//! when it knows of every change of the store: an announcement that is news came after that.
//! The time is counted from there, at most some seconds too early and never too late. Where
//! nodes know different bounds of one announcement, the latest holds.

use std::time::Duration;

use hookpoint_state::Timestamp;
use serde::{Deserialize, Serialize};

/// Absence in a steady store that proves that a database left: over two heartbeats, as
/// an entry that lapsed in an outage comes back with the next one.
pub const ABSENCE_PROVES: Duration = Duration::from_millis(3_500);

/// Time within which databases and operators write again what a store lost that came back from
/// an older copy: over two heartbeats.
pub const WRITTEN_AGAIN: Duration = Duration::from_millis(3_500);

/// Up to when a node knows of every change of the store.
///
/// A store that came back from a copy lists no change that it lost, though it had acknowledged
/// it. Until those are written again its news cover nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    until: Timestamp,
    before_news: Timestamp,
    /// News from before this moment may lack lost changes.
    incomplete_until: Timestamp,
}

impl Coverage {
    /// News of the store was taken in that holds every change up to `until`.
    pub fn extend(&mut self, until: Timestamp) {
        self.before_news = self.until;
        if until >= self.incomplete_until {
            self.until = self.until.max(until);
        }
    }

    /// The store is in another era than it was known to be in before `now`.
    pub fn note_era(&mut self, now: Timestamp) {
        self.incomplete_until = now + WRITTEN_AGAIN;
    }

    /// The store has been in its era for longer than that takes.
    pub fn settle(&mut self) {
        self.incomplete_until = Timestamp::default();
    }

    /// Up to when every change is known; zero for a node that has just started.
    pub fn until(&self) -> Timestamp {
        self.until
    }

    /// The same before the newest news: what that tells of happened later.
    pub fn before_news(&self) -> Timestamp {
        self.before_news
    }
}

/// When a node hears of something, and a bound of when that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hearing {
    /// When it hears of it.
    pub at: Timestamp,
    /// It happened later than this.
    pub not_before: Timestamp,
}

/// How a database leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sign {
    /// Its registration says so.
    Announced,
    /// Its registration is gone, which an outage of the store may be the reason for.
    Missing,
}

/// A database's leaving, as far as a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    sign: Sign,
    heard_at: Timestamp,
    not_before: Timestamp,
}

impl Departure {
    /// One that is news.
    pub fn heard(sign: Sign, hearing: Hearing) -> Self {
        Self {
            sign,
            heard_at: hearing.at,
            not_before: hearing.not_before.min(hearing.at),
        }
    }

    /// How the database leaves.
    pub fn sign(&self) -> Sign {
        self.sign
    }

    /// When this node heard of it.
    pub fn heard_at(&self) -> Timestamp {
        self.heard_at
    }

    /// From when its time counts: it began to leave no earlier.
    pub fn counted_from(&self) -> Timestamp {
        self.not_before
    }

    /// Another node knows that it began to leave no earlier than this.
    pub fn learn(&mut self, not_before: Timestamp) {
        self.not_before = self.not_before.max(not_before.min(self.heard_at));
    }

    /// Until when the database gets new work, if that is allowed for `limit` after it began to
    /// leave.
    ///
    /// Many registrations go missing in an outage of the store, and their databases live. A node
    /// that hears of that late would lose them all, so for as long as absence proves nothing it
    /// goes on using them.
    pub fn work_ends(&self, limit: Duration) -> Timestamp {
        let ends = self.not_before + limit;
        match self.sign {
            Sign::Announced => ends,
            Sign::Missing => ends.max(self.heard_at + ABSENCE_PROVES.min(limit)),
        }
    }
}
