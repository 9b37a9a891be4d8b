//! Positions of a group's primary with the time each was asked for.
//!
//! A sample asked for at `t` and answered by the confirmed primary covers every commit
//! acknowledged before `t`. A read that may be `s` old therefore needs a database that
//! holds some sample asked for no earlier than the read's arrival less `s`. The oldest
//! such sample demands least of the replicas.

use std::collections::VecDeque;
use std::time::Duration;

use hookpoint_state::{Position, Timestamp};

/// Samples closer together than this are not both kept.
const SAMPLE_SPACING: Duration = Duration::from_millis(40);
/// Samples kept at the most.
const SAMPLES_KEPT: usize = 256;

/// The samples of one primary's reign, oldest first.
#[derive(Clone, Debug, Default)]
pub struct FreshnessLog {
    samples: VecDeque<(Timestamp, Position)>,
}

impl FreshnessLog {
    /// Notes that the primary, asked at `asked_at`, was at `position`.
    pub fn record(&mut self, asked_at: Timestamp, position: Position) {
        if let Some((last_asked, _)) = self.samples.back()
            && asked_at < *last_asked + SAMPLE_SPACING
        {
            return;
        }
        if self.samples.len() == SAMPLES_KEPT {
            self.samples.pop_front();
        }
        self.samples.push_back((asked_at, position));
    }

    /// The least position that covers every commit acknowledged before `horizon`.
    pub fn floor(&self, horizon: Timestamp) -> Option<Position> {
        self.samples
            .iter()
            .find(|(asked_at, _)| *asked_at >= horizon)
            .map(|(_, position)| *position)
    }

    /// The first sample of the reign.
    pub fn first(&self) -> Option<Position> {
        self.samples.front().map(|(_, position)| *position)
    }

    /// The newest sample.
    pub fn newest(&self) -> Option<(Timestamp, Position)> {
        self.samples.back().copied()
    }

    /// Drops all samples: another primary reigns.
    pub fn clear(&mut self) {
        self.samples.clear();
    }
}
