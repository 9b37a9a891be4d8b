//! Faults that a test can bring about, each for a stated time or until taken
//! back.

use parking_lot::Mutex;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How the service is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageMode {
    /// Open connections are closed and new ones refused.
    Refuse,
    /// Connections are accepted and nothing is answered; requests made during
    /// the outage never take effect, and their connections close at its end.
    Hang,
    /// Every request is refused with status 503: the service has no leader.
    NoLeader,
}

#[derive(Debug, Clone, Copy)]
struct Timed<T> {
    value: T,
    until: Option<Instant>,
}

impl<T: Copy> Timed<T> {
    fn at(self, now: Instant) -> Option<T> {
        let over = self.until.is_some_and(|until| until <= now);
        (!over).then_some(self.value)
    }
}

/// A token bucket with a capacity of one second of its rate.
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

    /// One second's worth, and at least one request unless none is allowed.
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
    answers_to_lose: u64,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct PlatformFaults {
    state: Mutex<State>,
    changed: Notify,
}

impl PlatformFaults {
    /// Limits requests to a number a second, with one second's worth of burst;
    /// 0 refuses all, none lifts the limit.
    pub fn set_rate_limit(&self, requests_per_second: Option<f64>) {
        let now = Instant::now();
        let limit = requests_per_second.map(|rate| RateLimit::new(rate.max(0.0), now));
        self.state.lock().rate_limit = limit;
    }

    /// Starts an outage, or ends it.
    pub fn set_outage(&self, mode: Option<OutageMode>) {
        self.change_outage(mode, None);
    }

    /// Starts an outage that ends by itself.
    pub fn set_outage_for(&self, mode: OutageMode, duration: Duration) {
        self.change_outage(Some(mode), Some(Instant::now() + duration));
    }

    /// Holds back every answer, after its request took effect.
    pub fn set_delay(&self, delay: Option<Duration>) {
        self.state.lock().delay = delay.map(|value| Timed { value, until: None });
    }

    /// Holds back every answer for a stated time.
    pub fn set_delay_for(&self, delay: Duration, duration: Duration) {
        let until = Some(Instant::now() + duration);
        self.state.lock().delay = Some(Timed {
            value: delay,
            until,
        });
    }

    /// Closes the connection in place of the next answers to requests that
    /// changed something; the changes stay.
    pub fn lose_next_answers(&self, count: u64) {
        self.state.lock().answers_to_lose = count;
    }

    /// Answers reads and watches from an older revision while writes go on at
    /// the newest, as a member that has fallen behind; none ends it. To bring
    /// the service back with an older state, see
    /// [`Platform::restore`](super::Platform::restore).
    pub fn serve_old_revision(&self, revision: Option<i64>) {
        self.change_old_revision(revision, None);
    }

    /// Answers reads from an older revision for a stated time.
    pub fn serve_old_revision_for(&self, revision: i64, duration: Duration) {
        self.change_old_revision(Some(revision), Some(Instant::now() + duration));
    }

    /// Ends all faults.
    pub fn clear(&self) {
        *self.state.lock() = State::default();
        self.changed.notify_waiters();
    }

    /// The outage in force.
    pub fn outage(&self) -> Option<OutageMode> {
        let outage = self.state.lock().outage;
        outage.and_then(|outage| outage.at(Instant::now()))
    }

    /// How long answers are held back.
    pub(super) fn delay(&self) -> Duration {
        let delay = self.state.lock().delay;
        let delay = delay.and_then(|delay| delay.at(Instant::now()));
        delay.unwrap_or(Duration::ZERO)
    }

    /// The revision that reads are answered at when the newest is `revision`.
    pub(super) fn visible_revision(&self, revision: i64) -> i64 {
        let old = self.state.lock().old_revision;
        let old = old.and_then(|old| old.at(Instant::now()));
        old.map_or(revision, |old| old.min(revision))
    }

    /// Takes one request from the rate limit; false when it is reached.
    pub(super) fn admit(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock();
        state
            .rate_limit
            .as_mut()
            .is_none_or(|limit| limit.take(now))
    }

    /// Whether the answer about to be given is to be lost.
    pub(super) fn take_lost_answer(&self) -> bool {
        let mut state = self.state.lock();
        if state.answers_to_lose == 0 {
            return false;
        }
        state.answers_to_lose -= 1;
        true
    }

    /// Waits until an outage or an old revision was set or ended by hand.
    /// Those that end by themselves are found by looking now and then.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn change_outage(&self, mode: Option<OutageMode>, until: Option<Instant>) {
        self.state.lock().outage = mode.map(|value| Timed { value, until });
        self.changed.notify_waiters();
    }

    fn change_old_revision(&self, revision: Option<i64>, until: Option<Instant>) {
        self.state.lock().old_revision = revision.map(|value| Timed { value, until });
        self.changed.notify_waiters();
    }
}
