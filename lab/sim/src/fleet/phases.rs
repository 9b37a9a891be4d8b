//! The phases of a fleet run.

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_coordination::node::{LeadershipNews, NodeEvent};
use hookpoint_state::{BundleVersion, GroupName, NodeId, Position, Term, Timestamp};
use rand::Rng as _;

use super::account::traffic;
use super::report::{FleetReport, Spread};
use super::settings::FleetSettings;
use super::world::{Fleet, database_name, group_name};

/// Longest wait for all nodes to know each other.
const JOIN_PATIENCE: Duration = Duration::from_secs(300);
/// Share of the others that counts as most of them.
const MOST: f64 = 0.99;
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(100);
/// Time given to a bundle, a term or a death to reach everyone.
const SETTLE: Duration = Duration::from_secs(10);
/// Time given to everything after a cut has healed.
const HEAL_PATIENCE: Duration = Duration::from_secs(60);
/// Time between two registrations of a machine at the platform.
const REGISTRATION_PERIOD: Duration = Duration::from_secs(40);
const MILLIS_A_DAY: f64 = 86_400_000.0;

/// Runs all phases.
pub(super) fn run(settings: &FleetSettings) -> FleetReport {
    let mut fleet = Fleet::new(settings);
    let mut report = FleetReport {
        settings: settings.clone(),
        registrations_a_second: settings.nodes as f64 / REGISTRATION_PERIOD.as_secs_f64(),
        ..FleetReport::default()
    };
    join(&mut fleet, &mut report);
    quiet(&mut fleet, &mut report);
    roll_bundles(&mut fleet, &mut report);
    change_terms(&mut fleet, &mut report);
    if settings.cut_zone {
        cut_zone(&mut fleet, &mut report);
    }
    if settings.deaths > 0 {
        kill(&mut fleet, &mut report);
    }
    let homes = fleet.nodes.iter().map(|node| node.machine.held().count());
    report.homes_max = homes.max().unwrap_or(0) as u64;
    report.events = fleet.events;
    report
}

fn run_for(fleet: &mut Fleet, time: Duration) {
    let end = fleet.now() + time;
    run_to(fleet, end);
}

/// Runs to `end`, also when the last event comes before it.
fn run_to(fleet: &mut Fleet, end: Timestamp) {
    fleet.run_until(end);
    fleet.schedule.advance(end);
}

/// Runs until `holds` or the patience is over. Returns whether it held.
fn run_until_true(fleet: &mut Fleet, patience: Duration, holds: impl Fn(&Fleet) -> bool) -> bool {
    let end = fleet.now() + patience;
    while fleet.now() < end {
        if holds(fleet) {
            return true;
        }
        run_for(fleet, LOOK);
    }
    holds(fleet)
}

/// Whether every node takes this share of the others for alive.
fn known(fleet: &Fleet, share: f64) -> bool {
    let alive = fleet.nodes.iter().filter(|node| !node.dead).count();
    let wanted = ((alive.saturating_sub(1)) as f64 * share).ceil() as usize;
    let mut nodes = fleet.nodes.iter().filter(|node| !node.dead);
    nodes.all(|node| {
        let members = node.machine.membership().members();
        members.filter(|member| member.state.takes_work()).count() >= wanted
    })
}

fn everyone_has(fleet: &Fleet, version: BundleVersion) -> bool {
    let mut alive = fleet.nodes.iter().filter(|node| !node.dead);
    alive.all(|node| node.installed.contains_key(&version))
}

/// Starts all nodes, before there is any bundle, and rolls the first one.
fn join(fleet: &mut Fleet, report: &mut FleetReport) {
    let started = Timestamp::from_millis(fleet.settings.join_ms);
    run_to(fleet, started);
    let time = |fleet: &Fleet| fleet.now().since(started).as_secs_f64() * 1_000.0;
    let most = run_until_true(fleet, JOIN_PATIENCE, |fleet| known(fleet, MOST));
    report.joined_ms = most.then(|| time(fleet));
    let all = run_until_true(fleet, JOIN_PATIENCE, |fleet| known(fleet, 1.0));
    report.fully_joined_ms = all.then(|| time(fleet));
    let version = fleet.roll();
    let rolled = run_until_true(fleet, JOIN_PATIENCE, |fleet| everyone_has(fleet, version));
    if rolled {
        run_for(fleet, SETTLE);
    }
}

fn quiet(fleet: &mut Fleet, report: &mut FleetReport) {
    for node in &mut fleet.nodes {
        node.deaths.clear();
    }
    let accounts = fleet.accounts.clone();
    let requests = fleet.platform_requests;
    let time = Duration::from_millis(fleet.settings.quiet_ms);
    run_for(fleet, time);
    report.quiet = traffic(&accounts, &fleet.accounts, time);
    let verdicts = fleet.nodes.iter().map(|node| node.deaths.len() as u64);
    report.false_deaths = verdicts.sum();
    let dead: BTreeSet<NodeId> = fleet
        .nodes
        .iter()
        .flat_map(|node| node.deaths.keys().copied())
        .collect();
    report.falsely_dead_nodes = dead.len() as u64;
    let days = fleet.settings.quiet_ms.max(1) as f64 / MILLIS_A_DAY;
    report.falsely_dead_nodes_a_day = dead.len() as f64 / days;
    let answered = (fleet.platform_requests - requests) as f64;
    report.platform_requests_a_second = answered / time.as_secs_f64().max(f64::MIN_POSITIVE);
}

