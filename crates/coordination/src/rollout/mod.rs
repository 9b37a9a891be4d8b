//! Distribution of bundles: a few nodes of each zone watch the platform; the other nodes
//! learn of a new version from membership messages and pull the change from a node that
//! has it.
//!
//! [`RolloutMachine`] receives [`RolloutEvent`]s and returns [`RolloutAction`]s, to be
//! carried out in order. After each event the driver must call
//! [`RolloutMachine::next_wake`] and send [`RolloutEvent::Timer`] at the returned time.
//! The bundle itself is kept in a [`BundleStore`].
//!
//! Invariants: the version in force never decreases, whatever the order of events, and a
//! bundle that is not signed by a trusted key never comes into force.

mod event;
mod fetching;
mod holders;
mod leaving;
mod machine;
mod message;
mod pulling;
mod roll;
mod serving;
mod store;
#[cfg(test)]
mod tests;

pub use event::{ChangeSource, RolloutAction, RolloutEvent};
pub use leaving::LeavingList;
pub use machine::{RolloutMachine, WATCHERS_PER_ZONE};
pub use message::{Change, MAXIMUM_CHANGE_BYTES, RolloutMessage};
pub use roll::{PointerView, RollEvent, RollMachine, RollResult, RollStep};
pub use store::{BundleStore, ChangeError, SignedStore};
