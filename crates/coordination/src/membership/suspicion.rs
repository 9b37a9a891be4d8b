//! Suspicions that run out, and how long they last.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{NodeId, Timestamp};

use super::settings::MembershipSettings;

/// Members up to which a suspicion lasts its shortest time.
const SMALL_FLEET: usize = 10;

/// Running suspicions by member and by deadline.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    running: BTreeMap<NodeId, Timestamp>,
    deadlines: BTreeSet<(Timestamp, NodeId)>,
}

/// How long a member has to refute a suspicion. News takes a time in the order of the
/// logarithm of the members to get around, and back.
pub fn time_to_refute(settings: &MembershipSettings, members: usize) -> Duration {
    let scale = (members.max(SMALL_FLEET) as f64).log10();
    settings.suspicion.mul_f64(scale)
}

impl Suspicions {
    /// Starts a suspicion that runs out at `deadline`, unless one runs.
    pub fn start(&mut self, node: NodeId, deadline: Timestamp) {
        if self.running.contains_key(&node) {
            return;
        }
        self.running.insert(node, deadline);
        self.deadlines.insert((deadline, node));
    }

    /// Ends the suspicion of a member.
    pub fn clear(&mut self, node: NodeId) {
        if let Some(deadline) = self.running.remove(&node) {
            self.deadlines.remove(&(deadline, node));
        }
    }

    /// A member whose suspicion has run out.
    pub fn expired(&mut self, now: Timestamp) -> Option<NodeId> {
        let (deadline, node) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.clear(node);
        Some(node)
    }

    /// When the next suspicion runs out.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Puts off every deadline by `pause`, in which this node could not hear
    /// refutations.
    pub fn postpone(&mut self, pause: Duration) {
        self.deadlines.clear();
        for (node, deadline) in &mut self.running {
            *deadline = *deadline + pause;
            self.deadlines.insert((*deadline, *node));
        }
    }
}
