//! Revisions of a store that was never restored from a copy, so that all of them are of one era.

use hookpoint_state::{StoreEra, StoreRevision};

const ERA: StoreEra = StoreEra::new(1);

/// Returns the store's revision with the given number.
pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(ERA, number)
}
