//! How often a database failed lately, as one node saw it.
//!
//! A database may answer questions about its health and yet fail, cut off or leave
//! unanswered a part of the statements. The share of those decides how much dearer it is
//! than another one. Without statements the share fades, so that it is tried again.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// Weight of the newest outcome, as one part in this many.
const NEWEST_WEIGHT: u32 = 8;
/// Time in which the share halves without statements.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The whole, in the unit of shares.
pub const WHOLE: u32 = 1_000;

/// Share of the statements that failed, the newest counting most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reliability {
    failing: u32,
    noted_at: Timestamp,
}

impl Reliability {
    /// Takes the outcome of one statement.
    pub fn note(&mut self, now: Timestamp, failed: bool) {
        let newest = if failed { WHOLE } else { 0 };
        let before = self.failing(now);
        self.failing = (before * (NEWEST_WEIGHT - 1) + newest) / NEWEST_WEIGHT;
        self.noted_at = now;
    }

    /// Share of failing statements, of [`WHOLE`].
    pub fn failing(&self, now: Timestamp) -> u32 {
        let halvings = now.since(self.noted_at).as_millis() / HALF_LIFE.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.failing.checked_shr(halvings).unwrap_or(0)
    }
}
