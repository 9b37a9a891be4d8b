//! Replaces lost and leaving primaries, while this node holds the coordinator's record.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::failover::{
    Observation, ReplicaState, choose_candidate, is_lost,
};
use hookpoint_coordination::serving::leadership::Reign;
use hookpoint_coordination::serving::selection::Distance;
use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_state::{DatabaseName, GroupName, Term, Timestamp};
use tokio::time::{sleep, timeout};

use crate::lease::Lease;
use crate::message::{Command, DatabaseStatus, FailureCode};
use crate::node::Node;
use crate::peers::{FIRST_PRIMARY_TIME, PeerMessage, PeerView, Peers};
use crate::pool::{Pool, WaitLimits};
use crate::ports::{ConditionalWrite, PromotionError, PromotionOrder, WriteOutcome};
use crate::primary_lease::{Announcement, take_announcement};
use crate::records::{PROMOTION_PREFIX, PromotionRecord, encode};
use crate::relay;
use crate::units::millis;

/// How long a database that is missing from the store counts as a replica.
const MISSING_COUNTS: Duration = Duration::from_secs(15);
/// Pause between rounds.
const ROUND: Duration = Duration::from_millis(100);
/// Limit for a replica's answer about itself.
const STATUS_LIMIT: Duration = Duration::from_millis(300);
/// Pause before a loaded replica is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Rounds of questions before no replica counts as answering.
const STATUS_ROUNDS: usize = 3;
/// Priority of questions about state: they go first.
const STATUS_PRIORITY: u8 = 0;
/// Limit for a promotion's answer. One without an answer is ordered again: the token and
/// the candidate are the same, so being carried out twice changes nothing.
const PROMOTION_LIMIT: Duration = Duration::from_millis(350);
/// After a promotion that may still take effect, no other is ordered for this long.
const SETTLING: Duration = Duration::from_millis(2_500);
/// Pause after a promotion that was rejected.
const REJECTED_PAUSE: Duration = Duration::from_millis(200);
/// Orders that one coordinator may give.
const TOKENS_PER_COORDINATOR: u64 = 4_096;
/// Pause before an announcement is sent again to who has not acknowledged it.
const ANNOUNCEMENT_PAUSE: Duration = Duration::from_millis(40);
/// How often it is logged who has not acknowledged.
const WITHDRAWAL_TOLD: Duration = Duration::from_millis(500);
/// How long replaced primaries that come back are told to step down.
const STEP_DOWN_TIME: Duration = Duration::from_secs(30);
/// How often one round tells a database that does not answer.
const STEP_DOWN_ATTEMPTS: usize = 3;
/// Pause between two such rounds.
const STEP_DOWN_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two orders of the same promotion.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Why a primary is to be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    Lost,
    Leaving,
}

/// Looks after all groups, one at a time, for as long as the node lives.
pub async fn coordinate(node: Rc<Node>, peers: Rc<Peers>) {
    let mut resumed_for = None;
    loop {
        sleep(ROUND).await;
        let revision = node.coordinator_revision();
        if revision.is_none() {
            continue;
        }
        if resumed_for != revision && node.configuration().is_some() {
            resumed_for = revision;
            for group in node.configured_groups() {
                resume_replicas(&node, &group).await;
            }
        }
        for group in due_groups(&node) {
            let node = Rc::clone(&node);
            let peers = Rc::clone(&peers);
            tokio::task::spawn_local(async move {
                replace_primary(&node, &peers, &group).await;
                node.with_group(&group, |state| state.being_replaced = false);
            });
        }
    }
}

/// Groups whose primary may need replacing, marked as being looked after.
fn due_groups(node: &Rc<Node>) -> Vec<GroupName> {
    node.configured_groups()
        .into_iter()
        .filter(|group| reason(node, group).is_some())
        .filter(|group| {
            node.with_group(group, |state| {
                !std::mem::replace(&mut state.being_replaced, true)
            })
        })
        .collect()
}

