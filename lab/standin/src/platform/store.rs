//! The multi-version key-value store behind the API.
//!
//! Every change creates a new revision of the store; a transaction creates one
//! revision. Older versions stay readable, and changes watchable, until they
//! are compacted. Compaction is automatic once the number of kept changes
//! exceeds a limit.

use super::error::ApiError;
use super::lease::{LeaseState, LeaseTable};
use super::message::{Event, EventKind, KeyValue};
use super::range::KeyRange;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Revision of an empty store.
pub const FIRST_REVISION: i64 = 1;

/// A write of one key.
#[derive(Debug, Clone, Default)]
pub struct Put {
    /// Key to write.
    pub key: Vec<u8>,
    /// New value; `None` keeps the previous one.
    pub value: Option<Vec<u8>>,
    /// New lease, 0 for no lease; `None` keeps the previous one.
    pub lease: Option<i64>,
}

/// Result of a range read, truncated to its limit.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Page {
    /// Key-value pairs in key order.
    pub items: Vec<KeyValue>,
    /// Number of keys in the whole range, regardless of the limit.
    pub count: usize,
}

/// Result of reading the change history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Changes {
    /// The events, and the revision from which to continue.
    Events(Vec<Event>, i64),
    /// The requested events have been compacted; holds the compacted revision.
    Compacted(i64),
}

#[derive(Debug, Clone)]
struct Version {
    item: KeyValue,
    deleted: bool,
}

/// A multi-version store with its leases.
#[derive(Debug)]
pub struct Store {
    revision: i64,
    compacted: i64,
    keys: BTreeMap<Vec<u8>, Vec<Version>>,
    history: VecDeque<Event>,
    history_limit: usize,
    leases: LeaseTable,
}

impl Store {
    /// Creates an empty store that keeps at most `history_limit` changes.
    pub fn new(history_limit: usize, min_ttl_seconds: i64) -> Self {
        Self {
            revision: FIRST_REVISION,
            compacted: 0,
            keys: BTreeMap::new(),
            history: VecDeque::new(),
            history_limit: history_limit.max(1),
            leases: LeaseTable::new(min_ttl_seconds),
        }
    }

    /// Returns the newest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Checks that `revision` can be read, where `visible` is the newest readable
    /// revision.
    pub fn check_revision(&self, revision: i64, visible: i64) -> Result<(), ApiError> {
        if revision > visible {
            return Err(ApiError::FutureRevision);
        }
        if revision < self.compacted {
            return Err(ApiError::Compacted);
        }
        Ok(())
    }

    /// Returns a key as of a revision.
    pub fn get(&self, key: &[u8], revision: i64) -> Option<&KeyValue> {
        self.keys.get(key).and_then(|list| item_at(list, revision))
    }

    /// Returns a range as of a revision; `limit` 0 means no limit.
    pub fn range(&self, range: &KeyRange, revision: i64, limit: usize) -> Page {
        let mut page = Page::default();
        let Some(bounds) = range.bounds() else {
            return page;
        };
        for list in self.keys.range::<[u8], _>(bounds).map(|(_, list)| list) {
            let Some(item) = item_at(list, revision) else {
                continue;
            };
            page.count += 1;
            if limit == 0 || page.items.len() < limit {
                page.items.push(item.clone());
            }
        }
        page
    }

    /// Checks that a put can be executed.
    pub fn check_put(&self, put: &Put) -> Result<(), ApiError> {
        if put.key.is_empty() {
            return Err(ApiError::EmptyKey);
        }
        let keeps = put.value.is_none() || put.lease.is_none();
        if keeps && self.get(&put.key, self.revision).is_none() {
            return Err(ApiError::KeyNotFound);
        }
        match put.lease {
            Some(lease) if lease != 0 && !self.leases.contains(lease) => {
                Err(ApiError::LeaseNotFound)
            }
            _ => Ok(()),
        }
    }

    /// Writes a key at the uncommitted revision and returns its previous version.
    /// The caller must call [`Store::commit`] afterwards.
    pub fn put(&mut self, put: Put) -> Option<KeyValue> {
        let next = self.revision + 1;
        let previous = self.get(&put.key, next).cloned();
        let earlier = previous.clone().unwrap_or_default();
        let item = KeyValue {
            create_revision: previous.as_ref().map_or(next, |item| item.create_revision),
            mod_revision: next,
            version: earlier.version + 1,
            value: put.value.unwrap_or(earlier.value),
            lease: put.lease.unwrap_or(earlier.lease),
            key: put.key,
        };
        self.leases.rebind(&item.key, earlier.lease, item.lease);
        self.record(EventKind::Put, item, previous.clone());
        previous
    }

    /// Deletes a range at the uncommitted revision and returns the deleted keys.
    /// The caller must call [`Store::commit`] afterwards.
    pub fn delete(&mut self, range: &KeyRange) -> Vec<KeyValue> {
        let next = self.revision + 1;
        let deleted = self.range(range, next, 0).items;
        for item in &deleted {
            self.leases.rebind(&item.key, item.lease, 0);
            let tombstone = KeyValue {
                key: item.key.clone(),
                mod_revision: next,
                ..KeyValue::default()
            };
            self.record(EventKind::Delete, tombstone, Some(item.clone()));
        }
        deleted
    }

