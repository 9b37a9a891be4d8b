//! Incarnations of a database.
//!
//! A database that restarts may keep its name, but loses all of its state. It is therefore
//! identified by its name *and* the start time that it reports. Every process that observes a start
//! time does so after the previous incarnation has ended, so a fact applies to the current
//! incarnation only if it was requested after this node observed that incarnation. This rule needs
//! no additional data from the nodes that relay facts. It errs towards discarding a fact that is
//! requested again a moment later.
//!
//! A start time that appears or disappears also counts as a new incarnation: discarding a fact that
//! is still valid costs a few queries, while keeping one that is not costs commits.

use std::collections::BTreeMap;

use hookpoint_state::{DatabaseName, StoreRevision};
use serde::{Deserialize, Serialize};

/// Start time of a database's process as reported by the database, in Unix milliseconds.
///
/// It only distinguishes incarnations of the same name. It is compared for equality with other
/// start times only, never with this node's clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStart(pub u64);

/// Maximum number of removed databases that are remembered: many times the number that a fleet of
/// thousands of databases replaces in the minutes for which a late message may be in transit.
const TOMBSTONES_KEPT: usize = 16_384;

/// Revision and start time of the last entry of each removed database.
#[derive(Clone, Debug, Default)]
pub(super) struct Tombstones {
    entries: BTreeMap<DatabaseName, (StoreRevision, Option<DatabaseStart>)>,
}

impl Tombstones {
    /// Returns the last revision and start time of a removed database.
    pub(super) fn get(
        &self,
        name: &DatabaseName,
    ) -> Option<(StoreRevision, Option<DatabaseStart>)> {
        self.entries.get(name).copied()
    }

    /// Remembers a removed database. Above the maximum, the entry with the oldest revision is
    /// dropped.
    pub(super) fn put(
        &mut self,
        name: &DatabaseName,
        revision: StoreRevision,
        started: Option<DatabaseStart>,
    ) {
        self.entries.insert(name.clone(), (revision, started));
        if self.entries.len() > TOMBSTONES_KEPT {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, (revision, _))| *revision);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.entries.remove(&oldest);
            }
        }
    }

    /// Drops the tombstone of a database that is registered again.
    pub(super) fn remove(&mut self, name: &DatabaseName) {
        self.entries.remove(name);
    }
}
