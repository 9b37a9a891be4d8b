//! Who may order promotions, as one node knows it.
//!
//! A coordinator writes a record to the state store, and announces what it is about to
//! order to its peers. A record can lapse while the store is away though its writer lives
//! and others go on voting for it, so the newest coordinator stays known without it.

use std::time::Duration;

use hookpoint_state::{StoreEra, StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};

/// Time to live of a coordinator's record.
pub const RECORD_TIME: Duration = Duration::from_millis(1_500);
/// Time before the end of its lease from which a record is not relied on any more.
const RECORD_MARGIN: Duration = Duration::from_millis(300);

/// Until when a coordinator relies on a record that it asked to be renewed at `asked_at`.
pub fn relied_on_until(asked_at: Timestamp) -> Timestamp {
    asked_at + RECORD_TIME - RECORD_MARGIN
}

/// How long a node leaves a free record alone after it first heard of the store's era.
///
/// A store that comes back from a copy may have lost the record of a coordinator that goes on
/// relying on it: that one was last answered in the earlier era, which ended before anybody
/// heard of the new one. Once the era has settled, nobody relies on an earlier one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClaimDelay {
    era: Option<StoreEra>,
    until: Timestamp,
    settled: Option<StoreEra>,
}

impl ClaimDelay {
    /// The store has been in `era` for long.
    pub fn settle(&mut self, era: StoreEra) {
        self.settled = self.settled.max(Some(era));
    }

    /// Whether the present era is known to have settled.
    pub fn is_settled(&self) -> bool {
        self.era.is_some() && self.settled >= self.era
    }

    /// Takes notice of the era of an answer. `no_other` says that no other node can be the
    /// coordinator of the era before.
    pub fn note_era(&mut self, era: StoreEra, no_other: bool, now: Timestamp) {
        if self.era.is_some_and(|known| known >= era) {
            return;
        }
        self.era = Some(era);
        self.until = if no_other { now } else { now + RECORD_TIME };
    }

    /// Whether no coordinator of an earlier era can rely on its record any more.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.is_settled() || self.era.is_some() && now >= self.until
    }
}

/// The coordinator's record in the state store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorRecord {
    /// Node name.
    pub node: String,
    /// The lease that the record goes with. It tells lives of one node apart.
    pub lease: u64,
}

/// What a node knows of coordinators. A revision is that of a record in the store.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorView {
    revision: StoreRevision,
    holder: Option<CoordinatorRecord>,
    newest: Option<(StoreRevision, String)>,
}

impl CoordinatorView {
    /// Takes the record as of `revision`, or that it is gone. An older one is passed over.
    pub fn take_record(&mut self, revision: StoreRevision, record: Option<CoordinatorRecord>) {
        if revision < self.revision {
            return;
        }
        if let Some(record) = &record {
            self.learn(revision, &record.node);
        }
        self.revision = match record {
            Some(_) => revision,
            None => StoreRevision::default(),
        };
        self.holder = record;
    }

    /// Notes that there is no record now.
    pub fn forget_record(&mut self) {
        self.revision = StoreRevision::default();
        self.holder = None;
    }

    /// Takes notice of a coordinator that announces something. A node that has lost the
    /// store learns of a new one only so.
    pub fn learn(&mut self, revision: StoreRevision, node: &str) {
        if self
            .newest
            .as_ref()
            .is_none_or(|(known, _)| *known < revision)
        {
            self.newest = Some((revision, node.to_owned()));
        }
    }

    /// The record, while there is one.
    pub fn holder(&self) -> Option<&CoordinatorRecord> {
        self.holder.as_ref()
    }

    /// Its revision; the default if there is none.
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    /// The record, if a process of `node` wrote it that no longer runs: not the one that
    /// holds `lease`.
    pub fn left_behind(&self, node: &str, lease: Option<u64>) -> Option<&CoordinatorRecord> {
        self.holder()
            .filter(|record| record.node == node && Some(record.lease) != lease)
    }

    /// Revision of the newest coordinator known of; the default if there is none.
    pub fn newest_revision(&self) -> StoreRevision {
        let newest = self.newest.as_ref();
        newest.map_or_else(StoreRevision::default, |(revision, _)| *revision)
    }

    /// Name of the newest coordinator known of, whether its record is there or not.
    pub fn newest(&self) -> Option<&str> {
        self.newest.as_ref().map(|(_, node)| node.as_str())
    }
}
