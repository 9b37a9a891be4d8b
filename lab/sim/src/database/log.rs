//! The log of a database and the state that its replayed part makes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hookpoint_state::Timestamp;

use super::unit::{AttemptId, Key, Write};

/// A committed transaction, or an empty mark at the start of a term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) term: u32,
    /// Whose transaction it is; none for the mark.
    pub(crate) owner: Option<AttemptId>,
    pub(crate) writes: Vec<Write>,
    /// Identifier of the request in the ledger, if it is not repeatable.
    pub(crate) ledger: Option<u64>,
}

/// What the replayed entries make.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tables {
    rows: BTreeMap<Key, Vec<AttemptId>>,
    ledger: BTreeSet<u64>,
}

impl Tables {
    fn apply(&mut self, entry: &Entry) {
        for write in &entry.writes {
            self.rows.entry(write.key).or_default().push(write.attempt);
        }
        self.ledger.extend(entry.ledger);
    }

    pub(crate) fn rows(&self, key: Key) -> Vec<AttemptId> {
        self.rows.get(&key).cloned().unwrap_or_default()
    }

    pub(crate) fn in_ledger(&self, request: u64) -> bool {
        self.ledger.contains(&request)
    }
}

/// Entries with the time at which each arrived here.
#[derive(Debug, Default)]
pub(crate) struct Log {
    entries: Vec<Arc<Entry>>,
    arrived: Vec<Timestamp>,
    replayed: usize,
    tables: Tables,
}

impl Log {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn replayed(&self) -> usize {
        self.replayed
    }

    pub(crate) fn tables(&self) -> &Tables {
        &self.tables
    }

    pub(crate) fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }

    /// Term of the last of the first `length` entries.
    pub(crate) fn term_at(&self, length: usize) -> u32 {
        match length.checked_sub(1) {
            Some(index) => self.entries.get(index).map_or(0, |entry| entry.term),
            None => 0,
        }
    }

    pub(crate) fn push(&mut self, now: Timestamp, entry: Arc<Entry>) {
        self.entries.push(entry);
        self.arrived.push(now);
    }

    /// Cuts the log to `length` entries. Returns whether replayed ones were lost.
    pub(crate) fn truncate(&mut self, length: usize) -> bool {
        self.entries.truncate(length);
        self.arrived.truncate(length);
        let lost = self.replayed > length;
        if lost {
            self.replayed = length;
            self.tables = Tables::default();
            for entry in &self.entries {
                self.tables.apply(entry);
            }
        }
        lost
    }

    /// Replays entries that arrived by `horizon`, or all of them.
    pub(crate) fn replay_until(&mut self, horizon: Timestamp, all: bool) {
        while self.replayed < self.entries.len() && (all || self.arrived[self.replayed] <= horizon)
        {
            self.tables.apply(&self.entries[self.replayed]);
            self.replayed += 1;
        }
    }
}
