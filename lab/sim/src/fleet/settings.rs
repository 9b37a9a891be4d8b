//! What a fleet run simulates.

use serde::{Deserialize, Serialize};

/// Settings of a fleet run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetSettings {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Zones; nodes and databases are spread evenly.
    pub zones: usize,
    /// Regions; zones are spread evenly.
    pub regions: usize,
    /// Databases, three a group.
    pub databases: usize,
    /// Time over which the nodes start, in milliseconds.
    pub join_ms: u64,
    /// Time in which nothing happens and the traffic is measured, in milliseconds.
    pub quiet_ms: u64,
    /// Datagrams lost, of a million.
    pub loss_per_million: u32,
    /// Bundles rolled one after the other.
    pub bundles: usize,
    /// Changes of primary, each in another group.
    pub term_changes: usize,
    /// Nodes whose sessions use a group.
    pub users_per_group: usize,
    /// Nodes that die at the same moment.
    pub deaths: usize,
    /// Whether a zone is cut off while a bundle is rolled, and joined again.
    pub cut_zone: bool,
    /// How long it is cut off, in milliseconds.
    pub cut_ms: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self::of_size(150)
    }
}

impl FleetSettings {
    /// A fleet of `nodes`, with two databases for each node.
    pub fn of_size(nodes: usize) -> Self {
        Self {
            seed: 1,
            nodes,
            zones: 5,
            regions: 2,
            databases: nodes * 2 / 3 * 3,
            join_ms: 20_000,
            quiet_ms: 600_000,
            loss_per_million: 1_000,
            bundles: 5,
            term_changes: 20,
            users_per_group: 20,
            deaths: 13,
            cut_zone: true,
            cut_ms: 60_000,
        }
    }
}
