//! Classification of statements: whether a unit is provably a read, what it changes in the
//! session, and which features it uses that transaction pooling does not support. Here, a
//! unit is the text of one simple query or one `Parse` message; it may hold several
//! statements.
//!
//! What cannot be proved to be a read counts as a write. See
//! `docs/design/read-classification.md` for the reasons.

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

/// Longest text that is analysed, in bytes. Longer texts count as writes with unknown
/// session effects.
pub const MAXIMUM_ANALYSED_BYTES: usize = 256 * 1024;

/// Kind of a statement, determined by its leading words.
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
    /// `ROLLBACK` or `ABORT` of the whole transaction, not to a savepoint.
    Rollback,
    /// `SAVEPOINT`, `RELEASE` or `ROLLBACK TO`.
    Savepoint,
    /// `PREPARE TRANSACTION`.
    PrepareTransaction,
    /// `COMMIT PREPARED` or `ROLLBACK PREPARED`.
    FinishPrepared,
    /// `SET`, `RESET`, `DISCARD` or `DEALLOCATE`.
    Set,
    /// `SHOW`.
    Show,
    /// `EXPLAIN`.
    Explain,
    /// `COPY`.
    Copy,
    /// `DECLARE`, `FETCH`, `MOVE` or `CLOSE`.
    Cursor,
    /// `CREATE`, `ALTER`, `DROP`, `TRUNCATE`, `GRANT`, `REVOKE` or `COMMENT`.
    Definition,
    /// Any other statement, and text that cannot be split into tokens.
    Other,
}

/// Mode in which a transaction block was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TransactionMode {
    /// Whether the block was opened as `READ ONLY`.
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

/// Session state that a unit leaves on the connection after its transaction. Ordered by
/// increasing severity; a unit has the greatest effect of its statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SessionEffect {
    /// Provably no session state.
    None,
    /// Only the parameter changes listed in [`UnitClass::settings`].
    Tracked,
    /// Possibly other session state; the connection needs `DISCARD ALL`.
    Unknown,
}

/// A change of a run-time parameter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SettingChange {
    /// `SET name = value`.
    Set {
        /// Parameter name in lower case.
        name: String,
        /// Value in the form that `set_config` accepts.
        value: String,
        /// Whether the change ends with the transaction (`SET LOCAL`).
        local: bool,
    },
    /// `RESET name` or `SET name TO DEFAULT`.
    Reset {
        /// Parameter name in lower case.
        name: String,
    },
    /// `RESET ALL`.
    ResetAll,
}

/// Direction in which the data of a `COPY` flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CopyDirection {
    /// From the client to the database (`COPY … FROM STDIN`).
    FromCaller,
    /// From the database to the client (`COPY … TO STDOUT`).
    ToCaller,
}

/// Classification of one unit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnitClass {
    /// Kinds of its statements, in order; empty for an empty query.
    pub statements: Vec<StatementKind>,
    /// [`Access::Read`] if the unit is provably a read. `BEGIN READ ONLY`, `COMMIT`,
    /// `ROLLBACK`, `SET` and `SHOW` write nothing and count as reads; plain `BEGIN` counts as
    /// a write, because the transaction that it opens may write.
    pub access: Access,
    /// Whether running the unit may commit changes, when it starts outside a transaction
    /// block.
    pub may_commit: bool,
    /// Whether running the unit may commit changes, when it starts inside a transaction
    /// block.
    pub may_commit_in_block: bool,
    /// Mode of the last transaction block that the unit opens; `None` if it opens none.
    pub opens_transaction: Option<TransactionMode>,
    /// How the unit last ends a transaction block; `None` if it ends none.
    pub ends_transaction: Option<TransactionEnd>,
    /// Session state that the unit leaves on the connection.
    pub session_effect: SessionEffect,
    /// Changes of run-time parameters, in order.
    pub settings: Vec<SettingChange>,
    /// Name of the shown parameter in lower case; `None` unless the unit is a single `SHOW`.
    pub show: Option<String>,
    /// First feature used by the unit that transaction pooling does not support.
    pub unsupported: Option<String>,
    /// Identifier of a non-repeatable request, from an sqlcommenter comment.
    pub request_id: Option<RequestId>,
    /// Direction of the last `COPY` whose data passes through the connection.
    pub copy: Option<CopyDirection>,
}

impl UnitClass {
    /// Returns the classification of a unit that could not be analysed: a write with an
    /// unknown session effect.
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

    /// Returns the unit in the form that the request state machine uses. `in_block` states
    /// whether a transaction block is open before the unit.
    pub fn to_unit(&self, in_block: bool) -> Unit {
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

/// Classifies statement texts and caches the classifications of recently used texts in
/// bounded memory. It can be shared between threads.
#[derive(Debug)]
pub struct Classifier {
    cache: Mutex<Cache>,
}

impl Classifier {
    /// Creates a classifier with an empty cache.
    pub fn new() -> Self {
        Self {
            cache: Mutex::new(Cache::new()),
        }
    }

    /// Classifies the text of a simple query or of a `Parse` message.
    pub fn classify(&self, sql: &str) -> UnitClass {
        if !Cache::is_cacheable(sql) {
            return unit::classify(sql);
        }
        if let Some(class) = self.lock().get(sql) {
            return class;
        }
        let class = unit::classify(sql);
        self.lock().insert(sql, &class);
        class
    }

    /// Returns the number of texts in the cache.
    pub fn cached_texts(&self) -> usize {
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
