//! What the HTTP handlers, the sweeper and the owner of a stand-in share.
//!
//! Lock order: the store, then the faults; all other locks are held alone.

use super::PlatformSettings;
use super::connection::Connections;
use super::counters::Counters;
use super::error::ApiError;
use super::faults::PlatformFaults;
use super::machines::MachineList;
use super::message::Header;
use super::service::{Call, Outcome};
use super::store::Store;
use parking_lot::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use tokio::sync::{Notify, watch};

/// State of one stand-in.
pub(super) struct Shared {
    store: Mutex<Store>,
    header: Header,
    commits: watch::Sender<i64>,
    /// Faults in force.
    pub(super) faults: PlatformFaults,
    /// Counts of requests.
    pub(super) counters: Counters,
    /// Open connections.
    pub(super) connections: Connections,
    /// Mirror of the machines.
    pub(super) machines: MachineList,
    stopping: AtomicBool,
    stop_asked: Notify,
}

impl Shared {
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        let store = Store::new(settings.history_limit, settings.least_lease_ttl_seconds);
        let revision = store.revision();
        Self {
            store: Mutex::new(store),
            header: Header {
                cluster_id: settings.cluster_id,
                member_id: settings.member_id,
                revision: 0,
                raft_term: settings.raft_term,
            },
            commits: watch::Sender::new(revision),
            faults: PlatformFaults::default(),
            counters: Counters::default(),
            connections: Connections::default(),
            machines: MachineList::new(settings.machine_list_lag),
            stopping: AtomicBool::new(false),
            stop_asked: Notify::new(),
        }
    }

    /// Runs one method of the API, past any lapsed leases.
    pub(super) fn call<T>(
        &self,
        method: impl FnOnce(&mut Call<'_>) -> Result<Outcome<T>, ApiError>,
    ) -> Result<Outcome<T>, ApiError> {
        let now = Instant::now();
        self.with_store(|store| {
            store.end_lapsed_leases(now);
            let visible = self.faults.visible_revision(store.revision());
            let header = self.header.clone();
            let mut call = Call {
                store,
                visible,
                header,
                now,
            };
            method(&mut call)
        })
    }

    /// Works on the store and tells the watchers of what was committed.
    pub(super) fn with_store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = self.store.lock();
        let before = store.revision();
        let result = work(&mut store);
        let after = store.revision();
        drop(store);
        if after != before {
            self.commits.send_replace(after);
        }
        result
    }

    /// The answer header at a revision.
    pub(super) fn header_at(&self, revision: i64) -> Header {
        Header {
            revision,
            ..self.header.clone()
        }
    }

    /// Tells of the newest revision whenever it changes.
    pub(super) fn subscribe(&self) -> watch::Receiver<i64> {
        self.commits.subscribe()
    }

    /// Ends the leases that lapsed and brings the machine list up to date.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        self.with_store(|store| store.end_lapsed_leases(now));
        let due = self.machines.take_due(now);
        if !due.is_empty() {
            self.with_store(|store| due.iter().for_each(|change| change.apply(store)));
            self.machines.applied();
        }
    }

    /// Asks the server's thread to end.
    pub(super) fn ask_to_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.stop_asked.notify_one();
    }

    /// Whether the server's thread was asked to end.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Waits until the server's thread is asked to end.
    pub(super) async fn stop_asked(&self) {
        self.stop_asked.notified().await;
    }
}
