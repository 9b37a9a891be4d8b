//! Questions to a group's databases about themselves, and the choice of the next primary.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::failover::{
    NoCandidate, ReplicaState, choose_candidate, choose_target,
};
use hookpoint_coordination::serving::handover::Drawbacks;
use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::selection::Distance;
use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_state::{DatabaseName, GroupName, Term};
use tokio::time::{sleep, timeout};

use super::handover::drawbacks_of;
use crate::cold_start;
use crate::lease::{Lease, prove_leadership};
use crate::message::{Command, DatabaseStatus, FailureCode};
use crate::node::Node;
use crate::pool::{ConnectionRequest, Pool, WaitLimits};
use crate::relay;

/// How long a database that is missing from the store counts as a replica.
const MISSING_COUNTS: Duration = Duration::from_secs(15);
/// Limit for a replica's answer about itself.
const STATUS_LIMIT: Duration = Duration::from_millis(300);
/// Pause before a loaded replica is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Rounds of questions before no replica counts as answering.
const STATUS_ROUNDS: usize = 3;
/// Priority of questions about state: they go first.
const STATUS_PRIORITY: u8 = 0;

pub(super) fn sync_replicas(node: &Rc<Node>, group: &GroupName) -> u32 {
    node.configuration()
        .and_then(|configuration| configuration.groups.get(group).cloned())
        .map_or(0, |group| group.sync_replicas)
}

/// Lets replicas receive again that were paused for a promotion that did not come.
pub(super) async fn resume_replicas(node: &Rc<Node>, group: &GroupName) {
    if sync_replicas(node, group) > 0 {
        let databases = node.by_stated_role(group);
        ask_all(node, &databases, &Command::ResumeReplication).await;
    }
}

/// Which replicas may lead next.
#[derive(Clone, Copy, Debug)]
pub(super) enum Eligible<'a> {
    /// Any.
    All,
    /// Those that a primary may move to.
    Only(&'a [DatabaseName]),
}

impl Eligible<'_> {
    fn choose(
        self,
        states: &[ReplicaState],
        replicas: usize,
        sync_replicas: u32,
    ) -> Result<DatabaseName, NoCandidate> {
        match self {
            Eligible::All => choose_candidate(states, replicas, sync_replicas),
            Eligible::Only(targets) => choose_target(states, replicas, sync_replicas, targets),
        }
    }
}

/// Asks the replicas what they hold and chooses the one to lead. Replicas of a synchronous group
/// no longer receive when one was found.
pub(super) async fn find_candidate(
    node: &Rc<Node>,
    group: &GroupName,
    leader: Option<&DatabaseName>,
    eligible: Eligible<'_>,
) -> Option<ReplicaState> {
    let sync_replicas = sync_replicas(node, group);
    let replicas: Vec<DatabaseName> = node
        .by_stated_role(group)
        .into_iter()
        .filter(|name| Some(name) != leader && is_candidate(node, name))
        .collect();
    let mut answers = ask_until_some_answer(node, &replicas).await;
    if sync_replicas > 0 {
        // A primary that leads is not held up for a move that cannot be made.
        if let Eligible::Only(_) = eligible
            && let Err(error) =
                eligible.choose(&states_of(node, &answers), replicas.len(), sync_replicas)
        {
            log_no_candidate(node, group, error);
            return None;
        }
        let newest = answers.iter().map(|(_, status)| status.term).max()?;
        let term = Term(newest.0 + 1);
        answers = ask_all(node, &replicas, &Command::PauseReplication { term }).await;
    }
    let states = states_of(node, &answers);
    if let Some(name) = present_primary(&answers, &states) {
        node.log(
            "primary_found",
            &[
                ("group", group.as_str().into()),
                ("database", name.as_str().into()),
            ],
        );
        confirm_found(node, &name).await;
        return None;
    }
    match eligible.choose(&states, replicas.len(), sync_replicas) {
        Ok(candidate) => states.into_iter().find(|state| state.name == candidate),
        Err(error) => {
            resume_replicas(node, group).await;
            log_no_candidate(node, group, error);
            None
        }
    }
}

