//! A bounded cache of classifications that evicts the least recently used text.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::UnitClass;

/// Largest number of texts in the cache.
pub(super) const MAXIMUM_CACHED_TEXTS: usize = 2_048;
/// Longest text that is cached, in bytes. Together with [`MAXIMUM_CACHED_TEXTS`] it bounds
/// the memory of the cache to about 8 MB; ordinary statements need far less.
pub(super) const MAXIMUM_CACHED_TEXT_BYTES: usize = 4_096;

#[derive(Debug)]
struct Entry {
    class: UnitClass,
    /// Value of the cache's clock at the last use; key into `recency`.
    last_used: u64,
}

/// Classifications keyed by the whole text, so that two texts cannot be mistaken for each
/// other.
#[derive(Debug)]
pub(super) struct Cache {
    entries: HashMap<Arc<str>, Entry>,
    /// Cached texts by the clock value of their last use, least recent first.
    recency: BTreeMap<u64, Arc<str>>,
    /// Logical clock, advanced by every use.
    clock: u64,
}

impl Cache {
    /// Creates an empty cache.
    pub(super) fn new() -> Self {
        Self {
            entries: HashMap::new(),
            recency: BTreeMap::new(),
            clock: 0,
        }
    }

    /// Returns whether `sql` is short enough to be cached.
    pub(super) fn is_cacheable(sql: &str) -> bool {
        sql.len() <= MAXIMUM_CACHED_TEXT_BYTES
    }

    /// Returns the classification of `sql` and marks the text as most recently used.
    pub(super) fn get(&mut self, sql: &str) -> Option<UnitClass> {
        let entry = self.entries.get_mut(sql)?;
        self.clock += 1;
        if let Some(text) = self.recency.remove(&entry.last_used) {
            self.recency.insert(self.clock, text);
        }
        entry.last_used = self.clock;
        Some(entry.class.clone())
    }

    /// Caches `class` as the classification of `sql`. A full cache evicts the least recently
    /// used text.
    pub(super) fn insert(&mut self, sql: &str, class: &UnitClass) {
        if self.entries.contains_key(sql) {
            return;
        }
        if self.entries.len() == MAXIMUM_CACHED_TEXTS
            && let Some((_, oldest)) = self.recency.pop_first()
        {
            self.entries.remove(&oldest);
        }
        self.clock += 1;
        let text: Arc<str> = Arc::from(sql);
        self.recency.insert(self.clock, Arc::clone(&text));
        let entry = Entry {
            class: class.clone(),
            last_used: self.clock,
        };
        self.entries.insert(text, entry);
    }

    /// Returns the number of cached texts.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
