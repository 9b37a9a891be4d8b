//! The retry policy of the whole fleet: back-off with jitter, budgets per tenant and
//! deadlines.
//!
//! Only requests that provably did not run are ever retried; this module decides when
//! and whether, never what.

mod backoff;
mod budget;
mod policy;
#[cfg(test)]
mod tests;

pub use backoff::{Backoff, BackoffPolicy};
pub use budget::{RetryBudget, RetryBudgets};
pub use policy::{RetryDecision, RetryPolicy, RetryStop};
