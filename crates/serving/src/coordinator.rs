//! Replaces lost and leaving primaries, while this node holds the coordinator's record.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::failover::{
    Observation, ReplicaState, choose_candidate, is_lost,
};
use hookpoint_coordination::serving::selection::Distance;
use hookpoint_state::{DatabaseName, GroupName, Term, Timestamp};
use tokio::time::{sleep, timeout};

use crate::message::{Command, DatabaseStatus};
use crate::node::Node;
use crate::peers::Peers;
use crate::ports::{ConditionalWrite, PromotionError, PromotionOrder, StoreError, WriteOutcome};
use crate::records::{PROMOTION_PREFIX, PromotionRecord, decode, encode};

/// Pause between rounds.
const ROUND: Duration = Duration::from_millis(100);
/// Limit for a replica's answer about itself.
const STATUS_LIMIT: Duration = Duration::from_millis(250);
/// Limit for a promotion's answer. One without an answer is ordered again: the token and
/// the candidate are the same, so being carried out twice changes nothing.
const PROMOTION_LIMIT: Duration = Duration::from_millis(350);
/// After a promotion that may still take effect, no other is ordered for this long.
const SETTLING: Duration = Duration::from_millis(2_500);
/// Pause after a promotion that was rejected.
const REJECTED_PAUSE: Duration = Duration::from_millis(200);
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
    loop {
        sleep(ROUND).await;
        if !node.coordinates() {
            continue;
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
    let groups: Vec<GroupName> = node
        .configuration()
        .map(|configuration| configuration.groups.keys().cloned().collect())
        .unwrap_or_default();
    groups
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
    let (leader, lost) = node.with_group(group, |state| {
        let lost = state.contact.lost_since.is_some();
        (state.leadership.leader().cloned(), lost)
    });
    let Some(leader) = leader else {
        return Some(Reason::Lost);
    };
    if lost {
        return Some(Reason::Lost);
    }
    let directory = node.directory.borrow();
    let leaving = directory
        .get(&leader)
        .is_none_or(|listed| listed.leaving_since.is_some());
    (leaving && node.store_reachable.get()).then_some(Reason::Leaving)
}

async fn replace_primary(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName) {
    let Some(reason) = reason(node, group) else {
        return;
    };
    let leader = node.leader(group);
    if reason == Reason::Lost {
        let observations = peers.gather(node, group, leader.as_ref()).await;
        if !is_lost(&observations, node.live_members()) {
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
    match order(node, group, &candidate).await {
        Ok(()) => await_new_leader(node, group, &candidate).await,
        Err(OrderError::Rejected) => sleep(REJECTED_PAUSE).await,
        Err(OrderError::Unanswered) => sleep(SETTLING).await,
        Err(OrderError::Store) => sleep(REPEAT_PAUSE).await,
    }
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
    let sync_replicas = node
        .configuration()?
        .groups
        .get(group)
        .map_or(0, |group| group.sync_replicas);
    let replicas: Vec<DatabaseName> = node
        .by_stated_role(group)
        .into_iter()
        .filter(|name| Some(name) != leader && is_candidate(node, name))
        .collect();
    let first = ask_all(node, &replicas, None).await;
    let states = if sync_replicas == 0 {
        first
    } else {
        let newest = first.iter().map(|(_, status)| status.term).max()?;
        ask_all(node, &replicas, Some(Term(newest.0 + 1))).await
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
            resume_all(node, &replicas, sync_replicas).await;
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

/// A database that is missing from the store for a crash may still hold commits, so it
/// counts until it is forgotten, unless the store was steady while it went.
fn is_candidate(node: &Rc<Node>, name: &DatabaseName) -> bool {
    let directory = node.directory.borrow();
    directory.get(name).is_some_and(|listed| !listed.missing)
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

async fn ask_all(
    node: &Rc<Node>,
    replicas: &[DatabaseName],
    pause_under: Option<Term>,
) -> Vec<(DatabaseName, DatabaseStatus)> {
    let command = match pause_under {
        None => Command::Status,
        Some(term) => Command::PauseReplication { term },
    };
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

async fn resume_all(node: &Rc<Node>, replicas: &[DatabaseName], sync_replicas: u32) {
    if sync_replicas == 0 {
        return;
    }
    let orders = replicas
        .iter()
        .map(|name| ask_status(node, name, Command::ResumeReplication));
    futures::future::join_all(orders).await;
}

async fn ask_status(
    node: &Rc<Node>,
    name: &DatabaseName,
    command: Command,
) -> Option<DatabaseStatus> {
    let question = async {
        let pool = node.pool(name);
        let mut lease = match pool.try_acquire(&Default::default()) {
            Some(lease) => lease,
            None => pool.open(node).await.ok()?,
        };
        let answers = lease.exchange(node, &[command], STATUS_LIMIT).await.ok()?;
        let answer = answers.last()?;
        node.protocol.parse_status(answer.rows.first()?)
    };
    timeout(STATUS_LIMIT, question).await.ok().flatten()
}

/// Why a promotion was not confirmed.
enum OrderError {
    /// Nothing was ordered: the store did not take the record.
    Store,
    /// It will not be carried out.
    Rejected,
    /// It may be carried out yet.
    Unanswered,
}

/// Writes the promotion to the store and orders it under the record's revision.
///
/// The record is written before the order goes out and its revision is used once, so one
/// token names one candidate for ever and every later order has a higher one.
async fn order(
    node: &Rc<Node>,
    group: &GroupName,
    candidate: &DatabaseName,
) -> Result<(), OrderError> {
    let fencing_token = write_record(node, group, candidate)
        .await
        .map_err(|_| OrderError::Store)?;
    let order = PromotionOrder {
        group: group.clone(),
        candidate: candidate.clone(),
        holder: node.settings.name.clone(),
        fencing_token,
    };
    let began = node.now();
    loop {
        if !node.coordinates() {
            return Err(OrderError::Unanswered);
        }
        node.log(
            "promotion_ordered",
            &[
                ("group", group.as_str().into()),
                ("candidate", candidate.as_str().into()),
                ("token", fencing_token.into()),
            ],
        );
        let answer = timeout(PROMOTION_LIMIT, node.promotions.promote(&order)).await;
        let outcome = answer.unwrap_or(Err(PromotionError::NoAnswer));
        node.log(
            "promotion_answered",
            &[
                ("group", group.as_str().into()),
                ("token", fencing_token.into()),
                ("outcome", format!("{outcome:?}").into()),
            ],
        );
        match outcome {
            Ok(()) => return Ok(()),
            Err(PromotionError::Rejected) => return Err(OrderError::Rejected),
            Err(PromotionError::NoAnswer | PromotionError::Unavailable)
                if node.now().since(began) < SETTLING =>
            {
                sleep(REPEAT_PAUSE).await;
            }
            Err(_) => return Err(OrderError::Unanswered),
        }
    }
}

async fn write_record(
    node: &Rc<Node>,
    group: &GroupName,
    candidate: &DatabaseName,
) -> Result<u64, StoreError> {
    let key = format!("{PROMOTION_PREFIX}{group}");
    let record = PromotionRecord {
        group: group.clone(),
        candidate: candidate.clone(),
        holder: node.settings.name.clone(),
        attempt: node.now().0,
    };
    let known = node
        .promotion_revisions
        .borrow()
        .get(group.as_str())
        .copied()
        .unwrap_or(0);
    let mut expected_revision = known;
    for _ in 0..3 {
        let write = ConditionalWrite {
            key: key.clone(),
            expected_revision,
            value: encode(&record),
            lease: None,
        };
        let outcome = node.store.write(write).await;
        if let Ok(WriteOutcome::Written(revision)) = outcome {
            return Ok(revision);
        }
        let present = node.store.read(&key).await?;
        expected_revision = match present {
            Some((revision, value)) if decode(&value).as_ref() == Some(&record) => {
                return Ok(revision);
            }
            Some((revision, _)) => revision,
            None => 0,
        };
    }
    Err(StoreError::NoAnswer("promotion record".to_owned()))
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
