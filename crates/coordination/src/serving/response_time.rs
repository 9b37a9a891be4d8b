//! How long a database takes, as one node saw it lately.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// Weight of the newest time, as one part in this many.
const NEWEST_WEIGHT: u32 = 8;
/// Time in which an estimate without new measurements comes halfway back to its start.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// A mean in which the newest measurements count most. Without any it fades back to
/// where it started, so that a database that was slow is tried again.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime {
    start: Duration,
    mean: Duration,
    noted_at: Timestamp,
}

impl ResponseTime {
    /// An estimate of `start` before anything is measured.
    pub fn new(start: Duration) -> Self {
        Self {
            start,
            mean: start,
            noted_at: Timestamp::default(),
        }
    }

    /// Takes one measurement.
    pub fn note(&mut self, now: Timestamp, elapsed: Duration) {
        let before = self.expected(now);
        self.mean = (before * (NEWEST_WEIGHT - 1) + elapsed) / NEWEST_WEIGHT;
        self.noted_at = now;
    }

    /// The time to expect.
    pub fn expected(&self, now: Timestamp) -> Duration {
        let halvings = now.since(self.noted_at).as_millis() / HALF_LIFE.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX).min(16);
        let excess = self.mean.saturating_sub(self.start) / (1 << halvings);
        self.mean.min(self.start) + excess
    }
}
