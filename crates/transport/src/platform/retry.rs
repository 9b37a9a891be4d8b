//! Pauses between attempts: exponential with full jitter.

use std::time::Duration;

use rand::Rng;

use super::error::PlatformError;

/// The next pause, which grows until an attempt succeeds.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    shortest: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses from about `shortest` to about `longest`.
    pub fn new(shortest: Duration, longest: Duration) -> Self {
        Self {
            shortest,
            longest,
            failures: 0,
        }
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after a failure: between half of the present step and all of it, and
    /// no less than the service asked for.
    pub fn after(&mut self, error: &PlatformError) -> Duration {
        let factor = 1_u32 << self.failures.min(16);
        self.failures += 1;
        let step = self.shortest.saturating_mul(factor).min(self.longest);
        let pause = step.mul_f64(rand::rng().random_range(0.5..=1.0));
        pause.max(error.retry_after().unwrap_or_default())
    }
}
