//! Statements that only a database in an evacuated zone could run.

use hookpoint_state::Timestamp;

use super::outcome::AttemptSummary;
use super::{EXPECTED_FAILOVER_TIME, Request, Work};
use crate::message::{Failure, FailureCode};

/// Error text of a refusal that lasts until the evacuation ends.
const EVACUATION_REFUSAL: &str =
    "nothing was kept; the only database that can run this is in a zone under evacuation";

/// Whether a statement that found no database because of an evacuation should wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvacuationWait {
    /// A promotion of another database was ordered and should be complete by this time.
    FailoverExpectedBy(Timestamp),
    /// No failover is under way, so waiting would not help.
    NoFailover,
}

impl Request<'_> {
    /// Returns whether to wait if an evacuation is why no database can run a statement, or `None`
    /// if it is not. `only_leader`: whether only the primary may run the statement.
    pub(super) fn evacuation_wait(&self, only_leader: bool) -> Option<EvacuationWait> {
        let leader = self.node.evacuated_leader(&self.route.group)?;
        if !only_leader && self.any_database_serves() {
            return None;
        }
        let now = self.node.now();
        let ordered_at = self.node.with_group(&self.route.group, |state| {
            let (candidate, since) = state.promoting.as_ref()?;
            (*candidate != leader).then_some(*since)
        });
        let expected = ordered_at.map(|ordered_at| ordered_at + EXPECTED_FAILOVER_TIME);
        Some(match expected.filter(|expected| *expected > now) {
            Some(expected) => EvacuationWait::FailoverExpectedBy(expected),
            None => EvacuationWait::NoFailover,
        })
    }

    /// Returns whether statements may be sent to at least one database of the group.
    fn any_database_serves(&self) -> bool {
        let directory = self.node.directory.borrow();
        let mut databases = directory.of_group(&self.route.group);
        databases.any(|listed| self.node.may_serve(&listed.database.name))
    }

    /// Logs and counts the refusal of a statement that no database can run until the evacuation
    /// ends. The answer has no retry hint, because the end of the evacuation is not known.
    pub(super) fn refuse_evacuated(&self, work: &Work, mut summary: AttemptSummary) -> Failure {
        summary.refusal_reason = Some("zone_evacuated");
        self.log_outcome(work, &summary, "refused");
        self.node.counters.count("refused", "evacuated");
        Failure::new(FailureCode::Overloaded, EVACUATION_REFUSAL)
    }
}
