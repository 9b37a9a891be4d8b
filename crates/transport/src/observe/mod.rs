//! Status queries to databases: the probes of the databases this node is home for, and
//! the verification of a group's term.

mod prober;
mod sharing;
mod status;
mod verifier;

pub use prober::start_observer;
pub(crate) use status::{SharedStatuses, shared_statuses};
pub use status::{StatusError, StatusSource};
pub use verifier::MajorityVerifier;
