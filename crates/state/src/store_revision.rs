//! Revisions of the state store.
//!
//! The store numbers its states. After it is restored from an older copy of itself, it
//! reuses numbers that it had given to other states, and reports a new era. Only an era
//! and a number together identify a state, so a bare number can neither be converted
//! into a revision nor be compared with one.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Period between two restores of the store from an older copy. Each restore begins a
/// new era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Creates the era that the store reports as `number`.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the previous era, or the first era itself, which has no predecessor.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// Returns the number by which the store reports the era.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A state of the store, or the change that led to it.
///
/// All states of an era are ordered after those of earlier eras, whatever their numbers.
/// This order reflects what the store currently holds, not what was acknowledged: a
/// change that the store lost in a restore was acknowledged nevertheless. The default comes
/// before every state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// Creates the revision of the state with `number` in `era`.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era of the store that the revision belongs to.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns whether this may be the same change as `earlier`, reported by a store
    /// that was restored from a copy containing it: a copy keeps the numbers of the
    /// states it contains.
    pub fn may_be_copy_of(self, earlier: Self) -> bool {
        self.era > earlier.era && self.number == earlier.number
    }

    /// Returns era and number, for encoding in a message.
    pub const fn parts(self) -> (StoreEra, u64) {
        (self.era, self.number)
    }
}

/// Formats the revision as the era, a point and the number.
impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
