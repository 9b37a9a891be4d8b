//! The stand-in for groups of replicated PostgreSQL databases.
//!
//! A [`DatabaseGroup`] runs in the calling process, on loopback ports chosen
//! by the system. Its databases speak the PostgreSQL protocol, keep their rows
//! in an embedded SQL engine, replicate committed statements in log order,
//! and elect a primary by majority, each with a term that shows as the
//! timeline.

mod advisory;
mod connections;
mod consensus;
mod copy;
mod cursor;
mod definition;
mod entry;
mod error;
mod execute;
mod extended;
mod functions;
mod group;
mod history;
mod infer;
mod lexer;
mod link;
mod node;
mod outcome;
mod position;
mod rewrite;
mod server;
mod session;
mod session_settings;
mod settings;
mod side_effect;
mod startup;
mod statement;
mod store;
mod timestamp;
mod transaction;
mod utility;
mod value;
mod view;
mod wire;
mod working;

pub use error::{DatabaseError, SqlError, SqlState};
pub use group::{CommittedEntry, DatabaseGroup, DatabaseRole, DatabaseStatus};
pub use history::ElectionRecord;
pub use position::Lsn;
pub use settings::{
    DEFAULT_COMMIT_WAIT, DEFAULT_CONNECT_DELAY, DEFAULT_ELECTION_TIMEOUT,
    DEFAULT_HEARTBEAT_INTERVAL, DEFAULT_LOCK_WAIT, DatabaseSettings, FixedNetwork, GroupSettings,
    ZoneNetwork,
};
