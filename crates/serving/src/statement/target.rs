//! Selects the database to which a statement is sent.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::evacuation::ZoneAvailability;
use hookpoint_coordination::serving::own_writes::OwnWriteRequirement;
use hookpoint_coordination::serving::placement::{PermittedDatabase, Placement};
use hookpoint_coordination::serving::selection::{Candidate, rank};
use hookpoint_coordination::serving::topology::Consistency;
use hookpoint_state::{DatabaseName, Position};

use super::Request;

/// Time without contact after which a primary gets no new work.
const LEADER_LOST_AFTER: Duration = Duration::from_millis(250);

/// The database chosen for an attempt.
#[derive(Clone, Debug)]
pub(super) enum Target {
    /// The presumed primary. It proves its role by accepting a plain transaction or the write.
    Leader(PermittedDatabase),
    /// Any database that holds the position.
    AtPosition(PermittedDatabase, Position),
}

impl Target {
    fn permitted(&self) -> &PermittedDatabase {
        match self {
            Target::Leader(permitted) | Target::AtPosition(permitted, _) => permitted,
        }
    }

    pub(super) fn database(&self) -> &DatabaseName {
        self.permitted().name()
    }

    /// Returns the placement under which it was chosen.
    pub(super) fn placement(&self) -> &Placement {
        self.permitted().placement()
    }
}

impl Request<'_> {
    /// Returns the presumed primary, unless this node may not use primaries, contact with the
    /// primary was refused or lost for `LEADER_LOST_AFTER`, or it may not be sent statements.
    pub(super) fn leader_in_contact(&self) -> Option<DatabaseName> {
        if !self.node.may_use_primaries() {
            return None;
        }
        let now = self.node.now();
        let lost = self.node.with_group(&self.route.group, |state| {
            state
                .contact
                .lost_since
                .is_some_and(|since| state.contact.refused || now.since(since) >= LEADER_LOST_AFTER)
        });
        let presumed = self.node.presumed_leader(&self.route.group);
        presumed.filter(|leader| !lost && self.node.may_serve(leader))
    }

    /// Returns the database if it is listed and the placement permits it.
    fn permit(&self, placement: &Rc<Placement>, name: &DatabaseName) -> Option<PermittedDatabase> {
        let database = self.node.database(name)?;
        placement.permit(&database, &self.node.changeable().regions)
    }

    /// Returns whether a write at the target would have to wait for a promotion or for this node's
    /// primary lease.
    pub(super) fn withholds_writes_at(&self, target: &Target) -> bool {
        self.node
            .withholds_writes(&self.route.group, target.database())
    }

    pub(super) fn leader_target(&self, placement: &Rc<Placement>) -> Option<Target> {
        let leader = self.leader_in_contact()?;
        self.permit(placement, &leader).map(Target::Leader)
    }

    /// Returns the position that a replica has to hold to serve this request's reads; `None` if
    /// only the primary may serve them or the position is not known.
    pub(super) fn required_position(&self) -> Option<Position> {
        let group = &self.route.group;
        let (horizon, own) = match self.route.consistency {
            Consistency::Primary => return None,
            Consistency::BoundedStaleness(bound) => {
                (self.freshness_base - bound, OwnWriteRequirement::None)
            }
            Consistency::ReadYourWrites(bound) => {
                let horizon = self.freshness_base - bound;
                (horizon, self.own_writes.requirement(group, horizon))
            }
        };
        self.node.with_group(group, |state| {
            let floor = state.leadership.floor(horizon)?;
            match own {
                OwnWriteRequirement::None => Some(floor),
                OwnWriteRequirement::Position(own) => {
                    Some(floor.max(state.leadership.translate(own)?))
                }
                OwnWriteRequirement::UnknownPosition => None,
            }
        })
    }

    pub(super) fn read_target(
        &self,
        placement: &Rc<Placement>,
        excluded: &BTreeSet<DatabaseName>,
    ) -> Option<Target> {
        let Some(required) = self.required_position() else {
            return self.leader_target(placement);
        };
        let leader = self.leader_in_contact();
        let ranked = rank(self.candidates(placement, leader.as_ref(), excluded));
        let chosen = ranked.into_iter().next()?;
        let permitted = self.permit(placement, &chosen)?;
        if leader.as_ref() == Some(&chosen) {
            return Some(Target::Leader(permitted));
        }
        Some(Target::AtPosition(permitted, required))
    }

    fn candidates(
        &self,
        placement: &Placement,
        leader: Option<&DatabaseName>,
        excluded: &BTreeSet<DatabaseName>,
    ) -> Vec<Candidate> {
        let now = self.node.now();
        let changeable = self.node.changeable();
        let directory = self.node.directory.borrow();
        directory
            .of_group(&self.route.group)
            .filter(|listed| {
                let name = &listed.database.name;
                placement.may_run(&listed.database.zone, &changeable.regions)
                    && !excluded.contains(name)
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
                    failure_share: pool.failure_share(now),
                    leaving: listed.departure.is_some(),
                    zone_avoided: self.node.zone_availability(&database.zone)
                        != ZoneAvailability::Open,
                    suspect: pool.is_suspect(now),
                    lagging: pool.is_lagging(now),
                    cold: self.node.is_cold(&database.name),
                    leader: leader == Some(&database.name),
                }
            })
            .collect()
    }
}
