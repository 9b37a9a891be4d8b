//! The node that may order promotions (the coordinator), as known to one node.
//!
//! A coordinator writes a record to the state store and announces each planned order to its peers.
//! While the store is unavailable, the record can expire although the coordinator is alive and
//! other nodes still vote for it. The newest known coordinator is therefore remembered even without
//! its record.

use std::time::Duration;

use hookpoint_state::{StoreEra, StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};

/// Time to live of the coordinator's record.
pub const RECORD_TTL: Duration = Duration::from_millis(1_500);
/// The record is not relied on for this long before its time to live ends.
const RECORD_MARGIN: Duration = Duration::from_millis(300);

/// Returns until when a coordinator relies on its record after a renewal that it requested at
/// `asked_at`.
pub fn lease_valid_until(asked_at: Timestamp) -> Timestamp {
    asked_at + RECORD_TTL - RECORD_MARGIN
}

/// Delays claiming a free coordinator record after this node first observed the store's era.
///
/// A store that was restored from a copy may have lost the record of a coordinator that still
/// relies on it. The last answer to that coordinator came from the earlier era, which ended before
/// any node could observe the new one. Once the era has settled, no coordinator relies on a record
/// from an earlier era.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClaimDelay {
    era: Option<StoreEra>,
    until: Timestamp,
    settled: Option<StoreEra>,
}

impl ClaimDelay {
    /// Records that the store has been in `era` for long enough that no coordinator relies on an
    /// earlier one.
    pub fn settle(&mut self, era: StoreEra) {
        self.settled = self.settled.max(Some(era));
    }

    /// Returns whether the current era is known to have settled.
    pub fn is_settled(&self) -> bool {
        self.era.is_some() && self.settled >= self.era
    }

    /// Records the era of an answer from the store. `no_other` states that no other node can be the
    /// coordinator of the previous era.
    pub fn note_era(&mut self, era: StoreEra, no_other: bool, now: Timestamp) {
        if self.era.is_some_and(|known| known >= era) {
            return;
        }
        self.era = Some(era);
        self.until = if no_other { now } else { now + RECORD_TTL };
    }

    /// Returns whether no coordinator of an earlier era can rely on its record any more.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.is_settled() || self.era.is_some() && now >= self.until
    }
}

/// The coordinator's record in the state store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// Name of the coordinating node.
    pub node: String,
    /// The store lease that the record is attached to. It distinguishes successive processes of the
    /// same node.
    pub lease: u64,
}

/// What a node knows about coordinators. Revisions are those of the record in the store.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorView {
    revision: StoreRevision,
    holder: Option<CoordinatorRecord>,
    /// Revision of the record if it cannot be decoded.
    unreadable_revision: Option<StoreRevision>,
    newest: Option<(StoreRevision, String)>,
}

impl CoordinatorView {
    /// Applies the record as of `revision`, or its removal. A revision older than the known one is
    /// ignored.
    pub fn take_record(&mut self, revision: StoreRevision, record: Option<CoordinatorRecord>) {
        if revision < self.revision {
            return;
        }
        if let Some(record) = &record {
            self.note_coordinator(revision, &record.node);
        }
        self.revision = match record {
            Some(_) => revision,
            None => StoreRevision::default(),
        };
        self.holder = record;
        self.unreadable_revision = None;
    }

    /// Records that the store holds a record at `revision` that cannot be decoded. It names no
    /// coordinator, and has to be replaced by a claim. A revision older than the known one is
    /// ignored.
    pub fn take_unreadable(&mut self, revision: StoreRevision) {
        if revision < self.revision {
            return;
        }
        self.forget_record();
        self.unreadable_revision = Some(revision);
    }

    /// Records that the store holds no coordinator record now.
    pub fn forget_record(&mut self) {
        self.revision = StoreRevision::default();
        self.holder = None;
        self.unreadable_revision = None;
    }

    /// Records that the coordinator whose record has this `revision` is `node`, as known from the
    /// record or from an announcement. For a node that has lost the store, announcements are the
    /// only way to learn of a new coordinator.
    pub fn note_coordinator(&mut self, revision: StoreRevision, node: &str) {
        if self
            .newest
            .as_ref()
            .is_none_or(|(known, _)| *known < revision)
        {
            self.newest = Some((revision, node.to_owned()));
        }
    }

    /// Returns the revision of the record in the store if that cannot be decoded.
    pub fn unreadable_revision(&self) -> Option<StoreRevision> {
        self.unreadable_revision
    }

    /// Returns the current record, if there is one.
    pub fn holder(&self) -> Option<&CoordinatorRecord> {
        self.holder.as_ref()
    }

    /// Returns the revision of the current record, or the default if there is none.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// Returns the record if it was written by an earlier process of `node`, that is, if it is not
    /// attached to `lease`.
    pub fn stale_record(&self, node: &str, lease: Option<u64>) -> Option<&CoordinatorRecord> {
        self.holder()
            .filter(|record| record.node == node && Some(record.lease) != lease)
    }

    /// Returns the revision of the newest known coordinator, or the default if none is known.
    pub fn newest_revision(&self) -> StoreRevision {
        let newest = self.newest.as_ref();
        newest.map_or_else(StoreRevision::default, |(revision, _)| *revision)
    }

    /// Returns the name of the newest known coordinator, whether or not its record still exists.
    pub fn newest(&self) -> Option<&str> {
        self.newest.as_ref().map(|(_, node)| node.as_str())
    }
}