    /// Commits the changes since the last commit, if any, as one new revision, and
    /// returns the newest revision.
    pub fn commit(&mut self) -> i64 {
        let changed = self
            .history
            .back()
            .is_some_and(|event| event.kv.mod_revision > self.revision);
        if changed {
            self.revision += 1;
            self.compact_if_over_limit();
        }
        self.revision
    }

    /// Returns the changes from revision `from` through `visible`, in revision
    /// order.
    pub fn changes(&self, range: &KeyRange, from: i64, visible: i64) -> Changes {
        if from <= self.compacted {
            return Changes::Compacted(self.compacted);
        }
        let start = self
            .history
            .partition_point(|event| event.kv.mod_revision < from);
        let recent = self.history.range(start..);
        let wanted = recent
            .take_while(|event| event.kv.mod_revision <= visible)
            .filter(|event| range.contains(&event.kv.key));
        Changes::Events(wanted.cloned().collect(), from.max(visible + 1))
    }

    /// Drops versions and events that are superseded at a revision.
    pub fn compact(&mut self, revision: i64) -> Result<(), ApiError> {
        if revision > self.revision {
            return Err(ApiError::FutureRevision);
        }
        if revision <= self.compacted {
            return Err(ApiError::Compacted);
        }
        self.compacted = revision;
        let kept = self
            .history
            .partition_point(|event| event.kv.mod_revision <= revision);
        self.history.drain(..kept);
        for list in self.keys.values_mut() {
            drop_superseded_versions(list, revision);
        }
        self.keys.retain(|_, list| !list.is_empty());
        Ok(())
    }

    /// Restores the state of an older revision, as a service restored from a
    /// backup: later changes are lost and their revisions are reused.
    pub fn restore(&mut self, revision: i64) -> Result<(), ApiError> {
        self.check_revision(revision, self.revision)?;
        self.revision = revision;
        let kept = self
            .history
            .partition_point(|event| event.kv.mod_revision <= revision);
        self.history.truncate(kept);
        for list in self.keys.values_mut() {
            list.retain(|version| version.item.mod_revision <= revision);
        }
        self.keys.retain(|_, list| !list.is_empty());
        let newest = self.keys.iter().filter_map(|(key, list)| {
            item_at(list, revision).map(|item| (key.as_slice(), item.lease))
        });
        self.leases.rebuild(newest);
        Ok(())
    }

    /// Grants a lease; see [`LeaseTable::grant`].
    pub fn grant_lease(
        &mut self,
        identifier: i64,
        ttl_seconds: i64,
        now: Instant,
    ) -> Result<(i64, i64), ApiError> {
        self.leases.grant(identifier, ttl_seconds, now)
    }

    /// Renews a lease and returns its time to live in seconds, or `None` when it
    /// does not exist.
    pub fn keep_lease_alive(&mut self, identifier: i64, now: Instant) -> Option<i64> {
        self.leases.keep_alive(identifier, now)
    }

    /// Returns the state of a lease, or `None` when it does not exist.
    pub fn lease_state(&self, identifier: i64, now: Instant) -> Option<LeaseState> {
        self.leases.state(identifier, now)
    }

    /// Returns the identifiers of all active leases.
    pub fn lease_identifiers(&self) -> Vec<i64> {
        self.leases.identifiers()
    }

    /// Ends a lease and deletes its keys in one revision.
    pub fn end_lease(&mut self, identifier: i64) -> Result<(), ApiError> {
        let keys = self
            .leases
            .remove(identifier)
            .ok_or(ApiError::LeaseNotFound)?;
        for key in keys {
            self.delete(&KeyRange::One(key));
        }
        self.commit();
        Ok(())
    }

    /// Ends the leases past their deadline and returns whether there were any.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        let expired = self.leases.expired(now);
        for identifier in &expired {
            // The lease was listed under the same borrow, so ending it cannot fail.
            let _ended = self.end_lease(*identifier);
        }
        !expired.is_empty()
    }

    fn record(&mut self, kind: EventKind, item: KeyValue, previous: Option<KeyValue>) {
        let version = Version {
            item: item.clone(),
            deleted: kind == EventKind::Delete,
        };
        self.keys.entry(item.key.clone()).or_default().push(version);
        self.history.push_back(Event {
            kind,
            kv: item,
            prev_kv: previous,
        });
    }

    /// Compacts down to half of the limit once the limit is exceeded, so that the
    /// cost of a compaction is amortized over many changes.
    fn compact_if_over_limit(&mut self) {
        if self.history.len() <= self.history_limit {
            return;
        }
        let excess = self.history.len() - self.history_limit / 2;
        let target = self.history[excess - 1].kv.mod_revision.min(self.revision);
        // Cannot fail: the target lies between the last compaction and the newest
        // revision.
        let _compacted = self.compact(target);
    }
}

fn item_at(list: &[Version], revision: i64) -> Option<&KeyValue> {
    let newest = list
        .iter()
        .rev()
        .find(|version| version.item.mod_revision <= revision)?;
    (!newest.deleted).then_some(&newest.item)
}

/// Drops the versions superseded at `revision`: the newest version at or before
/// it stays, unless that is a deletion, and so do all later versions.
fn drop_superseded_versions(list: &mut Vec<Version>, revision: i64) {
    let passed = list
        .iter()
        .take_while(|version| version.item.mod_revision <= revision)
        .count();
    if passed == 0 {
        return;
    }
    let last_is_deleted = list[passed - 1].deleted;
    list.drain(..if last_is_deleted { passed } else { passed - 1 });
}
