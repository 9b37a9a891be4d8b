//! What a fleet run measured.

use serde::{Deserialize, Serialize};

use super::settings::FleetSettings;

/// Distribution of times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Samples.
    pub samples: u64,
    /// Samples that were expected and never came.
    pub missing: u64,
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest.
    pub max_ms: f64,
}

impl Spread {
    /// The distribution of `micros`, of which `expected` were to come.
    pub(super) fn of(mut micros: Vec<u64>, expected: usize) -> Self {
        micros.sort_unstable();
        let at = |share: f64| {
            let index = (micros.len() as f64 * share).ceil() as usize;
            let value = micros.get(index.saturating_sub(1)).copied().unwrap_or(0);
            value as f64 / 1_000.0
        };
        Self {
            samples: micros.len() as u64,
            missing: expected.saturating_sub(micros.len()) as u64,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

/// What the nodes sent in the quiet phase, each second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes a node sends, as the mean of all nodes.
    pub sent_bytes_mean: f64,
    /// Bytes of the node that sends most.
    pub sent_bytes_max: f64,
    /// Messages a node sends, as the mean of all nodes.
    pub sent_messages_mean: f64,
    /// Messages of the node that sends most.
    pub sent_messages_max: f64,
    /// Bytes a node receives, as the mean of all nodes.
    pub received_bytes_mean: f64,
    /// Bytes of the node that receives most.
    pub received_bytes_max: f64,
}

/// Result of a fleet run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Settings of the run.
    pub settings: FleetSettings,
    /// Time from the last node's start until every node knew 99% of the others, in
    /// milliseconds; none when that did not happen.
    pub joined_ms: Option<f64>,
    /// The same for all others.
    pub fully_joined_ms: Option<f64>,
    /// Traffic in the quiet phase.
    pub quiet: Traffic,
    /// Traffic while bundles were rolled.
    pub rolling: Traffic,
    /// Verdicts of death in the quiet phase; nobody had died.
    pub false_deaths: u64,
    /// Nodes that any other took for dead in the quiet phase.
    pub falsely_dead_nodes: u64,
    /// Nodes falsely taken for dead, worked out for a day.
    pub falsely_dead_nodes_a_day: f64,
    /// From a roll until a node has the bundle in force, over all nodes and rolls.
    pub bundle_in_force: Spread,
    /// The same for a bundle rolled while a zone was cut off, counted from the end of
    /// the cut, for the nodes of that zone.
    pub bundle_after_cut: Spread,
    /// From the end of the cut until a node takes all others for alive again.
    pub members_after_cut: Spread,
    /// From the observation of a change of primary by a home until a user knows.
    pub term_change: Spread,
    /// From simultaneous deaths until a node knows of each.
    pub death_known: Spread,
    /// Requests that the platform answered in the quiet phase, each second, without the
    /// registration of machines.
    pub platform_requests_a_second: f64,
    /// Requests while bundles were rolled, for each bundle.
    pub platform_requests_a_bundle: f64,
    /// Registrations of machines at the platform, each second.
    pub registrations_a_second: f64,
    /// Databases that the busiest home has.
    pub homes_max: u64,
    /// Events of the simulation.
    pub events: u64,
    /// Time the run took on the machine, in milliseconds.
    pub wall_ms: u64,
}
