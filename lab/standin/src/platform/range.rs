//! Ranges of keys as the etcd API writes them.

use super::error::ApiError;
use std::ops::Bound;

const ZERO: &[u8] = &[0];

/// First and last key of a range.
pub type Bounds<'a> = (Bound<&'a [u8]>, Bound<&'a [u8]>);

/// A range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRange {
    /// One key.
    One(Vec<u8>),
    /// From the first key up to, and without, the second.
    Between(Vec<u8>, Vec<u8>),
    /// From the key on.
    From(Vec<u8>),
}

impl KeyRange {
    /// Reads the pair of `key` and `range_end`.
    pub fn parse(key: &[u8], range_end: &[u8]) -> Result<Self, ApiError> {
        if key.is_empty() {
            return Err(ApiError::EmptyKey);
        }
        Ok(match range_end {
            [] => Self::One(key.to_vec()),
            ZERO => Self::From(key.to_vec()),
            _ => Self::Between(key.to_vec(), range_end.to_vec()),
        })
    }

    /// Whether the range holds a key.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self {
            Self::One(only) => key == only,
            Self::Between(start, end) => key >= start.as_slice() && key < end.as_slice(),
            Self::From(start) => key >= start.as_slice(),
        }
    }

    /// The range as bounds of an ordered map; none when it is empty.
    pub fn bounds(&self) -> Option<Bounds<'_>> {
        match self {
            Self::One(only) => Some((Bound::Included(only), Bound::Included(only))),
            Self::Between(start, end) if start < end => {
                Some((Bound::Included(start), Bound::Excluded(end)))
            }
            Self::Between(..) => None,
            Self::From(start) => Some((Bound::Included(start), Bound::Unbounded)),
        }
    }
}

/// The `range_end` that makes a range of all keys with a prefix.
pub fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    ZERO.to_vec()
}
