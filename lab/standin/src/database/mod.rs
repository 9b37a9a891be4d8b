//! The stand-in for groups of replicated PostgreSQL databases.
//!
//! A [`DatabaseGroup`] runs in the calling process, on loopback ports that the
//! operating system chooses. Its databases speak the PostgreSQL protocol, store
//! their rows in an embedded SQL engine, replicate committed statements in log
//! order, and elect a primary by majority. The term of a primary is reported as
//! the timeline.
//!
//! # State
//!
//! Each database has its log and the committed rows (the replayed log). A primary
//! also has the working rows: the committed rows plus the transactions that a
//! majority has not flushed yet. Reads outside writing transactions see the
//! committed rows: with `synchronous_commit` the entries flushed by a majority,
//! without it the entries flushed by the primary, and on a replica the replayed
//! entries. Replicas replay the entries they have flushed, as PostgreSQL does.
//! They discard entries that a later primary never received and then close their
//! client connections.
//!
//! # Differences from PostgreSQL
//!
//! - Only one transaction writes at a time. While a transaction waits for its
//!   client, others may write. Its statements are re-executed when it resumes, and
//!   it fails with 40001 if any of them then has a different result. Transactions
//!   therefore never wait for a conflicting transaction: the first to commit wins.
//! - Only READ COMMITTED and REPEATABLE READ are implemented; SERIALIZABLE is
//!   REPEATABLE READ that validates the rows read again.
//! - `SERIAL` columns are 64 bits wide and generate values only as primary keys;
//!   values of rolled back transactions are reused.
//! - `sum` returns INT8 and `avg` FLOAT8; NUMERIC and DATE have no binary format.
//! - There are no arrays, schemas (except `hookpoint`), functions, sequences,
//!   LISTEN, temporary tables (they become ordinary tables) or cursors WITH HOLD.
//! - The whole log stays in memory, about 1 KB for each small write in a group of
//!   three; a group is meant to run for minutes, not days.

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
mod working_rows;

pub use error::{DatabaseError, SqlError, SqlState};
pub use group::{CommittedEntry, DatabaseGroup, DatabaseRole, DatabaseStatus};
pub use history::ElectionRecord;
pub use position::Lsn;
pub use settings::{
    DEFAULT_COMMIT_WAIT, DEFAULT_CONNECT_DELAY, DEFAULT_ELECTION_TIMEOUT,
    DEFAULT_HEARTBEAT_INTERVAL, DEFAULT_LOCK_WAIT, DatabaseSettings, FixedNetwork, GroupSettings,
    ZoneNetwork,
};
