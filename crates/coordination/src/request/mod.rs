//! The life of one transaction on its way through a proxy: where it goes, what is
//! checked, when it is acknowledged, held, retried or refused.
//!
//! [`RequestMachine`] receives [`RequestEvent`]s from the session that owns the caller
//! and answers with [`RequestAction`]s, which the session carries out in order.

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
pub use route::{Route, RouteQuery, choose};
