//! Queries the databases of a group for their state and chooses the next primary.

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
use crate::lease::{Lease, check_leadership};
use crate::message::{Command, DatabaseStatus, FailureCode};
use crate::node::Node;
use crate::pool::{ConnectionRequest, Pool, WaitLimits};
use crate::relay;

/// How long a database that is missing from the store still counts as a replica.
const MISSING_REPLICA_COUNTS_FOR: Duration = Duration::from_secs(15);
/// Timeout of a status request to a replica.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before an overloaded replica is asked again.
const BUSY_PAUSE: Duration = Duration::from_millis(10);
/// Number of rounds of status requests after which the replicas count as unresponsive.
const STATUS_ROUNDS: usize = 3;
/// Priority of status requests: the most urgent.
const STATUS_PRIORITY: u8 = 0;

/// The replicas that may become the next primary.
#[derive(Clone, Copy, Debug)]
pub(super) enum Eligible<'a> {
    /// Any replica.
    All,
    /// Only the listed targets of a planned move.
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

/// The replica chosen as the next primary.
pub(super) struct Found {
    pub(super) replica: ReplicaState,
    /// Newest term that the replicas reported.
    pub(super) newest_term: Term,
}

/// Asks the replicas for their positions and chooses the next primary.
pub(super) async fn find_candidate(
    node: &Rc<Node>,
    group: &GroupName,
    leader: Option<&DatabaseName>,
    eligible: Eligible<'_>,
) -> Option<Found> {
    let replicas: Vec<DatabaseName> = node
        .by_stated_role(group)
        .into_iter()
        .filter(|name| Some(name) != leader && is_candidate(node, name))
        .collect();
    let answers = ask_until_some_answer(node, &replicas).await;
    let states = states_of(node, &answers);
    if let Some(name) = present_primary(&answers, &states) {
        node.log(
            "primary_found",
            &[
                ("group", group.as_str().into()),
                ("database", name.as_str().into()),
            ],
        );
        prove_found_primary(node, &name).await;
        return None;
    }
    let chosen = match eligible.choose(&states, replicas.len(), node.sync_replicas(group)) {
        Ok(chosen) => prefer_announced(node, group, chosen, &states),
        Err(error) => {
            log_no_candidate(node, group, error);
            return None;
        }
    };
    let replica = states.into_iter().find(|state| state.name == chosen)?;
    Some(Found {
        replica,
        newest_term: newest_term(node, &answers),
    })
}

/// Returns the candidate of a pending promotion of a synchronous group if it holds as much as the
/// one chosen, and the latter otherwise: an earlier order for the same candidate may take effect
/// without loss.
fn prefer_announced(
    node: &Rc<Node>,
    group: &GroupName,
    chosen: DatabaseName,
    states: &[ReplicaState],
) -> DatabaseName {
    let received = |name: &DatabaseName| {
        let state = states.iter().find(|state| state.name == *name);
        state.map(|state| state.received)
    };
    let announced = node.with_group(group, |state| {
        let pending = state.promotion_is_pending();
        let candidate = state.promoting.as_ref().filter(|_| pending);
        candidate.map(|(candidate, _)| candidate.clone())
    });
    announced
        .filter(|announced| received(announced) >= received(&chosen))
        .unwrap_or(chosen)
}

/// Returns the newest term that the databases reported. A database that was ordered to step down
/// may report a term that no primary leads, which happens only where promotions are not fenced.
fn newest_term(node: &Rc<Node>, answers: &[(DatabaseName, DatabaseStatus)]) -> Term {
    let fenced = node.changeable().fenced_promotions;
    let terms = answers.iter().map(|(_, status)| {
        let stated = if fenced || status.primary {
            status.term
        } else {
            Term::default()
        };
        stated.max(status.received.term)
    });
    terms.max().unwrap_or_default()
}

fn states_of(node: &Rc<Node>, answers: &[(DatabaseName, DatabaseStatus)]) -> Vec<ReplicaState> {
    answers
        .iter()
        .map(|(name, status)| replica_state(node, name.clone(), *status))
        .collect()
}

