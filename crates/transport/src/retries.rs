//! The retry policy of this node, with one budget for each tenant.

use hookpoint_coordination::retry::{RetryBudgets, RetryDecision, RetryPolicy, RetryStop};
use hookpoint_state::{Refusal, TenantName, Timestamp};
use parking_lot::Mutex;

/// SQLSTATE `connection_failure`, reported when all attempts of a request lost their
/// connection.
const CONNECTION_FAILURE: &str = "08006";

struct State {
    policy: RetryPolicy,
    budgets: RetryBudgets,
}

/// Retry decisions for all sessions of a node. Its lock is never held together with
/// another one.
pub struct Retries {
    state: Mutex<State>,
}

impl Default for Retries {
    fn default() -> Self {
        Self::new(rand::random())
    }
}

impl Retries {
    /// Creates full budgets; jitter is drawn from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(State {
                policy: RetryPolicy::new(seed),
                budgets: RetryBudgets::new(),
            }),
        }
    }

    /// Counts a request of `tenant`, which earns `percent` hundredths of a retry.
    pub fn record_request(&self, tenant: &TenantName, percent: u32) {
        self.state
            .lock()
            .budgets
            .for_tenant(tenant)
            .record_request(percent);
    }

    /// Returns when a request may be retried after `attempts` attempts, none of which
    /// ran.
    ///
    /// # Errors
    /// The refusal to report to the caller; the request did not run.
    pub fn next_attempt(
        &self,
        now: Timestamp,
        deadline: Timestamp,
        attempts: u32,
        tenant: &TenantName,
    ) -> Result<Timestamp, Refusal> {
        let State { policy, budgets } = &mut *self.state.lock();
        match policy.decide(now, deadline, attempts, budgets.for_tenant(tenant)) {
            RetryDecision::At(at) => Ok(at),
            RetryDecision::Stop(RetryStop::Deadline) => Err(Refusal::WaitDeadline),
            RetryDecision::Stop(RetryStop::Budget) => Err(Refusal::TenantLimit),
            RetryDecision::Stop(RetryStop::Attempts) => Err(Refusal::BackendRefused {
                sqlstate: CONNECTION_FAILURE.to_owned(),
            }),
        }
    }
}
