//! Classification of statements: what a unit provably is, what it leaves behind in the
//! session, and which features transaction pooling cannot carry.
//!
//! What cannot be proved to be a read is a write. The reasons stand in
//! `docs/design/read-classification.md`.

mod cache;
mod comment;
mod functions;
mod query;
mod settings;
mod statement;
mod text;
mod unit;

pub use statement::FIXED_PARAMETERS;

use std::sync::{Mutex, PoisonError};

use hookpoint_coordination::request::{Access, Unit};
use hookpoint_state::RequestId;

use cache::Cache;

/// Texts longer than this are not analysed: they count as writes with unknown effects.
pub const MAXIMUM_ANALYSED_BYTES: usize = 256 * 1024;

/// What a statement is, by its leading words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementKind {
    /// `SELECT`, `VALUES` or `WITH`.
    Query,
    /// `INSERT`, `UPDATE`, `DELETE` or `MERGE`.
    Modify,
    /// `BEGIN` or `START TRANSACTION`.
    Begin,
    /// `COMMIT` or `END`.
    Commit,
    /// `ROLLBACK` or `ABORT` of the whole transaction.
    Rollback,
    /// `SAVEPOINT`, `RELEASE` or `ROLLBACK TO`.
    Savepoint,
    /// `PREPARE TRANSACTION`.
    PrepareTransaction,
    /// `COMMIT PREPARED` or `ROLLBACK PREPARED`.
    FinishPrepared,
    /// `SET`, `RESET` or `DISCARD`.
    Set,
    /// `SHOW`.
    Show,
    /// `EXPLAIN`.
    Explain,
    /// `COPY`.
    Copy,
    /// `DECLARE`, `FETCH`, `MOVE` or `CLOSE`.
    Cursor,
    /// A statement that defines or alters objects.
    Definition,
    /// Anything else, also what does not parse.
    Other,
}

/// How a transaction block was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TransactionMode {
    /// Whether it was opened as `READ ONLY`.
    pub read_only: bool,
}

/// How a transaction block was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TransactionEnd {
    /// `COMMIT`, `END` or `PREPARE TRANSACTION`.
    Commit,
    /// `ROLLBACK` or `ABORT`.
    Rollback,
}

/// What a unit leaves behind on the connection after its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SessionEffect {
    /// Provably nothing.
    None,
    /// Only what [`UnitClass::settings`] lists.
    Tracked,
    /// Nobody can tell; the connection needs `DISCARD ALL`.
    Unknown,
}

/// A change of a run-time parameter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettingChange {
    /// `SET name = value`.
    Set {
        /// Name in lower case.
        name: String,
        /// Value in the form that `set_config` takes.
        value: String,
        /// Whether it ends with the transaction (`SET LOCAL`).
        local: bool,
    },
    /// `RESET name` or `SET name TO DEFAULT`.
    Reset {
        /// Name in lower case.
        name: String,
    },
    /// `RESET ALL`.
    ResetAll,
}

/// Which way the data of a `COPY` flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CopyDirection {
    /// From the caller to the database (`COPY … FROM STDIN`).
    FromCaller,
    /// From the database to the caller (`COPY … TO STDOUT`).
    ToCaller,
}

/// What has been proved of one unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnitClass {
    /// Its statements in order; empty for an empty query.
    pub statements: Vec<StatementKind>,
    /// Whether it is provably a read. `BEGIN READ ONLY`, `COMMIT`, `ROLLBACK`, `SET` and
    /// `SHOW` write nothing and count as reads; plain `BEGIN` counts as a write, because
    /// the transaction it opens may write.
    pub access: Access,
    /// Whether its end may commit something, when it starts outside a transaction block.
    pub may_commit: bool,
    /// The same, when it starts inside a transaction block.
    pub may_commit_in_block: bool,
    /// The mode of the last transaction block the unit opens.
    pub opens_transaction: Option<TransactionMode>,
    /// The last end of a transaction block in the unit.
    pub ends_transaction: Option<TransactionEnd>,
    /// What it leaves behind.
    pub session_effect: SessionEffect,
    /// Changes of run-time parameters in order.
    pub settings: Vec<SettingChange>,
    /// Name of the parameter when the unit is a single `SHOW`, in lower case.
    pub show: Option<String>,
    /// First feature that transaction pooling cannot carry.
    pub unsupported: Option<String>,
    /// Identifier of a request that is not repeatable, from an sqlcommenter comment.
    pub request_id: Option<RequestId>,
    /// Direction of the last `COPY` through the connection.
    pub copy: Option<CopyDirection>,
}

impl UnitClass {
    /// A unit of which nothing is known.
    fn unknown() -> Self {
        Self {
            statements: vec![StatementKind::Other],
            access: Access::Write,
            may_commit: true,
            may_commit_in_block: true,
            opens_transaction: None,
            ends_transaction: None,
            session_effect: SessionEffect::Unknown,
            settings: Vec::new(),
            show: None,
            unsupported: None,
            request_id: None,
            copy: None,
        }
    }

    /// The unit as the request machine takes it. `in_block` says whether a transaction
    /// block is open before the unit.
    pub fn unit(&self, in_block: bool) -> Unit {
        Unit {
            access: self.access,
            may_commit: if in_block {
                self.may_commit_in_block
            } else {
                self.may_commit
            },
        }
    }
}

/// Classifies statement texts and remembers the latest ones in bounded memory. It may
/// be shared by threads.
#[derive(Debug)]
pub struct Classifier {
    cache: Mutex<Cache>,
}

impl Classifier {
    /// A classifier with an empty cache.
    pub fn new() -> Self {
        Self {
            cache: Mutex::new(Cache::new()),
        }
    }

    /// Classifies the text of a simple query or of a `Parse` message.
    pub fn classify(&self, sql: &str) -> UnitClass {
        if !Cache::admits(sql) {
            return unit::analyse(sql);
        }
        if let Some(found) = self.lock().get(sql) {
            return found;
        }
        let class = unit::analyse(sql);
        self.lock().insert(sql, &class);
        class
    }

    /// How many texts the cache holds.
    pub fn cached(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Classifier {
    fn default() -> Self {
        Self::new()
    }
}
