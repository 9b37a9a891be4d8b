//! The election history of a group.

use std::time::Instant;

use parking_lot::Mutex;

/// Record of one election.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ElectionRecord {
    /// Term that began with the election.
    pub term: u64,
    /// Name of the new primary.
    pub primary: String,
    /// When the new primary took over.
    pub at: Instant,
    /// When the previous primary was killed, paused, isolated or requested to hand
    /// over. Without such a request, when the new primary last received a message
    /// from a primary. `None` for the first primary.
    pub old_primary_lost_at: Option<Instant>,
}

#[derive(Default)]
struct Events {
    elections: Vec<ElectionRecord>,
    lost_at: Option<Instant>,
}

/// The elections of a group.
#[derive(Default)]
pub struct History {
    events: Mutex<Events>,
}

impl History {
    /// Records that the primary was lost, unless an earlier loss is still recorded.
    pub fn primary_lost(&self) {
        let mut events = self.events.lock();
        events.lost_at.get_or_insert_with(Instant::now);
    }

    /// Records that a lost primary returned before a new one was elected.
    pub fn primary_returned(&self) {
        self.events.lock().lost_at = None;
    }

    /// Records the election of a primary that last received a message from another
    /// primary at `last_primary_message`.
    pub fn elected(&self, term: u64, primary: &str, last_primary_message: Option<Instant>) {
        let mut events = self.events.lock();
        let record = ElectionRecord {
            term,
            primary: primary.to_owned(),
            at: Instant::now(),
            old_primary_lost_at: events.lost_at.take().or(last_primary_message),
        };
        events.elections.push(record);
    }

    /// Returns all elections so far.
    pub fn elections(&self) -> Vec<ElectionRecord> {
        self.events.lock().elections.clone()
    }
}
