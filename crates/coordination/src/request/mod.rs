//! Handling of one transaction in a proxy: where it is routed, what is checked, and when
//! it is acknowledged, held, retried or refused.
//!
//! [`RequestMachine`] receives [`RequestEvent`]s from the session that serves the caller
//! and returns [`RequestAction`]s, which the session carries out in order.

mod acknowledge;
mod action;
mod checks;
mod event;
mod machine;
mod profile;
mod route;
#[cfg(test)]
mod tests;

pub use acknowledge::{Evidence, Verdict};
pub use action::RequestAction;
pub use checks::SafetyChecks;
pub use event::{RequestEvent, UnitResult};
pub use machine::RequestMachine;
pub use profile::{Access, RequestProfile, Unit};
pub use route::{RouteChoice, RouteQuery, choose};
