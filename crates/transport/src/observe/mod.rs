//! Status queries to databases: the probes of the databases this node is home for, and
//! the verification of a group's term.

mod prober;
mod sharing;
mod status;
mod verifier;

pub use prober::start_observer;
pub use status::{FleetStatuses, StatusError, StatusSource};
pub(crate) use status::{OWN_SESSION, SharedStatuses, shared_statuses};
pub use verifier::MajorityVerifier;