/// Returns the database that reports that it leads, unless it lost commits that a replica still
/// holds.
fn present_primary(
    answers: &[(DatabaseName, DatabaseStatus)],
    states: &[ReplicaState],
) -> Option<DatabaseName> {
    let (name, _) = answers.iter().find(|(_, status)| status.primary)?;
    (!has_lost_commits(name, states)).then(|| name.clone())
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

/// Returns whether a database that reports that it leads lost commits that a replica still holds.
fn has_lost_commits(name: &DatabaseName, states: &[ReplicaState]) -> bool {
    states
        .iter()
        .any(|state| state.name == *name && state.is_behind(states))
}

/// Returns whether a database counts as a replica. A database that is missing from the store
/// because of a crash or an outage may be the only one that holds a commit, so it counts for
/// [`MISSING_REPLICA_COUNTS_FOR`], by which time the others have long received all commits.
fn is_candidate(node: &Rc<Node>, name: &DatabaseName) -> bool {
    let now = node.now();
    let directory = node.directory.borrow();
    directory.get(name).is_some_and(|listed| {
        let missing_since = listed
            .departure
            .map_or(now, |departure| departure.learned_at());
        !listed.missing || now.since(missing_since) < MISSING_REPLICA_COUNTS_FOR
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

/// Obtains a proof of leadership from a database that reports that it leads. While the primary
/// known here is in an evacuated zone, this node has no other way to learn of the new one.
async fn prove_found_primary(node: &Rc<Node>, name: &DatabaseName) {
    if let Some(mut lease) = lease_for_status(node, &node.pool(name)).await
        && check_leadership(node, &mut lease).await.is_err()
    {
        node.counters.count("primaries_found", "not_proved");
    }
}

/// Requests the status of all replicas, repeating the round while none of them answers.
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
    let asked = replicas
        .iter()
        .filter(|name| !node.is_in_evacuated_zone(name));
    let queries = asked.map(|name| {
        let command = command.clone();
        async move {
            let asked_at = node.now();
            let status = ask_status(node, name, command).await?;
            node.database_unless_restarted(name, asked_at)?;
            Some((name.clone(), status))
        }
    });
    let answers = futures::future::join_all(queries).await;
    answers.into_iter().flatten().collect()
}

async fn ask_status(
    node: &Rc<Node>,
    name: &DatabaseName,
    command: Command,
) -> Option<DatabaseStatus> {
    timeout(STATUS_TIMEOUT, ask_until_accepted(node, name, command))
        .await
        .ok()
        .flatten()
}

/// Repeats the request for as long as the database rejects it as overloaded. Each is sent on a
/// connection that has answered none before, whose answer could arrive a second time.
async fn ask_until_accepted(
    node: &Rc<Node>,
    name: &DatabaseName,
    command: Command,
) -> Option<DatabaseStatus> {
    loop {
        let mut lease = lease_for_status(node, &node.pool(name)).await?;
        let mut query = Vec::with_capacity(2);
        if lease.connection().in_transaction {
            query.push(Command::Rollback);
        }
        query.push(command.clone());
        let answers = lease.exchange(node, &query, STATUS_TIMEOUT).await.ok()?;
        let answer = answers.last()?;
        let code = answer.result.as_ref().err().map(|failure| failure.code);
        if code != Some(FailureCode::Overloaded) {
            return node.protocol.parse_status(answer.rows.first()?);
        }
        drop(lease);
        sleep(BUSY_PAUSE).await;
    }
}

/// Returns an idle connection, a new one, or one borrowed from another node.
async fn lease_for_status(node: &Rc<Node>, pool: &Rc<Pool>) -> Option<Lease> {
    let values = SessionValues::new();
    let query = ConnectionRequest {
        principal: None,
        priority: STATUS_PRIORITY,
        values: &values,
        placement: &Placement::unrestricted(),
        limits: WaitLimits::any_queue(STATUS_TIMEOUT),
    };
    if node.is_cold(pool.database()) {
        let leased = cold_start::lease_for_query(node, pool, query).await;
        return leased.ok();
    }
    if let Some(lease) = pool.try_acquire(None, &values) {
        return Some(lease);
    }
    match pool.open(node, None).await {
        Ok(lease) => Some(lease),
        Err(_) => relay::lease(node, pool, query).await.ok(),
    }
}
