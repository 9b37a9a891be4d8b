//! States of a store that keeps all it has acknowledged.

use hookpoint_state::{StoreEra, StoreRevision};

/// Its era.
const ERA: StoreEra = StoreEra::new(1);

/// The state that it calls `number`.
pub const fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(ERA, number)
}
