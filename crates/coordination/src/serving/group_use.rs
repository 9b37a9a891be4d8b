//! How often a node queries a group's primary, depending on the requests that need it.
//!
//! A large fleet has thousands of groups, and the callers of one node use a few of them at a time.
//! Status queries to a primary follow from use: each request of a caller and each statement of a
//! peer allows a few queries, and samples are kept fresh between the uses of a group that is used
//! repeatedly. An unused group costs nothing.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// How long a group counts as in use after a request.
const IN_USE_TIME: Duration = Duration::from_secs(3);
/// Uses within this interval count as one: they are attempts and statements of the same request.
const SAME_USE_INTERVAL: Duration = Duration::from_millis(500);
/// A group whose uses are closer together than this is kept up to date between them.
const MAX_REUSE_INTERVAL: Duration = Duration::from_secs(15);
/// The next use is expected within this multiple of the interval between the last two.
const EXPECTED_INTERVALS: u32 = 2;
/// Number of status queries to a primary that one use allows: one that detects that the primary is
/// silent, and one to make up for a lost answer.
const QUERIES_PER_USE: u32 = 2;
/// Maximum number of accumulated status queries: four per second, the rate for a primary in use,
/// for as long as a group counts as in use.
const MAX_QUERIES: u32 = 12;

/// Recent use of one group on this node.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupUse {
    used_at: Option<Timestamp>,
    /// The last use that was not merged with the one before.
    counted_at: Option<Timestamp>,
    /// Interval between the last two such uses.
    interval: Option<Duration>,
    /// Status queries still allowed by the uses so far.
    queries: u32,
    /// Time of the last use that allowed status queries.
    relied_on_at: Timestamp,
    /// When a request last had to wait for information about the primary.
    awaited_at: Option<Timestamp>,
}

impl GroupUse {
    /// Records a caller's request.
    pub fn note_use(&mut self, now: Timestamp) {
        let interval = self.counted_at.map(|counted_at| now.since(counted_at));
        if interval.is_none_or(|interval| interval >= SAME_USE_INTERVAL) {
            self.interval = interval;
            self.counted_at = Some(now);
        }
        self.used_at = Some(now);
        self.note_relied_on(now);
    }

    /// Records that a peer relies on this node's knowledge of the primary.
    pub fn note_relied_on(&mut self, now: Timestamp) {
        self.relied_on_at = now;
        self.queries = (self.queries + QUERIES_PER_USE).min(MAX_QUERIES);
    }

    /// Records that a request waits for information about the primary: it may not run on the
    /// primary, and no other database may serve it without a fresh sample.
    pub fn note_awaited(&mut self, now: Timestamp) {
        self.awaited_at = Some(now);
        self.note_relied_on(now);
    }

    /// Returns whether peers should be asked for samples as often as for a group in use.
    pub fn wants_samples(&self, now: Timestamp) -> bool {
        let awaited = self
            .awaited_at
            .is_some_and(|awaited_at| now.since(awaited_at) < SAME_USE_INTERVAL);
        awaited || (self.is_in_use(now) && self.expects_use(now))
    }

    /// Consumes one of the status queries that the uses so far allow; returns false if none is
    /// left.
    pub fn take_query(&mut self) -> bool {
        let left = self.queries.checked_sub(1);
        self.queries = left.unwrap_or_default();
        left.is_some()
    }

    /// Returns whether a caller's request used the group within the last few seconds.
    pub fn is_in_use(&self, now: Timestamp) -> bool {
        self.used_at
            .is_some_and(|used_at| now.since(used_at) < IN_USE_TIME)
    }

    /// Returns whether a caller's request is likely to use the group again soon.
    pub fn expects_use(&self, now: Timestamp) -> bool {
        let Some((used_at, interval)) = self.used_at.zip(self.interval) else {
            return false;
        };
        let expected_within = (interval * EXPECTED_INTERVALS).max(IN_USE_TIME);
        interval < MAX_REUSE_INTERVAL && now.since(used_at) < expected_within
    }

    /// Returns whether the group no longer needs to be tracked.
    pub fn is_unused(&self, now: Timestamp) -> bool {
        let may_ask = self.queries > 0 && now.since(self.relied_on_at) < IN_USE_TIME;
        !may_ask && !self.is_in_use(now) && !self.expects_use(now)
    }
}
