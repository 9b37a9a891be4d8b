//! How late this node itself runs, as far as it takes others for late.
//!
//! A node whose share of a processor is used up rests, and what it receives meanwhile waits
//! unread. To its own clock everybody else seems to have said nothing for that time. So each
//! timer that comes late tells of a time in which this node did not listen, and a silence is
//! measured in the time in which it did.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// A timer that is this late or less is on time: whatever else was due at the same moment goes
/// first, and a busy machine takes turns. A rest for lack of processor time is longer.
const ON_TIME: Duration = Duration::from_millis(15);

/// After a time of not listening, what was received meanwhile has to be read before a
/// silence may be told: some hundred datagrams take about this long.
const READING_TIME: Duration = Duration::from_millis(10);

/// A node that comes late again and again still tells a silence after this multiple of the
/// time that is enough for one that does not.
const AGAIN_AND_AGAIN: u32 = 2;

/// A moment, and for how long this node had not listened until then.
#[derive(Clone, Copy, Debug, Default)]
pub struct Listening {
    at: Timestamp,
    absent: Duration,
}

/// The times in which this node did not listen.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnLateness {
    absent: Duration,
    returned_at: Timestamp,
}

impl OwnLateness {
    /// Takes in that a timer which was due at `due` came at `now`. Several timers that tell
    /// of the same time count once.
    pub fn note_timer(&mut self, due: Timestamp, now: Timestamp) {
        if now.since(due) <= ON_TIME {
            return;
        }
        let from = due.max(self.returned_at);
        self.absent += now.since(from);
        self.returned_at = self.returned_at.max(now);
    }

    /// Begins to measure.
    pub fn begin(&self, now: Timestamp) -> Listening {
        Listening {
            at: now,
            absent: self.absent,
        }
    }

    /// Whether nothing that came in a `time` of listening since then can still be unread.
    pub fn has_listened_for(&self, time: Duration, since: Listening, now: Timestamp) -> bool {
        let listened = self.listened(since, now);
        if listened < time {
            return false;
        }
        !self.still_reads(now) || listened >= time * AGAIN_AND_AGAIN
    }

    /// For how long this node has listened since then.
    fn listened(&self, since: Listening, now: Timestamp) -> Duration {
        let absent = self.absent.saturating_sub(since.absent);
        now.since(since.at).saturating_sub(absent)
    }

    /// Whether what was received while this node did not listen may still be unread.
    fn still_reads(&self, now: Timestamp) -> bool {
        self.absent > Duration::ZERO && now.since(self.returned_at) < READING_TIME
    }
}
