//! One node of the fleet: membership, home nodes and the propagation of term changes, in
//! one state machine that is driven by the proxy and by the simulator.
//!
//! [`NodeMachine`] receives [`NodeEvent`]s and returns [`NodeAction`]s, to be carried
//! out in order. After each event the driver must call [`NodeMachine::next_wake`] and
//! send [`NodeEvent::Timer`] at the returned time.

mod event;
mod machine;
mod message;
mod subscriptions;

pub use event::{NodeAction, NodeEvent, PlatformMachine};
pub use machine::{NodeMachine, Route};
pub use message::{LeadershipUpdate, PeerMessage};
