//! Accounts for the time in which this node itself was stalled, so that it does not take other
//! nodes for silent.
//!
//! A node that has used up its share of a processor is suspended, and what it receives in the
//! meantime waits unread. By its own clock, all other nodes seem to have been silent for that time.
//! Each timer that fires late therefore reveals a period in which this node did not receive, and
//! silence is measured only in the time in which it did.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// Maximum lateness at which a timer counts as on time: other work that was due at the same moment
/// runs first, and processes take turns on a busy machine. A suspension for lack of processor time
/// is longer.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(15);

/// After a period without receiving, the messages that arrived during it must be read before a peer
/// can be declared silent. Reading some hundred datagrams takes about this long.
const BACKLOG_READ_TIME: Duration = Duration::from_millis(10);

/// A node that is stalled repeatedly still detects silence after this multiple of the time that
/// suffices for a node that is not.
const REPEATED_STALL_MULTIPLE: u32 = 2;

/// A point in time, and this node's accumulated stalled time up to then.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReceiveMark {
    at: Timestamp,
    stalled: Duration,
}

/// The periods in which this node did not receive messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalStalls {
    stalled: Duration,
    resumed_at: Timestamp,
}

impl LocalStalls {
    /// Records that a timer which was due at `due` fired at `now`. Overlapping periods reported by
    /// several timers count once.
    pub fn note_timer(&mut self, due: Timestamp, now: Timestamp) {
        if now.since(due) <= MAX_TIMER_DELAY {
            return;
        }
        let from = due.max(self.resumed_at);
        self.stalled += now.since(from);
        self.resumed_at = self.resumed_at.max(now);
    }

    /// Starts a measurement at `now`.
    pub fn begin(&self, now: Timestamp) -> ReceiveMark {
        ReceiveMark {
            at: now,
            stalled: self.stalled,
        }
    }

    /// Returns whether this node has received for at least `time` since the start of the
    /// measurement, and nothing that arrived in that time can still be unread.
    pub fn has_received_for(&self, time: Duration, since: ReceiveMark, now: Timestamp) -> bool {
        let received_for = self.received_for(since, now);
        if received_for < time {
            return false;
        }
        !self.has_unread_backlog(now) || received_for >= time * REPEATED_STALL_MULTIPLE
    }

    /// Returns for how long this node has received messages since the start of the measurement.
    fn received_for(&self, since: ReceiveMark, now: Timestamp) -> Duration {
        let stalled = self.stalled.saturating_sub(since.stalled);
        now.since(since.at).saturating_sub(stalled)
    }

    /// Returns whether messages that arrived during the last stall may still be unread.
    fn has_unread_backlog(&self, now: Timestamp) -> bool {
        self.stalled > Duration::ZERO && now.since(self.resumed_at) < BACKLOG_READ_TIME
    }
}
