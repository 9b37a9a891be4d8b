//! Settings of the side towards databases.

use std::collections::BTreeMap;
use std::time::Duration;

use actix::ArbiterHandle;
use hookpoint_state::GroupName;

/// What the pools need besides the bundle.
#[derive(Clone)]
pub struct BackendSettings {
    /// Password of each group's user; none where the databases trust the proxy.
    pub passwords: BTreeMap<GroupName, String>,
    /// Longest time from the first packet to a usable connection.
    pub connect_timeout: Duration,
    /// After this time without a query the database closes a connection by itself, so
    /// that a dead holder's slots come back.
    pub idle_session_timeout: Duration,
    /// Longest wait for an answer to the proxy's own queries, and for the end of a
    /// connection that is being closed.
    pub answer_timeout: Duration,
    /// Largest message accepted from a database, in bytes.
    pub message_bytes: usize,
    /// Prepared statements kept on one connection.
    pub prepared_statements: usize,
    /// Seed of the jitter.
    pub seed: u64,
    /// Threads the pools are spread over; the current one where there is none.
    pub arbiters: Vec<ArbiterHandle>,
}

impl BackendSettings {
    /// Settings with defaults for pools on `arbiters`.
    pub fn new(arbiters: Vec<ArbiterHandle>) -> Self {
        Self {
            passwords: BTreeMap::new(),
            connect_timeout: Duration::from_secs(1),
            idle_session_timeout: Duration::from_secs(10),
            answer_timeout: Duration::from_secs(2),
            message_bytes: 256 * 1024 * 1024,
            prepared_statements: 128,
            seed: 0,
            arbiters,
        }
    }

    /// How long a connection stays idle before its holder queries it. Well below
    /// [`BackendSettings::idle_session_timeout`].
    pub fn heartbeat_interval(&self) -> Duration {
        self.idle_session_timeout / 3
    }

    /// After this time without a query a connection counts as closed by the database,
    /// even if the holder has not noticed. A holder that was paused gets here.
    pub fn lapse(&self) -> Duration {
        self.idle_session_timeout * 4 / 5
    }
}
