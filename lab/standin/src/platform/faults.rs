//! Faults that a test can inject, each for a limited time or until it is cleared.

use parking_lot::Mutex;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How the service behaves during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageMode {
    /// Open connections are closed and new ones are refused.
    Refuse,
    /// Connections are accepted but no request is answered. Requests received during
    /// the outage never take effect, and their connections close when it ends.
    Hang,
    /// Every request is rejected with status 503, as by a service without a leader.
    NoLeader,
}

#[derive(Debug, Clone, Copy)]
struct Timed<T> {
    value: T,
    until: Option<Instant>,
}

impl<T: Copy> Timed<T> {
    fn active_at(self, now: Instant) -> Option<T> {
        let over = self.until.is_some_and(|until| until <= now);
        (!over).then_some(self.value)
    }
}

/// A token bucket with a capacity of one second's worth of requests.
#[derive(Debug)]
struct RateLimit {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    fn new(per_second: f64, now: Instant) -> Self {
        let mut limit = Self {
            per_second,
            tokens: 0.0,
            refilled: now,
        };
        limit.tokens = limit.capacity();
        limit
    }

    /// Returns one second's worth of requests, at least 1 unless the rate is 0.
    fn capacity(&self) -> f64 {
        match self.per_second {
            rate if rate > 0.0 => rate.max(1.0),
            _ => 0.0,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let refilled = self.tokens + passed * self.per_second;
        self.tokens = refilled.min(self.capacity());
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

#[derive(Debug, Default)]
struct State {
    outage: Option<Timed<OutageMode>>,
    delay: Option<Timed<Duration>>,
    old_revision: Option<Timed<i64>>,
    rate_limit: Option<RateLimit>,
    responses_to_drop: u64,
}

/// The faults currently injected.
#[derive(Debug, Default)]
pub struct PlatformFaults {
    state: Mutex<State>,
    changed: Notify,
}

impl PlatformFaults {
    /// Limits the requests per second, with a burst of one second's worth; 0 rejects
    /// all requests and `None` removes the limit.
    pub fn set_rate_limit(&self, requests_per_second: Option<f64>) {
        let now = Instant::now();
        let limit = requests_per_second.map(|rate| RateLimit::new(rate.max(0.0), now));
        self.state.lock().rate_limit = limit;
    }

    /// Starts an outage, or ends it with `None`.
    pub fn set_outage(&self, mode: Option<OutageMode>) {
        self.change_outage(mode, None);
    }

    /// Starts an outage that ends after `duration`.
    pub fn set_outage_for(&self, mode: OutageMode, duration: Duration) {
        self.change_outage(Some(mode), Some(Instant::now() + duration));
    }

    /// Delays every response after its request took effect; `None` ends the delay.
    pub fn set_delay(&self, delay: Option<Duration>) {
        self.state.lock().delay = delay.map(|value| Timed { value, until: None });
    }

    /// Delays every response, for a limited time.
    pub fn set_delay_for(&self, delay: Duration, duration: Duration) {
        let until = Some(Instant::now() + duration);
        self.state.lock().delay = Some(Timed {
            value: delay,
            until,
        });
    }

    /// Closes the connection instead of sending the next `count` responses to
    /// requests that changed something; the changes persist.
    pub fn drop_next_responses(&self, count: u64) {
        self.state.lock().responses_to_drop = count;
    }

    /// Serves reads and watches from an older revision while writes continue at the
    /// newest, as a member that has fallen behind; `None` ends the fault. To restore
    /// an older state, see
    /// [`Platform::restore`](super::Platform::restore).
    pub fn serve_old_revision(&self, revision: Option<i64>) {
        self.change_old_revision(revision, None);
    }

    /// Serves reads and watches from an older revision, for a limited time.
    pub fn serve_old_revision_for(&self, revision: i64, duration: Duration) {
        self.change_old_revision(Some(revision), Some(Instant::now() + duration));
    }

    /// Clears all faults.
    pub fn clear(&self) {
        *self.state.lock() = State::default();
        self.changed.notify_waiters();
    }

    /// Returns the active outage; `None` if there is none.
    pub fn outage(&self) -> Option<OutageMode> {
        let outage = self.state.lock().outage;
        outage.and_then(|outage| outage.active_at(Instant::now()))
    }

    /// Returns the active delay of responses; zero if there is none.
    pub(super) fn delay(&self) -> Duration {
        let delay = self.state.lock().delay;
        let delay = delay.and_then(|delay| delay.active_at(Instant::now()));
        delay.unwrap_or(Duration::ZERO)
    }

    /// Returns the revision at which reads are served when the newest is `revision`.
    pub(super) fn visible_revision(&self, revision: i64) -> i64 {
        let old = self.state.lock().old_revision;
        let old = old.and_then(|old| old.active_at(Instant::now()));
        old.map_or(revision, |old| old.min(revision))
    }

    /// Takes one token from the rate limit; returns false when none is left.
    pub(super) fn admit(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock();
        state
            .rate_limit
            .as_mut()
            .is_none_or(|limit| limit.take(now))
    }

    /// Returns whether the next response is to be dropped, and decrements the number
    /// of responses to drop.
    pub(super) fn take_dropped_response(&self) -> bool {
        let mut state = self.state.lock();
        if state.responses_to_drop == 0 {
            return false;
        }
        state.responses_to_drop -= 1;
        true
    }

    /// Waits until an outage or an old revision is set or cleared explicitly. The end
    /// of a timed fault causes no notification; callers detect it by polling.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Starts an outage that lasts until `until` (until it is cleared if `None`), or ends it if
    /// `mode` is `None`. Notifies the waiters of [`PlatformFaults::changed`].
    fn change_outage(&self, mode: Option<OutageMode>, until: Option<Instant>) {
        self.state.lock().outage = mode.map(|value| Timed { value, until });
        self.changed.notify_waiters();
    }

    /// Serves reads and watches from `revision` until `until` (until it is cleared if `None`), or
    /// from the newest revision again if `revision` is `None`. Notifies the waiters of
    /// [`PlatformFaults::changed`].
    fn change_old_revision(&self, revision: Option<i64>, until: Option<Instant>) {
        self.state.lock().old_revision = revision.map(|value| Timed { value, until });
        self.changed.notify_waiters();
    }
}
