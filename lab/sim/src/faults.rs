//! Faults and their random schedule.

use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::settings::SimSettings;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum FaultKind {
    /// The current primary of a group is killed and comes back later.
    KillPrimary {
        /// Index of the group.
        group: usize,
    },
    /// The current primary of a group stands still.
    PausePrimary {
        /// Index of the group.
        group: usize,
    },
    /// The current primary is cut off from the other databases, not from the proxies.
    IsolatePrimary {
        /// Index of the group.
        group: usize,
    },
    /// A planned change of primary.
    Switchover {
        /// Index of the group.
        group: usize,
    },
    /// A database is killed and comes back later.
    KillDatabase {
        /// Index of the database.
        database: usize,
    },
    /// A database replays its log late.
    Lag {
        /// Index of the database.
        database: usize,
        /// How late, in milliseconds.
        lag_ms: u64,
    },
    /// A zone is cut off from all others.
    CutZone {
        /// Index of the zone.
        zone: usize,
    },
    /// A proxy dies; another one takes its place later.
    KillProxy {
        /// Index of the place.
        place: usize,
    },
    /// A proxy stands still.
    PauseProxy {
        /// Index of the place.
        place: usize,
    },
    /// A proxy is stopped as planned; another one takes its place.
    StopProxy {
        /// Index of the place.
        place: usize,
    },
    /// A bundle drains a database and a later one takes it back.
    Drain {
        /// Index of the database.
        database: usize,
    },
    /// The platform does not answer.
    PlatformOutage,
    /// The platform answers with an older pointer now and then.
    PlatformOldAnswers,
    /// A caller's machine fails in the middle of a request.
    DropClients {
        /// One of so many clients.
        one_of: u64,
    },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// When it strikes, in virtual milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
    /// What goes wrong.
    pub kind: FaultKind,
}

/// Earliest fault, so that a first primary has been elected.
const FIRST_FAULT_MS: u64 = 1_500;

/// Shortest draining, longer than a database may still get new work.
const SHORTEST_DRAIN_MS: u64 = 3_500;

impl FaultKind {
    /// Whether proxies may hear late of a bundle because of it.
    pub(crate) fn delays_bundles(self) -> bool {
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

/// Draws the faults of a run, in the order of their times.
pub(crate) fn draw(settings: &SimSettings, random: &mut ChaCha8Rng) -> Vec<Fault> {
    if settings.faults == 0 {
        return Vec::new();
    }
    let count = random.random_range(1..=settings.faults);
    let mut faults: Vec<Fault> = (0..count).map(|_| draw_one(settings, random)).collect();
    // Every third run has two faults at the very same time.
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
        at_ms: random.random_range(FIRST_FAULT_MS..settings.load_ms.max(FIRST_FAULT_MS + 1)),
        lasts_ms: shortest + random.random_range(0..5_000),
        kind,
    }
}
