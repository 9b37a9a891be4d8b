//! Counters of unit outcomes, for the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Outcomes of the units of a node's callers since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnitCounts {
    /// Units answered by a primary, including answers with database errors.
    pub primary: u64,
    /// Units answered by a replica.
    pub replica: u64,
    /// Units reported as not run.
    pub not_run: u64,
    /// Units whose outcome was reported as unknown.
    pub unknown: u64,
}

/// The live counters. Each is read separately, so a snapshot may mix slightly different
/// moments.
#[derive(Debug, Default)]
pub struct UnitCounters {
    primary: AtomicU64,
    replica: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
}

impl UnitCounters {
    /// Counts a unit that a database answered.
    pub fn count_answered(&self, on_replica: bool) {
        let counter = if on_replica {
            &self.replica
        } else {
            &self.primary
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a unit that was reported as not run.
    pub fn count_refused(&self) {
        self.not_run.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a unit whose outcome was reported as unknown.
    pub fn count_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current counts.
    pub fn snapshot(&self) -> UnitCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        UnitCounts {
            primary: read(&self.primary),
            replica: read(&self.replica),
            not_run: read(&self.not_run),
            unknown: read(&self.unknown),
        }
    }
}
