//! Statements whose only database is in a zone that is evacuated.

use hookpoint_state::Timestamp;

use super::outcome::Tried;
use super::{REPLACEMENT_TIME, Request, Work};
use crate::message::{Failure, FailureCode};

/// Told with a refusal that lasts as long as the evacuation does.
const REFUSAL: &str =
    "nothing was kept; the only database that can run this is in a zone under evacuation";

/// What an evacuation leaves a statement that found no database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evacuated {
    /// Another primary is on its way, and should be there by then.
    HandedOverBy(Timestamp),
    /// Nothing is known to change: waiting would be in vain.
    Stays,
}

impl Request<'_> {
    /// Whether an evacuation is why no database can run a statement, which only the primary may
    /// if `only_leader`.
    pub(super) fn evacuated(&self, only_leader: bool) -> Option<Evacuated> {
        let leader = self.node.shut_leader(&self.route.group)?;
        if !only_leader && self.some_database_serves() {
            return None;
        }
        let now = self.node.now();
        let ordered_at = self.node.with_group(&self.route.group, |state| {
            let (candidate, since) = state.promoting.as_ref()?;
            (*candidate != leader).then_some(*since)
        });
        let expected = ordered_at.map(|ordered_at| ordered_at + REPLACEMENT_TIME);
        Some(match expected.filter(|expected| *expected > now) {
            Some(expected) => Evacuated::HandedOverBy(expected),
            None => Evacuated::Stays,
        })
    }

    /// Whether some database of the group gets statements at all.
    fn some_database_serves(&self) -> bool {
        let directory = self.node.directory.borrow();
        let mut databases = directory.of_group(&self.route.group);
        databases.any(|listed| self.node.may_serve(&listed.database.name))
    }

    /// The answer to a statement that no database runs until the evacuation ends, and when that
    /// will be is not known; logged and counted.
    pub(super) fn refuse_evacuated(&self, work: &Work, mut tried: Tried) -> Failure {
        tried.refused_for = Some("zone_evacuated");
        self.log_outcome(work, &tried, "refused");
        self.node.counters.count("refused", "evacuated");
        Failure::new(FailureCode::Overloaded, REFUSAL)
    }
}
