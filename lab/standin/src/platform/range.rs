//! Key ranges in the encoding of the etcd API.

use super::error::ApiError;
use std::ops::Bound;

const ZERO: &[u8] = &[0];

/// Lower and upper bound of a range.
pub type Bounds<'a> = (Bound<&'a [u8]>, Bound<&'a [u8]>);

/// A range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRange {
    /// A single key.
    One(Vec<u8>),
    /// From the first key, inclusive, to the second, exclusive.
    Between(Vec<u8>, Vec<u8>),
    /// All keys greater than or equal to the given one.
    From(Vec<u8>),
}

impl KeyRange {
    /// Parses the pair of `key` and `range_end`.
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

    /// Returns whether the range contains a key.
    pub fn contains(&self, key: &[u8]) -> bool {
        match self {
            Self::One(only) => key == only,
            Self::Between(start, end) => key >= start.as_slice() && key < end.as_slice(),
            Self::From(start) => key >= start.as_slice(),
        }
    }

    /// Returns the range as bounds of an ordered map, or `None` when it is empty.
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

/// Returns the `range_end` of the range of all keys with a prefix.
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
