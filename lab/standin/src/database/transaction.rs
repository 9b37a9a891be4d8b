//! The state of a session's transaction.

use parking_lot::Mutex;
use pgwire::messages::response::TransactionStatus;

use super::session_settings::SessionSettings;
use super::store::Store;
use super::timestamp;
use super::working_rows::WriteTransaction;

/// Transaction stage of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No transaction is open.
    #[default]
    Idle,
    /// An implicit transaction is open until the end of the message or the next
    /// Sync.
    Implicit,
    /// A transaction was opened by BEGIN.
    Explicit,
    /// A transaction that was opened by BEGIN has failed.
    Failed,
}

/// A session's transaction.
#[derive(Default)]
pub struct Transaction {
    /// Stage of the transaction.
    pub stage: Stage,
    /// Whether the transaction is read-only.
    pub read_only: bool,
    /// Whether all reads use one snapshot, so that they do not see later commits.
    pub snapshot: bool,
    /// Result of `now()` in the transaction, in microseconds since 1970.
    pub timestamp: i64,
    /// The write transaction, once the transaction has started writing.
    pub write: Option<WriteTransaction>,
    /// Copy of the rows as of the first read, for a read-only snapshot transaction.
    pub rows: Option<Mutex<Store>>,
    /// Settings that apply after a commit: without the changes of SET LOCAL.
    pub after_commit: SessionSettings,
    /// Settings that apply after a rollback.
    pub after_rollback: SessionSettings,
}

impl Transaction {
    /// Opens a transaction at the current time.
    pub fn open(stage: Stage, settings: &SessionSettings) -> Self {
        let isolation = settings
            .get("default_transaction_isolation")
            .unwrap_or_default();
        Self {
            stage,
            read_only: settings.is_on("default_transaction_read_only"),
            snapshot: matches!(isolation, "repeatable read" | "serializable"),
            timestamp: timestamp::now_micros(),
            write: None,
            rows: None,
            after_commit: settings.clone(),
            after_rollback: settings.clone(),
        }
    }

    /// Returns the status reported in ReadyForQuery.
    pub fn status(&self) -> TransactionStatus {
        match self.stage {
            Stage::Idle | Stage::Implicit => TransactionStatus::Idle,
            Stage::Explicit => TransactionStatus::Transaction,
            Stage::Failed => TransactionStatus::Error,
        }
    }
}
