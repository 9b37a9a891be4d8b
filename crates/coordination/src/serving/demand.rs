//! How many connections to one database a node keeps open.
//!
//! A database takes a bounded number of connections from all nodes together, and for some
//! seconds it counts those of a node that lost power. So a node keeps only what it lately
//! needed: what it leaves free lets restarted nodes in at once.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

use super::tenancy::Principal;

/// Length of the window over which the need is measured; the one before counts as well.
const WINDOW: Duration = Duration::from_secs(2);
/// Connections kept beyond the need, so that the next request seldom waits for one.
const SPARE: usize = 1;

/// The most connections that one principal had in use at once, lately.
#[derive(Clone, Debug, Default)]
struct Need {
    window_start: Timestamp,
    present: usize,
    before: usize,
}

impl Need {
    fn note(&mut self, now: Timestamp, in_use: usize) {
        self.roll(now);
        self.present = self.present.max(in_use);
    }

    fn lately(&mut self, now: Timestamp) -> usize {
        self.roll(now);
        self.present.max(self.before)
    }

    fn roll(&mut self, now: Timestamp) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        self.before = if elapsed < WINDOW * 2 {
            self.present
        } else {
            0
        };
        self.present = 0;
        self.window_start = now;
    }
}

/// What all principals needed lately. A connection serves one of them only, so their needs
/// add up.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    needs: BTreeMap<Principal, Need>,
}

impl Demand {
    /// Notes that `in_use` connections of a principal were in use or waited for at once.
    pub fn note(&mut self, now: Timestamp, principal: &Principal, in_use: usize) {
        match self.needs.get_mut(principal) {
            Some(need) => need.note(now, in_use),
            None => {
                let need = self.needs.entry(principal.clone()).or_default();
                need.note(now, in_use);
            }
        }
    }

    /// Connections that a home of the database keeps open.
    pub fn kept(&mut self, now: Timestamp) -> usize {
        self.needed(now) + SPARE
    }

    /// Connections that were lately needed. A node that is not home keeps no others: those that it
    /// opened while it knew few of the fleet are the homes' to open.
    pub fn needed(&mut self, now: Timestamp) -> usize {
        let mut needed = 0;
        self.needs.retain(|_, need| {
            let lately = need.lately(now);
            needed += lately;
            lately > 0
        });
        needed
    }
}
