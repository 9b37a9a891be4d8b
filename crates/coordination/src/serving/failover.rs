//! Decides when a group needs a new primary, and which replica is promoted.
//!
//! No component reports that a primary has failed. A false promotion rolls back commits and
//! interrupts writes for a second; a late one fails every write until then. The decision rests on
//! the observations of the nodes that hold connections to the primary: more of them must have lost
//! it than reach it, and those that answer must be a majority of the holders, or the loss must have
//! lasted much longer. Nodes that only lease connections, or that know no primary, may be
//! partitioned from the holders or get no connection because of load. Their observations count only
//! if no node reaches the primary.

use std::cmp::Reverse;
use std::time::Duration;

use hookpoint_state::{DatabaseName, Position};
use serde::{Deserialize, Serialize};

use super::handover::Drawbacks;

/// Duration of silence from which the loss of a primary counts as evidence.
pub const SILENCE_EVIDENCE: Duration = Duration::from_millis(550);
/// Duration of refused connections from which the loss of a primary counts as evidence.
pub const REFUSAL_EVIDENCE: Duration = Duration::from_millis(150);
/// Duration of a loss from which a minority of answering nodes is enough.
pub const LONG_LOSS: Duration = Duration::from_millis(2_500);

/// The state of a group's primary as observed by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// The primary answers.
    Reachable,
    /// Its host has refused connections for this long.
    Refused(Duration),
    /// It has not answered for this long.
    Silent(Duration),
    /// This node holds no connections to it, and no holder has provided one for this long.
    #[serde(rename = "Unhelped")]
    NoHolderAvailable(Duration),
    /// This node has known no primary for this long.
    Leaderless(Duration),
    /// This node has made no observation.
    Unknown,
}

/// Number of nodes whose observations may count.
#[derive(Clone, Copy, Debug)]
pub struct ObserverCounts {
    /// All live nodes of the fleet.
    pub members: usize,
    /// Live nodes that hold connections to the primary.
    pub holders: usize,
}

/// Returns whether the primary counts as lost, given the observations of the nodes that answered,
/// including the node that collects them.
pub fn is_lost(observations: &[Observation], observer_counts: ObserverCounts) -> bool {
    let mut reachable = 0;
    let mut direct = 0;
    let mut leaderless = 0;
    let mut no_holder = 0;
    let mut longest = Duration::ZERO;
    for observation in observations {
        let (count, lasting, evidence) = match *observation {
            Observation::Reachable => {
                reachable += 1;
                continue;
            }
            Observation::Unknown => continue,
            Observation::Refused(lasting) => (&mut direct, lasting, REFUSAL_EVIDENCE),
            Observation::Silent(lasting) => (&mut direct, lasting, SILENCE_EVIDENCE),
            Observation::Leaderless(lasting) => (&mut leaderless, lasting, SILENCE_EVIDENCE),
            Observation::NoHolderAvailable(lasting) => (&mut no_holder, lasting, SILENCE_EVIDENCE),
        };
        if lasting >= evidence {
            *count += 1;
            longest = longest.max(lasting);
        }
    }
    let long = longest >= LONG_LOSS;
    if direct > reachable && (direct + reachable >= majority(observer_counts.holders) || long) {
        return true;
    }
    if reachable > 0 {
        return false;
    }
    let without_primary = direct + leaderless;
    let all = without_primary + no_holder;
    without_primary >= majority(observer_counts.members)
        || (leaderless > 0 && no_holder == 0 && long)
        || (all >= majority(observer_counts.members) && long)
}

/// Returns the size of the smallest majority of `nodes`: any two majorities have a node in common.
pub(super) fn majority(nodes: usize) -> usize {
    nodes / 2 + 1
}

/// State of one replica, as reported by the replica itself.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// Name of the replica.
    pub name: DatabaseName,
    /// Newest position that it has received.
    pub received: Position,
    /// Reasons against making it the primary.
    pub drawbacks: Drawbacks,
    /// Whether it is in a zone that is close to most nodes; used as a tie-breaker.
    pub preferred: bool,
}

/// Maximum number of commits by which replicas in step may differ, because the commits are still in
/// transit. A replica that lacks more has restarted empty or was partitioned; a replica that has
/// announced its departure is preferred to it.
const MAX_COMMITS_IN_TRANSIT: u64 = 64;

