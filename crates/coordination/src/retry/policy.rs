//! Whether and when a request that did not run is tried again.

use std::time::Duration;

use hookpoint_state::Timestamp;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::{BackoffPolicy, RetryBudget};

/// Attempts of one request, the first included.
const MAXIMUM_ATTEMPTS: u32 = 8;
/// Pauses between the attempts of one request.
const REQUEST_BACKOFF: BackoffPolicy = BackoffPolicy {
    first: Duration::from_millis(5),
    maximum: Duration::from_millis(200),
};

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStop {
    /// It has had all its attempts.
    Attempts,
    /// The pause would end after the deadline.
    Deadline,
    /// The tenant's budget is spent.
    Budget,
}

/// What to do after an attempt that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again at this time.
    At(Timestamp),
    /// Refuse the request.
    Stop(RetryStop),
}

/// The policy with its jitter.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    generator: ChaCha8Rng,
}

impl RetryPolicy {
    /// A policy whose jitter is drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Decides after `attempts` attempts of a request whose wait ends at `deadline`.
    /// The budget is charged only when another attempt is made.
    pub fn decide(
        &mut self,
        now: Timestamp,
        deadline: Timestamp,
        attempts: u32,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        if attempts >= MAXIMUM_ATTEMPTS {
            return RetryDecision::Stop(RetryStop::Attempts);
        }
        let pause = REQUEST_BACKOFF.pause(attempts.saturating_sub(1), &mut self.generator);
        let next = now + pause;
        if next >= deadline {
            return RetryDecision::Stop(RetryStop::Deadline);
        }
        if !budget.take() {
            return RetryDecision::Stop(RetryStop::Budget);
        }
        RetryDecision::At(next)
    }
}
