//! A small stand-in for the platform's key-value service.
//!
//! It speaks the etcd v3 API in its published JSON-over-HTTP mapping, on a
//! loopback port, and lives in the process that started it. Faults are settable
//! while it runs. `docs/design/stand-ins.md` says what it does like the real
//! service and what not.

mod connection;
mod counters;
mod encoding;
mod error;
mod faults;
mod lease;
mod machines;
pub mod message;
mod range;
mod server;
mod service;
mod shared;
mod store;
#[cfg(test)]
mod tests;
mod watch;

pub use counters::{PlatformCounters, RequestKind};
pub use error::{ApiError, PlatformError};
pub use faults::{OutageMode, PlatformFaults};
pub use lease::LeaseState;
pub use machines::{MACHINE_PREFIX, Machine, MachineList, MachineState, machine_key};
pub use range::prefix_end;

use message::KeyValue;
use range::KeyRange;
use shared::Shared;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::Put;
use tokio::sync::oneshot;

/// Settings of a stand-in.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Identifier of the cluster in answer headers.
    pub cluster_id: i64,
    /// Identifier of the member in answer headers.
    pub member_id: i64,
    /// Consensus term in answer headers.
    pub raft_term: i64,
    /// Number of changes kept for watches and reads of older revisions.
    pub history_limit: usize,
    /// Least time to live of a lease, in seconds; shorter ones are raised to it.
    pub least_lease_ttl_seconds: i64,
    /// How far the machine list lags behind the truth.
    pub machine_list_lag: Duration,
    /// Requests a second that the service takes; none for no limit.
    pub requests_per_second: Option<f64>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            cluster_id: 1_424_713_571,
            member_id: 2_830_117_231,
            raft_term: 2,
            history_limit: 100_000,
            least_lease_ttl_seconds: 1,
            machine_list_lag: Duration::ZERO,
            requests_per_second: None,
        }
    }
}

/// A running stand-in. Dropping it stops it.
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
    ended: Option<oneshot::Receiver<()>>,
}

impl Platform {
    /// Starts a stand-in on a loopback port that the system chooses.
    pub async fn start(settings: PlatformSettings) -> Result<Self, PlatformError> {
        let shared = Arc::new(Shared::new(&settings));
        shared.faults.set_rate_limit(settings.requests_per_second);
        let (started_sender, started) = oneshot::channel();
        let (ended_sender, ended) = oneshot::channel();
        let served = Arc::clone(&shared);
        std::thread::Builder::new()
            .name("platform".to_owned())
            .spawn(move || {
                actix_rt::System::new().block_on(server::run(served, started_sender));
                let _owner_gone = ended_sender.send(());
            })
            .map_err(PlatformError::Thread)?;
        let address = started.await.map_err(|_| PlatformError::Ended)??;
        log::info!("platform: listening on {address}.");
        Ok(Self {
            shared,
            address,
            ended: Some(ended),
        })
    }

    /// Where the service is: `http://<address>`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// The address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The faults, to set or end them.
    pub fn faults(&self) -> &PlatformFaults {
        &self.shared.faults
    }

    /// The machines, to tell of their true state.
    pub fn machines(&self) -> &MachineList {
        &self.shared.machines
    }

    /// A reading of the counts.
    pub fn counters(&self) -> PlatformCounters {
        self.shared.counters.read()
    }

    /// The newest revision.
    pub fn revision(&self) -> i64 {
        self.shared.with_store(|store| store.revision())
    }

    /// Writes a key past HTTP and all faults; gives the new revision.
    pub fn put(&self, key: &str, value: &[u8]) -> i64 {
        let put = Put {
            key: key.as_bytes().to_vec(),
            value: Some(value.to_vec()),
            lease: Some(0),
        };
        self.shared.with_store(|store| {
            store.put(put);
            store.commit()
        })
    }

    /// Reads a key past HTTP and all faults.
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        let key = key.as_bytes();
        self.shared
            .with_store(|store| store.get(key, store.revision()).cloned())
    }

    /// Reads all keys with a prefix past HTTP and all faults, in order.
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let range = KeyRange::Between(prefix.into(), prefix_end(prefix.as_bytes()));
        self.shared
            .with_store(|store| store.range(&range, store.revision(), 0).items)
    }

    /// Deletes a key past HTTP and all faults; gives the newest revision.
    pub fn delete(&self, key: &str) -> i64 {
        let range = KeyRange::One(key.as_bytes().to_vec());
        self.shared.with_store(|store| {
            store.delete(&range);
            store.commit()
        })
    }

    /// Drops history up to a revision.
    pub fn compact(&self, revision: i64) -> Result<(), ApiError> {
        self.shared.with_store(|store| store.compact(revision))
    }

    /// Brings the service back with an older state: later changes are gone,
    /// their revisions will be used again, and all connections are closed.
    pub fn restore(&self, revision: i64) -> Result<(), ApiError> {
        self.shared.with_store(|store| store.restore(revision))?;
        self.shared.connections.close_all();
        Ok(())
    }

    /// Lets a lease lapse at once, as when its holder was paused for too long.
    pub fn expire_lease(&self, identifier: i64) -> Result<(), ApiError> {
        self.shared.with_store(|store| store.end_lease(identifier))
    }

    /// State of a lease; none when it does not exist.
    pub fn lease(&self, identifier: i64) -> Option<LeaseState> {
        let now = Instant::now();
        self.shared
            .with_store(|store| store.lease_state(identifier, now))
    }

    /// Identifiers of all leases in force.
    pub fn leases(&self) -> Vec<i64> {
        self.shared.with_store(|store| store.lease_identifiers())
    }

    /// Closes all connections and stops.
    pub async fn stop(mut self) {
        self.shared.ask_to_stop();
        if let Some(ended) = self.ended.take() {
            // An error means that the thread has ended already.
            let _ended_before = ended.await;
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.ask_to_stop();
    }
}
