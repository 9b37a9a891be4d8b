//! The state of a session's transaction.

use parking_lot::Mutex;
use pgwire::messages::response::TransactionStatus;

use super::session_settings::SessionSettings;
use super::store::Store;
use super::timestamp;
use super::working::WriteTransaction;

/// Where a session stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No transaction is open.
    #[default]
    Idle,
    /// One is open until the end of the message or the next Sync.
    Implicit,
    /// One was opened by BEGIN.
    Explicit,
    /// One that was opened by BEGIN has failed.
    Failed,
}

/// A session's transaction.
#[derive(Default)]
pub struct Transaction {
    /// Where the session stands.
    pub stage: Stage,
    /// Whether it may not write.
    pub read_only: bool,
    /// Whether its reads must not see later commits.
    pub snapshot: bool,
    /// Its `now()`, in microseconds since 1970.
    pub timestamp: i64,
    /// Its writes, once it has any.
    pub write: Option<WriteTransaction>,
    /// The rows as they were at its first read, for a snapshot that only reads.
    pub rows: Option<Mutex<Store>>,
    /// Settings after a commit, where SET LOCAL made a difference.
    pub after_commit: SessionSettings,
    /// Settings after a rollback.
    pub after_rollback: SessionSettings,
}

impl Transaction {
    /// A transaction that opens now.
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

    /// The status told with ReadyForQuery.
    pub fn status(&self) -> TransactionStatus {
        match self.stage {
            Stage::Idle | Stage::Implicit => TransactionStatus::Idle,
            Stage::Explicit => TransactionStatus::Transaction,
            Stage::Failed => TransactionStatus::Error,
        }
    }
}
