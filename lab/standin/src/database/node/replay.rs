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

/// Entries replayed before the locks are given up for others.
const REPLAY_BATCH: usize = 64;
/// Pause of the replay task while nothing is due.
const REPLAY_IDLE: Duration = Duration::from_millis(500);

/// The rows that reads outside a writing transaction see.
pub(super) struct Committed {
    pub(super) store: Store,
    pub(super) applied: usize,
    position: Lsn,
    /// How often the log was cut.
    pub(super) cuts: u64,
}

/// Entries that are to be replayed next.
struct Due {
    entries: Vec<Arc<Entry>>,
    /// Number of entries before them.
    start: usize,
    cuts: u64,
    /// When there will be more, if that is known.
    next: Option<Instant>,
}

impl Node {
    /// Replays entries as they come due until dropped.
    pub async fn run_replay(self: Arc<Self>) {
        loop {
            let next = self.catch_up();
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

    /// Replays what is due, without keeping the group waiting for readers;
    /// returns when there will be more, if that is known.
    pub fn catch_up(&self) -> Option<Instant> {
        let due = self.due();
        if due.entries.is_empty() {
            return due.next;
        }
        let mut committed = self.committed.lock();
        if committed.cuts == due.cuts {
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
            cuts: inner.cuts,
            next: None,
        };
        if !inner.alive || inner.paused {
            return due;
        }
        let now = Instant::now();
        let visible = self.visible(&inner);
        let end = visible.min(start + REPLAY_BATCH);
        let following = inner.consensus.role() != Role::Primary;
        for (entry, received) in log.iter().zip(&inner.received).take(end).skip(start) {
            let ready = *received + lag;
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

    /// How many entries reads may see now.
    fn visible(&self, inner: &Inner) -> usize {
        if inner.consensus.role() == Role::Primary && self.group.synchronous_commit {
            inner.consensus.majority()
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

    /// Makes the first `length` entries visible, if they may be.
    pub fn catch_up_to(&self, length: usize) {
        while self.applied.load(Ordering::Acquire) < length {
            if self.catch_up().is_none() {
                return;
            }
        }
    }

    /// Runs `read` on the rows that have been replayed, with their position,
    /// unless the connections of `epoch` have ended.
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
    /// Rows into which the first entry has been replayed.
    pub(super) fn new(store: Store, first: &Entry) -> Self {
        Self {
            store,
            applied: 1,
            position: first.end,
            cuts: 0,
        }
    }

    pub(super) fn rebuild(log: &[Arc<Entry>], cuts: u64) -> Result<Self, SqlError> {
        let mut rebuilt = Self {
            store: Store::open()?,
            applied: 0,
            position: Lsn(0),
            cuts,
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
                "database: an entry at {} fails to replay: {error}.",
                entry.end
            );
        }
        self.applied += 1;
        self.position = entry.end;
    }
}
