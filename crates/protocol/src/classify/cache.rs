//! A bounded cache of classifications, least recently used first out.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::UnitClass;

/// Texts the cache holds at most.
pub(super) const CACHED_TEXTS: usize = 2_048;
/// Longest text the cache takes, in bytes. With [`CACHED_TEXTS`] it bounds the memory
/// to about 8 MB, and to far less with ordinary statements.
pub(super) const CACHED_TEXT_BYTES: usize = 4_096;

#[derive(Debug)]
struct Slot {
    class: UnitClass,
    used: u64,
}

/// The cache. The whole text is the key, so no two texts can be confused.
#[derive(Debug)]
pub(super) struct Cache {
    slots: HashMap<Arc<str>, Slot>,
    order: BTreeMap<u64, Arc<str>>,
    clock: u64,
}

impl Cache {
    /// An empty cache.
    pub(super) fn new() -> Self {
        Self {
            slots: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Whether `sql` is short enough to be kept.
    pub(super) fn admits(sql: &str) -> bool {
        sql.len() <= CACHED_TEXT_BYTES
    }

    /// The classification of `sql`, which becomes the most recently used.
    pub(super) fn get(&mut self, sql: &str) -> Option<UnitClass> {
        let slot = self.slots.get_mut(sql)?;
        self.clock += 1;
        if let Some(text) = self.order.remove(&slot.used) {
            self.order.insert(self.clock, text);
        }
        slot.used = self.clock;
        Some(slot.class.clone())
    }

    /// Keeps `class`; the least recently used text makes room.
    pub(super) fn insert(&mut self, sql: &str, class: &UnitClass) {
        if self.slots.contains_key(sql) {
            return;
        }
        if self.slots.len() == CACHED_TEXTS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.slots.remove(&oldest);
        }
        self.clock += 1;
        let text: Arc<str> = Arc::from(sql);
        self.order.insert(self.clock, Arc::clone(&text));
        let slot = Slot {
            class: class.clone(),
            used: self.clock,
        };
        self.slots.insert(text, slot);
    }

    /// Texts held.
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }
}
