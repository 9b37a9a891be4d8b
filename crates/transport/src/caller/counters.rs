//! Counts of what became of units, for the metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// What became of the units of a node's callers since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnitCounts {
    /// Answered by a primary, errors of the database included.
    pub primary: u64,
    /// Answered by a replica.
    pub replica: u64,
    /// Told as not run.
    pub not_run: u64,
    /// Told as unknown.
    pub unknown: u64,
}

/// The running counts. Each is read for itself, so together they may be of slightly
/// different moments.
#[derive(Debug, Default)]
pub struct UnitCounters {
    primary: AtomicU64,
    replica: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
}

impl UnitCounters {
    /// A database answered a unit.
    pub fn answered(&self, by_replica: bool) {
        let counter = if by_replica {
            &self.replica
        } else {
            &self.primary
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// A unit was told as not run.
    pub fn refused(&self) {
        self.not_run.fetch_add(1, Ordering::Relaxed);
    }

    /// A unit was told as unknown.
    pub fn doubted(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// The counts now.
    pub fn read(&self) -> UnitCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        UnitCounts {
            primary: read(&self.primary),
            replica: read(&self.replica),
            not_run: read(&self.not_run),
            unknown: read(&self.unknown),
        }
    }
}
