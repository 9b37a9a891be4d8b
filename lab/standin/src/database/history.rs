//! What happened in a group: its elections.

use std::time::Instant;

use parking_lot::Mutex;

/// One election.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ElectionRecord {
    /// Term that began.
    pub term: u64,
    /// Who leads it.
    pub primary: String,
    /// When it began to lead.
    pub at: Instant,
    /// When the primary before it was killed, paused, isolated or told to hand
    /// over; if none of that was asked for, when the new primary last heard it.
    /// None for the first primary.
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
    /// Notes that a primary was lost, unless an earlier loss stands.
    pub fn primary_lost(&self) {
        let mut events = self.events.lock();
        events.lost_at.get_or_insert_with(Instant::now);
    }

    /// Notes that a lost primary came back before a new one was elected.
    pub fn primary_back(&self) {
        self.events.lock().lost_at = None;
    }

    /// Notes an election by a primary that last heard another at `heard_at`.
    pub fn elected(&self, term: u64, primary: &str, heard_at: Option<Instant>) {
        let mut events = self.events.lock();
        let record = ElectionRecord {
            term,
            primary: primary.to_owned(),
            at: Instant::now(),
            old_primary_lost_at: events.lost_at.take().or(heard_at),
        };
        events.elections.push(record);
    }

    /// All elections so far.
    pub fn elections(&self) -> Vec<ElectionRecord> {
        self.events.lock().elections.clone()
    }
}
