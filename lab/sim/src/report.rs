//! Reports of simulation runs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::faults::Fault;
use crate::settings::{Mutation, SimSettings};

/// Invariant that must hold throughout a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A client's reads return all of its own acknowledged writes.
    OwnWritesVisible,
    /// An acknowledged write is never lost.
    AcknowledgedWriteKept,
    /// A replaced primary acknowledges no write that the later primary lacks.
    NoAcknowledgementByReplaced,
    /// A transaction is atomic and contains no statements of another session.
    TransactionsUnmixed,
    /// A caller receives the answer to its own request and no other.
    OwnAnswer,
    /// A request reported as "not run" did not run.
    NotRunIsTrue,
    /// No request is executed twice.
    AtMostOnce,
    /// A draining database receives no new work after the allowed time.
    DrainHonoured,
    /// A planned stop interrupts no request in flight.
    StopCutsNothing,
    /// A proxy never returns to an older bundle, and a new bundle is in force in time.
    BundleInForce,
    /// Every request ends and every group has a primary at the end of the run, although no
    /// database accepts more connections than it allows.
    Progress,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// Virtual time in microseconds.
    pub at_us: u64,
    /// Description of the observed state.
    pub detail: String,
}

/// Event and request counts of a run, or sums over several runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Simulation events processed.
    pub events: u64,
    /// Requests sent by clients.
    pub requests: u64,
    /// Reads answered.
    pub reads: u64,
    /// Reads answered by a replica.
    pub replica_reads: u64,
    /// Writing requests acknowledged, transactions included.
    pub acknowledged: u64,
    /// Requests reported as "not run".
    pub not_run: u64,
    /// Requests of unknown outcome.
    pub unknown: u64,
    /// Requests whose session ended before the answer.
    #[serde(rename = "broken")]
    pub interrupted: u64,
    /// Changes of primary.
    pub elections: u64,
}

impl Counts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Counts) {
        self.events += other.events;
        self.requests += other.requests;
        self.reads += other.reads;
        self.replica_reads += other.replica_reads;
        self.acknowledged += other.acknowledged;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.interrupted += other.interrupted;
        self.elections += other.elections;
    }
}

/// Result of running one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimReport {
    /// Seed of the run's random generators.
    pub seed: u64,
    /// Digest of the whole run.
    pub trace: u64,
    /// Counts of the run.
    pub counts: Counts,
    /// Violated invariants, at most 20.
    pub violations: Vec<Violation>,
    /// Faults of the run; after shrinking, only those still needed to violate the same
    /// invariant.
    pub faults: Vec<Fault>,
    /// Last decisions before the first violation, from the explain ring.
    pub decisions: Vec<String>,
}

/// Result of a range of seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeReport {
    /// Settings of all runs.
    pub settings: SimSettings,
    /// First seed of the range.
    pub first_seed: u64,
    /// Number of seeds run.
    pub seeds: u64,
    /// Sums over all runs.
    pub counts: Counts,
    /// Runs with a violation, in order of their seeds; shrunk if the settings ask for it.
    pub failures: Vec<SimReport>,
}

/// Result of searching for a seed that detects a mutation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MutationReport {
    /// Mutation that was switched on.
    pub mutation: Mutation,
    /// Number of seeds up to and including the first that detects the mutation; `None` if
    /// none does.
    pub seeds_to_find: Option<u64>,
    /// Number of seeds that detect the mutation.
    pub found_by: u64,
    /// Number of seeds run.
    pub seeds: u64,
    /// Invariants that were violated first in a run, with the number of such runs.
    pub invariants: BTreeMap<Invariant, u64>,
}