fn reason(node: &Rc<Node>, group: &GroupName) -> Option<Reason> {
    let now = node.now();
    let (leader, lost, awaited) = node.with_group(group, |state| {
        let lost = state.contact.lost_since.is_some();
        let never_seen = state.leadership.reign() == Reign::default();
        let lately = state
            .leaderless_since
            .is_none_or(|since| now.since(since) < FIRST_PRIMARY_TIME);
        (
            state.leadership.leader().cloned(),
            lost,
            never_seen && lately,
        )
    });
    let Some(leader) = leader else {
        return (!awaited).then_some(Reason::Lost);
    };
    if lost {
        return Some(Reason::Lost);
    }
    let directory = node.directory.borrow();
    let steady_since = node.store_steady_since.get();
    let leaving = directory
        .get(&leader)
        .is_none_or(|listed| listed.is_leaving(steady_since, node.now()));
    (leaving && node.store_reachable.get()).then_some(Reason::Leaving)
}

async fn replace_primary(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName) {
    let Some(reason) = reason(node, group) else {
        return;
    };
    let leader = node.leader(group);
    let views = views_of(node, peers, group, leader.as_ref(), reason).await;
    let Some(authority) = authority(node, &views) else {
        return;
    };
    if reason == Reason::Lost {
        let observations = observations_of(&views);
        if !is_lost(&observations, node.witnesses(leader.as_ref())) {
            return;
        }
        log_loss(node, group, leader.as_ref(), &observations);
    }
    let Some(candidate) = find_candidate(node, group, leader.as_ref()).await else {
        return;
    };
    if node.leader(group) != leader {
        return;
    }
    let replaced = leader.filter(|_| reason == Reason::Lost);
    match order(node, peers, group, &candidate, replaced.as_ref(), authority).await {
        Ok(()) => await_new_leader(node, group, &candidate).await,
        Err(OrderError::Rejected) => {
            resume_replicas(node, group).await;
            sleep(REJECTED_PAUSE).await;
        }
        Err(OrderError::Unanswered) => sleep(SETTLING).await,
    }
}

/// What the nodes see of a primary, as far as it is needed: those that hold connections
/// to it are asked first, and all nodes only if that decides nothing.
async fn views_of(
    node: &Rc<Node>,
    peers: &Peers,
    group: &GroupName,
    leader: Option<&DatabaseName>,
    reason: Reason,
) -> Vec<PeerView> {
    if node.coordinates() && reason == Reason::Leaving {
        return Vec::new();
    }
    if let Some(leader) = leader.filter(|_| node.coordinates()) {
        let holders: Vec<SocketAddr> = node
            .holders(leader)
            .into_iter()
            .map(|(_, address)| address)
            .collect();
        let views = peers.gather(node, group, Some(leader), &holders).await;
        let seen = observations_of(&views);
        let witnesses = node.witnesses(Some(leader));
        let all_hold = witnesses.holders == witnesses.members;
        let reached = seen.contains(&Observation::Reachable);
        if all_hold || reached || is_lost(&seen, witnesses) {
            return views;
        }
    }
    peers
        .gather(node, group, leader, &node.other_members())
        .await
}

fn observations_of(views: &[PeerView]) -> Vec<Observation> {
    views.iter().map(|view| view.observation).collect()
}

fn sync_replicas(node: &Rc<Node>, group: &GroupName) -> u32 {
    node.configuration()
        .and_then(|configuration| configuration.groups.get(group).cloned())
        .map_or(0, |group| group.sync_replicas)
}

/// Lets replicas receive again that were paused for a promotion that did not come.
async fn resume_replicas(node: &Rc<Node>, group: &GroupName) {
    if sync_replicas(node, group) > 0 {
        let databases = node.by_stated_role(group);
        ask_all(node, &databases, &Command::ResumeReplication).await;
    }
}

/// On what strength a promotion is ordered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Authority {
    /// The node's lease holds.
    Lease,
    /// The lease may have run out, but the store is away for a majority of the fleet and
    /// none of them knows of another coordinator, so nobody can have taken over.
    Quorum,
}

