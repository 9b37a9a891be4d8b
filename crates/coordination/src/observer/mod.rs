//! When a database is probed for its status, and when a group's term counts as verified.
//!
//! [`ProbeSchedule`] decides which of the databases this node observes is due for a
//! status query. [`Rounds`] decides when a round of status queries starts and which
//! callers it answers. [`Verification`] judges the answers of one round.

mod rounds;
mod schedule;
#[cfg(test)]
mod tests;
mod verification;

pub use rounds::{RoundAction, RoundEvent, RoundNumber, RoundPolicy, Rounds, WaiterNumber};
pub use schedule::{ObservedDatabase, ObserverAction, ObserverEvent, ProbePace, ProbeSchedule};
pub use verification::{Verification, VerificationState};
