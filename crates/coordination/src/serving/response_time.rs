//! Recent response time of a database, as observed by one node.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// The newest measurement has a weight of one part in this many.
const NEWEST_WEIGHT: u32 = 8;
/// Time in which an estimate without new measurements moves halfway back to its initial value.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// An exponentially weighted mean. Without measurements it decays to its initial value, so that a
/// database that was slow is tried again.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime {
    initial: Duration,
    mean: Duration,
    noted_at: Timestamp,
}

impl ResponseTime {
    /// Creates an estimate with the initial value `initial`.
    pub fn new(initial: Duration) -> Self {
        Self {
            initial,
            mean: initial,
            noted_at: Timestamp::default(),
        }
    }

    /// Records a response time of `elapsed`, received at `now`.
    pub fn note(&mut self, now: Timestamp, elapsed: Duration) {
        let before = self.expected(now);
        self.mean = (before * (NEWEST_WEIGHT - 1) + elapsed) / NEWEST_WEIGHT;
        self.noted_at = now;
    }

    /// Returns the expected response time.
    pub fn expected(&self, now: Timestamp) -> Duration {
        let halvings = now.since(self.noted_at).as_millis() / HALF_LIFE.as_millis();
        let halvings = u32::try_from(halvings).unwrap_or(u32::MAX).min(16);
        let excess = self.mean.saturating_sub(self.initial) / (1 << halvings);
        self.mean.min(self.initial) + excess
    }
}