/// Whether this node may order a promotion, as of the answers of its peers.
///
/// Without fencing at the service only the lease will do: an order of an outvoted
/// coordinator would not be refused.
fn authority(node: &Rc<Node>, views: &[PeerView]) -> Option<Authority> {
    if node.coordinates() {
        return Some(Authority::Lease);
    }
    node.coordinator_revision()?;
    let own = node.coordinator.borrow().holder.clone();
    let agreed = views
        .iter()
        .all(|view| !view.store_reachable && view.coordinator == own);
    let quorum = views.len() > node.live_members() / 2;
    (node.changeable().fenced_promotions && agreed && quorum).then_some(Authority::Quorum)
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
            ("observations", format!("{observations:?}").into()),
            ("members", node.live_members().into()),
        ],
    );
}

/// Asks the replicas what they hold and chooses the one to lead.
async fn find_candidate(
    node: &Rc<Node>,
    group: &GroupName,
    leader: Option<&DatabaseName>,
) -> Option<DatabaseName> {
    let sync_replicas = sync_replicas(node, group);
    let replicas: Vec<DatabaseName> = node
        .by_stated_role(group)
        .into_iter()
        .filter(|name| Some(name) != leader && is_candidate(node, name))
        .collect();
    let first = ask_until_some_answer(node, &replicas).await;
    let states = if sync_replicas == 0 {
        first
    } else {
        let newest = first.iter().map(|(_, status)| status.term).max()?;
        let term = Term(newest.0 + 1);
        ask_all(node, &replicas, &Command::PauseReplication { term }).await
    };
    if let Some((name, _)) = states.iter().find(|(_, status)| status.primary) {
        node.log(
            "primary_found",
            &[
                ("group", group.as_str().into()),
                ("database", name.as_str().into()),
            ],
        );
        return None;
    }
    let states: Vec<ReplicaState> = states
        .into_iter()
        .map(|(name, status)| replica_state(node, name, status))
        .collect();
    match choose_candidate(&states, replicas.len(), sync_replicas) {
        Ok(candidate) => Some(candidate),
        Err(error) => {
            resume_replicas(node, group).await;
            node.log(
                "no_candidate",
                &[
                    ("group", group.as_str().into()),
                    ("detail", error.to_string().into()),
                ],
            );
            None
        }
    }
}

/// A database that is missing from the store, for a crash or an outage, may be the only
/// one that holds a commit, so it counts until the others have long received all of it.
fn is_candidate(node: &Rc<Node>, name: &DatabaseName) -> bool {
    let now = node.now();
    let directory = node.directory.borrow();
    directory.get(name).is_some_and(|listed| {
        let since = listed.leaving_since.unwrap_or(now);
        !listed.missing || now.since(since) < MISSING_COUNTS
    })
}

fn replica_state(node: &Rc<Node>, name: DatabaseName, status: DatabaseStatus) -> ReplicaState {
    let (draining, distance) = {
        let directory = node.directory.borrow();
        directory.get(&name).map_or((true, None), |listed| {
            let distance = node.distance(&listed.database.zone);
            (listed.leaving_since.is_some(), Some(distance))
        })
    };
    ReplicaState {
        name,
        received: status.received,
        draining,
        preferred: distance.is_some_and(|distance| distance <= Distance::SameRegion),
    }
}

/// Asks for the state of all, again as long as none of them answers.
async fn ask_until_some_answer(
    node: &Rc<Node>,
    replicas: &[DatabaseName],
) -> Vec<(DatabaseName, DatabaseStatus)> {
    for _ in 0..STATUS_ROUNDS {
        let answers = ask_all(node, replicas, &Command::Status).await;
        if !answers.is_empty() {
            return answers;
        }
    }
    Vec::new()
}

async fn ask_all(
    node: &Rc<Node>,
    replicas: &[DatabaseName],
    command: &Command,
) -> Vec<(DatabaseName, DatabaseStatus)> {
    let questions = replicas.iter().map(|name| {
        let command = command.clone();
        async move {
            let status = ask_status(node, name, command).await?;
            Some((name.clone(), status))
        }
    });
    let answers = futures::future::join_all(questions).await;
    answers.into_iter().flatten().collect()
}

async fn ask_status(
    node: &Rc<Node>,
    name: &DatabaseName,
    command: Command,
) -> Option<DatabaseStatus> {
    timeout(STATUS_LIMIT, ask_until_taken(node, name, command))
        .await
        .ok()
        .flatten()
}

