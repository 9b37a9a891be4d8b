//! When a commit may be acknowledged.
//!
//! Invariant: a commit is acknowledged only after a majority of its group has flushed
//! the log up to a position at or beyond it, on the term in which it ran. It holds
//! across changes of primary because a group elects by majority the database with the
//! furthest log, and any two majorities share a member: that member has the commit, so
//! the elected one has it too. A primary that is cut off cannot gather a majority, as
//! replicas that have voted for a later term no longer confirm to it.

use std::time::Duration;

use hookpoint_state::{Position, Term, Timestamp, UnknownCause};

use crate::status::{BackendStatus, Role};
use crate::terms::GroupView;

/// Pause before the first repeated probe.
const FIRST_PROBE_PAUSE: Duration = Duration::from_micros(500);
/// Longest pause between two probes.
const LONGEST_PROBE_PAUSE: Duration = Duration::from_millis(5);

/// Wait for a majority after which the primary is in doubt. Writes sent to a primary
/// that is cut off end with an unknown outcome; held ones run on its successor.
const DOUBT_AFTER: Duration = Duration::from_millis(100);

/// The search for evidence of one commit.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Term the transaction began in, as far as it is known.
    began: Option<Term>,
    target: Option<Position>,
    started: Timestamp,
    deadline: Timestamp,
    pause: Duration,
    doubted: bool,
}

/// What to do after a probe's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The commit is held by that many databases; acknowledge it.
    Held {
        /// Position the session's later reads must see.
        position: Position,
        /// Databases known to hold it.
        holders: usize,
    },
    /// Ask again after the pause.
    AskAgain {
        /// The pause.
        after: Duration,
    },
    /// Give up.
    Doubtful(UnknownCause),
}

impl Evidence {
    /// Starts the search; it ends after `limit`.
    pub fn new(began: Option<Term>, now: Timestamp, limit: Duration) -> Self {
        Self {
            began,
            target: None,
            started: now,
            deadline: now + limit,
            pause: FIRST_PROBE_PAUSE,
            doubted: false,
        }
    }

    /// The position that has waited so long for a majority that its primary is in
    /// doubt; told once.
    pub fn doubtful(&mut self, now: Timestamp) -> Option<Position> {
        let late = now.since(self.started) >= DOUBT_AFTER;
        if !late || std::mem::replace(&mut self.doubted, true) {
            return None;
        }
        self.target
    }

    /// Whether the time for the search is over.
    pub fn is_over(&self, now: Timestamp) -> bool {
        now >= self.deadline
    }

    /// Weighs a probe's answer.
    pub fn weigh(&mut self, now: Timestamp, view: &GroupView, status: &BackendStatus) -> Verdict {
        let moved_on = status.role != Role::Primary
            || self.began.is_some_and(|term| term != status.term)
            || self.target.is_some_and(|target| target.term != status.term)
            || view.highest_term > status.term;
        if moved_on {
            return Verdict::Doubtful(UnknownCause::TermChanged);
        }
        let target = *self.target.get_or_insert(status.place());
        let holders = view.holders(status, target.lsn);
        if holders >= view.majority() {
            return Verdict::Held {
                position: target,
                holders,
            };
        }
        if self.is_over(now) {
            return Verdict::Doubtful(UnknownCause::NoMajority);
        }
        let after = self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PROBE_PAUSE);
        Verdict::AskAgain { after }
    }
}
