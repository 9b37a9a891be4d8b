//! Connections to databases: one pool for each database, an actor that carries out the
//! decisions of its [`SlotTable`](hookpoint_coordination::slots::SlotTable), and one task
//! for each connection, which serves one lease at a time.

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