/// Asks again for as long as the database refuses the question for load.
async fn ask_until_taken(
    node: &Rc<Node>,
    name: &DatabaseName,
    command: Command,
) -> Option<DatabaseStatus> {
    let mut lease = lease_for_status(node, &node.pool(name)).await?;
    loop {
        let question = [command.clone()];
        let answers = lease.exchange(node, &question, STATUS_LIMIT).await.ok()?;
        let answer = answers.last()?;
        let code = answer.result.as_ref().err().map(|failure| failure.code);
        if code != Some(FailureCode::Overloaded) {
            return node.protocol.parse_status(answer.rows.first()?);
        }
        sleep(BUSY_PAUSE).await;
    }
}

/// A connection at rest, a new one, or one that another node holds.
async fn lease_for_status(node: &Rc<Node>, pool: &Rc<Pool>) -> Option<Lease> {
    let values = SessionValues::new();
    if let Some(lease) = pool.try_acquire(&values) {
        return Some(lease);
    }
    let limits = WaitLimits::patient(STATUS_LIMIT);
    match pool.open(node).await {
        Ok(lease) => Some(lease),
        Err(_) => relay::lease(node, pool, STATUS_PRIORITY, &values, limits)
            .await
            .ok(),
    }
}

/// Why a promotion was not confirmed.
enum OrderError {
    /// It will not be carried out.
    Rejected,
    /// It may be carried out yet.
    Unanswered,
}

/// The next token of this coordinator.
///
/// A coordinator's record is written once in its life, under a condition, so its revision
/// is this life's own and higher than that of every earlier coordinator. Each order takes
/// the next number below it, so one token names one candidate for ever.
fn next_token(node: &Rc<Node>) -> Option<u64> {
    let revision = node.coordinator_revision()?;
    let number = node.promotions_ordered.get() + 1;
    if number >= TOKENS_PER_COORDINATOR {
        return None;
    }
    node.promotions_ordered.set(number);
    Some(revision * TOKENS_PER_COORDINATOR + number)
}

/// Orders a promotion, again under the same token while it is not answered.
async fn order(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    group: &GroupName,
    candidate: &DatabaseName,
    replaced: Option<&DatabaseName>,
    authority: Authority,
) -> Result<(), OrderError> {
    let fencing_token = next_token(node).ok_or(OrderError::Rejected)?;
    let order = PromotionOrder {
        group: group.clone(),
        candidate: candidate.clone(),
        holder: node.settings.name.clone(),
        fencing_token,
    };
    if node.changeable().fenced_promotions {
        tokio::task::spawn_local(announce(Rc::clone(node), order.clone()));
    } else {
        replace_unfenced(node, peers, &order, replaced).await?;
    }
    let began = node.now();
    // The replicas of a synchronous group stay paused until the order is answered: one
    // that is carried out after they receive again would roll back acknowledged commits.
    let synchronous = sync_replicas(node, group) > 0;
    loop {
        if authority == Authority::Lease && !node.coordinates() {
            return Err(OrderError::Unanswered);
        }
        log_order(node, &order, "promotion_ordered", authority_name(authority));
        let answer = timeout(PROMOTION_LIMIT, node.promotions.promote(&order)).await;
        let outcome = answer.unwrap_or(Err(PromotionError::NoAnswer));
        let told = match &outcome {
            Ok(()) => "confirmed".to_owned(),
            Err(error) => error.to_string(),
        };
        log_order(node, &order, "promotion_answered", &told);
        match outcome {
            Ok(()) => return Ok(()),
            Err(PromotionError::Rejected) => return Err(OrderError::Rejected),
            Err(PromotionError::NoAnswer | PromotionError::Unavailable)
                if synchronous || node.now().since(began) < SETTLING =>
            {
                sleep(REPEAT_PAUSE).await;
            }
            Err(_) => return Err(OrderError::Unanswered),
        }
    }
}

