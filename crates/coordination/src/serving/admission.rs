//! Admission control for the queue of requests that wait for a connection to a database.
//!
//! If the queue's wait exceeds callers' latency objectives, every request is served too late,
//! including those that could still have been served in time. A request is therefore queued only if
//! it can be dequeued in time. Otherwise it is rejected at once and the caller retries.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A request may spend this fraction (one part in this many) of its latency objective in a queue.
/// The rest covers the database's own queue, the execution and the network.
const QUEUE_WAIT_DIVISOR: u32 = 6;

/// How long a request occupies a connection once it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionUse {
    /// A single statement.
    Statement,
    /// A transaction: several statements, the commit or rollback, and the caller's pauses in
    /// between.
    Transaction,
}

/// If other requests are ahead in the queue, a transaction may wait for this fraction (one part in
/// this many) of the time that a single statement may wait, since it occupies a connection for as
/// long as several statements.
const TRANSACTION_WAIT_DIVISOR: u32 = 4;

/// State of the queue for connections to one database.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionQueue {
    /// Number of requests ahead in the queue.
    pub ahead: usize,
    /// Number of connections that serve the queue.
    pub connections: usize,
    /// Recent mean time for which a request occupies a connection.
    pub mean_hold_time: Duration,
}

impl ConnectionQueue {
    /// Estimates how long a request that joins the queue now waits, assuming that connections
    /// become free at even intervals.
    pub fn expected_wait(self) -> Duration {
        let turns = u32::try_from(self.ahead + 1).unwrap_or(u32::MAX);
        let connections = u32::try_from(self.connections.max(1)).unwrap_or(u32::MAX);
        self.mean_hold_time.saturating_mul(turns) / connections
    }

    /// Returns whether a request that can wait for at most `max_wait` may join the queue.
    pub fn admits(self, max_wait: Duration, wanted: ConnectionUse) -> bool {
        let others_first = wanted == ConnectionUse::Transaction && self.ahead > 0;
        let divisor = if others_first {
            TRANSACTION_WAIT_DIVISOR
        } else {
            1
        };
        self.expected_wait() <= max_wait / divisor
    }
}

/// Returns how long a request may wait in a queue: a fraction of its latency objective, less the
/// time elapsed since it arrived.
pub fn max_queue_wait(target_latency: Duration, elapsed: Duration) -> Duration {
    (target_latency / QUEUE_WAIT_DIVISOR).saturating_sub(elapsed)
}
