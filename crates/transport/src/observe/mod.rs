//! Status queries to databases: probes of the databases that this node is the home of,
//! and verification of a group's term.

mod prober;
mod shared_rounds;
mod status;
mod verifier;

pub use prober::start_observer;
pub use status::{FleetStatuses, StatusError, StatusSource};
pub(crate) use status::{OWN_SESSION, SharedStatuses, shared_statuses};
pub use verifier::MajorityVerifier;
