//! The stand-in for groups of replicated PostgreSQL databases.
//!
//! A [`DatabaseGroup`] runs in the calling process, on loopback ports chosen
//! by the system. Its databases speak the PostgreSQL protocol, keep their rows
//! in an embedded SQL engine, replicate committed statements in log order,
//! and elect a primary by majority, each with a term that shows as the
//! timeline.
//!
//! # What is kept
//!
//! Each database has its log, the committed rows (the log replayed), and on a
//! primary the working rows (the committed ones with what a majority has not
//! flushed yet). Reads outside writing transactions see the committed rows:
//! with `synchronous_commit` what a majority has flushed, without it what the
//! primary has flushed, on a replica what it has replayed. Replicas replay
//! what they have flushed, as PostgreSQL does, and discard it again when a
//! later primary never had it; their connections are closed then.
//!
//! # Where it differs from PostgreSQL
//!
//! - One transaction writes at a time. While one waits for its client, others
//!   may write; its statements run again when it goes on, and it fails with
//!   40001 if one of them has another result then. So a conflict is never
//!   waited for, and of two transactions the first to commit wins.
//! - READ COMMITTED and REPEATABLE READ only; SERIALIZABLE is REPEATABLE READ
//!   with the rows read checked again.
//! - `SERIAL` columns are 64 bits wide and give numbers only as primary keys;
//!   numbers of rolled back transactions are given again.
//! - `sum` answers INT8 and `avg` FLOAT8; NUMERIC and DATE have no binary form.
//! - No arrays, schemas (but for `hookpoint`), functions, sequences, LISTEN,
//!   temporary tables (they are ordinary tables) or cursors WITH HOLD.
//! - The whole log stays in memory, about 1 KB for each small write of a group
//!   of three; a group is for runs of minutes, not of days.

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
