//! The caller side of a proxy node: sessions of PostgreSQL clients, from start-up to end.
//! A caller is the client application's connection.
//!
//! A unit is one simple query, or a series of extended messages up to a `Sync`, a `Flush`
//! or a simple query. A session reads a unit, classifies it, and runs it through a
//! [`hookpoint_coordination::request::RequestMachine`]: the machine decides, and the
//! session waits, sends, holds answers back and delivers them.

mod actions;
mod active;
mod answer;
mod authentication;
mod context;
mod counters;
mod drain;
mod drive;
mod error;
mod finish;
mod input;
mod listener;
mod local;
mod local_answers;
mod pipeline;
mod registry;
mod request_ids;
mod session;
mod setting_checks;
mod settings;
mod startup;
mod statements;
mod stream;
mod tls;
mod traits;
mod unit;
mod unit_refusals;

pub use counters::UnitCounts;
pub use listener::{CallerHandle, CallerListener};
pub use local::{REQUEST_ID_SETTING, TOKEN_SETTING};
pub use registry::ForwardCancel;
pub use settings::{
    CallerError, CallerSettings, Credential, CredentialStore, TlsContent, TlsSettings,
};
