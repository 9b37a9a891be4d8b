//! Recent failure rate of a database, as observed by one node.
//!
//! A database may answer health checks and yet fail, abort or leave unanswered some of the
//! statements. The share of those increases the cost at which the database is ranked. Without
//! statements the share decays, so that the database is tried again.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// The newest outcome has a weight of one part in this many.
const NEWEST_WEIGHT: u32 = 8;
/// Time in which the share halves without statements.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// The unit of shares: a share of this value means that every statement failed.
pub const WHOLE: u32 = 1_000;

/// Share of the statements that failed, as an exponentially weighted average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reliability {
    failing: u32,
    noted_at: Timestamp,
}

impl Reliability {
    /// Records the outcome of one statement.
    pub fn note(&mut self, now: Timestamp, failed: bool) {
        let newest = if failed { WHOLE } else { 0 };
        let before = self.failing(now);
        self.failing = (before * (NEWEST_WEIGHT - 1) + newest) / NEWEST_WEIGHT;
        self.noted_at = now;
    }

    /// Returns the share of failing statements, in parts of [`WHOLE`].
    pub fn failing(&self, now: Timestamp) -> u32 {
        let halvings = now.since(self.noted_at).as_millis() / HALF_LIFE.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.failing.checked_shr(halvings).unwrap_or(0)
    }
}
