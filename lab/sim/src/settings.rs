//! Settings of a simulated run of the request path.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Deployment whose zones, latencies and sizes a run uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SimDeployment {
    /// Three zones in three regions, 20 ms apart, 5 connection slots per database.
    CostaRica,
    /// Three zones in three regions, 10 ms apart, 10 connection slots per database.
    Greece,
}

impl SimDeployment {
    /// Returns the zones, each with its region.
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

    /// Returns the one-way latency between machines of two zones.
    pub fn latency(self, from: usize, to: usize) -> Duration {
        match (from == to, self) {
            (true, _) => Duration::from_micros(100),
            (false, SimDeployment::CostaRica) => Duration::from_millis(20),
            (false, SimDeployment::Greece) => Duration::from_millis(10),
        }
    }

    /// Returns the number of connections that a database allows.
    pub fn slots(self) -> usize {
        match self {
            SimDeployment::CostaRica => 5,
            SimDeployment::Greece => 10,
        }
    }

    /// Returns the number of client sessions per group in a run of standard size.
    pub fn sessions_per_group(self) -> usize {
        match self {
            SimDeployment::CostaRica => 40,
            SimDeployment::Greece => 100,
        }
    }
}

/// Deliberate defect in the code under test, which shows that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mutation {
    /// Reads skip the check that the replica has replayed the required position.
    SkipPositionCheck,
    /// Commits are acknowledged without evidence of replication to a majority.
    SkipEvidence,
    /// A session token is replaced by the initial position, which requires no writes.
    EmptyToken,
    /// A session without a token reads before a majority has verified the term.
    SkipVerification,
    /// A leased connection is also granted to the next session.
    DoubleGrant,
    /// Non-repeatable requests run without their ledger row.
    NoLedger,
    /// Unknown outcomes are reported as "not run".
    FalseNotRun,
    /// A connection with outstanding answers is reused by the next session.
    ReuseUndrained,
    /// A connection with an open transaction is reused by the next session.
    ReuseOpenTransaction,
    /// Drain marks in bundles are ignored.
    IgnoreDrain,
    /// A stopping proxy exits without waiting for requests in flight.
    CutOnStop,
    /// An older bundle replaces a newer one.
    AcceptOlderBundle,
    /// A repeatable write of unknown outcome is sent again.
    ResendUnknown,
}

impl Mutation {
    /// All mutations.
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
    /// Number of database groups, of three databases each.
    pub groups: usize,
    /// Number of proxies in each zone.
    pub proxies_per_zone: usize,
    /// Number of client sessions per group.
    pub sessions_per_group: usize,
    /// Duration of the load in virtual milliseconds.
    pub load_ms: u64,
    /// Maximum pause of a client between requests, in milliseconds.
    pub think_ms: u64,
    /// Maximum number of faults in a run; 0 disables faults.
    pub faults: usize,
    /// Deliberate defect in the code under test, if any.
    pub mutation: Option<Mutation>,
    /// Whether the faults of a failing run are reduced to those needed for the failure.
    pub shrink: bool,
}

impl Default for SimSettings {
    fn default() -> Self {
        Self::standard(SimDeployment::CostaRica)
    }
}

impl SimSettings {
    /// Returns the standard settings of `deployment`: one group and one proxy per zone.
    pub fn standard(deployment: SimDeployment) -> Self {
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

    /// Returns whether `mutation` is switched on.
    pub fn mutated(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}
