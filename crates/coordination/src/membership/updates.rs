//! Queue of changes to be gossiped, those transmitted least often first.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_state::NodeId;

/// A queue of members whose current record is to be transmitted a bounded number of
/// times. Each member is in the queue at most once.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    order: BTreeSet<(u32, u64, NodeId)>,
    entries: BTreeMap<NodeId, (u32, u64)>,
    next_sequence: u64,
}

impl UpdateQueue {
    /// Queues a member's record and resets its number of transmissions.
    pub fn push(&mut self, node: NodeId) {
        self.remove(node);
        // Sequence numbers count down, so that the latest change comes first among those
        // transmitted equally often.
        let sequence = u64::MAX - self.next_sequence;
        self.next_sequence += 1;
        self.entries.insert(node, (0, sequence));
        self.order.insert((0, sequence, node));
    }

    /// Removes a member from the queue.
    pub fn remove(&mut self, node: NodeId) {
        if let Some((sent, sequence)) = self.entries.remove(&node) {
            self.order.remove(&(sent, sequence, node));
        }
    }

    /// Returns the members in the order in which their records should be sent.
    pub fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.order.iter().map(|(_, _, node)| *node)
    }

    /// Counts a transmission of `node` and removes it from the queue after `limit`
    /// transmissions.
    pub fn record_transmission(&mut self, node: NodeId, limit: u32) {
        let Some((sent, sequence)) = self.entries.remove(&node) else {
            return;
        };
        self.order.remove(&(sent, sequence, node));
        if sent + 1 < limit {
            self.entries.insert(node, (sent + 1, sequence));
            self.order.insert((sent + 1, sequence, node));
        }
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of members in the queue.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
