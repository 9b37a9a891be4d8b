//! What a run of the request path simulates.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Zones, latencies and sizes of one of the deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SimDeployment {
    /// Three zones in three regions, 20 ms apart, 5 slots a database.
    CostaRica,
    /// Three zones in three regions, 10 ms apart, 10 slots a database.
    Greece,
}

impl SimDeployment {
    /// Zones and their regions.
    pub fn zones(self) -> [(&'static str, &'static str); 3] {
        match self {
            SimDeployment::CostaRica => [
                ("sj-sala-a", "san-jose"),
                ("al-sala-b", "alajuela"),
                ("lb-sala-c", "liberia"),
            ],
            SimDeployment::Greece => [
                ("ath-hall", "attica"),
                ("thes-hall", "macedonia"),
                ("her-hall", "crete"),
            ],
        }
    }

    /// One-way latency between machines of two zones.
    pub fn latency(self, from: usize, to: usize) -> Duration {
        match (from == to, self) {
            (true, _) => Duration::from_micros(100),
            (false, SimDeployment::CostaRica) => Duration::from_millis(20),
            (false, SimDeployment::Greece) => Duration::from_millis(10),
        }
    }

    /// Connections a database allows.
    pub fn slots(self) -> usize {
        match self {
            SimDeployment::CostaRica => 5,
            SimDeployment::Greece => 10,
        }
    }

    /// Sessions of each group in an ordinary run.
    pub fn sessions_per_group(self) -> usize {
        match self {
            SimDeployment::CostaRica => 40,
            SimDeployment::Greece => 100,
        }
    }
}

/// A deliberate fault of the code under test, to show that the checker would notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mutation {
    /// Reads take whatever a replica holds.
    SkipPositionCheck,
    /// Commits are acknowledged without the evidence of a majority.
    SkipEvidence,
    /// A token claims that nothing was ever written.
    EmptyToken,
    /// A session without a token reads before any term is verified.
    SkipVerification,
    /// A leased connection is granted to the next session too.
    DoubleGrant,
    /// Requests that are not repeatable run without their ledger row.
    NoLedger,
    /// Unknown outcomes are told as "not run".
    FalseNotRun,
    /// A connection with answers still to come serves the next session.
    ReuseUndrained,
    /// A connection with an open transaction serves the next session.
    ReuseOpenTransaction,
    /// Draining marks are ignored.
    IgnoreDrain,
    /// A stopping proxy cuts what is in flight.
    CutOnStop,
    /// An older bundle replaces a newer one.
    AcceptOlderBundle,
    /// A repeatable write of unknown outcome is sent again.
    ResendUnknown,
}

impl Mutation {
    /// All of them.
    pub const ALL: [Mutation; 13] = [
        Mutation::SkipPositionCheck,
        Mutation::SkipEvidence,
        Mutation::EmptyToken,
        Mutation::SkipVerification,
        Mutation::DoubleGrant,
        Mutation::NoLedger,
        Mutation::FalseNotRun,
        Mutation::ReuseUndrained,
        Mutation::ReuseOpenTransaction,
        Mutation::IgnoreDrain,
        Mutation::CutOnStop,
        Mutation::AcceptOlderBundle,
        Mutation::ResendUnknown,
    ];
}

/// Settings of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SimSettings {
    /// Zones, latencies and slots.
    pub deployment: SimDeployment,
    /// Database groups, three databases each.
    pub groups: usize,
    /// Proxies in each zone.
    pub proxies_per_zone: usize,
    /// Client sessions of each group.
    pub sessions_per_group: usize,
    /// Virtual time under load, in milliseconds.
    pub load_ms: u64,
    /// Longest pause of a client between requests, in milliseconds.
    pub think_ms: u64,
    /// Faults of a run at most; 0 for none.
    pub faults: usize,
    /// A deliberate fault of the code under test.
    pub mutation: Option<Mutation>,
    /// Whether a failing run is shrunk to the fewest faults that still fail.
    pub shrink: bool,
}

impl Default for SimSettings {
    fn default() -> Self {
        Self::today(SimDeployment::CostaRica)
    }
}

impl SimSettings {
    /// One group at today's sizes of `deployment`, with one proxy a zone.
    pub fn today(deployment: SimDeployment) -> Self {
        Self {
            deployment,
            groups: 1,
            proxies_per_zone: 1,
            sessions_per_group: deployment.sessions_per_group(),
            load_ms: 8_000,
            think_ms: 400,
            faults: 8,
            mutation: None,
            shrink: true,
        }
    }

    /// Whether `mutation` is switched on.
    pub fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}
