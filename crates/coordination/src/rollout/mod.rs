//! How bundles spread: few nodes of a zone watch the platform, the others hear of a new
//! version by membership messages and pull the change from a node that has it.
//!
//! [`RolloutMachine`] receives [`RolloutEvent`]s and answers with [`RolloutAction`]s, to
//! be carried out in order. After each event its driver looks at
//! [`RolloutMachine::next_wake`] and sends [`RolloutEvent::Timer`] when that time has
//! come. The machine keeps the bundle itself in a [`BundleStore`].
//!
//! Invariants: the version in force never falls, whatever the order of events, and a
//! bundle that no trusted key has signed never comes into force.

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
