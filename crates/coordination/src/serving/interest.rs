//! How closely a node watches a group's primary, by what its requests need of it.
//!
//! A large fleet has thousands of groups, and each node's callers use a few of them at a
//! time. What a node asks about a primary follows from use: a caller's request or a peer's
//! statement allows a few questions, and samples are kept fresh between the uses of a group
//! that is used again and again. A group that nobody uses costs nothing.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// A group counts as in use for so long after a request.
const IN_USE: Duration = Duration::from_secs(3);
/// Uses closer together than this are one: attempts and statements of the same request.
const SAME_USE: Duration = Duration::from_millis(500);
/// A group whose uses lie closer together than this is kept known between them.
const REUSED_WITHIN: Duration = Duration::from_secs(15);
/// The next use is expected within so many times the pause between the last two.
const PAUSES_AWAITED: u32 = 2;
/// Questions to a primary that one use allows: one that finds out that it is silent, and one
/// that a lost answer may cost.
const QUESTIONS_PER_USE: u32 = 2;
/// Questions saved up at the most: those of a primary in use, four a second, for as long as a
/// group counts as in use.
const MOST_QUESTIONS: u32 = 12;

/// What one group has been needed for on this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Interest {
    used_at: Option<Timestamp>,
    /// The last use that was not part of the one before.
    counted_at: Option<Timestamp>,
    /// Pause between the last two of those.
    pause: Option<Duration>,
    /// Questions that the uses so far allow.
    questions: u32,
    /// When the last of those uses was.
    relied_on_at: Timestamp,
    /// When a request last found that it had to wait for word of the primary.
    awaited_at: Option<Timestamp>,
}

impl Interest {
    /// Notes a request of a caller.
    pub fn note_use(&mut self, now: Timestamp) {
        let pause = self.counted_at.map(|counted_at| now.since(counted_at));
        if pause.is_none_or(|pause| pause >= SAME_USE) {
            self.pause = pause;
            self.counted_at = Some(now);
        }
        self.used_at = Some(now);
        self.note_relied_on(now);
    }

    /// Notes that a peer relies on what this node knows of the primary.
    pub fn note_relied_on(&mut self, now: Timestamp) {
        self.relied_on_at = now;
        self.questions = (self.questions + QUESTIONS_PER_USE).min(MOST_QUESTIONS);
    }

    /// Notes that a request waits for word of the primary: it may not run there, and without a
    /// fresh sample no other database may serve it.
    pub fn note_awaited(&mut self, now: Timestamp) {
        self.awaited_at = Some(now);
        self.note_relied_on(now);
    }

    /// Whether samples are worth asking peers for as often as a group in use needs them.
    pub fn wants_samples(&self, now: Timestamp) -> bool {
        let awaited = self
            .awaited_at
            .is_some_and(|awaited_at| now.since(awaited_at) < SAME_USE);
        awaited || (self.is_in_use(now) && self.expects_use(now))
    }

    /// Takes one of the questions that the uses so far allow; false if none is left.
    pub fn take_question(&mut self) -> bool {
        let left = self.questions.checked_sub(1);
        self.questions = left.unwrap_or_default();
        left.is_some()
    }

    /// Whether a caller's request asked for the group a moment ago.
    pub fn is_in_use(&self, now: Timestamp) -> bool {
        self.used_at
            .is_some_and(|used_at| now.since(used_at) < IN_USE)
    }

    /// Whether a caller's request is likely to ask for the group again soon.
    pub fn expects_use(&self, now: Timestamp) -> bool {
        let Some((used_at, pause)) = self.used_at.zip(self.pause) else {
            return false;
        };
        let awaited = (pause * PAUSES_AWAITED).max(IN_USE);
        pause < REUSED_WITHIN && now.since(used_at) < awaited
    }

    /// Whether the group need not be looked after any more.
    pub fn is_over(&self, now: Timestamp) -> bool {
        let may_ask = self.questions > 0 && now.since(self.relied_on_at) < IN_USE;
        !may_ask && !self.is_in_use(now) && !self.expects_use(now)
    }
}
