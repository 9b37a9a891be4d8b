//! What a run found.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::faults::Fault;
use crate::settings::{Mutation, SimSettings};

/// Something that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invariant {
    /// A session sees its own acknowledged writes.
    OwnWritesVisible,
    /// An acknowledged write is never lost.
    AcknowledgedWriteKept,
    /// A primary that has been replaced acknowledges nothing.
    NoAcknowledgementByReplaced,
    /// Transactions are whole and hold no stranger's statements.
    TransactionsUnmixed,
    /// Callers get the whole answer to their own request.
    OwnAnswer,
    /// What was told as "not run" did not run.
    NotRunIsTrue,
    /// Nothing runs twice.
    AtMostOnce,
    /// A leaving database gets no new work after the allowed time.
    DrainHonoured,
    /// A planned stop cuts nothing in flight.
    StopCutsNothing,
    /// Bundles never go back and are in force in time.
    BundleInForce,
    /// No database sees more connections than it allows, and every request ends.
    Progress,
}

/// A broken invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which one.
    pub invariant: Invariant,
    /// Virtual time in microseconds.
    pub at_us: u64,
    /// What was seen.
    pub detail: String,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Events of the simulation.
    pub events: u64,
    /// Requests sent by clients.
    pub requests: u64,
    /// Reads answered.
    pub reads: u64,
    /// Reads answered by a replica.
    pub replica_reads: u64,
    /// Writes acknowledged, transactions included.
    pub acknowledged: u64,
    /// Requests told as "not run".
    pub not_run: u64,
    /// Requests of unknown outcome.
    pub unknown: u64,
    /// Requests whose session broke.
    pub broken: u64,
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
        self.broken += other.broken;
        self.elections += other.elections;
    }
}

/// Result of one seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SimReport {
    /// The seed.
    pub seed: u64,
    /// Digest of the whole run.
    pub trace: u64,
    /// Counts.
    pub counts: Counts,
    /// Broken invariants, at most 20.
    pub violations: Vec<Violation>,
    /// Faults of the run; after shrinking, the fewest that still break the same
    /// invariant.
    pub faults: Vec<Fault>,
    /// The last decisions before the first violation, from the explain record.
    pub decisions: Vec<String>,
}

/// Result of a range of seeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeReport {
    /// Settings of all runs.
    pub settings: SimSettings,
    /// First seed.
    pub first_seed: u64,
    /// Seeds run.
    pub seeds: u64,
    /// Sums over all runs.
    pub counts: Counts,
    /// Runs with a violation, shrunk if the settings say so.
    pub failures: Vec<SimReport>,
}

/// How soon a search finds a mutation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MutationReport {
    /// The mutation.
    pub mutation: Mutation,
    /// Seeds until the first that finds it, that one included.
    pub seeds_to_find: Option<u64>,
    /// Seeds that find it.
    pub found_by: u64,
    /// Seeds run.
    pub seeds: u64,
    /// Invariants seen broken first, and by how many seeds.
    pub invariants: BTreeMap<Invariant, u64>,
}
