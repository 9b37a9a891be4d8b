//! The statements that the proxy has prepared on one connection.

use std::collections::{BTreeMap, BTreeSet};

use super::ledger::StatementOutcome;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// The `Parse` was sent in this section of the stream.
    Sent {
        section: u64,
    },
    Present,
}

#[derive(Clone, Debug)]
struct Entry {
    presence: Presence,
    used: u64,
}

/// What has to be sent before a statement can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Preparation {
    /// Nothing; the statement is usable.
    None,
    /// A `Parse`.
    Parse,
    /// A `Close`, then a `Parse`: it is unknown whether the statement is prepared.
    CloseAndParse,
}

/// Statements prepared on a connection, with eviction of the least recently used.
#[derive(Debug)]
pub(super) struct PreparedStatements {
    capacity: usize,
    entries: BTreeMap<String, Entry>,
    order: BTreeSet<(u64, String)>,
    clock: u64,
}

impl PreparedStatements {
    /// Creates an empty set with room for `capacity` statements, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            entries: BTreeMap::new(),
            order: BTreeSet::new(),
            clock: 0,
        }
    }

    /// Marks `name` as used and returns what has to be sent first. `section` numbers the
    /// part of the stream between two `Sync`s in which the statement is used.
    pub fn ensure(&mut self, name: &str, section: u64) -> Preparation {
        let preparation = match self.entries.get(name).map(|entry| entry.presence) {
            Some(Presence::Present) => Preparation::None,
            Some(Presence::Sent { section: sent }) if sent == section => Preparation::None,
            Some(Presence::Sent { .. }) => Preparation::CloseAndParse,
            None => Preparation::Parse,
        };
        let presence = match preparation {
            Preparation::None => None,
            Preparation::Parse | Preparation::CloseAndParse => Some(Presence::Sent { section }),
        };
        self.touch(name, presence);
        preparation
    }

    /// Removes and returns the least recently used statement if the capacity is exceeded.
    pub fn evict(&mut self) -> Option<String> {
        if self.entries.len() <= self.capacity {
            return None;
        }
        let (_, name) = self.order.pop_first()?;
        self.entries.remove(&name);
        Some(name)
    }

    /// Applies the result of preparing or closing a statement.
    pub fn apply_outcome(&mut self, outcome: StatementOutcome) {
        match outcome {
            StatementOutcome::Parsed(name) => {
                if let Some(entry) = self.entries.get_mut(&name) {
                    entry.presence = Presence::Present;
                }
            }
            StatementOutcome::NotParsed(name) => self.remove(&name),
            StatementOutcome::Closed(_) => {}
            StatementOutcome::NotClosed(name) => {
                if !self.entries.contains_key(&name) {
                    self.touch(&name, Some(Presence::Present));
                }
            }
        }
    }

    /// Removes all statements; used after `DISCARD ALL`.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
    }

    fn remove(&mut self, name: &str) {
        if let Some(entry) = self.entries.remove(name) {
            self.order.remove(&(entry.used, name.to_owned()));
        }
    }

    fn touch(&mut self, name: &str, presence: Option<Presence>) {
        self.clock += 1;
        let used = self.clock;
        let entry = self.entries.entry(name.to_owned()).or_insert(Entry {
            presence: Presence::Present,
            used,
        });
        self.order.remove(&(entry.used, name.to_owned()));
        entry.used = used;
        entry.presence = presence.unwrap_or(entry.presence);
        self.order.insert((used, name.to_owned()));
    }
}
