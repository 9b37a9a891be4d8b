//! Decides whether and when a request that did not run is retried.

use std::time::Duration;

use hookpoint_state::Timestamp;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::{BackoffPolicy, RetryBudget};

/// Maximum number of attempts per request, including the first.
const MAXIMUM_ATTEMPTS: u32 = 8;
/// Pauses between the attempts of one request.
const REQUEST_BACKOFF: BackoffPolicy = BackoffPolicy {
    first: Duration::from_millis(5),
    maximum: Duration::from_millis(200),
};

/// Reason why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryStop {
    /// The maximum number of attempts has been made.
    Attempts,
    /// The pause would end after the deadline.
    Deadline,
    /// The tenant's retry budget is exhausted.
    Budget,
}

/// Decision after an attempt that did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at this time.
    At(Timestamp),
    /// Do not retry: refuse the request for this reason.
    Stop(RetryStop),
}

/// The retry policy and its generator of jitter.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    generator: ChaCha8Rng,
}

impl RetryPolicy {
    /// Creates a policy whose jitter is drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Decides after `attempts` attempts of a request whose wait ends at `deadline`. The
    /// budget is charged only when another attempt is made.
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
        if !budget.try_take() {
            return RetryDecision::Stop(RetryStop::Budget);
        }
        RetryDecision::At(next)
    }
}