/// Before an order that the service does not fence: every node is told which database
/// leads next, and no lease may be left under which one of them uses the present primary.
/// That is told to step down as well, which ends what peers of older versions would do.
async fn replace_unfenced(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    order: &PromotionOrder,
    replaced: Option<&DatabaseName>,
) -> Result<(), OrderError> {
    let announcement = announce(Rc::clone(node), order.clone())
        .await
        .ok_or(OrderError::Rejected)?;
    if replaced.is_none() {
        step_down_in_background(node, order);
    }
    match withdraw_leases(node, peers, &announcement, replaced).await {
        Ok(()) => {}
        Err(WithdrawalError::NotCoordinator) => return Err(OrderError::Rejected),
        Err(WithdrawalError::PrimaryIsBack) => {
            take_back(node, order, replaced).await;
            return Err(OrderError::Rejected);
        }
    }
    if replaced.is_some() {
        step_down_in_background(node, order);
    }
    Ok(())
}

fn step_down_in_background(node: &Rc<Node>, order: &PromotionOrder) {
    let stepping_down = step_down_until_replaced(Rc::clone(node), order.clone());
    tokio::task::spawn_local(stepping_down);
}

/// Announces the present primary instead of the candidate, which was not ordered yet.
async fn take_back(node: &Rc<Node>, order: &PromotionOrder, present: Option<&DatabaseName>) {
    let Some(present) = present else {
        return;
    };
    let kept = PromotionOrder {
        candidate: present.clone(),
        ..order.clone()
    };
    log_order(node, &kept, "promotion_taken_back", "the primary answers");
    announce(Rc::clone(node), kept).await;
}

/// Why the leases on a primary were not withdrawn.
enum WithdrawalError {
    /// This node coordinates no more.
    NotCoordinator,
    /// The primary that counted as lost answers this node.
    PrimaryIsBack,
}

async fn step_down_until_replaced(node: Rc<Node>, order: PromotionOrder) {
    let began = node.now();
    step_down_others(&node, &order).await;
    while node.now().since(began) < STEP_DOWN_TIME && node.coordinator_revision().is_some() {
        sleep(STEP_DOWN_PAUSE).await;
        if node.leader(&order.group).as_ref() == Some(&order.candidate) {
            step_down_others(&node, &order).await;
        }
    }
}

/// Waits until no node can use the primary that an announcement replaces.
async fn withdraw_leases(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    announcement: &Announcement,
    replaced: Option<&DatabaseName>,
) -> Result<(), WithdrawalError> {
    let coordinator = node
        .coordinator_revision()
        .ok_or(WithdrawalError::NotCoordinator)?;
    let began = node.now();
    let withdrawal = node.grantor.borrow().withdraw();
    let mut withdrawal = withdrawal.ok_or(WithdrawalError::NotCoordinator)?;
    peers.await_acknowledgements(announcement.revision);
    let mut told_at = began;
    let outcome = loop {
        if !node.coordinates() {
            break Err(WithdrawalError::NotCoordinator);
        }
        if is_back(node, &announcement.group, replaced, began) {
            break Err(WithdrawalError::PrimaryIsBack);
        }
        if take_announcement(node, coordinator, &node.settings.name, announcement) {
            withdrawal.acknowledge(&node.settings.name, node.voted_for_others());
        }
        for (peer, voted) in peers.take_acknowledgements(announcement.revision) {
            withdrawal.acknowledge(&peer, voted);
        }
        let voters = node.voters();
        let now = node.now();
        let missing = withdrawal.missing(&voters);
        if withdrawal.is_complete(&voters, now) {
            log_withdrawal(
                node,
                "primary_leases_withdrawn",
                announcement,
                &missing,
                began,
            );
            break Ok(());
        }
        if now.since(told_at) >= WITHDRAWAL_TOLD {
            told_at = now;
            log_withdrawal(
                node,
                "primary_leases_awaited",
                announcement,
                &missing,
                began,
            );
        }
        announce_to(
            node,
            peers,
            coordinator,
            announcement,
            &withdrawal.missing(&voters),
        );
        sleep(ANNOUNCEMENT_PAUSE).await;
    };
    peers.end_acknowledgements(announcement.revision);
    outcome
}

/// Whether a primary that counted as lost has proved to this node that it leads, asked
/// after `began`.
fn is_back(
    node: &Rc<Node>,
    group: &GroupName,
    replaced: Option<&DatabaseName>,
    began: Timestamp,
) -> bool {
    node.with_group(group, |state| {
        let proof = state.overruled.as_ref();
        proof.is_some_and(|(name, asked_at)| Some(name) == replaced && *asked_at > began)
    })
}

