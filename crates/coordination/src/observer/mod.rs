//! Scheduling of status probes, and verification of a group's term.
//!
//! [`ProbeSchedule`] decides which of the observed databases is due for a status query.
//! [`Rounds`] decides when a round of status queries starts and which callers receive
//! its result. [`Verification`] evaluates the answers of one round.

mod rounds;
mod schedule;
#[cfg(test)]
mod tests;
mod verification;

pub use rounds::{RoundAction, RoundEvent, RoundNumber, RoundPolicy, Rounds, WaiterNumber};
pub use schedule::{ObservedDatabase, ObserverAction, ObserverEvent, ProbePace, ProbeSchedule};
pub use verification::{Verification, VerificationState};
