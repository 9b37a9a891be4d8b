//! Replaces lost primaries and carries out planned moves, while this node holds the coordinator
//! record.

mod handover;
mod order;
mod replicas;
mod step_down;
mod withdrawal;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::failover::{Observation, is_lost};
use hookpoint_coordination::serving::handover::{HandoverLimiter, holds_enough};
use hookpoint_coordination::serving::leadership::LeadershipPeriod;
use hookpoint_state::{DatabaseName, GroupName, Term, Timestamp};
use tokio::time::sleep;

use self::handover::Handover;
use self::order::{Authority, Cause, OrderError, Replacement, confirm_settled, order};
use self::replicas::{Eligible, ask_all, find_candidate};
use crate::message::Command;
use crate::node::Node;
use crate::peers::{FIRST_PRIMARY_TIME, PeerView, Peers};
use crate::ports::PromotionOrder;
use crate::units::millis;

/// Pause between two rounds of the coordinator.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Number of groups checked per round in addition to the monitored groups and those that wait for a
/// planned move: 640 a second. The bound keeps the cost of a round independent of the number of
/// groups.
const GROUPS_PER_ROUND: usize = 64;
/// After a promotion that may still take effect, no other promotion of the group is ordered for
/// this long.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Pause after a rejected promotion.
const REJECTED_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a planned move that was not made. A replica catching up or a peer's answer takes a
/// few round trips, and the evacuation of a zone leaves a few seconds for all attempts.
const NOT_MOVED_PAUSE: Duration = Duration::from_millis(250);

/// The reason for replacing a primary.
#[derive(Clone, Debug)]
enum Reason {
    Lost,
    Planned(Handover),
    /// An announced promotion did not take effect.
    Pending,
}

/// Runs the coordinator's rounds, each replacement in a task of its own, until the node shuts
/// down.
pub async fn coordinate(node: Rc<Node>, peers: Rc<Peers>) {
    let mut resumed_for = None;
    let mut survey = Survey::default();
    loop {
        sleep(ROUND_INTERVAL).await;
        let revision = node.coordinator_revision();
        if revision.is_none() {
            survey.to_move.clear();
            node.counters.set("primaries_to_move", 0);
            continue;
        }
        if resumed_for != revision && node.configuration().is_some() {
            resumed_for = revision;
            resume_replicas(&node).await;
        }
        for group in survey.due_groups(&node) {
            let node = Rc::clone(&node);
            let peers = Rc::clone(&peers);
            tokio::task::spawn_local(async move {
                replace_primary(&node, &peers, &group).await;
                node.with_group(&group, |state| state.being_replaced = false);
            });
        }
    }
}

/// Resumes replication on the replicas of synchronous groups. This fleet does not pause them, but
/// operators and earlier versions may, and a group whose replicas are paused acknowledges nothing.
async fn resume_replicas(node: &Rc<Node>) {
    for group in node.configured_groups() {
        if node.is_synchronous(&group) {
            let databases = node.by_stated_role(&group);
            ask_all(node, &databases, &Command::ResumeReplication).await;
        }
    }
}

/// State of the coordinator's periodic check of all groups.
#[derive(Default)]
struct Survey {
    handover_limiter: HandoverLimiter,
    /// The last group of the previous round-robin batch.
    last: Option<GroupName>,
    /// Groups whose primaries should move.
    to_move: BTreeSet<GroupName>,
}

impl Survey {
    /// Returns the groups whose primary may need replacing and marks them as being replaced: all
    /// groups that may have lost their primary, and as many planned moves as the rate allows. Each
    /// round checks the monitored groups, those waiting for a planned move, and the next batch of
    /// all groups.
    fn due_groups(&mut self, node: &Rc<Node>) -> Vec<GroupName> {
        let rate = node.changeable().promotions_per_second;
        let mut due = Vec::new();
        for group in self.next_groups(node) {
            self.note_move(node, &group);
            if node.with_group(&group, |state| state.being_replaced) {
                continue;
            }
            let starts = match reason(node, &group) {
                None => false,
                Some(Reason::Lost | Reason::Pending) => true,
                Some(Reason::Planned(_)) => self.handover_limiter.take(rate, node.now()),
            };
            if starts {
                node.with_group(&group, |state| state.being_replaced = true);
                node.monitor_group(&group);
                due.push(group);
            }
        }
        let to_move = u64::try_from(self.to_move.len()).unwrap_or(u64::MAX);
        node.counters.set("primaries_to_move", to_move);
        due
    }

