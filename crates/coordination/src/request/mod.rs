//! The life of one transaction on its way through a proxy: where it goes, what is
//! checked, when it is acknowledged, held, retried or refused.
//!
//! [`RequestMachine`] receives [`RequestEvent`]s from the session that owns the caller
//! and answers with [`RequestAction`]s, which the session carries out in order.

mod action;
mod event;
mod machine;
mod profile;
#[cfg(test)]
mod tests;

pub use action::RequestAction;
pub use event::{RequestEvent, UnitResult};
pub use machine::RequestMachine;
pub use profile::{Access, RequestProfile, Unit};
