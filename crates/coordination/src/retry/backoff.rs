//! Exponential back-off with jitter from a seeded generator.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum exponent of the power of two by which a pause is multiplied. Prevents
/// overflow.
const MAXIMUM_DOUBLINGS: u32 = 16;

/// Bounds of the pauses between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffPolicy {
    /// Upper bound of the first pause.
    pub first: Duration,
    /// Upper bound of every pause.
    pub maximum: Duration,
}

impl BackoffPolicy {
    /// Returns the upper bound of the pause before attempt number `attempt`, counted
    /// from 0.
    pub fn bound(&self, attempt: u32) -> Duration {
        let factor = 1u32 << attempt.min(MAXIMUM_DOUBLINGS);
        self.first.saturating_mul(factor).min(self.maximum)
    }

    /// Draws a pause between half of the bound and the bound.
    pub fn pause(&self, attempt: u32, generator: &mut impl Rng) -> Duration {
        let bound = self.bound(attempt);
        let half = bound / 2;
        let variation = u64::try_from((bound - half).as_micros()).unwrap_or(u64::MAX);
        half + Duration::from_micros(generator.random_range(0..=variation))
    }
}

/// Consecutive failures of one operation, with the pause to make after each.
#[derive(Clone, Debug)]
pub struct Backoff {
    policy: BackoffPolicy,
    failures: u32,
    generator: ChaCha8Rng,
}

impl Backoff {
    /// Creates a back-off without failures, whose jitter is drawn from `seed`.
    pub fn new(policy: BackoffPolicy, seed: u64) -> Self {
        Self {
            policy,
            failures: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Counts a failure and returns the pause before the next attempt.
    pub fn failed(&mut self) -> Duration {
        let pause = self.policy.pause(self.failures, &mut self.generator);
        self.failures = self.failures.saturating_add(1);
        pause
    }

    /// Resets the number of failures after a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
