//! The phases of a run: join, rollout of a bundle, quiet period, rollout of a changed
//! bundle, change of term, and failure of a node.

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_coordination::membership::MemberState;
use hookpoint_coordination::status::{BackendStatus, Role};
use hookpoint_state::bundle::Bundle;
use hookpoint_state::{Lsn, NodeId, Term};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::fleet::{HollowFleet, bundle, database_name, group_count, group_name};
use super::node::HollowNode;
use super::report::{ScalePoint, Traffic};
use super::{ScaleError, ScaleSettings};
use crate::fit::Spread;
use crate::process::{Process, Reading, half_of_memory, load_average};

/// Maximum wait for all nodes to discover each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between polls of the member lists of all nodes.
const MEMBER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between polls of the terms of the nodes that use the group.
const TERM_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Wait for the nodes to settle after a step, before the next measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Maximum wait for a new term to reach the nodes that use the group.
const TERM_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between polls of the bundles of all nodes.
const BUNDLE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum wait for a bundle to be in force on all nodes.
const BUNDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum wait for all nodes to detect the failure of a node.
const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of nodes on which a new term is awaited.
const MAXIMUM_TERM_USERS: usize = 50;
/// Bytes in a megabyte.
const MEGABYTE: f64 = 1e6;

/// Runs all phases with a fleet of one size.
pub async fn run(settings: &ScaleSettings) -> Result<ScalePoint, ScaleError> {
    let before = Process::Own.read()?;
    let started = Instant::now();
    let fleet = HollowFleet::start(settings).await?;
    let result = measure(settings, &fleet, &before, started).await;
    fleet.shutdown();
    result
}

async fn measure(
    settings: &ScaleSettings,
    fleet: &HollowFleet,
    before: &Reading,
    started: Instant,
) -> Result<ScalePoint, ScaleError> {
    join(fleet, started).await?;
    let joined_s = started.elapsed().as_secs_f64();
    sleep(SETTLE_TIME).await;
    let resident_without_bundle_mb = resident_mb(fleet, before)?;
    roll_out(fleet, bundle(settings), 1).await?;
    use_groups(settings, fleet).await;
    sleep(SETTLE_TIME).await;
    let resident_mb = resident_mb(fleet, before)?;
    let quiet = measure_quiet_period(settings, fleet).await?;
    let (bundle_times_ms, requests) = roll_out_change(settings, fleet).await?;
    let term_times_ms = change_term(settings, fleet).await;
    let homes = fleet
        .nodes
        .iter()
        .map(|node| node.fleet.status().homes as f64);
    let homes = Spread::of(homes);
    let death_seen_ms = kill_last(fleet).await;
    Ok(ScalePoint {
        nodes: settings.nodes,
        databases: settings.databases,
        groups_per_node: settings.groups_per_node,
        load_average: load_average(),
        joined_s,
        resident_without_bundle_mb,
        resident_mb,
        term_seen_ms: Spread::of(term_times_ms.iter().copied()),
        term_times_ms,
        bundle_seen_ms: Spread::of(bundle_times_ms.iter().copied()),
        bundle_times_ms,
        platform_requests_a_bundle: requests,
        death_seen_ms,
        homes,
        ..quiet
    })
}

async fn join(fleet: &HollowFleet, started: Instant) -> Result<(), ScaleError> {
    let others = fleet.nodes.len() - 1;
    loop {
        let fewest = fleet.fewest_available_members();
        if fewest >= others {
            return Ok(());
        }
        if started.elapsed() > JOIN_TIMEOUT {
            return Err(ScaleError::NotJoined {
                seconds: JOIN_TIMEOUT.as_secs(),
                fewest,
                others,
            });
        }
        sleep(MEMBER_POLL_INTERVAL).await;
    }
}

/// Returns the mean memory of a node in megabytes: the growth of this process since
/// `before`, divided by the number of nodes.
fn resident_mb(fleet: &HollowFleet, before: &Reading) -> Result<f64, ScaleError> {
    let resident = Process::Own.read()?.resident_bytes;
    if resident > half_of_memory() {
        return Err(ScaleError::Memory { resident });
    }
    let growth = resident.saturating_sub(before.resident_bytes);
    Ok(growth as f64 / MEGABYTE / fleet.nodes.len() as f64)
}

/// Rolls out `bundle` and waits until it is in force on all nodes. Returns, for each node
/// that got the bundle before the timeout, the milliseconds since the operator's rollout
/// command.
async fn roll_out(
    fleet: &HollowFleet,
    bundle: Bundle,
    version: u64,
) -> Result<Vec<f64>, ScaleError> {
    let began = fleet.platform.roll_out(bundle).await?;
    let has_bundle = |node: &HollowNode| {
        let bundle = node.shared.bundle();
        bundle.is_some_and(|bundle| bundle.version.0 >= version)
    };
    let all_nodes = (0..fleet.nodes.len()).collect();
    Ok(wait_for(
        fleet,
        all_nodes,
        (BUNDLE_POLL_INTERVAL, BUNDLE_TIMEOUT),
        began,
        has_bundle,
    )
    .await)
}

/// Rolls out a bundle that drains one database. Returns the times of [`roll_out`] and the
/// number of requests to the platform.
async fn roll_out_change(
    settings: &ScaleSettings,
    fleet: &HollowFleet,
) -> Result<(Vec<f64>, f64), ScaleError> {
    let mut changed = bundle(settings);
    changed.drain.insert(database_name(0, 0));
    let before = fleet.platform.requests();
    let times = roll_out(fleet, changed, 2).await?;
    Ok((times, (fleet.platform.requests() - before) as f64))
}

