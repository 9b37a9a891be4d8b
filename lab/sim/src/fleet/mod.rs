//! A fleet of hollow nodes in virtual time: the shipped membership, home, spread and
//! rollout machines of every node, without sessions or databases. It measures what the
//! coordination costs and how fast it is, from a few nodes to the size of the letter.

mod account;
mod phases;
mod report;
mod settings;
mod world;

pub use report::{FleetReport, Spread, Traffic};
pub use settings::FleetSettings;

use std::time::Instant;

/// Runs one fleet through all phases that `settings` ask for.
pub fn run(settings: &FleetSettings) -> FleetReport {
    let started = Instant::now();
    let mut report = phases::run(settings);
    report.wall_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    report
}
