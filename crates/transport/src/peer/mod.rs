//! This node in its fleet: membership datagrams, links to peers, and leases of
//! connections that other nodes hold.
//!
//! [`Fleet::start`] runs on an arbiter of its own: an actor that owns the sockets and
//! drives the [`hookpoint_coordination::node::NodeMachine`], and a reader, a writer and a
//! monitor for each link. Lock order: `machine`, then `links`; neither is held together
//! with a lock of [`crate::shared::Shared`] or across an await point.

mod actor;
mod core;
mod error;
mod forward;
mod handle;
mod leadership;
mod link;
mod serve;
mod settings;
mod sockets;
mod status;

pub use error::FleetError;
pub use forward::FleetLeases;
pub use handle::{Fleet, FleetHandle};
pub use settings::{CancelHandler, FleetSettings};
pub use status::{FleetCounters, FleetStatus, MemberStatus};