impl ReplicaState {
    /// Returns whether the replica has received about as much as one at position `newest`.
    fn is_near(&self, newest: Position) -> bool {
        let lacks = newest.lsn.0.saturating_sub(self.received.lsn.0);
        lacks <= MAX_COMMITS_IN_TRANSIT && (self.received.lsn.0 > 0 || newest.lsn.0 == 0)
    }

    /// Returns whether it lacks commits that one of `others` holds, because it restarted empty or
    /// was partitioned.
    pub fn is_behind(&self, others: &[ReplicaState]) -> bool {
        others.iter().any(|other| !self.is_near(other.received))
    }
}

/// Why no replica can be promoted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoCandidate {
    /// No replica answered.
    #[error("no replica answered")]
    NoneAnswered,
    /// Commits are acknowledged by replicas, and too few replicas answered to be sure that every
    /// acknowledged commit is among their positions.
    #[error("a replica that may hold acknowledged commits did not answer")]
    SomeMissing,
    /// None of the permitted targets of a planned move holds enough commits.
    #[error("no replica that the primary may move to holds enough")]
    NoTarget,
}

/// Fails unless enough replicas answered to determine which of them hold every acknowledged commit.
fn require_answers(
    answered: &[ReplicaState],
    replicas: usize,
    sync_replicas: u32,
) -> Result<(), NoCandidate> {
    let missing = replicas.saturating_sub(answered.len());
    let max_missing = match usize::try_from(sync_replicas).unwrap_or(usize::MAX) {
        0 => usize::MAX,
        sync => sync - 1,
    };
    if missing > max_missing {
        return Err(NoCandidate::SomeMissing);
    }
    Ok(())
}

/// Selects the replica with the least severe drawbacks, in the order of [`Drawbacks`], and among
/// equals the one that has received most. A replica that restarted empty and has received nothing
/// is the last choice. A replica being cold only decides between replicas that have received the
/// same position.
///
/// `replicas` is the number of replicas of the group. If `sync_replicas` is above zero, a commit
/// may be held by only that many replicas. Then at most `sync_replicas - 1` replicas may be missing
/// from `answered`, and the received position takes precedence over everything else.
pub fn choose_candidate(
    answered: &[ReplicaState],
    replicas: usize,
    sync_replicas: u32,
) -> Result<DatabaseName, NoCandidate> {
    require_answers(answered, replicas, sync_replicas)?;
    select_best(answered, sync_replicas).ok_or(NoCandidate::NoneAnswered)
}

/// Selects a replica in the same way among the `targets` of a planned move. With synchronous
/// replicas, only a replica that has received as much as any other is eligible.
pub fn choose_target(
    answered: &[ReplicaState],
    replicas: usize,
    sync_replicas: u32,
    targets: &[DatabaseName],
) -> Result<DatabaseName, NoCandidate> {
    require_answers(answered, replicas, sync_replicas)?;
    let newest = answered.iter().map(|state| state.received).max();
    let eligible: Vec<ReplicaState> = answered
        .iter()
        .filter(|state| targets.contains(&state.name))
        .filter(|state| sync_replicas == 0 || Some(state.received) == newest)
        .cloned()
        .collect();
    select_best(&eligible, sync_replicas).ok_or(NoCandidate::NoTarget)
}

fn select_best(states: &[ReplicaState], sync_replicas: u32) -> Option<DatabaseName> {
    let newest = states.iter().map(|state| state.received).max();
    let in_step = |state: &ReplicaState| newest.is_none_or(|newest| state.is_near(newest));
    let preference = |state: &ReplicaState| {
        let lasting = Drawbacks {
            cold: false,
            ..state.drawbacks
        };
        let warm = !state.drawbacks.cold;
        (Reverse(lasting), state.received, warm, state.preferred)
    };
    let best = states.iter().max_by(|left, right| {
        let order = if sync_replicas > 0 {
            left.received.cmp(&right.received)
        } else {
            in_step(left).cmp(&in_step(right))
        };
        order
            .then_with(|| preference(left).cmp(&preference(right)))
            .then_with(|| right.name.cmp(&left.name))
    });
    best.map(|state| state.name.clone())
}
