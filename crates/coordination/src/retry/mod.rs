//! The retry policy of the fleet: back-off with jitter, budgets per tenant, and
//! deadlines.
//!
//! Only requests that provably did not run are ever retried. This module decides whether
//! and when to retry; its callers decide which requests may be retried.

mod backoff;
mod budget;
mod policy;
#[cfg(test)]
mod tests;

pub use backoff::{Backoff, BackoffPolicy};
pub use budget::{RetryBudget, RetryBudgets};
pub use policy::{RetryDecision, RetryPolicy, RetryStop};