fn announce_to(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    coordinator: u64,
    announcement: &Announcement,
    names: &[&String],
) {
    let members = node.members.borrow();
    let message = PeerMessage::Announce {
        coordinator,
        node: node.settings.name.clone(),
        announcement: announcement.clone(),
    };
    for member in names.iter().filter_map(|name| members.get(*name)) {
        if member.peer_address != node.settings.peer_address {
            peers.send(&message, member.peer_address);
        }
    }
}

fn names(nodes: &[&String]) -> Vec<String> {
    nodes.iter().map(|name| (*name).clone()).collect()
}

fn log_withdrawal(
    node: &Rc<Node>,
    event: &'static str,
    announcement: &Announcement,
    missing: &[&String],
    began: Timestamp,
) {
    node.log(
        event,
        &[
            ("group", announcement.group.as_str().into()),
            ("candidate", announcement.candidate.as_str().into()),
            ("unacknowledged", names(missing).into()),
            ("waited_ms", millis(node.now().since(began)).into()),
        ],
    );
}

/// Has every database step down that says that it leads, or says nothing, as far as they
/// can be reached.
async fn step_down_others(node: &Rc<Node>, order: &PromotionOrder) {
    let databases = node.by_stated_role(&order.group);
    let states = ask_all(node, &databases, &Command::Status).await;
    let Some(newest) = states.iter().map(|(_, status)| status.term).max() else {
        return;
    };
    let candidate_leads = states
        .iter()
        .any(|(name, status)| *name == order.candidate && status.primary);
    let term = if candidate_leads {
        newest
    } else {
        Term(newest.0 + 1)
    };
    let replicas: Vec<&DatabaseName> = states
        .iter()
        .filter(|(_, status)| !status.primary)
        .map(|(name, _)| name)
        .collect();
    let mut others: Vec<DatabaseName> = databases
        .iter()
        .filter(|name| **name != order.candidate && !replicas.contains(name))
        .cloned()
        .collect();
    for _ in 0..STEP_DOWN_ATTEMPTS {
        if others.is_empty() {
            return;
        }
        for name in &others {
            node.log("step_down_ordered", &[("database", name.as_str().into())]);
        }
        let answered = ask_all(node, &others, &Command::StepDown { term }).await;
        others.retain(|name| answered.iter().all(|(done, _)| done != name));
    }
}

fn authority_name(authority: Authority) -> &'static str {
    match authority {
        Authority::Lease => "lease",
        Authority::Quorum => "quorum",
    }
}

fn log_order(node: &Rc<Node>, order: &PromotionOrder, event: &'static str, detail: &str) {
    node.log(
        event,
        &[
            ("group", order.group.as_str().into()),
            ("candidate", order.candidate.as_str().into()),
            ("token", order.fencing_token.into()),
            ("detail", detail.into()),
        ],
    );
}

/// Tells the other nodes of an order through the store, as far as that is to be had.
/// Nothing if it was not written.
async fn announce(node: Rc<Node>, order: PromotionOrder) -> Option<Announcement> {
    let record = PromotionRecord {
        group: order.group.clone(),
        candidate: order.candidate.clone(),
        fencing_token: order.fencing_token,
    };
    let known = node
        .promotion_revisions
        .borrow()
        .get(order.group.as_str())
        .copied();
    let write = ConditionalWrite {
        key: format!("{PROMOTION_PREFIX}{}", order.group),
        expected_revision: known.unwrap_or(0),
        value: encode(&record),
        lease: None,
    };
    let Ok(WriteOutcome::Written(revision)) = node.store.write(write).await else {
        node.counters.count("promotion_records", "failed");
        return None;
    };
    let announcement = Announcement {
        group: order.group,
        candidate: order.candidate,
        revision,
    };
    node.learn_promotion(&announcement);
    Some(announcement)
}

async fn await_new_leader(node: &Rc<Node>, group: &GroupName, candidate: &DatabaseName) {
    let began: Timestamp = node.now();
    while node.now().since(began) < SETTLING {
        if node.leader(group).as_ref() == Some(candidate) {
            return;
        }
        sleep(ROUND / 2).await;
    }
}
