//! Connections to databases: one pool a database, each an actor that carries out what
//! its [`SlotTable`](hookpoint_coordination::slots::SlotTable) decides, and one task a
//! connection that serves one lease at a time.

mod cancel;
mod connection;
mod error;
mod handshake;
mod ledger;
mod message;
mod outgoing;
mod pool;
mod pools;
mod prepared;
mod run_settings;
mod serve;
mod settings;
mod task;

pub use error::ConnectError;
pub use pools::{HomeFilter, LocalPools};
pub use settings::BackendSettings;
