//! When a group gets another primary, and which one.
//!
//! Nobody announces that a primary is dead. A false promotion rolls back commits and
//! costs a second of writes; a late one costs every write until then. So a majority of
//! the nodes that answer must have lost the primary, and the ones that answer must be a
//! majority of the fleet, or the loss must have lasted much longer.

use std::time::Duration;

use hookpoint_state::{DatabaseName, Position};
use serde::{Deserialize, Serialize};

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
    /// This node has not looked.
    Unknown,
}

impl Observation {
    fn is_loss(self) -> bool {
        match self {
            Observation::Reachable | Observation::Unknown => false,
            Observation::Refused(lasting) => lasting >= REFUSAL_EVIDENCE,
            Observation::Silent(lasting) => lasting >= SILENCE_EVIDENCE,
        }
    }

    fn lasting(self) -> Duration {
        match self {
            Observation::Reachable | Observation::Unknown => Duration::ZERO,
            Observation::Refused(lasting) | Observation::Silent(lasting) => lasting,
        }
    }
}

/// Whether the primary counts as lost.
///
/// `observations` are those of the nodes that answered, this one included; `members`
/// is the number of live nodes.
pub fn is_lost(observations: &[Observation], members: usize) -> bool {
    let lost = observations
        .iter()
        .filter(|observation| observation.is_loss())
        .count();
    let reachable = observations
        .iter()
        .filter(|observation| **observation == Observation::Reachable)
        .count();
    if lost <= reachable {
        return false;
    }
    let quorum = members / 2 + 1;
    let longest = observations
        .iter()
        .map(|observation| observation.lasting())
        .max()
        .unwrap_or_default();
    lost + reachable >= quorum || longest >= LONG_LOSS
}

/// One replica's state, as it answered for itself.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// The replica.
    pub name: DatabaseName,
    /// Newest position that it has received.
    pub received: Position,
    /// Whether it announces its end.
    pub draining: bool,
    /// Whether it is in a zone that most nodes are close to; breaks ties.
    pub preferred: bool,
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
}

/// Chooses the replica that has received most.
///
/// `replicas` is the number of replicas of the group. If `sync_replicas` is above zero
/// a commit may be held by just that many replicas, so at most `sync_replicas - 1` may
/// be missing from `answered`.
pub fn choose_candidate(
    answered: &[ReplicaState],
    replicas: usize,
    sync_replicas: u32,
) -> Result<DatabaseName, NoCandidate> {
    let missing = replicas.saturating_sub(answered.len());
    let may_miss = match usize::try_from(sync_replicas).unwrap_or(usize::MAX) {
        0 => usize::MAX,
        sync => sync - 1,
    };
    if missing > may_miss {
        return Err(NoCandidate::SomeMissing);
    }
    answered
        .iter()
        .max_by(|left, right| {
            let merit = |state: &ReplicaState| (!state.draining, state.received, state.preferred);
            let by_position_first = sync_replicas > 0;
            let order = if by_position_first {
                left.received.cmp(&right.received)
            } else {
                std::cmp::Ordering::Equal
            };
            order
                .then_with(|| merit(left).cmp(&merit(right)))
                .then_with(|| right.name.cmp(&left.name))
        })
        .map(|state| state.name.clone())
        .ok_or(NoCandidate::NoneAnswered)
}
