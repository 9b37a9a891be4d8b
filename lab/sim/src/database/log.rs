//! The replication log of a database and the tables built from its replayed entries.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hookpoint_state::Timestamp;

use super::unit::{AttemptId, Key, Write};

/// A committed transaction, or the empty entry that a primary writes at the start of its term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) term: u32,
    /// Attempt that committed the transaction; `None` for the entry that starts a term.
    pub(crate) owner: Option<AttemptId>,
    pub(crate) writes: Vec<Write>,
    /// Row that the transaction adds to the ledger: the identifier of a non-repeatable
    /// request.
    pub(crate) ledger: Option<u64>,
}

/// Table contents produced by the replayed entries.
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

    pub(crate) fn ledger_contains(&self, request: u64) -> bool {
        self.ledger.contains(&request)
    }
}

/// Log entries, each with the time at which it arrived at this database.
#[derive(Debug, Default)]
pub(crate) struct Log {
    entries: Vec<Arc<Entry>>,
    arrival_times: Vec<Timestamp>,
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

    /// Returns the term of entry number `length` (counted from one), or 0 if there is none.
    pub(crate) fn term_at(&self, length: usize) -> u32 {
        match length.checked_sub(1) {
            Some(index) => self.entries.get(index).map_or(0, |entry| entry.term),
            None => 0,
        }
    }

    pub(crate) fn push(&mut self, now: Timestamp, entry: Arc<Entry>) {
        self.entries.push(entry);
        self.arrival_times.push(now);
    }

    /// Truncates the log to `length` entries. Returns whether replayed entries were removed.
    pub(crate) fn truncate(&mut self, length: usize) -> bool {
        self.entries.truncate(length);
        self.arrival_times.truncate(length);
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

    /// Replays the entries that arrived by `horizon`, or every entry if `all` is set.
    pub(crate) fn replay_until(&mut self, horizon: Timestamp, all: bool) {
        while self.replayed < self.entries.len()
            && (all || self.arrival_times[self.replayed] <= horizon)
        {
            self.tables.apply(&self.entries[self.replayed]);
            self.replayed += 1;
        }
    }
}