    fn next_groups(&mut self, node: &Rc<Node>) -> BTreeSet<GroupName> {
        let next_batch = node.groups_after(self.last.as_ref(), GROUPS_PER_ROUND);
        self.last = next_batch.last().cloned();
        let mut groups: BTreeSet<GroupName> = next_batch.into_iter().collect();
        groups.extend(node.monitored_groups.groups());
        groups.extend(self.to_move.iter().cloned());
        groups
    }

    /// Records whether a group's primary should move. If the primary is not known but a database
    /// that states that it leads should move, the group is monitored to determine its primary.
    fn note_move(&mut self, node: &Rc<Node>, group: &GroupName) {
        let wanted = match node.leader(group) {
            Some(leader) => handover::time_wanted(node, group, &leader).is_some(),
            None => {
                if handover::is_wanted_for_stated_primary(node, group) {
                    node.note_relied_on(group);
                }
                false
            }
        };
        if wanted {
            self.to_move.insert(group.clone());
        } else {
            self.to_move.remove(group);
        }
    }
}

fn reason(node: &Rc<Node>, group: &GroupName) -> Option<Reason> {
    if node.all_in_evacuated_zones(group) {
        return None;
    }
    let now = node.now();
    let (leader, lost, awaited) = node.with_group(group, |state| {
        let lost = state.contact.lost_since.is_some();
        let reported = state.reported_leader(now).is_some();
        let never_seen = state.leadership.leadership_period() == LeadershipPeriod::default();
        let lately = state
            .leaderless_since
            .is_none_or(|since| now.since(since) < FIRST_PRIMARY_TIME);
        (
            state.leadership.leader().cloned(),
            lost,
            never_seen && lately && !reported,
        )
    });
    let Some(leader) = leader else {
        return (!awaited).then_some(Reason::Lost);
    };
    // A primary in an evacuated zone is not contacted any more, so its silence does not show
    // whether it works.
    if lost && !node.is_in_evacuated_zone(&leader) {
        return Some(Reason::Lost);
    }
    if is_overdue(node, group, &leader) {
        return Some(Reason::Pending);
    }
    handover::due(node, group, &leader).map(Reason::Planned)
}

/// Returns whether an announced promotion of a synchronous group should have taken effect or been
/// reverted by now. Until then the group's writes are withheld.
fn is_overdue(node: &Rc<Node>, group: &GroupName, leader: &DatabaseName) -> bool {
    let withheld_since = node.writes_withheld_at_since(group, leader);
    withheld_since.is_some_and(|since| node.now().since(since) >= SETTLE_TIME)
}

async fn replace_primary(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName) {
    match reason(node, group) {
        None => {}
        Some(Reason::Lost) => replace_lost(node, peers, group).await,
        Some(Reason::Planned(planned)) => hand_over(node, peers, group, &planned).await,
        Some(Reason::Pending) => complete_promotion(node, peers, group).await,
    }
}

async fn replace_lost(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName) {
    let leader = node.lost_leader(group);
    let views = views_of_lost(node, peers, group, leader.as_ref()).await;
    let Some(authority) = authority(node, &views) else {
        return;
    };
    let observations = observations_of(&views);
    if !is_lost(&observations, node.observer_counts(leader.as_ref())) {
        return;
    }
    log_loss(node, group, leader.as_ref(), &observations);
    let eligible = Eligible::All;
    let found = find_candidate(node, group, leader.as_ref(), eligible).await;
    let Some(found) = found else {
        return;
    };
    if node.lost_leader(group) != leader {
        return;
    }
    let replacement = Replacement {
        group,
        candidate: found.replica.name,
        present: leader.as_ref(),
        cause: Cause::Lost,
        newest_term: found.newest_term,
        eligible,
        authority,
    };
    let outcome = order(node, peers, replacement).await;
    settle(node, outcome).await;
}

