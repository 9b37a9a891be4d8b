//! Planned moves of primaries: out of zones under evacuation, away from databases that are
//! leaving, and out of places where they should not lead.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::directory::{DirectoryEntry, StatedRole};
use hookpoint_coordination::serving::handover::{
    Drawbacks, PlannedMove, PrimaryLocation, plan_move, reason_to_move,
};
use hookpoint_state::{DatabaseName, GroupName, Position, RegionName};

use crate::node::Node;
use crate::units::millis;

/// A planned move of a primary that is due.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    /// The reason for the move and its possible targets.
    pub(super) planned: PlannedMove,
    /// How long the move has been wanted.
    pub(super) wanted_for: Duration,
    /// Position of the primary in its newest sample.
    pub(super) primary_held: Option<Position>,
}

/// Returns the move that is due for a group's primary, if the primary should not continue to lead
/// and there is a better location for it.
pub(super) fn due(node: &Rc<Node>, group: &GroupName, leader: &DatabaseName) -> Option<Handover> {
    let wanted_for = time_wanted(node, group, leader)?;
    let present = drawbacks_of_leader(node, leader);
    let others: Vec<(DatabaseName, Drawbacks)> = {
        let directory = node.directory.borrow();
        directory
            .of_group(group)
            .filter(|listed| listed.database.name != *leader)
            .map(|listed| (listed.database.name.clone(), drawbacks_of(node, listed)))
            .collect()
    };
    let planned = plan_move(present, time_led(node, group, leader), &others)?;
    let primary_held = node.with_group(group, |state| {
        let newest = state.leadership.newest_sample();
        newest.map(|(_, position)| position)
    });
    Some(Handover {
        planned,
        wanted_for,
        primary_held,
    })
}

/// Returns for how long a group's primary has been in a location that it should leave, or `None` if
/// it need not move.
pub(super) fn time_wanted(
    node: &Rc<Node>,
    group: &GroupName,
    leader: &DatabaseName,
) -> Option<Duration> {
    let present = drawbacks_of_leader(node, leader);
    let wanted = reason_to_move(present, time_led(node, group, leader)).is_some();
    let now = node.now();
    node.with_group(group, |state| {
        if !wanted {
            state.move_wanted_since = None;
            return None;
        }
        let since = *state.move_wanted_since.get_or_insert(now);
        Some(now.since(since))
    })
}

/// Returns whether, in a group whose primary is not known, a database that states that it leads is
/// in a location that a primary should leave.
pub(super) fn is_wanted_for_stated_primary(node: &Rc<Node>, group: &GroupName) -> bool {
    let directory = node.directory.borrow();
    let mut stated = directory
        .of_group(group)
        .filter(|listed| listed.database.role == StatedRole::Primary);
    stated.any(|listed| reason_to_move(drawbacks_of(node, listed), None).is_some())
}

/// Returns how long a group's primary has led by a promotion that this node knows of.
fn time_led(node: &Rc<Node>, group: &GroupName, leader: &DatabaseName) -> Option<Duration> {
    let now = node.now();
    node.with_group(group, |state| {
        let (promoted, since) = state.promoting.as_ref()?;
        (promoted == leader).then(|| now.since(*since))
    })
}

/// Returns the drawbacks of the present primary. If its entry is missing, it counts as leaving
/// only once that is certain.
fn drawbacks_of_leader(node: &Rc<Node>, leader: &DatabaseName) -> Drawbacks {
    let now = node.now();
    let steady_since = node.store_steady_since.get();
    let follows_store = node.store_reachable.get();
    let directory = node.directory.borrow();
    match directory.get(leader) {
        Some(listed) => {
            let leaving = listed.is_leaving(steady_since, now) && follows_store;
            assess_drawbacks(node, listed, leaving)
        }
        None => Drawbacks {
            leaving: follows_store,
            ..Drawbacks::default()
        },
    }
}

/// Returns the drawbacks of another database of the group, which counts as leaving at the first
/// sign.
pub(super) fn drawbacks_of(node: &Rc<Node>, listed: &DirectoryEntry) -> Drawbacks {
    assess_drawbacks(node, listed, listed.departure.is_some())
}

fn assess_drawbacks(node: &Rc<Node>, listed: &DirectoryEntry, leaving: bool) -> Drawbacks {
    let zone = &listed.database.zone;
    let location = PrimaryLocation {
        leaving,
        zone: node.zone_availability(zone),
        region: node.changeable().regions.get(zone).map(RegionName::new),
        cold: node.is_cold(&listed.database.name),
    };
    let allowed = node.primary_regions(&listed.database.group);
    Drawbacks::of(&location, allowed.as_ref())
}

/// Logs and counts the outcome of a planned move.
pub(super) fn log_outcome(
    node: &Rc<Node>,
    group: &GroupName,
    leader: &DatabaseName,
    candidate: Option<&DatabaseName>,
    handover: &Handover,
    outcome: &'static str,
) {
    let zone_of = |name: &DatabaseName| {
        let database = node.database(name);
        database.map(|database| database.zone.as_str().to_owned())
    };
    node.counters.count("handovers", outcome);
    node.log(
        "handover_decided",
        &[
            ("group", group.as_str().into()),
            ("reason", handover.planned.reason.as_str().into()),
            ("database", leader.as_str().into()),
            ("zone", zone_of(leader).into()),
            ("candidate", candidate.map(DatabaseName::as_str).into()),
            ("wanted_ms", millis(handover.wanted_for).into()),
            ("outcome", outcome.into()),
        ],
    );
}
