//! Whether a request may join the queue for a database's connections.
//!
//! A queue whose wait is longer than callers' objectives serves everybody late, and what it
//! serves late is lost to those who could have been served in time. So a request only
//! joins a queue that it can leave in time; else it is refused at once, and its caller
//! comes back.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of a request's latency objective that it may spend in a queue. The rest is for
/// the database's own queue, the work, and the way.
const PATIENCE_DIVISOR: u32 = 6;

/// What a request takes of a connection once it has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionUse {
    /// One statement.
    Statement,
    /// A transaction: several statements, its end, and the caller's pauses between them.
    Transaction,
}

/// Part of a single statement's patience that a transaction has for a queue in which others
/// are ahead: it takes the place of several of them.
const TRANSACTION_DIVISOR: u32 = 4;

/// A queue for connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionQueue {
    /// Requests that go first.
    pub ahead: usize,
    /// Connections that they wait for.
    pub connections: usize,
    /// How long one of them is held, lately.
    pub held: Duration,
}

impl ConnectionQueue {
    /// How long a request that joins now waits, if the connections come free evenly.
    pub fn expected_wait(self) -> Duration {
        let turns = u32::try_from(self.ahead + 1).unwrap_or(u32::MAX);
        let connections = u32::try_from(self.connections.max(1)).unwrap_or(u32::MAX);
        self.held.saturating_mul(turns) / connections
    }

    /// Whether a request may join that can spend `patience` waiting.
    pub fn admits(self, patience: Duration, wanted: ConnectionUse) -> bool {
        let others_first = wanted == ConnectionUse::Transaction && self.ahead > 0;
        let divisor = if others_first { TRANSACTION_DIVISOR } else { 1 };
        self.expected_wait() <= patience / divisor
    }
}

/// How long a request may wait in a queue: a part of its latency objective, less the time
/// that has passed since it arrived.
pub fn patience(target_latency: Duration, elapsed: Duration) -> Duration {
    (target_latency / PATIENCE_DIVISOR).saturating_sub(elapsed)
}
