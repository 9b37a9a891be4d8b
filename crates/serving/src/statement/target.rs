//! Which database a statement is sent to.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::evacuation::ZoneStanding;
use hookpoint_coordination::serving::placement::{PermittedDatabase, Placement};
use hookpoint_coordination::serving::selection::{Candidate, rank};
use hookpoint_coordination::serving::topology::Consistency;
use hookpoint_state::{DatabaseName, Position};

use super::Request;

/// Loss of contact after which a primary gets no new work.
const LEADER_LOST: Duration = Duration::from_millis(250);

/// Where a statement may run.
#[derive(Clone, Debug)]
pub(super) enum Target {
    /// The primary, confirmed as such by a plain transaction.
    Leader(PermittedDatabase),
    /// Any database that holds a position.
    Holding(PermittedDatabase, Position),
}

impl Target {
    fn permitted(&self) -> &PermittedDatabase {
        match self {
            Target::Leader(permitted) | Target::Holding(permitted, _) => permitted,
        }
    }

    pub(super) fn database(&self) -> &DatabaseName {
        self.permitted().name()
    }

    /// The placement that it was chosen by.
    pub(super) fn placement(&self) -> &Placement {
        self.permitted().placement()
    }
}

impl Request<'_> {
    pub(super) fn leader_in_contact(&self) -> Option<DatabaseName> {
        if !self.node.may_use_primaries() {
            return None;
        }
        let now = self.node.now();
        let lost = self.node.with_group(&self.route.group, |state| {
            state
                .contact
                .lost_since
                .is_some_and(|since| state.contact.refused || now.since(since) >= LEADER_LOST)
        });
        let presumed = self.node.presumed_leader(&self.route.group);
        presumed.filter(|leader| !lost && self.node.may_serve(leader))
    }

    /// The database, if the placement permits it.
    fn permit(&self, placement: &Rc<Placement>, name: &DatabaseName) -> Option<PermittedDatabase> {
        let database = self.node.database(name)?;
        placement.permit(&database, &self.node.changeable().regions)
    }

    pub(super) fn leader_target(&self, placement: &Rc<Placement>) -> Option<Target> {
        let leader = self.leader_in_contact()?;
        self.permit(placement, &leader).map(Target::Leader)
    }

    /// Position that a database has to hold to serve this request's reads.
    pub(super) fn required_position(&self) -> Option<Position> {
        let (staleness, own) = match self.route.consistency {
            Consistency::Primary => return None,
            Consistency::BoundedStaleness(bound) => (bound, None),
            Consistency::ReadYourWrites(bound) => (bound, self.own_position),
        };
        self.node.with_group(&self.route.group, |state| {
            let floor = state.leadership.floor(self.fresh_from - staleness)?;
            match own {
                Some(own) => Some(floor.max(state.leadership.translate(own)?)),
                None => Some(floor),
            }
        })
    }

    pub(super) fn read_target(
        &self,
        placement: &Rc<Placement>,
        avoided: &BTreeSet<DatabaseName>,
    ) -> Option<Target> {
        let Some(required) = self.required_position() else {
            return self.leader_target(placement);
        };
        let leader = self.leader_in_contact();
        let ranked = rank(self.candidates(placement, leader.as_ref(), avoided));
        let chosen = ranked.into_iter().next()?;
        let permitted = self.permit(placement, &chosen)?;
        if leader.as_ref() == Some(&chosen) {
            return Some(Target::Leader(permitted));
        }
        Some(Target::Holding(permitted, required))
    }

    fn candidates(
        &self,
        placement: &Placement,
        leader: Option<&DatabaseName>,
        avoided: &BTreeSet<DatabaseName>,
    ) -> Vec<Candidate> {
        let now = self.node.now();
        let changeable = self.node.changeable();
        let directory = self.node.directory.borrow();
        directory
            .of_group(&self.route.group)
            .filter(|listed| {
                let name = &listed.database.name;
                placement.may_run(&listed.database.zone, &changeable.regions)
                    && !avoided.contains(name)
                    && self.node.may_serve(name)
            })
            .map(|listed| {
                let database = &listed.database;
                let pool = self.node.pool(&database.name);
                Candidate {
                    name: database.name.clone(),
                    distance: self.node.distance(&database.zone),
                    in_flight: pool.in_flight(),
                    slots: database.slots,
                    wait: pool.expected_wait(now),
                    service_time: pool.service_time(now),
                    failing: pool.failing(now),
                    draining: listed.departure.is_some(),
                    zone_avoided: self.node.zone_standing(&database.zone) != ZoneStanding::Open,
                    suspect: pool.is_suspect(now),
                    lagging: pool.is_lagging(now),
                    cold: self.node.is_cold(&database.name),
                    leader: leader == Some(&database.name),
                }
            })
            .collect()
    }
}
