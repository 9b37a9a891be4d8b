//! Number of connections that a node keeps open to a database.
//!
//! A database accepts a bounded number of connections from all nodes together, and for some seconds
//! it still counts those of a node that lost power. Each node therefore keeps only as many as it
//! needed recently; the unused remainder lets restarted nodes connect at once.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

use super::tenancy::Principal;

/// Length of the window over which the peak use is measured. The previous window counts as well.
const WINDOW: Duration = Duration::from_secs(2);
/// Connections kept open beyond the recent peak, so that the next request seldom waits for one.
const SPARE: usize = 1;

/// The maximum number of connections that one principal had in use at once, over the current and
/// the previous window.
#[derive(Clone, Debug, Default)]
struct RecentPeak {
    window_start: Timestamp,
    current_window: usize,
    previous_window: usize,
}

impl RecentPeak {
    fn note(&mut self, now: Timestamp, in_use: usize) {
        self.rotate_windows(now);
        self.current_window = self.current_window.max(in_use);
    }

    fn recent_max(&mut self, now: Timestamp) -> usize {
        self.rotate_windows(now);
        self.current_window.max(self.previous_window)
    }

    fn rotate_windows(&mut self, now: Timestamp) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        self.previous_window = if elapsed < WINDOW * 2 {
            self.current_window
        } else {
            0
        };
        self.current_window = 0;
        self.window_start = now;
    }
}

/// Recent peak use of all principals. A connection serves a single principal, so the peaks add up.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    peaks: BTreeMap<Principal, RecentPeak>,
}

impl Demand {
    /// Records that `in_use` connections of a principal were in use or waited for at the same time.
    pub fn note(&mut self, now: Timestamp, principal: &Principal, in_use: usize) {
        match self.peaks.get_mut(principal) {
            Some(peak) => peak.note(now, in_use),
            None => {
                let peak = self.peaks.entry(principal.clone()).or_default();
                peak.note(now, in_use);
            }
        }
    }

    /// Returns the number of connections that a home node of the database keeps open.
    pub fn connections_to_keep(&mut self, now: Timestamp) -> usize {
        self.recent_peak(now) + SPARE
    }

    /// Returns the number of connections needed recently. A node that is not a home node of the
    /// database keeps no more than these: any others, opened while it knew only a few members of
    /// the fleet, are for the home nodes to open.
    pub fn recent_peak(&mut self, now: Timestamp) -> usize {
        let mut needed = 0;
        self.peaks.retain(|_, peak| {
            let recent_max = peak.recent_max(now);
            needed += recent_max;
            recent_max > 0
        });
        needed
    }
}
