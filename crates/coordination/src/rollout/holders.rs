//! Nodes known to have a newer version than this node.

use std::collections::BTreeMap;

use hookpoint_state::{BundleVersion, NodeId};
use rand::Rng;

/// Maximum number of holders kept; enough to choose among.
const MAXIMUM_HOLDERS: usize = 64;

/// Holders of newer versions, with the version of each.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders(BTreeMap<NodeId, BundleVersion>);

impl Holders {
    /// Records that `node` has `version`. When the maximum is reached, the holder of the
    /// oldest version is evicted if its version is older than `version`; otherwise
    /// `node` is not recorded.
    pub(super) fn record(&mut self, node: NodeId, version: BundleVersion) {
        if self.0.len() >= MAXIMUM_HOLDERS && !self.0.contains_key(&node) {
            let oldest = self.0.iter().min_by_key(|(_, held)| **held);
            let Some((&other, &held)) = oldest else {
                return;
            };
            if held >= version {
                return;
            }
            self.0.remove(&other);
        }
        let held = self.0.entry(node).or_insert(version);
        *held = version.max(*held);
    }

    /// Removes `node`.
    pub(super) fn remove(&mut self, node: NodeId) {
        self.0.remove(&node);
    }

    /// Removes the holders that have nothing newer than `version`.
    pub(super) fn keep_newer_than(&mut self, version: BundleVersion) {
        self.0.retain(|_, held| *held > version);
    }

    /// Returns whether no holder is known.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns a random holder of the newest version. `avoid` is excluded if there is
    /// another holder of any newer version.
    pub(super) fn choose(&self, avoid: Option<NodeId>, random: &mut impl Rng) -> Option<NodeId> {
        let others = || self.0.iter().filter(|(node, _)| Some(**node) != avoid);
        let Some(newest) = others().map(|(_, version)| *version).max() else {
            return self.0.keys().next().copied();
        };
        let newest_holders: Vec<NodeId> = others()
            .filter(|(_, version)| **version == newest)
            .map(|(node, _)| *node)
            .collect();
        let index = random.random_range(0..newest_holders.len());
        Some(newest_holders[index])
    }
}
