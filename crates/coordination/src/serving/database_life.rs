//! Lives of a database.
//!
//! A database that starts again may do so under its name, and then holds and knows nothing
//! of before. Its identity is the name *and* the start that it tells. Every process that
//! learns of a start learns it after the life before had ended, so a fact counts for the
//! present life only if it was asked for after this node had learnt of that life. The rule
//! needs no word from whoever passes a fact on, and errs by passing over a fact that is
//! asked for again a moment later.
//!
//! A start that is told where none was, or none where one was, is another life as well: to
//! forget what still holds costs a few questions, to keep what does not costs commits.

use std::collections::BTreeMap;

use hookpoint_state::{DatabaseName, StoreRevision};
use serde::{Deserialize, Serialize};

/// When a database's process started, as the database tells it: Unix milliseconds.
///
/// It tells two lives of one name apart and is compared with nothing but itself; this
/// node's clocks know nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStart(pub u64);

/// Forgotten databases that are remembered at the most: many times what a fleet of thousands
/// of databases replaces in the minutes for which a late message may be on its way.
const TOMBSTONES_KEPT: usize = 16_384;

/// Revision and start of the last entry of databases that were forgotten.
#[derive(Clone, Debug, Default)]
pub(super) struct Tombstones {
    entries: BTreeMap<DatabaseName, (StoreRevision, Option<DatabaseStart>)>,
}

impl Tombstones {
    /// What is remembered of a database.
    pub(super) fn get(
        &self,
        name: &DatabaseName,
    ) -> Option<(StoreRevision, Option<DatabaseStart>)> {
        self.entries.get(name).copied()
    }

    /// Remembers a database that is forgotten. Where there are too many, the one that
    /// changed first goes.
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

    /// The database is known again.
    pub(super) fn remove(&mut self, name: &DatabaseName) {
        self.entries.remove(name);
    }
}
