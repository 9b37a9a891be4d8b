//! Placing a statement by the regions that its route and its tenant are confined to.

use std::collections::BTreeSet;
use std::rc::Rc;

use hookpoint_coordination::serving::placement::{GroupView, Need, Obstacle, Placement};
use hookpoint_coordination::serving::session::Access;
use hookpoint_coordination::serving::topology::Consistency;
use hookpoint_state::DatabaseName;

use super::outcome::Tried;
use super::target::Target;
use super::{REPLACEMENT_TIME, Request, Work};
use crate::message::Failure;

impl Request<'_> {
    /// Where it may run and pass through, by the configuration in force: a statement that
    /// waits is placed anew before each attempt.
    pub(super) fn placement(&self) -> Rc<Placement> {
        self.node.placement(self.name, self.route, self.principal)
    }

    /// Whether the configuration in force allows all that `placement`, by which a database
    /// was chosen, did.
    pub(super) fn still_allows(&self, placement: &Placement) -> bool {
        self.placement().covers(placement)
    }

    /// Refuses a statement that no permitted database can run, before it costs its tenant
    /// anything.
    pub(super) fn refuse_unless_placed(
        &self,
        work: &Work,
        plain_transaction: bool,
    ) -> Result<(), Failure> {
        let placement = self.placement();
        let need = self.need(work, plain_transaction, &placement);
        match self.obstacle(&placement, need) {
            Some(obstacle) => Err(self.refuse_misplaced(work, Tried::default(), obstacle)),
            None => Ok(()),
        }
    }

    /// Refuses a write in a transaction that was opened for reading, as the primary stands
    /// outside.
    pub(crate) fn refuse_write_inside(&self, work: &Work) -> Failure {
        self.refuse_misplaced(work, Tried::default(), Obstacle::PrimaryOutside)
    }

    /// The database for the next attempt, if one can be used at the moment, and which one it
    /// had to be.
    pub(super) fn next_target(
        &self,
        work: &Work,
        plain_transaction: bool,
        avoided: &BTreeSet<DatabaseName>,
    ) -> Result<(Option<Target>, Need), Obstacle> {
        let placement = self.placement();
        let need = self.need(work, plain_transaction, &placement);
        if let Some(obstacle) = self.obstacle(&placement, need) {
            return Err(obstacle);
        }
        let target = match need {
            Need::Primary => self.leader_target(&placement),
            Need::AnyDatabase => self.read_target(&placement, avoided),
        };
        Ok((target, need))
    }

    /// Which database the statement needs. A transaction that may write and begins with a
    /// read gets the primary, but reads inside while that stands outside: it may well
    /// be all that its caller wants.
    fn need(&self, work: &Work, plain_transaction: bool, placement: &Placement) -> Need {
        let reads_primary = self.route.consistency == Consistency::Primary;
        if reads_primary || work.access == Access::Write {
            return Need::Primary;
        }
        let outside = || self.obstacle(placement, Need::Primary) == Some(Obstacle::PrimaryOutside);
        if plain_transaction && !outside() {
            Need::Primary
        } else {
            Need::AnyDatabase
        }
    }

    /// Why waiting for a permitted database is in vain, if it is.
    fn obstacle(&self, placement: &Placement, need: Need) -> Option<Obstacle> {
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
        placement.obstacle(need, group, &self.node.changeable().regions)
    }

    /// The primary, unless it does not answer and may be replaced, and the database that a
    /// promotion ordered a moment ago is for.
    fn leader_and_successor(&self) -> (Option<DatabaseName>, Option<DatabaseName>) {
        let now = self.node.now();
        self.node.with_group(&self.route.group, |state| {
            let promoting = state.promoting.as_ref();
            let under_way = promoting.filter(|(_, since)| now.since(*since) < REPLACEMENT_TIME);
            let successor = under_way.map(|(candidate, _)| candidate.clone());
            let answers = state.contact.lost_since.is_none();
            let leader = state.leadership.leader().filter(|_| answers);
            (leader.cloned(), successor)
        })
    }
}
