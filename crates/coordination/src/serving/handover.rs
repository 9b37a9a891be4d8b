//! Planned moves of a group's primary: whether it has to move, and to which databases it may.
//!
//! What speaks against a database as the place of a primary is ordered in one place,
//! [`Drawbacks`]. A primary moves only to a database that has less against it by that order, so
//! while the facts stay as they are each move lowers it, and no two reasons can move a primary
//! to and fro.

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_state::{DatabaseName, Position, RegionName, Timestamp};

use super::evacuation::ZoneStanding;

/// Least time from a promotion until the primary moves for its region or because it is cold.
/// Each move costs its callers about a second of writes; a primary in the wrong place costs
/// them far less in that time, while one that moves again and again serves nobody well.
pub const LEAST_STAY: Duration = Duration::from_secs(30);
/// How long a planned move waits for a candidate that lacks commits of the primary. Replicas
/// are some hundred milliseconds behind at most while they receive at all.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(1_000);
/// Part of the promotion service's rate that planned moves take. The rest is left to groups
/// without a primary, which cannot wait.
pub const PLANNED_SHARE: f64 = 0.7;
/// Planned moves that may start together: those of this long at their rate.
const PACE_WINDOW: Duration = Duration::from_millis(200);

/// What is known of one database as the place of its group's primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Whether it is about to end.
    pub leaving: bool,
    /// What its zone's databases may be used for.
    pub zone: ZoneStanding,
    /// Its region, if that is known.
    pub region: Option<RegionName>,
    /// Whether it has started lately and is slow.
    pub cold: bool,
}

/// What speaks against a database as the place of a primary. The order of the fields is the
/// order of their weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Drawbacks {
    /// Its zone is being evacuated, so that soon nothing may be sent to it.
    pub evacuated: bool,
    /// It is about to end.
    pub leaving: bool,
    /// It is in a region that the routes of its group do not allow.
    pub outside_regions: bool,
    /// It has started lately and is slow.
    pub cold: bool,
    /// The evacuation of its zone ended lately.
    pub returning: bool,
}

impl Drawbacks {
    /// The drawbacks of a place. `allowed` are the regions that the group's routes allow; none,
    /// or no region, if they allow all.
    pub fn of(place: &Place, allowed: Option<&BTreeSet<RegionName>>) -> Self {
        let bound = allowed.filter(|regions| !regions.is_empty());
        let outside_regions = bound.is_some_and(|regions| {
            let region = place.region.as_ref();
            region.is_none_or(|region| !regions.contains(region))
        });
        Self {
            evacuated: matches!(
                place.zone,
                ZoneStanding::Evacuating | ZoneStanding::Evacuated
            ),
            leaving: place.leaving,
            outside_regions,
            cold: place.cold,
            returning: place.zone == ZoneStanding::Returning,
        }
    }

    /// Whether it has the drawback that `reason` names.
    pub fn includes(&self, reason: MoveReason) -> bool {
        match reason {
            MoveReason::Evacuated => self.evacuated,
            MoveReason::Leaving => self.leaving,
            MoveReason::OutsideRegions => self.outside_regions,
            MoveReason::Cold => self.cold,
        }
    }
}

/// Why a primary moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Its zone is being evacuated.
    Evacuated,
    /// It is about to end.
    Leaving,
    /// It is in a region that the routes of its group do not allow.
    OutsideRegions,
    /// It has started lately and is slow.
    Cold,
}

/// All reasons, those that cannot wait first.
const REASONS: [MoveReason; 4] = [
    MoveReason::Evacuated,
    MoveReason::Leaving,
    MoveReason::OutsideRegions,
    MoveReason::Cold,
];

impl MoveReason {
    /// Its name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            MoveReason::Evacuated => "evacuated",
            MoveReason::Leaving => "leaving",
            MoveReason::OutsideRegions => "outside_regions",
            MoveReason::Cold => "cold",
        }
    }

    /// Whether it holds however short ago the primary was promoted.
    fn is_urgent(self) -> bool {
        matches!(self, MoveReason::Evacuated | MoveReason::Leaving)
    }
}

/// The first reason for which a primary with these drawbacks should move, whether there is a
/// place for it or not. `stayed`: since its promotion, if there was one.
pub fn reason_to_move(present: Drawbacks, stayed: Option<Duration>) -> Option<MoveReason> {
    reasons(present, stayed).next()
}

fn reasons(present: Drawbacks, stayed: Option<Duration>) -> impl Iterator<Item = MoveReason> {
    let long = stayed.is_none_or(|stayed| stayed >= LEAST_STAY);
    REASONS
        .into_iter()
        .filter(move |reason| present.includes(*reason) && (long || reason.is_urgent()))
}

/// A move that has to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedMove {
    /// Why.
    pub reason: MoveReason,
    /// The databases that the primary may move to.
    pub targets: Vec<DatabaseName>,
}

/// Whether a primary has to move, and to which of the group's other databases it may.
///
/// The first reason counts that one of them relieves it of.
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

/// Whether a candidate of a planned move holds enough. It should hold what the primary held
/// when the move was wanted. One that does not is waited for, but not for ever; one that holds
/// nothing at all never leads after a primary that holds commits.
pub fn holds_enough(
    received: Position,
    primary_held: Option<Position>,
    wanted_for: Duration,
) -> bool {
    let Some(held) = primary_held else {
        return true;
    };
    let empty = received.lsn.0 == 0 && held.lsn.0 > 0;
    !empty && (received >= held || wanted_for >= CATCH_UP_TIME)
}

/// Spreads planned moves, so that the promotion service has room for lost primaries.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverPace {
    next_at: Timestamp,
}

impl HandoverPace {
    /// Whether one more planned move may start now. `service_rate`: promotions that the service
    /// takes a second; any number if it tells none.
    pub fn take(&mut self, service_rate: f64, now: Timestamp) -> bool {
        let spacing = Duration::try_from_secs_f64(1.0 / (service_rate * PLANNED_SHARE));
        let Ok(spacing) = spacing else {
            return true;
        };
        let next_at = self.next_at.max(now - PACE_WINDOW);
        if next_at > now {
            return false;
        }
        self.next_at = next_at + spacing;
        true
    }
}