async fn use_groups(settings: &ScaleSettings, fleet: &HollowFleet) {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let groups = group_count(settings.databases);
    for node in &fleet.nodes {
        for _ in 0..settings.groups_per_node {
            let group = random.random_range(0..groups);
            let name = group_name(group);
            node.use_group(&name, &database_name(group, 0)).await;
        }
    }
}

async fn measure_quiet_period(
    settings: &ScaleSettings,
    fleet: &HollowFleet,
) -> Result<ScalePoint, ScaleError> {
    let (traffic, reading, began) = (fleet.traffic(), Process::Own.read()?, Instant::now());
    let requests = fleet.platform.requests();
    sleep(settings.quiet_period).await;
    let (after, reading_after) = (fleet.traffic(), Process::Own.read()?);
    let seconds = began.elapsed().as_secs_f64();
    let nodes = fleet.nodes.len() as f64;
    let rate = |of: fn(&Traffic) -> u64| (of(&after) - of(&traffic)) as f64 / seconds / nodes;
    let processor = reading_after.processor.saturating_sub(reading.processor);
    let false_deaths = fleet.nodes.iter().map(|node| {
        let members = node.fleet.members();
        let dead = members
            .iter()
            .filter(|member| member.state == MemberState::Dead);
        dead.count()
    });
    Ok(ScalePoint {
        processor_percent: processor.as_secs_f64() / seconds / nodes * 100.0,
        bytes_sent_a_second: rate(|traffic| traffic.datagram_bytes_sent + traffic.link_bytes_sent),
        link_bytes_sent_a_second: rate(|traffic| traffic.link_bytes_sent),
        link_records_sent_a_second: rate(|traffic| traffic.link_records_sent),
        platform_requests_a_second: (fleet.platform.requests() - requests) as f64 / seconds,
        datagrams_sent_a_second: rate(|traffic| traffic.datagrams_sent),
        datagrams_received_a_second: rate(|traffic| traffic.datagrams_received),
        links: after.links as f64 / nodes,
        false_deaths: false_deaths.sum(),
        ..ScalePoint::default()
    })
}

/// Passes a status with a new term to the home node of a database of the first group, and
/// waits until the nodes that use the group have the new term. Returns the milliseconds of
/// each.
async fn change_term(settings: &ScaleSettings, fleet: &HollowFleet) -> Vec<f64> {
    let group = group_name(0);
    let mut order: Vec<usize> = (0..fleet.nodes.len()).collect();
    order.shuffle(&mut ChaCha8Rng::seed_from_u64(settings.seed));
    let primary = database_name(0, 1 % settings.databases);
    let mut nodes = fleet.nodes.iter();
    let Some(home) = nodes.position(|node| node.fleet.is_home(&primary)) else {
        return Vec::new();
    };
    let users: Vec<usize> = order
        .into_iter()
        .filter(|user| *user != home)
        .take(MAXIMUM_TERM_USERS)
        .collect();
    for user in &users {
        fleet.nodes[*user]
            .use_group(&group, &database_name(0, 0))
            .await;
    }
    sleep(SETTLE_TIME).await;
    let status = BackendStatus {
        role: Role::Primary,
        term: Term(2),
        position: Lsn(1),
        flushed: Vec::new(),
    };
    let began = Instant::now();
    fleet.nodes[home]
        .shared
        .apply_status(&group, &primary, &status);
    let has_term = |node: &HollowNode| {
        let view = node.shared.view(&group);
        view.is_some_and(|view| view.highest_term >= Term(2))
    };
    let users = users.into_iter().collect();
    wait_for(
        fleet,
        users,
        (TERM_POLL_INTERVAL, TERM_TIMEOUT),
        began,
        has_term,
    )
    .await
}

/// Kills the last node and waits until no other node considers it available for work.
async fn kill_last(fleet: &HollowFleet) -> Option<Spread> {
    let last_node = fleet.nodes.last()?;
    let killed: NodeId = last_node.fleet.node();
    let others: BTreeSet<usize> = (0..fleet.nodes.len() - 1).collect();
    let began = Instant::now();
    last_node.kill();
    let has_detected = |node: &HollowNode| {
        let members = node.fleet.members();
        let member = members.iter().find(|member| member.node == killed);
        member.is_none_or(|member| !member.state.is_available())
    };
    let times = wait_for(
        fleet,
        others,
        (MEMBER_POLL_INTERVAL, FAILURE_DETECTION_TIMEOUT),
        began,
        has_detected,
    )
    .await;
    Spread::of(times)
}

/// Polls the `waiting` nodes until `reached` holds on each, and returns the milliseconds since
/// `began` at which that was observed. Nodes that do not get there within the timeout are
/// left out, and their number is logged.
async fn wait_for(
    fleet: &HollowFleet,
    mut waiting: BTreeSet<usize>,
    (poll_interval, timeout): (Duration, Duration),
    began: Instant,
    reached: impl Fn(&HollowNode) -> bool,
) -> Vec<f64> {
    let mut times = Vec::new();
    while !waiting.is_empty() && began.elapsed() < timeout {
        sleep(poll_interval).await;
        waiting.retain(|index| {
            let has_reached = reached(&fleet.nodes[*index]);
            if has_reached {
                times.push(began.elapsed().as_secs_f64() * 1_000.0);
            }
            !has_reached
        });
    }
    if !waiting.is_empty() {
        log::warn!(
            "scale: {} nodes did not reach the expected state in time.",
            waiting.len()
        );
    }
    times
}
