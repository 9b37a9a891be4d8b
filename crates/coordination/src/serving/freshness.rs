//! Samples of the position of a group's primary, each with the time at which it was requested.
//!
//! A sample requested at `t` and answered by the confirmed primary covers every commit acknowledged
//! before `t`. A read that may be stale by `s` therefore needs a database that has reached some
//! sample requested no earlier than the read's arrival less `s`. The oldest such sample requires
//! the least of the replicas.

use std::collections::VecDeque;
use std::time::Duration;

use hookpoint_state::{Position, Timestamp};

/// Minimum interval between two samples that are kept.
const SAMPLE_SPACING: Duration = Duration::from_millis(40);
/// Maximum number of samples.
const MAX_SAMPLES: usize = 256;

/// The position samples of one leadership period, oldest first.
#[derive(Clone, Debug, Default)]
pub struct FreshnessLog {
    samples: VecDeque<(Timestamp, Position)>,
}

impl FreshnessLog {
    /// Records that the primary reported `position` in answer to a query sent at `asked_at`.
    pub fn record(&mut self, asked_at: Timestamp, position: Position) {
        if let Some((last_asked, _)) = self.samples.back()
            && asked_at < *last_asked + SAMPLE_SPACING
        {
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((asked_at, position));
    }

    /// Returns the lowest known position that covers every commit acknowledged before `horizon`.
    pub fn floor(&self, horizon: Timestamp) -> Option<Position> {
        self.samples
            .iter()
            .find(|(asked_at, _)| *asked_at >= horizon)
            .map(|(_, position)| *position)
    }

    /// Returns the first sample of the leadership period.
    pub fn first(&self) -> Option<Position> {
        self.samples.front().map(|(_, position)| *position)
    }

    /// Returns the newest sample and the time at which it was requested.
    pub fn newest(&self) -> Option<(Timestamp, Position)> {
        self.samples.back().copied()
    }

    /// Drops all samples, because another leadership period has begun.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
