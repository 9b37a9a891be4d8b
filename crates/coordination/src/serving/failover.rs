//! When a group gets another primary, and which one.
//!
//! Nobody announces that a primary is dead. A false promotion rolls back commits and
//! costs a second of writes; a late one costs every write until then. What counts is what
//! the nodes that hold connections to it see: more of them must have lost it than reach
//! it, and those that answer must be a majority of the holders, or the loss must have
//! lasted much longer. Nodes that only lease connections, or know no primary, may be cut
//! off from the holders or crowded out, so they count only where nobody reaches it.

use std::cmp::Reverse;
use std::time::Duration;

use hookpoint_state::{DatabaseName, Position};
use serde::{Deserialize, Serialize};

use super::handover::Drawbacks;

/// Loss by silence that counts as evidence.
pub const SILENCE_EVIDENCE: Duration = Duration::from_millis(550);
/// Loss by refused connections that counts as evidence.
pub const REFUSAL_EVIDENCE: Duration = Duration::from_millis(150);
/// Loss after which a minority of answering nodes is enough.
pub const LONG_LOSS: Duration = Duration::from_millis(2_500);

/// How one node sees a group's primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// It answers.
    Reachable,
    /// Its host refuses connections.
    Refused(Duration),
    /// It has said nothing for this long.
    Silent(Duration),
    /// This node holds no connections to it, and no holder has helped for this long.
    Unhelped(Duration),
    /// This node has known no primary for this long.
    Leaderless(Duration),
    /// This node has not looked.
    Unknown,
}

/// Nodes that may testify.
#[derive(Clone, Copy, Debug)]
pub struct Witnesses {
    /// Live nodes.
    pub members: usize,
    /// Those of them that hold connections to the primary.
    pub holders: usize,
}

/// Whether the primary counts as lost, by the observations of the nodes that answered,
/// the asking one included.
pub fn is_lost(observations: &[Observation], witnesses: Witnesses) -> bool {
    let mut reachable = 0;
    let mut direct = 0;
    let mut leaderless = 0;
    let mut unhelped = 0;
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
            Observation::Unhelped(lasting) => (&mut unhelped, lasting, SILENCE_EVIDENCE),
        };
        if lasting >= evidence {
            *count += 1;
            longest = longest.max(lasting);
        }
    }
    let long = longest >= LONG_LOSS;
    if direct > reachable && (direct + reachable >= majority(witnesses.holders) || long) {
        return true;
    }
    if reachable > 0 {
        return false;
    }
    let without_primary = direct + leaderless;
    let all = without_primary + unhelped;
    without_primary >= majority(witnesses.members)
        || (leaderless > 0 && unhelped == 0 && long)
        || (all >= majority(witnesses.members) && long)
}

/// The least number of `nodes` that any other as large shares a node with.
pub(super) fn majority(nodes: usize) -> usize {
    nodes / 2 + 1
}

/// One replica's state, as it answered for itself.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// The replica.
    pub name: DatabaseName,
    /// Newest position that it has received.
    pub received: Position,
    /// What speaks against it as the place of the primary.
    pub drawbacks: Drawbacks,
    /// Whether it is in a zone that most nodes are close to; breaks ties.
    pub preferred: bool,
}

/// Commits by which replicas in step may differ: what is on its way to them. One that lacks
/// more has restarted empty or was cut off, and is no match for one that announces its end.
const COMMITS_ON_THEIR_WAY: u64 = 64;

impl ReplicaState {
    /// Whether the replica has received about as much as one at `newest`.
    fn is_near(&self, newest: Position) -> bool {
        let lacks = newest.lsn.0.saturating_sub(self.received.lsn.0);
        lacks <= COMMITS_ON_THEIR_WAY && (self.received.lsn.0 > 0 || newest.lsn.0 == 0)
    }

    /// Whether it lacks what one of `others` holds: it restarted empty or was cut off.
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
    /// With acknowledgements by replicas, every one of them has to be asked.
    #[error("a replica that may hold acknowledged commits did not answer")]
    SomeMissing,
    /// None of the replicas that the primary may move to holds enough.
    #[error("no replica that the primary may move to holds enough")]
    NoTarget,
}

/// Fails unless enough replicas answered to tell who holds every acknowledged commit.
fn require_answers(
    answered: &[ReplicaState],
    replicas: usize,
    sync_replicas: u32,
) -> Result<(), NoCandidate> {
    let missing = replicas.saturating_sub(answered.len());
    let may_miss = match usize::try_from(sync_replicas).unwrap_or(usize::MAX) {
        0 => usize::MAX,
        sync => sync - 1,
    };
    if missing > may_miss {
        return Err(NoCandidate::SomeMissing);
    }
    Ok(())
}

/// Chooses the replica with the least against it, of those the one that has received most.
/// One that has received nothing, as it started anew, is the last choice; that one is cold only
/// decides among those that have received as much.
///
/// `replicas` is the number of replicas of the group. If `sync_replicas` is above zero
/// a commit may be held by just that many replicas, so at most `sync_replicas - 1` may
/// be missing from `answered`, and what was received goes before all else.
pub fn choose_candidate(
    answered: &[ReplicaState],
    replicas: usize,
    sync_replicas: u32,
) -> Result<DatabaseName, NoCandidate> {
    require_answers(answered, replicas, sync_replicas)?;
    best(answered, sync_replicas).ok_or(NoCandidate::NoneAnswered)
}

/// The same among the `targets` of a planned move. With acknowledgements by replicas only one
/// that has received as much as any other will do.
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
    best(&eligible, sync_replicas).ok_or(NoCandidate::NoTarget)
}

fn best(states: &[ReplicaState], sync_replicas: u32) -> Option<DatabaseName> {
    let newest = states.iter().map(|state| state.received).max();
    let in_step = |state: &ReplicaState| newest.is_none_or(|newest| state.is_near(newest));
    let merit = |state: &ReplicaState| {
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
            .then_with(|| merit(left).cmp(&merit(right)))
            .then_with(|| right.name.cmp(&left.name))
    });
    best.map(|state| state.name.clone())
}