/// Orders the promotion of a synchronous group again that was announced and did not take effect,
/// perhaps because the coordinator that announced it ended. The order may have been sent, so the
/// present primary cannot simply continue.
async fn complete_promotion(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName) {
    let Some(leader) = node.leader(group).filter(|_| node.coordinates()) else {
        return;
    };
    let eligible = Eligible::All;
    let leads_by_promotion = node.leads_by_announced_promotion(group, &leader);
    let (candidate, newest_term) = if leads_by_promotion {
        (leader.clone(), Term::default())
    } else {
        let Some(found) = find_candidate(node, group, Some(&leader), eligible).await else {
            sleep(NOT_MOVED_PAUSE).await;
            return;
        };
        (found.replica.name, found.newest_term)
    };
    let replacement = Replacement {
        group,
        candidate,
        present: Some(&leader),
        cause: Cause::Pending,
        newest_term,
        eligible,
        authority: Authority::Lease,
    };
    let outcome = order(node, peers, replacement).await;
    settle(node, outcome).await;
}

/// Moves a primary. The present primary continues to serve until the promotion takes effect.
async fn hand_over(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName, planned: &Handover) {
    let Some(leader) = node.leader(group) else {
        return;
    };
    let views = views_for_authority(node, peers, group, &leader).await;
    let Some(authority) = authority(node, &views) else {
        handover::log_outcome(node, group, &leader, None, planned, "no_authority");
        sleep(NOT_MOVED_PAUSE).await;
        return;
    };
    let eligible = Eligible::Only(&planned.planned.targets);
    let Some(found) = find_candidate(node, group, Some(&leader), eligible).await else {
        handover::log_outcome(node, group, &leader, None, planned, "no_candidate");
        sleep(NOT_MOVED_PAUSE).await;
        return;
    };
    let name = &found.replica.name;
    let received = found.replica.received;
    let not_moved = if !holds_enough(received, planned.primary_held, planned.wanted_for) {
        Some("behind")
    } else if !still_wanted(node, group, &leader, name) {
        Some("taken_back")
    } else {
        None
    };
    if let Some(outcome) = not_moved {
        handover::log_outcome(node, group, &leader, Some(name), planned, outcome);
        sleep(NOT_MOVED_PAUSE).await;
        return;
    }
    let replacement = Replacement {
        group,
        candidate: name.clone(),
        present: Some(&leader),
        cause: Cause::Planned,
        newest_term: found.newest_term,
        eligible,
        authority,
    };
    let outcome = order(node, peers, replacement).await;
    let order_result = match &outcome {
        Ok(_) => "ordered",
        Err(OrderError::Rejected) => "rejected",
        Err(OrderError::Unanswered) => "unanswered",
    };
    handover::log_outcome(node, group, &leader, Some(name), planned, order_result);
    settle(node, outcome).await;
}

/// Returns whether a group's primary should still move to `candidate`.
fn still_wanted(
    node: &Rc<Node>,
    group: &GroupName,
    leader: &DatabaseName,
    candidate: &DatabaseName,
) -> bool {
    node.leader(group).as_ref() == Some(leader)
        && handover::due(node, group, leader)
            .is_some_and(|due| due.planned.targets.contains(candidate))
}

/// Waits until the outcome of an order can be known.
async fn settle(node: &Rc<Node>, outcome: Result<PromotionOrder, OrderError>) {
    match outcome {
        Ok(order) => {
            let confirmed_at = node.now();
            await_new_leader(node, &order.group, &order.candidate).await;
            confirm_settled(node, &order, confirmed_at + SETTLE_TIME).await;
        }
        Err(OrderError::Rejected) => sleep(REJECTED_PAUSE).await,
        Err(OrderError::Unanswered) => sleep(SETTLE_TIME).await,
    }
}

