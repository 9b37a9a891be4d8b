//! Selection of the database that serves a read for which any sufficiently fresh database is
//! eligible.

use std::time::Duration;

use hookpoint_state::DatabaseName;

use super::reliability::WHOLE;

/// Network distance of a database from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    /// Returns the cost of the distance, as a time: its round trip plus the price of the
    /// transferred bytes.
    fn cost(self) -> Duration {
        match self {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => Duration::from_millis(25),
            Distance::OtherRegion => Duration::from_millis(120),
        }
    }
}

/// A candidate for a read.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name of the database.
    pub name: DatabaseName,
    /// Network distance from this node.
    pub distance: Distance,
    /// Number of this node's statements that the database executes or that wait for it on this
    /// node.
    pub in_flight: usize,
    /// Number of statements that it executes concurrently.
    pub slots: usize,
    /// Recent waiting time for a connection to it.
    pub wait: Duration,
    /// Mean duration of a statement on it, as measured by this node.
    pub service_time: Duration,
    /// Share of its statements that failed recently, in parts of [`reliability::WHOLE`].
    ///
    /// [`reliability::WHOLE`]: super::reliability::WHOLE
    pub failure_share: u32,
    /// Whether it has announced its departure.
    pub leaving: bool,
    /// Whether another database is to be preferred because this one's zone is being evacuated, or
    /// was until recently.
    pub zone_avoided: bool,
    /// Whether it recently failed to answer.
    pub suspect: bool,
    /// Whether it recently lacked a requested position.
    pub lagging: bool,
    /// Whether it has just started and can take little load.
    pub cold: bool,
    /// Whether it leads its group; its slots are preferably left to writes.
    pub leader: bool,
}

/// Added for a database that should only be used if no other is left.
const AVOIDED_COST: Duration = Duration::from_millis(2_000);
/// Added for a database that fails every statement; scaled down if it fails only some.
const FAILING_COST: Duration = Duration::from_millis(400);
/// Added for a cold database: more than any distance, less than for a database that does not answer
/// or is leaving.
const COLD_COST: Duration = Duration::from_millis(1_000);
/// Added for the primary.
const LEADER_COST: Duration = Duration::from_millis(4);

impl Candidate {
    /// Returns the expected cost of serving a read on this database, as a time.
    fn cost(&self) -> Duration {
        let waiting = u32::try_from(self.in_flight).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        let ahead = self.service_time * waiting / slots;
        let mut cost = self.distance.cost() + self.wait + self.service_time + ahead;
        cost += FAILING_COST * self.failure_share / WHOLE;
        if self.leader {
            cost += LEADER_COST;
        }
        if self.cold {
            cost += COLD_COST;
        }
        if self.lagging {
            cost += AVOIDED_COST / 4;
        }
        if self.leaving {
            cost += AVOIDED_COST;
        }
        if self.zone_avoided {
            cost += AVOIDED_COST;
        }
        if self.suspect {
            cost += AVOIDED_COST * 2;
        }
        cost
    }
}

/// Returns the candidates in order of ascending cost; ties are broken by name.
pub fn rank(mut candidates: Vec<Candidate>) -> Vec<DatabaseName> {
    candidates.sort_by(|left, right| {
        left.cost()
            .cmp(&right.cost())
            .then_with(|| left.name.cmp(&right.name))
    });
    candidates
        .into_iter()
        .map(|candidate| candidate.name)
        .collect()
}
