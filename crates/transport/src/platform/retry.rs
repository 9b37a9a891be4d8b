//! Pauses between attempts: exponential back-off with jitter.

use std::time::Duration;

use rand::Rng;

use super::error::PlatformError;

/// Exponential back-off whose pauses grow until an attempt succeeds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    shortest: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a back-off with pauses from about `shortest` to about `longest`.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self {
            shortest,
            longest,
            failures: 0,
        }
    }

    /// Resets the back-off after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the pause after a failure: between half of the current step and all of it,
    /// and at least the pause that the service requested.
    pub fn after(&mut self, error: &PlatformError) -> Duration {
        let factor = 1_u32 << self.failures.min(16);
        self.failures += 1;
        let step = self.shortest.saturating_mul(factor).min(self.longest);
        let pause = step.mul_f64(rand::rng().random_range(0.5..=1.0));
        pause.max(error.retry_after().unwrap_or_default())
    }
}
