//! Settings of a database group, and the network between its zones.

use std::time::Duration;

/// Default time without a heartbeat after which a replica starts an election.
pub const DEFAULT_ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Default time between heartbeats of a primary.
pub const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Default simulated delay of opening a connection.
pub const DEFAULT_CONNECT_DELAY: Duration = Duration::from_millis(10);
/// Default timeout of a COMMIT that waits for a majority.
pub const DEFAULT_COMMIT_WAIT: Duration = Duration::from_secs(10);
/// Default timeout of a write that waits for another writing transaction.
pub const DEFAULT_LOCK_WAIT: Duration = Duration::from_secs(5);

/// Settings of one group of replicated databases.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Name of the group, for logs.
    pub name: String,
    /// Databases of the group; the first one is the initial primary.
    pub databases: Vec<DatabaseSettings>,
    /// Seed of all random numbers in the group.
    pub seed: u64,
    /// Time without a heartbeat after which a replica starts an election; a random
    /// time of up to the same length is added to each attempt.
    pub election_timeout: Duration,
    /// Time between heartbeats of a primary.
    pub heartbeat_interval: Duration,
    /// Whether COMMIT returns only after a majority has flushed the transaction.
    pub synchronous_commit: bool,
    /// Delay between a start-up message and its response.
    pub connect_delay: Duration,
    /// SQL run on all databases before they accept connections.
    pub schema: Vec<String>,
    /// With `synchronous_commit`, how long a COMMIT waits for a majority before its
    /// connection is closed with 57P01; the outcome is then unknown.
    pub commit_wait: Duration,
    /// How long a write waits for another writing transaction before it fails with
    /// 55P03. The session's `lock_timeout` overrides it.
    pub lock_wait: Duration,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            name: "group".to_owned(),
            databases: Vec::new(),
            seed: 1,
            election_timeout: DEFAULT_ELECTION_TIMEOUT,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            synchronous_commit: true,
            connect_delay: DEFAULT_CONNECT_DELAY,
            schema: Vec::new(),
            commit_wait: DEFAULT_COMMIT_WAIT,
            lock_wait: DEFAULT_LOCK_WAIT,
        }
    }
}

/// Settings of one database of a group.
#[derive(Clone, Debug)]
pub struct DatabaseSettings {
    /// Name of the database, unique in its group.
    pub name: String,
    /// Zone of the database.
    pub zone: String,
    /// Maximum number of concurrent connections; further ones are refused with
    /// 53300.
    pub slots: u32,
    /// Time between flushing and replaying an entry on a replica.
    pub replay_lag: Duration,
    /// Password of every user, verified by SCRAM-SHA-256; `None` accepts all
    /// connections without a password.
    pub password: Option<String>,
}

/// The network between the zones of the databases of a group.
pub trait ZoneNetwork: Send + Sync {
    /// Returns the one-way delay of a message.
    fn delay(&self, from_zone: &str, to_zone: &str) -> Duration;
    /// Returns whether messages are lost.
    fn is_cut(&self, from_zone: &str, to_zone: &str) -> bool;
}

/// A network with the same delay everywhere and no cuts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedNetwork {
    /// One-way delay of every message.
    pub delay: Duration,
}

impl ZoneNetwork for FixedNetwork {
    fn delay(&self, _from_zone: &str, _to_zone: &str) -> Duration {
        self.delay
    }

    fn is_cut(&self, _from_zone: &str, _to_zone: &str) -> bool {
        false
    }
}
