//! Which database serves a read that any sufficiently fresh one may serve.

use std::time::Duration;

use hookpoint_state::DatabaseName;

use super::reliability::WHOLE;

/// How far a database is from this node.
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
    /// Cost of the distance: its round trip and the price of the bytes, as a time.
    fn cost(self) -> Duration {
        match self {
            Distance::SameZone => Duration::ZERO,
            Distance::SameRegion => Duration::from_millis(25),
            Distance::OtherRegion => Duration::from_millis(120),
        }
    }
}

/// One candidate for a read.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The database.
    pub name: DatabaseName,
    /// How far it is.
    pub distance: Distance,
    /// Statements of this node that it is working on or that wait for it here.
    pub in_flight: usize,
    /// Statements that it works on at once.
    pub slots: usize,
    /// Time that a connection to it is lately waited for.
    pub wait: Duration,
    /// Mean time of one statement there, as measured by this node.
    pub service_time: Duration,
    /// Share of its statements that failed lately, of [`reliability::WHOLE`].
    ///
    /// [`reliability::WHOLE`]: super::reliability::WHOLE
    pub failing: u32,
    /// Whether it announces its end.
    pub draining: bool,
    /// Whether its zone is to get nothing that another database can run: it is being evacuated,
    /// or was until lately.
    pub zone_avoided: bool,
    /// Whether it failed to answer lately.
    pub suspect: bool,
    /// Whether it lately lacked a position that was asked for.
    pub lagging: bool,
    /// Whether it has just started and bears little load.
    pub cold: bool,
    /// Whether it leads its group; its slots are spared for writes.
    pub leader: bool,
}

/// Added for a database that should only be used if no other is left.
const AVOIDED: Duration = Duration::from_millis(2_000);
/// Added for a database that fails every statement; in proportion for one that fails some.
const FAILING_COST: Duration = Duration::from_millis(400);
/// Added for a database that is cold: more than any distance, less than one that does not
/// answer or leaves.
const COLD_COST: Duration = Duration::from_millis(1_000);
/// Added for the primary.
const LEADER_COST: Duration = Duration::from_millis(4);

impl Candidate {
    /// Expected cost of serving a read there, as a time.
    fn cost(&self) -> Duration {
        let waiting = u32::try_from(self.in_flight).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots.max(1)).unwrap_or(u32::MAX);
        let ahead = self.service_time * waiting / slots;
        let mut cost = self.distance.cost() + self.wait + self.service_time + ahead;
        cost += FAILING_COST * self.failing / WHOLE;
        if self.leader {
            cost += LEADER_COST;
        }
        if self.cold {
            cost += COLD_COST;
        }
        if self.lagging {
            cost += AVOIDED / 4;
        }
        if self.draining {
            cost += AVOIDED;
        }
        if self.zone_avoided {
            cost += AVOIDED;
        }
        if self.suspect {
            cost += AVOIDED * 2;
        }
        cost
    }
}

/// The candidates from the cheapest to the dearest; ties go by name.
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
