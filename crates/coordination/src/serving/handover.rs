//! Planned moves of a group's primary: whether it has to move, and to which databases.
//!
//! The reasons against a database as the location of a primary have a single defined order,
//! [`Drawbacks`]. A primary only moves to a database with less severe drawbacks by that order. As
//! long as the facts stay the same, each move therefore reduces the drawbacks, and no two reasons
//! can move a primary back and forth.

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, RegionName, Timestamp};

use super::evacuation::ZoneAvailability;

/// Minimum time after a promotion before the primary moves because of its region or because it is
/// cold. Each move costs its callers about a second of writes. A badly placed primary costs them
/// far less in that time, while one that moves repeatedly serves none of them well.
pub const MIN_STAY: Duration = Duration::from_secs(30);
/// Maximum time for which a planned move waits for a candidate that lacks commits of the primary.
/// Replicas that receive commits at all lag by a few hundred milliseconds at most.
pub const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(1_000);
/// Fraction of the promotion service's rate that planned moves may use. The rest is reserved for
/// groups without a primary, which cannot wait.
pub const PLANNED_MOVE_SHARE: f64 = 0.7;
/// Planned moves that accrue over this time at their rate may start in one burst.
const BURST_WINDOW: Duration = Duration::from_millis(200);

/// What is known about one database as the location of its group's primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryLocation {
    /// Whether it is about to leave the fleet.
    pub leaving: bool,
    /// What the databases of its zone may be used for.
    pub zone: ZoneAvailability,
    /// Its region, if known.
    pub region: Option<RegionName>,
    /// Whether it has started recently and is slow.
    pub cold: bool,
}

/// Reasons against a database as the location of a primary, in order of weight: the derived order
/// compares the fields in the order of their declaration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Drawbacks {
    /// Its zone is being evacuated, so that no requests may be sent to it soon.
    pub evacuated: bool,
    /// It is about to leave the fleet.
    pub leaving: bool,
    /// It is in a region that the routes of its group do not allow.
    pub outside_regions: bool,
    /// It has started recently and is slow.
    pub cold: bool,
    /// The evacuation of its zone has ended recently.
    pub returning: bool,
}

impl Drawbacks {
    /// Returns the drawbacks of a location. `allowed` are the regions that the group's routes
    /// allow; `None` or an empty set allows all.
    pub fn of(location: &PrimaryLocation, allowed: Option<&BTreeSet<RegionName>>) -> Self {
        let restricted_to = allowed.filter(|regions| !regions.is_empty());
        let outside_regions = restricted_to.is_some_and(|regions| {
            let region = location.region.as_ref();
            region.is_none_or(|region| !regions.contains(region))
        });
        Self {
            evacuated: matches!(
                location.zone,
                ZoneAvailability::Evacuating | ZoneAvailability::Evacuated
            ),
            leaving: location.leaving,
            outside_regions,
            cold: location.cold,
            returning: location.zone == ZoneAvailability::Returning,
        }
    }

    /// Returns whether it has the drawback that corresponds to `reason`.
    pub fn includes(&self, reason: MoveReason) -> bool {
        match reason {
            MoveReason::Evacuated => self.evacuated,
            MoveReason::Leaving => self.leaving,
            MoveReason::OutsideRegions => self.outside_regions,
            MoveReason::Cold => self.cold,
        }
    }
}

/// Why a primary is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Its zone is being evacuated.
    Evacuated,
    /// It is about to leave the fleet.
    Leaving,
    /// It is in a region that the routes of its group do not allow.
    OutsideRegions,
    /// It has started recently and is slow.
    Cold,
}

/// All reasons, the most urgent first.
const REASONS: [MoveReason; 4] = [
    MoveReason::Evacuated,
    MoveReason::Leaving,
    MoveReason::OutsideRegions,
    MoveReason::Cold,
];

impl MoveReason {
    /// Returns the reason's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            MoveReason::Evacuated => "evacuated",
            MoveReason::Leaving => "leaving",
            MoveReason::OutsideRegions => "outside_regions",
            MoveReason::Cold => "cold",
        }
    }

    /// Returns whether the reason applies regardless of how recently the primary was promoted.
    fn is_urgent(self) -> bool {
        matches!(self, MoveReason::Evacuated | MoveReason::Leaving)
    }
}

/// Returns the first reason for which a primary with these drawbacks should move, whether or not a
/// target exists. `stayed` is the time since its promotion, if there was one.
pub fn reason_to_move(present: Drawbacks, stayed: Option<Duration>) -> Option<MoveReason> {
    reasons(present, stayed).next()
}

fn reasons(present: Drawbacks, stayed: Option<Duration>) -> impl Iterator<Item = MoveReason> {
    let stayed_long = stayed.is_none_or(|stayed| stayed >= MIN_STAY);
    REASONS
        .into_iter()
        .filter(move |reason| present.includes(*reason) && (stayed_long || reason.is_urgent()))
}

/// A planned move of a primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// Why the primary has to move.
    pub reason: MoveReason,
    /// Databases that the primary may move to.
    pub targets: Vec<DatabaseName>,
}

/// Returns the move that a primary has to make, if any, and the databases of the group that it may
/// move to.
///
/// The reason is the first one that some target would resolve.
pub fn plan_move(
    present: Drawbacks,
    stayed: Option<Duration>,
    others: &[(DatabaseName, Drawbacks)],
) -> Option<PlannedMove> {
    reasons(present, stayed).find_map(|reason| {
        let targets: Vec<DatabaseName> = others
            .iter()
            .filter(|(_, drawbacks)| !drawbacks.includes(reason) && *drawbacks < present)
            .map(|(name, _)| name.clone())
            .collect();
        (!targets.is_empty()).then_some(PlannedMove { reason, targets })
    })
}

/// Returns whether the candidate of a planned move has received enough. It should hold what the
/// primary held when the move was requested. If it does not, the move waits for it for a bounded
/// time. A candidate that holds nothing at all never replaces a primary that holds commits.
pub fn holds_enough(
    received: Position,
    primary_held: Option<Position>,
    wanted_for: Duration,
) -> bool {
    let Some(held) = primary_held else {
        return true;
    };
    let empty = received.lsn.0 == 0 && held.lsn.0 > 0;
    !empty && (received >= held || wanted_for >= MAX_CATCH_UP_WAIT)
}

/// Rate limiter of planned moves, which leaves capacity of the promotion service for groups that
/// have lost their primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverLimiter {
    next_at: Timestamp,
}

impl HandoverLimiter {
    /// Returns whether one more planned move may start now, and counts it if so. `service_rate` is
    /// the number of promotions per second that the service accepts; there is no limit if the
    /// service does not report one.
    pub fn take(&mut self, service_rate: f64, now: Timestamp) -> bool {
        let spacing = Duration::try_from_secs_f64(1.0 / (service_rate * PLANNED_MOVE_SHARE));
        let Ok(spacing) = spacing else {
            return true;
        };
        let next_at = self.next_at.max(now - BURST_WINDOW);
        if next_at > now {
            return false;
        }
        self.next_at = next_at + spacing;
        true
    }
}
