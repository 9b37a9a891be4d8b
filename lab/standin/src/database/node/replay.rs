//! The committed rows of a database, and the replay of its log into them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::{Inner, Node};
use crate::database::consensus::Role;
use crate::database::entry::Entry;
use crate::database::error::SqlError;
use crate::database::position::Lsn;
use crate::database::store::Store;

/// Maximum number of entries replayed before the locks are released.
const REPLAY_BATCH: usize = 64;
/// Maximum sleep of the replay task while no entry is due.
const REPLAY_IDLE: Duration = Duration::from_millis(500);

/// The committed rows, which reads outside writing transactions see.
pub(super) struct Committed {
    pub(super) store: Store,
    pub(super) applied: usize,
    position: Lsn,
    /// Number of times the log was truncated.
    pub(super) truncations: u64,
}

/// Entries to be replayed next.
struct Due {
    entries: Vec<Arc<Entry>>,
    /// Number of log entries before the first of `entries`.
    start: usize,
    truncations: u64,
    /// When the next entries become due, if known.
    next: Option<Instant>,
}

impl Node {
    /// Replays entries as they become due until the task is aborted.
    pub async fn run_replay(self: Arc<Self>) {
        loop {
            let next = self.replay_due();
            let wait = next.unwrap_or_else(|| Instant::now() + REPLAY_IDLE);
            if wait > Instant::now() {
                tokio::select! {
                    () = tokio::time::sleep_until(wait.into()) => {}
                    () = self.replay_wake.notified() => {}
                }
            } else {
                tokio::task::yield_now().await;
            }
        }
    }

    /// Replays the due entries without holding the consensus lock, so that readers
    /// do not block consensus. Returns when the next entries become due, if known.
    pub fn replay_due(&self) -> Option<Instant> {
        let due = self.due();
        if due.entries.is_empty() {
            return due.next;
        }
        let mut committed = self.committed.lock();
        if committed.truncations == due.truncations {
            let done = committed.applied.saturating_sub(due.start);
            for entry in due.entries.iter().skip(done) {
                committed.apply(entry);
            }
            self.publish(&committed);
        }
        due.next
    }

    fn due(&self) -> Due {
        let lag = *self.replay_lag.lock();
        let start = self.applied.load(Ordering::Acquire);
        let inner = self.inner.lock();
        let log = inner.consensus.log();
        let mut due = Due {
            entries: Vec::new(),
            start,
            truncations: inner.truncations,
            next: None,
        };
        if !inner.alive || inner.paused {
            return due;
        }
        let now = Instant::now();
        let visible = self.visible(&inner);
        let end = visible.min(start + REPLAY_BATCH);
        let following = inner.consensus.role() != Role::Primary;
        for (entry, received_at) in log.iter().zip(&inner.received_at).take(end).skip(start) {
            let ready = *received_at + lag;
            if following && ready > now {
                due.next = Some(ready);
                return due;
            }
            due.entries.push(entry.clone());
        }
        if end < visible {
            due.next = Some(now);
        }
        due
    }

    /// Returns the number of log entries that reads may see.
    fn visible(&self, inner: &Inner) -> usize {
        if inner.consensus.role() == Role::Primary && self.group.synchronous_commit {
            inner.consensus.majority_flushed()
        } else {
            inner.consensus.log().len()
        }
    }

    pub(super) fn publish(&self, committed: &Committed) {
        self.applied.store(committed.applied, Ordering::Release);
        self.replayed.store(committed.position.0, Ordering::Release);
    }

    pub(super) fn replayed(&self) -> Lsn {
        Lsn(self.replayed.load(Ordering::Acquire))
    }

    /// Replays up to the first `length` entries, as far as they are due.
    pub fn replay_up_to(&self, length: usize) {
        while self.applied.load(Ordering::Acquire) < length {
            if self.replay_due().is_none() {
                return;
            }
        }
    }

    /// Runs `read` on the replayed rows and their position. Fails if the connections
    /// of `epoch` have been closed.
    pub fn read<R>(
        &self,
        epoch: u64,
        read: impl FnOnce(&mut Store, Lsn) -> Result<R, SqlError>,
    ) -> Result<R, SqlError> {
        let mut committed = self.committed.lock();
        if self.epoch.borrow().number != epoch {
            return Err(SqlError::terminated());
        }
        let position = committed.position;
        read(&mut committed.store, position)
    }
}

impl Committed {
    /// Wraps a store into which the first entry has already been replayed.
    pub(super) fn new(store: Store, first: &Entry) -> Self {
        Self {
            store,
            applied: 1,
            position: first.end,
            truncations: 0,
        }
    }

    pub(super) fn rebuild(log: &[Arc<Entry>], truncations: u64) -> Result<Self, SqlError> {
        let mut rebuilt = Self {
            store: Store::open()?,
            applied: 0,
            position: Lsn(0),
            truncations,
        };
        for entry in log {
            rebuilt.apply(entry);
        }
        Ok(rebuilt)
    }

    /// Replays the next entry of the log.
    pub(super) fn apply(&mut self, entry: &Entry) {
        if let Err(error) = self.store.replay(entry) {
            log::error!(
                "database: replaying the entry that ends at {} failed: {error}.",
                entry.end
            );
        }
        self.applied += 1;
        self.position = entry.end;
    }
}
