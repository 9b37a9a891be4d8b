//! Advisory locks of one database.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use tokio::sync::Notify;

/// Key of an advisory lock: one or two integers.
pub type AdvisoryKey = (i64, Option<i64>);

#[derive(Debug)]
struct Holder {
    process: i32,
    session: u32,
    transaction: u32,
}

/// The advisory locks and their holders.
#[derive(Default)]
pub struct AdvisoryLocks {
    holders: Mutex<BTreeMap<AdvisoryKey, Holder>>,
    freed: Notify,
}

impl AdvisoryLocks {
    /// Takes a lock for `process` and returns true if it is free or already held by
    /// `process`.
    pub fn try_lock(&self, key: AdvisoryKey, process: i32, for_transaction: bool) -> bool {
        let mut holders = self.holders.lock();
        let holder = holders.entry(key).or_insert(Holder {
            process,
            session: 0,
            transaction: 0,
        });
        if holder.process != process {
            return false;
        }
        if for_transaction {
            holder.transaction += 1;
        } else {
            holder.session += 1;
        }
        true
    }

    /// Waits until the lock is acquired.
    pub async fn lock(&self, key: AdvisoryKey, process: i32, for_transaction: bool) {
        loop {
            let freed = self.freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if self.try_lock(key, process, for_transaction) {
                return;
            }
            freed.await;
        }
    }

    /// Releases a session lock once; returns false if the session does not hold it.
    pub fn unlock(&self, key: AdvisoryKey, process: i32) -> bool {
        let mut holders = self.holders.lock();
        let held = holders
            .get_mut(&key)
            .filter(|holder| holder.process == process && holder.session > 0);
        let Some(holder) = held else {
            return false;
        };
        holder.session -= 1;
        self.remove_unheld(&mut holders);
        true
    }

    /// Releases all session locks of `process`.
    pub fn unlock_session(&self, process: i32) {
        self.release(process, |holder| holder.session = 0);
    }

    /// Releases all transaction locks of `process`.
    pub fn unlock_transaction(&self, process: i32) {
        self.release(process, |holder| holder.transaction = 0);
    }

    fn release(&self, process: i32, change: impl Fn(&mut Holder)) {
        let mut holders = self.holders.lock();
        holders
            .values_mut()
            .filter(|holder| holder.process == process)
            .for_each(change);
        self.remove_unheld(&mut holders);
    }

    fn remove_unheld(&self, holders: &mut BTreeMap<AdvisoryKey, Holder>) {
        let before = holders.len();
        holders.retain(|_, holder| holder.session + holder.transaction > 0);
        if holders.len() < before {
            self.freed.notify_waiters();
        }
    }
}