fn roll_bundles(fleet: &mut Fleet, report: &mut FleetReport) {
    let accounts = fleet.accounts.clone();
    let requests = fleet.platform_requests;
    let began = fleet.now();
    let mut times = Vec::new();
    for _ in 0..fleet.settings.bundles {
        let rolled = fleet.now();
        let version = fleet.roll();
        run_for(fleet, SETTLE);
        times.extend(in_force_after(fleet, version, rolled, |_| true));
    }
    let rolls = fleet.settings.bundles;
    report.bundle_in_force = Spread::of(times, fleet.nodes.len() * rolls);
    let time = fleet.now().since(began);
    report.rolling = traffic(&accounts, &fleet.accounts, time);
    let answered = (fleet.platform_requests - requests) as f64;
    report.platform_requests_a_bundle = answered / rolls.max(1) as f64;
}

/// Times from `since` until each chosen node had `version` in force.
fn in_force_after(
    fleet: &Fleet,
    version: BundleVersion,
    since: Timestamp,
    chosen: impl Fn(usize) -> bool,
) -> Vec<u64> {
    let nodes = fleet.nodes.iter().filter(|node| chosen(node.zone));
    nodes
        .filter_map(|node| node.installed.get(&version))
        .map(|at| at.0.saturating_sub(since.0))
        .collect()
}

fn change_terms(fleet: &mut Fleet, report: &mut FleetReport) {
    let groups = fleet.settings.databases / 3;
    let mut times = Vec::new();
    let mut expected = 0;
    for number in 0..fleet.settings.term_changes.min(groups) {
        let group = number * groups / fleet.settings.term_changes.max(1);
        let name = group_name(group);
        let users = use_group(fleet, &name);
        run_for(fleet, SETTLE);
        let began = fleet.now();
        let primary = database_name(group, 1);
        let home = fleet
            .nodes
            .iter()
            .position(|node| node.machine.is_home(&primary));
        let Some(home) = home else {
            continue;
        };
        let term = Term(2);
        let news = LeadershipNews {
            group: name.clone(),
            term,
            primary: Some(primary),
            place: Position::new(term.0, 1),
        };
        fleet.feed(home, NodeEvent::LeadershipObserved(news));
        run_for(fleet, SETTLE);
        let key = (name, term);
        let others = users.iter().filter(|user| **user != home);
        for user in others {
            expected += 1;
            let learned = fleet.nodes[*user].learned.get(&key);
            times.extend(learned.map(|at| at.0.saturating_sub(began.0)));
        }
    }
    report.term_change = Spread::of(times, expected);
}

fn use_group(fleet: &mut Fleet, group: &GroupName) -> BTreeSet<usize> {
    let mut users = BTreeSet::new();
    for _ in 0..fleet.settings.users_per_group {
        let user = fleet.random.random_range(0..fleet.nodes.len());
        users.insert(user);
        fleet.feed(user, NodeEvent::GroupUsed(group.clone()));
    }
    users
}

fn cut_zone(fleet: &mut Fleet, report: &mut FleetReport) {
    let zone = 1 % fleet.settings.zones;
    fleet.cut_zone = Some(zone);
    let cut = Duration::from_millis(fleet.settings.cut_ms);
    run_for(fleet, cut / 2);
    let version = fleet.roll();
    run_for(fleet, cut / 2);
    let healed = fleet.now();
    fleet.cut_zone = None;
    run_until_true(fleet, HEAL_PATIENCE, |fleet| {
        known(fleet, 1.0) && everyone_has(fleet, version)
    });
    let inside = fleet.nodes.iter().filter(|node| node.zone == zone).count();
    let times = in_force_after(fleet, version, healed, |other| other == zone);
    report.bundle_after_cut = Spread::of(times, inside);
    let whole = fleet.nodes.iter().zip(&fleet.whole_at);
    let whole = whole.filter(|(node, _)| node.takes_for_dead.is_empty());
    let times: Vec<u64> = whole.map(|(_, at)| at.0.saturating_sub(healed.0)).collect();
    report.members_after_cut = Spread::of(times, fleet.nodes.len());
    run_for(fleet, SETTLE);
}

fn kill(fleet: &mut Fleet, report: &mut FleetReport) {
    for node in &mut fleet.nodes {
        node.deaths.clear();
    }
    let died = fleet.now();
    let mut dead = BTreeSet::new();
    while dead.len() < fleet.settings.deaths.min(fleet.nodes.len() / 2) {
        let victim = fleet.random.random_range(0..fleet.nodes.len());
        fleet.nodes[victim].dead = true;
        dead.insert(victim);
    }
    run_for(fleet, HEAL_PATIENCE);
    let ids: Vec<NodeId> = dead.iter().map(|victim| fleet.nodes[*victim].id).collect();
    let mut times = Vec::new();
    for node in fleet.nodes.iter().filter(|node| !node.dead) {
        let known = ids.iter().filter_map(|id| node.deaths.get(id));
        times.extend(known.map(|at| at.0.saturating_sub(died.0)));
    }
    let survivors = fleet.nodes.len() - dead.len();
    report.death_known = Spread::of(times, survivors * dead.len());
}
