//! Shared state types of hookpoint: names, log positions, terms, time, outcomes, the
//! configuration bundle and the session token.
//!
//! This is the lowest layer: every other layer depends on it, and it depends on none of
//! them. It performs no I/O, reads no clock and draws no random numbers.
#![forbid(unsafe_code)]

pub mod bundle;
pub mod document;
pub mod names;
pub mod outcome;
pub mod position;
pub mod store_revision;
pub mod time;
pub mod token;

pub use bundle::{Bundle, BundleVersion};
pub use names::{
    DatabaseName, GroupName, NodeId, RegionName, RequestId, SessionId, TenantName, ZoneName,
};
pub use outcome::{Outcome, Refusal, UnknownCause};
pub use position::{Lsn, Position, Term};
pub use store_revision::{StoreEra, StoreRevision};
pub use time::Timestamp;
pub use token::SessionToken;
