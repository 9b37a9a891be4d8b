//! An in-process stand-in for the platform's key-value service.
//!
//! It serves the etcd v3 API in its published JSON-over-HTTP mapping on a
//! loopback port. Faults can be injected while it runs.
//! `docs/design/stand-ins.md` lists where it behaves like the real service and
//! where it does not.

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

/// Settings of a [`Platform`].
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Cluster identifier in response headers.
    pub cluster_id: i64,
    /// Member identifier in response headers.
    pub member_id: i64,
    /// Raft term in response headers.
    pub raft_term: i64,
    /// Maximum number of changes kept for watches and for reads of older revisions.
    pub history_limit: usize,
    /// Minimum time to live of a lease, in seconds; shorter ones are raised to it.
    pub min_lease_ttl_seconds: i64,
    /// Delay between a change of a machine and its appearance in the machine list.
    pub machine_list_lag: Duration,
    /// Rate limit in requests per second; `None` for no limit.
    pub requests_per_second: Option<f64>,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            cluster_id: 1_424_713_571,
            member_id: 2_830_117_231,
            raft_term: 2,
            history_limit: 100_000,
            min_lease_ttl_seconds: 1,
            machine_list_lag: Duration::ZERO,
            requests_per_second: None,
        }
    }
}

/// A running key-value service. Dropping it stops the server.
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
    ended: Option<oneshot::Receiver<()>>,
}

impl Platform {
    /// Starts the service on a loopback port that the operating system chooses.
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
                let _receiver_dropped = ended_sender.send(());
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

    /// Returns the base URL of the service: `http://<address>`.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the fault controls.
    pub fn faults(&self) -> &PlatformFaults {
        &self.shared.faults
    }

    /// Returns the machine list, on which callers set the actual state of machines.
    pub fn machines(&self) -> &MachineList {
        &self.shared.machines
    }

    /// Returns a snapshot of the counters.
    pub fn counters(&self) -> PlatformCounters {
        self.shared.counters.read()
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> i64 {
        self.shared.with_store(|store| store.revision())
    }

    /// Writes a key directly, bypassing HTTP and all faults, and returns the new
    /// revision.
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

    /// Reads a key directly, bypassing HTTP and all faults.
    pub fn get(&self, key: &str) -> Option<KeyValue> {
        let key = key.as_bytes();
        self.shared
            .with_store(|store| store.get(key, store.revision()).cloned())
    }

    /// Reads all keys with a prefix directly, bypassing HTTP and all faults, in key
    /// order.
    pub fn list(&self, prefix: &str) -> Vec<KeyValue> {
        let range = KeyRange::Between(prefix.into(), prefix_end(prefix.as_bytes()));
        self.shared
            .with_store(|store| store.range(&range, store.revision(), 0).items)
    }

    /// Deletes a key directly, bypassing HTTP and all faults, and returns the newest
    /// revision.
    pub fn delete(&self, key: &str) -> i64 {
        let range = KeyRange::One(key.as_bytes().to_vec());
        self.shared.with_store(|store| {
            store.delete(&range);
            store.commit()
        })
    }

    /// Compacts the history up to a revision.
    pub fn compact(&self, revision: i64) -> Result<(), ApiError> {
        self.shared.with_store(|store| store.compact(revision))
    }

    /// Restores the state of an older revision, as from a backup: later changes are
    /// lost, their revisions are reused, and all connections are closed.
    pub fn restore(&self, revision: i64) -> Result<(), ApiError> {
        self.shared.with_store(|store| store.restore(revision))?;
        self.shared.connections.close_all();
        Ok(())
    }

    /// Expires a lease immediately, as when its holder was paused for too long.
    pub fn expire_lease(&self, identifier: i64) -> Result<(), ApiError> {
        self.shared.with_store(|store| store.end_lease(identifier))
    }

    /// Returns the state of a lease, or `None` when it does not exist.
    pub fn lease(&self, identifier: i64) -> Option<LeaseState> {
        let now = Instant::now();
        self.shared
            .with_store(|store| store.lease_state(identifier, now))
    }

    /// Returns the identifiers of all active leases.
    pub fn leases(&self) -> Vec<i64> {
        self.shared.with_store(|store| store.lease_identifiers())
    }

    /// Closes all connections, stops the server and waits until its thread has
    /// ended.
    pub async fn stop(mut self) {
        self.shared.request_stop();
        if let Some(ended) = self.ended.take() {
            // An error means that the thread has already ended.
            let _already_ended = ended.await;
        }
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.shared.request_stop();
    }
}
