//! Network links: latencies and partitions.

use std::collections::VecDeque;
use std::time::Duration;

use hookpoint_state::Timestamp;

use crate::settings::SimDeployment;

/// Duration of a partition after which both ends close a connection that has a message
/// waiting.
pub(crate) const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a partitioned link is checked again.
pub(crate) const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Latencies and current partitions of all links.
#[derive(Debug)]
pub(crate) struct Network {
    deployment: SimDeployment,
    /// Zones partitioned from all other zones. A zone is listed once per fault that affects it.
    partitioned_zones: Vec<usize>,
    /// Databases partitioned from the other databases, but not from proxies. Listed once per
    /// fault.
    isolated: Vec<usize>,
}

impl Network {
    pub(crate) fn new(deployment: SimDeployment) -> Self {
        Self {
            deployment,
            partitioned_zones: Vec::new(),
            isolated: Vec::new(),
        }
    }

    pub(crate) fn latency(&self, from_zone: usize, to_zone: usize) -> Duration {
        self.deployment.latency(from_zone, to_zone)
    }

    /// Returns whether messages pass between two zones.
    pub(crate) fn zones_connected(&self, from: usize, to: usize) -> bool {
        from == to
            || !(self.partitioned_zones.contains(&from) || self.partitioned_zones.contains(&to))
    }

    /// Returns whether replication passes between two databases, each given as its index and
    /// zone.
    pub(crate) fn replication_passes(&self, from: (usize, usize), to: (usize, usize)) -> bool {
        let isolated = self.isolated.contains(&from.0) || self.isolated.contains(&to.0);
        !isolated && self.zones_connected(from.1, to.1)
    }

    pub(crate) fn partition_zone(&mut self, zone: usize) {
        self.partitioned_zones.push(zone);
    }

    pub(crate) fn heal_zone(&mut self, zone: usize) {
        remove_one(&mut self.partitioned_zones, zone);
    }

    pub(crate) fn isolate(&mut self, database: usize) {
        self.isolated.push(database);
    }

    pub(crate) fn rejoin(&mut self, database: usize) {
        remove_one(&mut self.isolated, database);
    }
}

/// Removes a single entry equal to `value`. Overlapping faults add several equal entries.
fn remove_one(list: &mut Vec<usize>, value: usize) {
    if let Some(index) = list.iter().position(|entry| *entry == value) {
        list.swap_remove(index);
    }
}

/// One direction of a connection: an ordered queue of messages, each with its earliest
/// arrival time. A partition delays them.
#[derive(Debug)]
pub(crate) struct Channel<T> {
    queue: VecDeque<(Timestamp, T)>,
    last_arrival: Timestamp,
    /// Whether an event that reads the channel is scheduled.
    pub(crate) read_scheduled: bool,
    /// Time at which the partition was first noticed; `None` while messages pass.
    pub(crate) blocked_since: Option<Timestamp>,
}

impl<T> Channel<T> {
    pub(crate) fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            last_arrival: Timestamp::default(),
            read_scheduled: false,
            blocked_since: None,
        }
    }

    /// Adds a message. Returns the time at which to schedule a read, if none is scheduled yet.
    pub(crate) fn push(&mut self, arrival: Timestamp, message: T) -> Option<Timestamp> {
        self.last_arrival = self.last_arrival.max(arrival);
        self.queue.push_back((self.last_arrival, message));
        (!std::mem::replace(&mut self.read_scheduled, true)).then_some(self.last_arrival)
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<T> {
        self.blocked_since = None;
        if self.queue.front().is_some_and(|(at, _)| *at <= now) {
            return self.queue.pop_front().map(|(_, message)| message);
        }
        None
    }

    /// Returns the arrival time of the next message.
    pub(crate) fn next_at(&self) -> Option<Timestamp> {
        self.queue.front().map(|(at, _)| *at)
    }

    /// Records that the link is partitioned. Returns whether that has lasted for at least
    /// [`KEEPALIVE_TIMEOUT`].
    pub(crate) fn blocked_too_long(&mut self, now: Timestamp) -> bool {
        let since = *self.blocked_since.get_or_insert(now);
        now.since(since) >= KEEPALIVE_TIMEOUT
    }

    /// Drops all messages in flight.
    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }
}
