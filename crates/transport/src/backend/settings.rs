//! Settings of the connections to databases.

use std::collections::BTreeMap;
use std::time::Duration;

use actix::ArbiterHandle;
use hookpoint_state::GroupName;

/// Settings of the connection pools that are not part of the bundle (the versioned
/// configuration that is rolled out to all nodes).
#[derive(Clone)]
pub struct BackendSettings {
    /// Password of each group's user; absent where the databases need none.
    pub passwords: BTreeMap<GroupName, String>,
    /// Longest time from the first packet to a usable connection.
    pub connect_timeout: Duration,
    /// Time without a query after which the database closes a connection, so that the
    /// connection slots of a crashed proxy process are freed.
    pub idle_session_timeout: Duration,
    /// Longest wait for an answer to the proxy's own queries, and for the end of a
    /// connection that is being closed.
    pub answer_timeout: Duration,
    /// Largest message accepted from a database, in bytes.
    pub message_bytes: usize,
    /// Maximum number of prepared statements kept on one connection.
    pub prepared_statements: usize,
    /// Seed of the random jitter.
    pub seed: u64,
    /// Threads that the pools are spread over; if empty, the current thread.
    pub arbiters: Vec<ArbiterHandle>,
}

impl BackendSettings {
    /// Returns default settings for pools on `arbiters`.
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

    /// Returns how long a connection stays idle before the process that holds it sends a
    /// status query, which restarts the database's idle timer. Well below
    /// [`BackendSettings::idle_session_timeout`].
    pub fn heartbeat_interval(&self) -> Duration {
        self.idle_session_timeout / 3
    }

    /// Returns the time without a query after which this process no longer uses a
    /// connection, because the database has closed it for being idle or will do so soon.
    /// Heartbeats keep idle connections below this limit, unless the process was paused;
    /// it then discards the connection instead of using it.
    pub fn assumed_closed_after(&self) -> Duration {
        self.idle_session_timeout * 4 / 5
    }
}
