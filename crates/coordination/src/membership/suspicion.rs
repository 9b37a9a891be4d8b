//! Timeouts of suspicions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{NodeId, Timestamp};

use super::settings::MembershipSettings;

/// Number of members up to which a suspicion has its shortest timeout.
const SMALL_FLEET: usize = 10;

/// Running suspicions, indexed by member and by deadline.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    running: BTreeMap<NodeId, Timestamp>,
    deadlines: BTreeSet<(Timestamp, NodeId)>,
}

/// Returns how long a member has to refute a suspicion. The time to spread a suspicion,
/// and its refutation, grows with the logarithm of the number of members.
pub fn suspicion_timeout(settings: &MembershipSettings, members: usize) -> Duration {
    let scale = (members.max(SMALL_FLEET) as f64).log10();
    settings.suspicion.mul_f64(scale)
}

impl Suspicions {
    /// Starts a suspicion that expires at `deadline`, unless one is already running for
    /// the member.
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

    /// Removes and returns a member whose suspicion has expired.
    pub fn pop_expired(&mut self, now: Timestamp) -> Option<NodeId> {
        let (deadline, node) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.clear(node);
        Some(node)
    }

    /// Returns when the next suspicion expires.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Postpones every deadline by `pause`, during which this node could not receive
    /// refutations.
    pub fn postpone(&mut self, pause: Duration) {
        self.deadlines.clear();
        for (node, deadline) in &mut self.running {
            *deadline = *deadline + pause;
            self.deadlines.insert((*deadline, *node));
        }
    }
}
