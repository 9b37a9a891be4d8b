//! Deterministic simulator of hookpoint. Runs the production decision code of
//! `hookpoint-coordination` in virtual time against model databases, a model platform and a
//! model network, injects faults, records what clients observed and checks invariants.
//!
//! The same seed and settings reproduce the same run event by event; [`SimReport::trace`]
//! is a digest of the whole run.
#![forbid(unsafe_code)]

mod checker;
mod database;
mod faults;
pub mod models;
mod network;
mod platform;
mod report;
mod runner;
mod schedule;
mod settings;
mod trace;
mod world;

pub use faults::{Fault, FaultKind};
pub use report::{Counts, Invariant, MutationReport, RangeReport, SimReport, Violation};
pub use runner::{replay, run_range, run_seed, search_mutation};
pub use settings::{Mutation, SimDeployment, SimSettings};