/// Returns the other nodes' views of the coordinator. They are requested only if this node does
/// not hold a valid coordinator lease.
async fn views_for_authority(
    node: &Rc<Node>,
    peers: &Peers,
    group: &GroupName,
    leader: &DatabaseName,
) -> Vec<PeerView> {
    if node.coordinates() {
        return Vec::new();
    }
    peers
        .gather_views(node, group, Some(leader), &node.other_members())
        .await
}

/// Returns the nodes' observations of a primary. Nodes that hold connections to it are asked
/// first, and all nodes only if that decides nothing. Holders that have not checked the primary
/// lately do so when they are asked, and can answer a moment later.
async fn views_of_lost(
    node: &Rc<Node>,
    peers: &Peers,
    group: &GroupName,
    leader: Option<&DatabaseName>,
) -> Vec<PeerView> {
    if let Some(leader) = leader.filter(|_| node.coordinates()) {
        let holders: Vec<SocketAddr> = node
            .holders(leader)
            .iter()
            .map(|holder| holder.address)
            .collect();
        let views = peers
            .gather_views(node, group, Some(leader), &holders)
            .await;
        let observed = observations_of(&views);
        let observer_counts = node.observer_counts(Some(leader));
        let all_hold = observer_counts.holders == observer_counts.members;
        let reachable = observed.contains(&Observation::Reachable);
        let own_view = 1;
        let some_checking = observed
            .iter()
            .skip(own_view)
            .any(|observed| *observed == Observation::Unknown);
        if all_hold || reachable || some_checking || is_lost(&observed, observer_counts) {
            return views;
        }
    }
    peers
        .gather_views(node, group, leader, &node.other_members())
        .await
}

fn observations_of(views: &[PeerView]) -> Vec<Observation> {
    views.iter().map(|view| view.observation).collect()
}

/// Returns the authority by which this node may order a promotion, given its peers' answers.
///
/// If the service does not fence promotions, only the lease is accepted, because the order of a
/// superseded coordinator would not be rejected.
fn authority(node: &Rc<Node>, views: &[PeerView]) -> Option<Authority> {
    if node.coordinates() {
        return Some(Authority::Lease);
    }
    node.coordinator_revision()?;
    let own = node.coordinator.borrow().holder().cloned();
    let agreed = views
        .iter()
        .all(|view| !view.store_reachable && view.coordinator == own);
    let quorum = views.len() > node.live_members() / 2;
    (node.changeable().fenced_promotions && agreed && quorum).then_some(Authority::Quorum)
}

/// Formats an observation for the event log: its kind and its duration in milliseconds.
fn observation_json(observation: &Observation) -> serde_json::Value {
    let (observed, lasting) = match *observation {
        Observation::Reachable => ("reachable", None),
        Observation::Refused(lasting) => ("refused", Some(lasting)),
        Observation::Silent(lasting) => ("silent", Some(lasting)),
        Observation::NoHolderAvailable(lasting) => ("unhelped", Some(lasting)),
        Observation::Leaderless(lasting) => ("leaderless", Some(lasting)),
        Observation::Unknown => ("unknown", None),
    };
    serde_json::json!({ "seen": observed, "for_ms": lasting.map(millis) })
}

fn log_loss(
    node: &Rc<Node>,
    group: &GroupName,
    leader: Option<&DatabaseName>,
    observations: &[Observation],
) {
    node.log(
        "primary_lost",
        &[
            ("group", group.as_str().into()),
            ("leader", leader.map(DatabaseName::as_str).into()),
            (
                "observations",
                observations
                    .iter()
                    .map(observation_json)
                    .collect::<Vec<_>>()
                    .into(),
            ),
            ("members", node.live_members().into()),
        ],
    );
}

async fn await_new_leader(node: &Rc<Node>, group: &GroupName, candidate: &DatabaseName) {
    let began: Timestamp = node.now();
    while node.now().since(began) < SETTLE_TIME {
        if node.leader(group).as_ref() == Some(candidate) {
            return;
        }
        sleep(ROUND_INTERVAL / 2).await;
    }
}
