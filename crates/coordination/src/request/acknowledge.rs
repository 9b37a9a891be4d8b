//! Decides when a commit may be acknowledged.
//!
//! Invariant: a commit is acknowledged only after a majority of its group has flushed
//! the log at least up to the commit's position, on the term in which it ran. The commit
//! then survives changes of primary, because a group elects by majority the database
//! with the furthest log, and any two majorities share a member. That member has the
//! commit, so the elected database has it too. A partitioned primary cannot gather a
//! majority, as replicas that have voted for a later term no longer confirm to it.

use std::time::Duration;

use hookpoint_state::{Position, Term, Timestamp, UnknownCause};

use crate::status::{BackendStatus, Role};
use crate::terms::GroupView;

/// Pause before the first repeated probe.
const FIRST_PROBE_PAUSE: Duration = Duration::from_micros(500);
/// Maximum pause between two probes.
const MAXIMUM_PROBE_PAUSE: Duration = Duration::from_millis(5);

/// How long a commit waits for a majority before its primary is marked unconfirmed.
/// Writes already sent to a partitioned primary end with an unknown outcome, while held
/// writes run on its successor.
const OVERDUE_AFTER: Duration = Duration::from_millis(100);

/// Collects evidence that a majority has flushed one commit.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Term in which the transaction began, if known.
    begin_term: Option<Term>,
    target: Option<Position>,
    started: Timestamp,
    deadline: Timestamp,
    pause: Duration,
    overdue_reported: bool,
}

/// Decision after a probe's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Enough databases have flushed the commit; acknowledge it.
    Confirmed {
        /// Position that the session's later reads must see.
        position: Position,
        /// Number of databases known to have flushed the commit.
        holders: usize,
    },
    /// Probe again after a pause.
    ProbeAgain {
        /// Pause before the next probe.
        after: Duration,
    },
    /// Stop probing; the outcome of the commit is unknown.
    OutcomeUnknown(UnknownCause),
}

impl Evidence {
    /// Creates an empty record of evidence whose deadline is `limit` from now.
    pub fn new(begin_term: Option<Term>, now: Timestamp, limit: Duration) -> Self {
        Self {
            begin_term,
            target: None,
            started: now,
            deadline: now + limit,
            pause: FIRST_PROBE_PAUSE,
            overdue_reported: false,
        }
    }

    /// Returns the commit's position once it has waited long enough for a majority to
    /// mark its primary unconfirmed; `None` before, and after it has been returned once.
    pub fn take_overdue(&mut self, now: Timestamp) -> Option<Position> {
        let late = now.since(self.started) >= OVERDUE_AFTER;
        if !late || std::mem::replace(&mut self.overdue_reported, true) {
            return None;
        }
        self.target
    }

    /// Returns whether the deadline has passed.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.deadline
    }

    /// Evaluates a probe's answer.
    pub fn evaluate(
        &mut self,
        now: Timestamp,
        view: &GroupView,
        status: &BackendStatus,
    ) -> Verdict {
        let term_changed = status.role != Role::Primary
            || self.begin_term.is_some_and(|term| term != status.term)
            || self.target.is_some_and(|target| target.term != status.term)
            || view.highest_term > status.term;
        if term_changed {
            return Verdict::OutcomeUnknown(UnknownCause::TermChanged);
        }
        let target = *self.target.get_or_insert(status.log_position());
        let holders = view.holders(status, target.lsn);
        if holders >= view.majority() {
            return Verdict::Confirmed {
                position: target,
                holders,
            };
        }
        if self.is_expired(now) {
            return Verdict::OutcomeUnknown(UnknownCause::NoMajority);
        }
        let after = self.pause;
        self.pause = (self.pause * 2).min(MAXIMUM_PROBE_PAUSE);
        Verdict::ProbeAgain { after }
    }
}
