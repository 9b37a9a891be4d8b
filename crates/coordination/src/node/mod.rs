//! One node of the fleet: membership, home nodes and the spread of term changes, as one
//! machine that the proxy and the simulator both drive.
//!
//! [`NodeMachine`] receives [`NodeEvent`]s and answers with [`NodeAction`]s, to be
//! carried out in order. After each event its driver looks at
//! [`NodeMachine::next_wake`] and sends [`NodeEvent::Timer`] when that time has come.

mod event;
mod machine;
mod message;
mod spread;

pub use event::{NodeAction, NodeEvent, PlatformMachine};
pub use machine::{NodeMachine, Route};
pub use message::{LeadershipNews, PeerMessage};
