//! The prepared statements that the proxy has put on one connection.

use std::collections::{BTreeMap, BTreeSet};

use super::ledger::StatementFate;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// Its `Parse` was sent in this section of the stream.
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
    /// Nothing.
    None,
    /// A `Parse`.
    Parse,
    /// A `Close`, then a `Parse`: it is not known whether it is there.
    Renew,
}

/// Statements on the connection, the least recently used evicted first.
#[derive(Debug)]
pub(super) struct PreparedStatements {
    capacity: usize,
    entries: BTreeMap<String, Entry>,
    order: BTreeSet<(u64, String)>,
    clock: u64,
}

impl PreparedStatements {
    /// Room for `capacity` statements, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            entries: BTreeMap::new(),
            order: BTreeSet::new(),
            clock: 0,
        }
    }

    /// Marks `name` as used and says what to send first. `section` numbers the part of
    /// the stream between two `Sync`s that the statement is used in.
    pub fn ensure(&mut self, name: &str, section: u64) -> Preparation {
        let preparation = match self.entries.get(name).map(|entry| entry.presence) {
            Some(Presence::Present) => Preparation::None,
            Some(Presence::Sent { section: sent }) if sent == section => Preparation::None,
            Some(Presence::Sent { .. }) => Preparation::Renew,
            None => Preparation::Parse,
        };
        let presence = match preparation {
            Preparation::None => None,
            Preparation::Parse | Preparation::Renew => Some(Presence::Sent { section }),
        };
        self.touch(name, presence);
        preparation
    }

    /// Takes out the least recently used statement while there are too many.
    pub fn evict(&mut self) -> Option<String> {
        if self.entries.len() <= self.capacity {
            return None;
        }
        let (_, name) = self.order.pop_first()?;
        self.entries.remove(&name);
        Some(name)
    }

    /// Takes in what became of a statement.
    pub fn settle(&mut self, fate: StatementFate) {
        match fate {
            StatementFate::Parsed(name) => {
                if let Some(entry) = self.entries.get_mut(&name) {
                    entry.presence = Presence::Present;
                }
            }
            StatementFate::NotParsed(name) => self.forget(&name),
            StatementFate::Closed(_) => {}
            StatementFate::NotClosed(name) => {
                if !self.entries.contains_key(&name) {
                    self.touch(&name, Some(Presence::Present));
                }
            }
        }
    }

    /// Forgets all statements.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
    }

    fn forget(&mut self, name: &str) {
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
