//! Who may order promotions, as one node knows it.
//!
//! A coordinator writes a record to the state store, and announces what it is about to
//! order to its peers. A record can lapse while the store is away though its writer lives
//! and others go on voting for it, so the newest coordinator stays known without it.

use hookpoint_state::StoreRevision;
use serde::{Deserialize, Serialize};

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
