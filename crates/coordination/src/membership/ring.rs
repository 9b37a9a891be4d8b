//! Shuffled round-robin order of members.

use hookpoint_state::NodeId;
use rand::Rng;
use rand::seq::SliceRandom;

/// Members in random order with a cursor, reshuffled after each round. Removal is lazy:
/// [`ProbeRing::next`] drops members that are no longer wanted.
#[derive(Clone, Debug, Default)]
pub struct ProbeRing {
    nodes: Vec<NodeId>,
    cursor: usize,
}

impl ProbeRing {
    /// Adds a member at a random position in the rest of the round.
    pub fn insert(&mut self, node: NodeId, random: &mut impl Rng) {
        self.nodes.push(node);
        let last = self.nodes.len() - 1;
        let position = random.random_range(self.cursor.min(last)..=last);
        self.nodes.swap(position, last);
    }

    /// Returns the next member that `wanted` accepts, and drops rejected members from
    /// the ring.
    pub fn next(
        &mut self,
        random: &mut impl Rng,
        mut wanted: impl FnMut(NodeId) -> bool,
    ) -> Option<NodeId> {
        while !self.nodes.is_empty() {
            if self.cursor >= self.nodes.len() {
                self.cursor = 0;
                self.nodes.shuffle(random);
            }
            let node = self.nodes[self.cursor];
            if wanted(node) {
                self.cursor += 1;
                return Some(node);
            }
            self.nodes.swap_remove(self.cursor);
        }
        None
    }

    /// Returns a random member, which may be one that is no longer wanted.
    pub fn random(&self, random: &mut impl Rng) -> Option<NodeId> {
        if self.nodes.is_empty() {
            return None;
        }
        Some(self.nodes[random.random_range(0..self.nodes.len())])
    }
}
