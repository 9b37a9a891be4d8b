//! Counters of decisions by kind, for the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use hookpoint_coordination::explain::{Decision, HoldReason, RouteReason};
use hookpoint_state::Outcome;

/// Kind and detail labels of each counter, in the order of the counters.
const LABELS: [(&str, &str); 16] = [
    ("routed", "write"),
    ("routed", "preference"),
    ("routed", "fresh_replica"),
    ("routed", "no_fresh_replica"),
    ("check_failed", ""),
    ("held", "primary"),
    ("held", "verification"),
    ("held", "database"),
    ("retried", ""),
    ("acknowledged", ""),
    ("failed", "ran"),
    ("failed", "not_run"),
    ("failed", "unknown"),
    ("leadership", ""),
    ("bundle_in_force", ""),
    ("member", ""),
];

/// Counters of decisions since the start.
#[derive(Debug, Default)]
pub struct DecisionCounts([AtomicU64; LABELS.len()]);

impl DecisionCounts {
    /// Increments the counter of the decision's kind and detail.
    pub fn count(&self, decision: &Decision) {
        self.0[index_of(decision)].fetch_add(1, Ordering::Relaxed);
    }

    /// Iterates over kind, detail and value of each counter.
    pub fn read(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> {
        LABELS
            .iter()
            .zip(&self.0)
            .map(|((kind, detail), count)| (*kind, *detail, count.load(Ordering::Relaxed)))
    }
}

/// Returns the index of a decision's counter in [`LABELS`].
fn index_of(decision: &Decision) -> usize {
    match decision {
        Decision::Routed { reason, .. } => match reason {
            RouteReason::Write => 0,
            RouteReason::Preference => 1,
            RouteReason::FreshReplica => 2,
            RouteReason::NoFreshReplica => 3,
        },
        Decision::CheckFailed { .. } => 4,
        Decision::Held { waiting_for } => match waiting_for {
            HoldReason::Primary => 5,
            HoldReason::Verification => 6,
            HoldReason::Database => 7,
        },
        Decision::Retried { .. } => 8,
        Decision::Acknowledged { .. } => 9,
        Decision::Failed { outcome, .. } => match outcome {
            Outcome::Ran => 10,
            Outcome::NotRun => 11,
            Outcome::Unknown => 12,
        },
        Decision::Leadership { .. } => 13,
        Decision::BundleInForce { .. } => 14,
        Decision::Member { .. } => 15,
    }
}
