//! States of the state store.
//!
//! The store numbers its states. It may come back from an older copy of itself; it then gives
//! numbers out again that it had given to other states, and tells a new era from then on. Only an
//! era and a number together name a state, so a number alone can be neither made into a revision
//! nor compared with one.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A time between two returns of the store from an older copy. Each return begins the next one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The era that the store calls `number`.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The era before; the first era has none, and is its own.
    pub const fn before(self) -> Self {
        Self(self.0.saturating_sub(1))
    }

    /// What the store calls it.
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
/// All states of an era come after those of the eras before, whatever their numbers. That order
/// tells what the store holds now. It does not tell what was promised: a change that the store
/// lost was acknowledged all the same. The default comes before every state.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreRevision {
    era: StoreEra,
    number: u64,
}

impl StoreRevision {
    /// The state that the store called `number` in `era`.
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }

    /// Its era.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Whether this may be the change `earlier` itself, told by a store that came back from a copy
    /// which holds it: a copy keeps the numbers of what it holds.
    pub fn may_be_copy_of(self, earlier: Self) -> bool {
        self.era > earlier.era && self.number == earlier.number
    }

    /// Era and number, to be spelt in a message.
    pub const fn parts(self) -> (StoreEra, u64) {
        (self.era, self.number)
    }
}

/// The era, a point, and the number in it.
impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.era, self.number)
    }
}
