//! Restricts statements to the regions that their route and their tenant allow.

use std::collections::BTreeSet;
use std::rc::Rc;

use hookpoint_coordination::serving::placement::{
    GroupView, Placement, PlacementError, RequiredDatabase,
};
use hookpoint_coordination::serving::session::Access;
use hookpoint_coordination::serving::topology::Consistency;
use hookpoint_state::DatabaseName;

use super::outcome::AttemptSummary;
use super::target::Target;
use super::{EXPECTED_FAILOVER_TIME, Request, Work};
use crate::message::Failure;

impl Request<'_> {
    /// Returns where the statement may run and through which nodes it may pass, by the current
    /// configuration. It is computed again before each attempt, because the configuration may
    /// change while the statement waits.
    pub(super) fn placement(&self) -> Rc<Placement> {
        self.node.placement(self.name, self.route, self.principal)
    }

    /// Returns whether the current configuration allows everything that `placement`, by which a
    /// database was chosen, allows.
    pub(super) fn still_allows(&self, placement: &Placement) -> bool {
        self.placement().covers(placement)
    }

    /// Refuses a statement that no allowed database can run, before a token of its tenant is
    /// taken. `read_write_transaction`: whether it begins a transaction that may write.
    pub(super) fn check_placement(
        &self,
        work: &Work,
        read_write_transaction: bool,
    ) -> Result<(), Failure> {
        let placement = self.placement();
        let need = self.required_database(work, read_write_transaction, &placement);
        match self.placement_error(&placement, need) {
            Some(placement_error) => {
                Err(self.refuse_for_region(work, AttemptSummary::default(), placement_error))
            }
            None => Ok(()),
        }
    }

    /// Refuses a write in a transaction that was opened read-only because the primary is outside
    /// the allowed regions.
    pub(crate) fn refuse_write_outside_regions(&self, work: &Work) -> Failure {
        self.refuse_for_region(
            work,
            AttemptSummary::default(),
            PlacementError::PrimaryOutside,
        )
    }

    /// Returns the database for the next attempt, or `None` if none is usable at the moment, and
    /// whether it has to be the primary.
    pub(super) fn next_target(
        &self,
        work: &Work,
        read_write_transaction: bool,
        excluded: &BTreeSet<DatabaseName>,
    ) -> Result<(Option<Target>, RequiredDatabase), PlacementError> {
        let placement = self.placement();
        let need = self.required_database(work, read_write_transaction, &placement);
        if let Some(placement_error) = self.placement_error(&placement, need) {
            return Err(placement_error);
        }
        let target = match need {
            RequiredDatabase::Primary if work.access == Access::Write => {
                let target = self.leader_target(&placement);
                target.filter(|target| !self.withholds_writes_at(target))
            }
            RequiredDatabase::Primary => self.leader_target(&placement),
            RequiredDatabase::AnyDatabase => self.read_target(&placement, excluded),
        };
        Ok((target, need))
    }

    /// Returns which database the statement needs. A transaction that may write and begins with a
    /// read gets the primary. If the primary is outside the allowed regions, the transaction runs
    /// read-only on another database, because the caller may only want to read.
    fn required_database(
        &self,
        work: &Work,
        read_write_transaction: bool,
        placement: &Placement,
    ) -> RequiredDatabase {
        let reads_primary = self.route.consistency == Consistency::Primary;
        if reads_primary || work.access == Access::Write {
            return RequiredDatabase::Primary;
        }
        let outside = || {
            self.placement_error(placement, RequiredDatabase::Primary)
                == Some(PlacementError::PrimaryOutside)
        };
        if read_write_transaction && !outside() {
            RequiredDatabase::Primary
        } else {
            RequiredDatabase::AnyDatabase
        }
    }

    /// Returns why no allowed database can run the statement however long it waits, or `None` if
    /// one may become usable.
    fn placement_error(
        &self,
        placement: &Placement,
        need: RequiredDatabase,
    ) -> Option<PlacementError> {
        if !placement.is_restricted() {
            return None;
        }
        let (leader, successor) = self.leader_and_successor();
        let directory = self.node.directory.borrow();
        let databases: Vec<_> = directory
            .of_group(&self.route.group)
            .map(|listed| &listed.database)
            .filter(|database| self.node.may_serve(&database.name))
            .collect();
        let group = GroupView {
            databases: &databases,
            leader: leader.as_ref(),
            successor: successor.as_ref(),
        };
        placement.placement_error(need, group, &self.node.changeable().regions)
    }

    /// Returns the primary, unless it does not answer and may be replaced, and the database whose
    /// promotion was ordered less than `EXPECTED_FAILOVER_TIME` ago.
    fn leader_and_successor(&self) -> (Option<DatabaseName>, Option<DatabaseName>) {
        let now = self.node.now();
        self.node.with_group(&self.route.group, |state| {
            let promoting = state.promoting.as_ref();
            let under_way =
                promoting.filter(|(_, since)| now.since(*since) < EXPECTED_FAILOVER_TIME);
            let successor = under_way.map(|(candidate, _)| candidate.clone());
            let answers = state.contact.lost_since.is_none();
            let leader = state.leadership.leader().filter(|_| answers);
            (leader.cloned(), successor)
        })
    }
}
