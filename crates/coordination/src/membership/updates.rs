//! Changes that wait to be passed on, those passed on least often first.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_state::NodeId;

/// A queue of members whose current record is to be passed on a bounded number of
/// times. Each member stands in it at most once.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    order: BTreeSet<(u32, u64, NodeId)>,
    entries: BTreeMap<NodeId, (u32, u64)>,
    next_sequence: u64,
}

impl UpdateQueue {
    /// Starts passing on a member's record from the beginning.
    pub fn push(&mut self, node: NodeId) {
        self.remove(node);
        // Counting down puts the latest change first among equals.
        let sequence = u64::MAX - self.next_sequence;
        self.next_sequence += 1;
        self.entries.insert(node, (0, sequence));
        self.order.insert((0, sequence, node));
    }

    /// Stops passing on a member's record.
    pub fn remove(&mut self, node: NodeId) {
        if let Some((sent, sequence)) = self.entries.remove(&node) {
            self.order.remove(&(sent, sequence, node));
        }
    }

    /// Members in the order in which they should be sent.
    pub fn iter(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.order.iter().map(|(_, _, node)| *node)
    }

    /// Counts a transmission of `node`; after `limit` of them it leaves the queue.
    pub fn sent(&mut self, node: NodeId, limit: u32) {
        let Some((sent, sequence)) = self.entries.remove(&node) else {
            return;
        };
        self.order.remove(&(sent, sequence, node));
        if sent + 1 < limit {
            self.entries.insert(node, (sent + 1, sequence));
            self.order.insert((sent + 1, sequence, node));
        }
    }

    /// Whether nothing is to be passed on.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Members in the queue.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