fn states_of(node: &Rc<Node>, answers: &[(DatabaseName, DatabaseStatus)]) -> Vec<ReplicaState> {
    answers
        .iter()
        .map(|(name, status)| replica_state(node, name.clone(), *status))
        .collect()
}

/// The one of the databases that says that it leads, unless it lost what a replica still holds.
fn present_primary(
    answers: &[(DatabaseName, DatabaseStatus)],
    states: &[ReplicaState],
) -> Option<DatabaseName> {
    let (name, _) = answers.iter().find(|(_, status)| status.primary)?;
    (!restarted_empty(name, states)).then(|| name.clone())
}

fn log_no_candidate(node: &Rc<Node>, group: &GroupName, error: NoCandidate) {
    node.log(
        "no_candidate",
        &[
            ("group", group.as_str().into()),
            ("detail", error.to_string().into()),
        ],
    );
}

/// Whether a database that calls itself the primary lost what a replica still holds.
fn restarted_empty(name: &DatabaseName, states: &[ReplicaState]) -> bool {
    states
        .iter()
        .any(|state| state.name == *name && state.is_behind(states))
}

/// A database that is missing from the store, for a crash or an outage, may be the only
/// one that holds a commit, so it counts until the others have long received all of it.
fn is_candidate(node: &Rc<Node>, name: &DatabaseName) -> bool {
    let now = node.now();
    let directory = node.directory.borrow();
    directory.get(name).is_some_and(|listed| {
        let missing_since = listed
            .departure
            .map_or(now, |departure| departure.heard_at());
        !listed.missing || now.since(missing_since) < MISSING_COUNTS
    })
}

fn replica_state(node: &Rc<Node>, name: DatabaseName, status: DatabaseStatus) -> ReplicaState {
    let (drawbacks, distance) = {
        let directory = node.directory.borrow();
        match directory.get(&name) {
            Some(listed) => {
                let distance = node.distance(&listed.database.zone);
                (drawbacks_of(node, listed), Some(distance))
            }
            None => {
                let leaving = Drawbacks {
                    leaving: true,
                    ..Drawbacks::default()
                };
                (leaving, None)
            }
        }
    };
    ReplicaState {
        name,
        received: status.received,
        drawbacks,
        preferred: distance.is_some_and(|distance| distance <= Distance::SameRegion),
    }
}

/// Has a database that says that it leads prove it. While the primary known here is shut,
/// nothing else would tell this node of the new one.
async fn confirm_found(node: &Rc<Node>, name: &DatabaseName) {
    if let Some(mut lease) = lease_for_status(node, &node.pool(name)).await
        && prove_leadership(node, &mut lease).await.is_err()
    {
        node.counters.count("primaries_found", "not_proved");
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

pub(super) async fn ask_all(
    node: &Rc<Node>,
    replicas: &[DatabaseName],
    command: &Command,
) -> Vec<(DatabaseName, DatabaseStatus)> {
    let asked = replicas.iter().filter(|name| !node.is_shut(name));
    let questions = asked.map(|name| {
        let command = command.clone();
        async move {
            let asked_at = node.now();
            let status = ask_status(node, name, command).await?;
            node.database_asked(name, asked_at)?;
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
    let question = ConnectionRequest {
        principal: None,
        priority: STATUS_PRIORITY,
        values: &values,
        placement: &Placement::unrestricted(),
        limits: WaitLimits::patient(STATUS_LIMIT),
    };
    if node.is_cold(pool.database()) {
        let leased = cold_start::lease_for_question(node, pool, question).await;
        return leased.ok();
    }
    if let Some(lease) = pool.try_acquire(None, &values) {
        return Some(lease);
    }
    match pool.open(node, None).await {
        Ok(lease) => Some(lease),
        Err(_) => relay::lease(node, pool, question).await.ok(),
    }
}
