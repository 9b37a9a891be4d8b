//! Faults and their random generation.

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::settings::SimSettings;

/// Kind of fault, with its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// The current primary of a group is killed and restarted later.
    KillPrimary {
        /// Index of the group.
        group: usize,
    },
    /// The current primary of a group is frozen for a while.
    PausePrimary {
        /// Index of the group.
        group: usize,
    },
    /// The current primary is partitioned from the other databases, but not from the proxies.
    IsolatePrimary {
        /// Index of the group.
        group: usize,
    },
    /// The current primary steps down for a planned switchover.
    Switchover {
        /// Index of the group.
        group: usize,
    },
    /// A database is killed and restarted later.
    KillDatabase {
        /// Index of the database.
        database: usize,
    },
    /// A database replays its log with a delay.
    Lag {
        /// Index of the database.
        database: usize,
        /// Replay delay in milliseconds.
        lag_ms: u64,
    },
    /// A zone is partitioned from all others.
    CutZone {
        /// Index of the zone.
        zone: usize,
    },
    /// A proxy is killed and replaced by a new process later.
    KillProxy {
        /// Index of the proxy's place in the fleet.
        place: usize,
    },
    /// A proxy is frozen for a while.
    PauseProxy {
        /// Index of the proxy's place in the fleet.
        place: usize,
    },
    /// A proxy is stopped gracefully and replaced by a new process.
    StopProxy {
        /// Index of the proxy's place in the fleet.
        place: usize,
    },
    /// A bundle drains a database, and a later bundle ends the drain.
    Drain {
        /// Index of the database.
        database: usize,
    },
    /// The platform does not answer.
    PlatformOutage,
    /// The platform answers every other request with the previous version.
    PlatformOldAnswers,
    /// Clients disappear as if their machines had failed, possibly in the middle of a request.
    DropClients {
        /// Each client is dropped with a probability of one in `one_of`.
        one_of: u64,
    },
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Start time in virtual milliseconds.
    pub at_ms: u64,
    /// Duration in milliseconds.
    pub lasts_ms: u64,
    /// Kind and target of the fault.
    pub kind: FaultKind,
}

/// Earliest start of a fault, in milliseconds; by then the first primary has been elected.
const EARLIEST_FAULT_MS: u64 = 1_500;

/// Shortest drain in milliseconds. It is longer than the time for which a draining database
/// may still receive new work.
const SHORTEST_DRAIN_MS: u64 = 3_500;

impl FaultKind {
    /// Returns whether the fault may delay the delivery of bundles to proxies.
    pub(crate) fn may_delay_bundles(self) -> bool {
        matches!(
            self,
            FaultKind::CutZone { .. }
                | FaultKind::KillProxy { .. }
                | FaultKind::PauseProxy { .. }
                | FaultKind::StopProxy { .. }
                | FaultKind::PlatformOutage
                | FaultKind::PlatformOldAnswers
        )
    }
}

/// Draws the random faults of a run, sorted by start time.
pub(crate) fn draw(settings: &SimSettings, random: &mut ChaCha8Rng) -> Vec<Fault> {
    if settings.faults == 0 {
        return Vec::new();
    }
    let count = random.random_range(1..=settings.faults);
    let mut faults: Vec<Fault> = (0..count).map(|_| draw_one(settings, random)).collect();
    // One in three runs with several faults starts two of them at the same time.
    if count > 1 && random.random_range(0..3) == 0 {
        faults[1].at_ms = faults[0].at_ms;
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn draw_one(settings: &SimSettings, random: &mut ChaCha8Rng) -> Fault {
    let group = random.random_range(0..settings.groups);
    let database = random.random_range(0..settings.groups * 3);
    let place = random.random_range(0..settings.proxies_per_zone * 3);
    let zone = random.random_range(0..3);
    let kind = match random.random_range(0..15) {
        0 => FaultKind::KillPrimary { group },
        1 => FaultKind::PausePrimary { group },
        2 | 3 => FaultKind::IsolatePrimary { group },
        4 => FaultKind::Switchover { group },
        5 => FaultKind::KillDatabase { database },
        6 => FaultKind::Lag {
            database,
            lag_ms: random.random_range(100..4_000),
        },
        7 => FaultKind::CutZone { zone },
        8 => FaultKind::KillProxy { place },
        9 => FaultKind::PauseProxy { place },
        10 => FaultKind::StopProxy { place },
        11 => FaultKind::Drain { database },
        12 => FaultKind::PlatformOutage,
        13 => FaultKind::PlatformOldAnswers,
        _ => FaultKind::DropClients {
            one_of: random.random_range(2..8),
        },
    };
    let shortest = match kind {
        FaultKind::Drain { .. } => SHORTEST_DRAIN_MS,
        _ => 50,
    };
    Fault {
        at_ms: random.random_range(EARLIEST_FAULT_MS..settings.load_ms.max(EARLIEST_FAULT_MS + 1)),
        lasts_ms: shortest + random.random_range(0..5_000),
        kind,
    }
}
