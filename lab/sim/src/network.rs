//! Links: latencies and cuts.

use std::collections::VecDeque;
use std::time::Duration;

use hookpoint_state::Timestamp;

use crate::settings::SimDeployment;

/// How long a link may be cut before both ends take their connection for broken.
pub(crate) const KEEPALIVE: Duration = Duration::from_secs(2);
/// Time between two looks at a cut link.
pub(crate) const CUT_POLL: Duration = Duration::from_millis(20);

/// State of all links.
#[derive(Debug)]
pub(crate) struct Network {
    deployment: SimDeployment,
    /// Zones cut off from all other zones.
    cut_zones: Vec<usize>,
    /// Databases cut off from the other databases, but not from proxies.
    isolated: Vec<usize>,
}

impl Network {
    pub(crate) fn new(deployment: SimDeployment) -> Self {
        Self {
            deployment,
            cut_zones: Vec::new(),
            isolated: Vec::new(),
        }
    }

    pub(crate) fn latency(&self, from_zone: usize, to_zone: usize) -> Duration {
        self.deployment.latency(from_zone, to_zone)
    }

    /// Whether anything passes between two zones.
    pub(crate) fn zones_joined(&self, from: usize, to: usize) -> bool {
        from == to || !(self.cut_zones.contains(&from) || self.cut_zones.contains(&to))
    }

    /// Whether replication passes between two databases.
    pub(crate) fn replicates(&self, from: (usize, usize), to: (usize, usize)) -> bool {
        let isolated = self.isolated.contains(&from.0) || self.isolated.contains(&to.0);
        !isolated && self.zones_joined(from.1, to.1)
    }

    pub(crate) fn cut_zone(&mut self, zone: usize) {
        self.cut_zones.push(zone);
    }

    pub(crate) fn join_zone(&mut self, zone: usize) {
        remove_one(&mut self.cut_zones, zone);
    }

    pub(crate) fn isolate(&mut self, database: usize) {
        self.isolated.push(database);
    }

    pub(crate) fn rejoin(&mut self, database: usize) {
        remove_one(&mut self.isolated, database);
    }
}

/// Removes one of possibly several equal entries: faults may overlap.
fn remove_one(list: &mut Vec<usize>, value: usize) {
    if let Some(index) = list.iter().position(|entry| *entry == value) {
        list.swap_remove(index);
    }
}

/// One direction of a connection: messages in order, each with the earliest time at
/// which it can arrive. A cut holds them back.
#[derive(Debug)]
pub(crate) struct Channel<T> {
    queue: VecDeque<(Timestamp, T)>,
    last: Timestamp,
    /// Whether a wake-up is scheduled.
    pub(crate) awake: bool,
    /// Since when a message has been held back.
    pub(crate) blocked_since: Option<Timestamp>,
}

impl<T> Channel<T> {
    pub(crate) fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            last: Timestamp::default(),
            awake: false,
            blocked_since: None,
        }
    }

    /// Adds a message; returns when to wake, if no wake-up is scheduled.
    pub(crate) fn push(&mut self, arrival: Timestamp, message: T) -> Option<Timestamp> {
        self.last = self.last.max(arrival);
        self.queue.push_back((self.last, message));
        (!std::mem::replace(&mut self.awake, true)).then_some(self.last)
    }

    /// The next message that has arrived.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<T> {
        self.blocked_since = None;
        if self.queue.front().is_some_and(|(at, _)| *at <= now) {
            return self.queue.pop_front().map(|(_, message)| message);
        }
        None
    }

    /// When the next message arrives.
    pub(crate) fn next_at(&self) -> Option<Timestamp> {
        self.queue.front().map(|(at, _)| *at)
    }

    /// Notes that the link is cut; returns whether it has been for too long.
    pub(crate) fn blocked(&mut self, now: Timestamp) -> bool {
        let since = *self.blocked_since.get_or_insert(now);
        now.since(since) >= KEEPALIVE
    }

    /// Drops what is on the way.
    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }
}
