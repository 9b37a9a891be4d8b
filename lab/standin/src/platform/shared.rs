//! State shared by the HTTP handlers, the sweep and the owner of the stand-in.
//!
//! Lock order: the store, then the faults. No other lock is held together with
//! another one.

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

/// Shared state of one stand-in.
pub(super) struct Shared {
    store: Mutex<Store>,
    header: Header,
    commits: watch::Sender<i64>,
    /// Injected faults.
    pub(super) faults: PlatformFaults,
    /// Request counters.
    pub(super) counters: Counters,
    /// Open connections.
    pub(super) connections: Connections,
    /// Machine list and its pending changes.
    pub(super) machines: MachineList,
    stopping: AtomicBool,
    stop_requested: Notify,
}

impl Shared {
    pub(super) fn new(settings: &PlatformSettings) -> Self {
        let store = Store::new(settings.history_limit, settings.min_lease_ttl_seconds);
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
            stop_requested: Notify::new(),
        }
    }

    /// Expires overdue leases and then runs one method of the API.
    pub(super) fn call<T>(
        &self,
        method: impl FnOnce(&mut Call<'_>) -> Result<Outcome<T>, ApiError>,
    ) -> Result<Outcome<T>, ApiError> {
        let now = Instant::now();
        self.with_store(|store| {
            store.expire_leases(now);
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

    /// Runs `work` on the locked store and notifies the watches if it committed a
    /// new revision.
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

    /// Returns the response header for a revision.
    pub(super) fn header_at(&self, revision: i64) -> Header {
        Header {
            revision,
            ..self.header.clone()
        }
    }

    /// Subscribes to changes of the newest revision.
    pub(super) fn subscribe(&self) -> watch::Receiver<i64> {
        self.commits.subscribe()
    }

    /// Ends expired leases and applies the due changes of the machine list.
    pub(super) fn sweep(&self) {
        let now = Instant::now();
        self.with_store(|store| store.expire_leases(now));
        let due = self.machines.take_due(now);
        if !due.is_empty() {
            self.with_store(|store| due.iter().for_each(|change| change.apply(store)));
            self.machines.mark_applied();
        }
    }

    /// Requests the server thread to end.
    pub(super) fn request_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.stop_requested.notify_one();
    }

    /// Returns whether the server thread was requested to end.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Waits until the server thread is requested to end.
    pub(super) async fn stop_requested(&self) {
        self.stop_requested.notified().await;
    }
}
