//! Log positions and terms, in PostgreSQL's units.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A write-ahead log position in bytes (`pg_lsn`).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Lsn(pub u64);

/// Term of a group: PostgreSQL's timeline. Each change of primary starts a higher term.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u32);

impl Term {
    /// Returns the term after this one; the last term itself, which no term follows.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// A position in a group's history.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term in which the position was reached.
    pub term: Term,
    /// Log position inside that term.
    pub lsn: Lsn,
}

/// Error for text that is not a log position.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not a log position of the form X/Y in hexadecimal")]
pub struct ParseLsnError {
    /// The text, truncated to 64 characters.
    pub text: String,
}

impl FromStr for Lsn {
    type Err = ParseLsnError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let failure = || ParseLsnError {
            text: text.chars().take(64).collect(),
        };
        let (high, low) = text.split_once('/').ok_or_else(failure)?;
        let high = u32::from_str_radix(high, 16).map_err(|_| failure())?;
        let low = u32::from_str_radix(low, 16).map_err(|_| failure())?;
        Ok(Self(u64::from(high) << 32 | u64::from(low)))
    }
}

impl fmt::Display for Lsn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:X}/{:X}", self.0 >> 32, self.0 & 0xFFFF_FFFF)
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.term, self.lsn)
    }
}

impl Position {
    /// Creates a position from raw numbers.
    pub fn new(term: u32, lsn: u64) -> Self {
        Self {
            term: Term(term),
            lsn: Lsn(lsn),
        }
    }

    /// Returns whether a database at `self` holds everything acknowledged up to
    /// `required`.
    ///
    /// A database on an older term than `required` may have a divergent log, so its
    /// position proves nothing. On the same or a newer term the logs share their prefix
    /// up to every acknowledged position, because a write is acknowledged only when
    /// every later primary holds it; so on such a term the log position alone decides.
    pub fn includes(self, required: Position) -> bool {
        self.term >= required.term && self.lsn >= required.lsn
    }

    /// Returns the union of two requirements: the higher term and the higher log
    /// position.
    pub fn merge(self, other: Position) -> Position {
        Position {
            term: self.term.max(other.term),
            lsn: self.lsn.max(other.lsn),
        }
    }
}
