//! The working rows of a primary, which one writing transaction at a time changes.
//!
//! A transaction has exclusive access to the rows while its statements run. When
//! it waits for its client and other transactions want to write, it is suspended:
//! its changes are undone, and its statements are re-executed when it resumes. If
//! the result of any of them then differs from the result sent to the client, the
//! transaction fails.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use parking_lot::Mutex;
use rusqlite::types::Value;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::entry::LoggedStatement;
use super::error::{SqlError, SqlState};
use super::store::{RowSet, Store};

/// A copy of the rows that also contains the changes of the open transaction and of
/// the transactions that a majority has not flushed yet.
pub struct WorkingRows {
    store: Mutex<Store>,
    write_permit: Arc<Semaphore>,
    waiters: watch::Sender<usize>,
}

impl WorkingRows {
    /// Creates working rows from `store`.
    pub fn new(store: Store) -> Self {
        Self {
            store: Mutex::new(store),
            write_permit: Arc::new(Semaphore::new(1)),
            waiters: watch::Sender::new(0),
        }
    }

    /// Waits for the write permit. Dropping the future leaves the queue.
    pub async fn write_permit(&self) -> Result<OwnedSemaphorePermit, SqlError> {
        if let Ok(write_permit) = self.write_permit.clone().try_acquire_owned() {
            return Ok(write_permit);
        }
        let _waiter_guard = WaiterGuard::new(&self.waiters);
        self.write_permit
            .clone()
            .acquire_owned()
            .await
            .map_err(|_| SqlError::terminated())
    }
}

/// Counts one waiter for the write permit while it exists.
struct WaiterGuard<'a>(&'a watch::Sender<usize>);

impl<'a> WaiterGuard<'a> {
    fn new(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// An executed statement of an open transaction.
struct ExecutedStatement {
    statement: LoggedStatement,
    /// Whether the statement changed anything and must be logged.
    logged: bool,
    /// Digest of its result.
    digest: u64,
}

/// A writing transaction; rolled back when dropped.
pub struct WriteTransaction {
    working: Arc<WorkingRows>,
    executed: Vec<ExecutedStatement>,
    savepoints: Vec<(String, usize)>,
    timestamp: i64,
    /// Whether the transaction cannot be suspended because it changes the schema.
    pinned: bool,
    /// The write permit; `None` while suspended.
    write_permit: Option<OwnedSemaphorePermit>,
}

impl WriteTransaction {
    /// Opens a transaction whose `now()` returns `timestamp`.
    pub fn begin(
        working: Arc<WorkingRows>,
        write_permit: OwnedSemaphorePermit,
        timestamp: i64,
    ) -> Result<Self, SqlError> {
        let mut transaction = Self {
            working,
            executed: Vec::new(),
            savepoints: Vec::new(),
            timestamp,
            pinned: false,
            write_permit: None,
        };
        transaction.resume(write_permit)?;
        Ok(transaction)
    }

    /// Returns whether the transaction writes to `working`.
    pub fn belongs_to(&self, working: &Arc<WorkingRows>) -> bool {
        Arc::ptr_eq(&self.working, working)
    }

    /// Returns the rows to which the transaction writes.
    pub fn working(&self) -> Arc<WorkingRows> {
        self.working.clone()
    }

    /// Returns the result of `now()`, in microseconds since 1970.
    pub fn timestamp(&self) -> i64 {
        self.timestamp
    }

    /// Returns whether the transaction has savepoints.
    pub fn has_savepoints(&self) -> bool {
        !self.savepoints.is_empty()
    }

    /// Returns whether the transaction must be resumed before its next statement.
    pub fn is_suspended(&self) -> bool {
        self.write_permit.is_none()
    }

    /// Subscribes to the number of waiters for the write permit; `None` if the
    /// transaction cannot be suspended.
    pub fn contention(&self) -> Option<watch::Receiver<usize>> {
        let can_suspend = !self.pinned && self.savepoints.is_empty() && !self.is_suspended();
        can_suspend.then(|| self.working.waiters.subscribe())
    }

    /// Undoes the changes and releases the write permit until the transaction is
    /// resumed.
    pub fn suspend(&mut self) {
        if let Some(write_permit) = self.write_permit.take() {
            self.undo();
            drop(write_permit);
        }
    }

    /// Resumes after a suspension by re-executing the statements. Fails with 40001 if
    /// a result differs.
    pub fn resume(&mut self, write_permit: OwnedSemaphorePermit) -> Result<(), SqlError> {
        let mut store = self.working.store.lock();
        store.clear_limit();
        store.run_batch("BEGIN")?;
        self.write_permit = Some(write_permit);
        for previous in &self.executed {
            let statement = &previous.statement;
            store.set_time_and_seed(self.timestamp, statement.seed);
            let rows = store.run(&statement.sql, &statement.parameters)?;
            if digest(&rows) != previous.digest {
                return Err(SqlError::new(
                    SqlState::SerializationFailure,
                    "could not serialize access due to concurrent update",
                ));
            }
        }
        Ok(())
    }

    fn undo(&self) {
        let mut store = self.working.store.lock();
        store.schema_changed();
        if let Err(error) = store.run_batch("ROLLBACK") {
            log::error!("database: a rollback failed: {error}.");
        }
    }

    /// Runs `work` on the rows visible to this transaction.
    pub fn with_store<R>(&self, work: impl FnOnce(&mut Store) -> R) -> R {
        work(&mut self.working.store.lock())
    }

    /// Records an executed statement and the digest of its result; `logged`
    /// specifies whether it must be logged.
    pub fn record(&mut self, statement: LoggedStatement, rows: &RowSet, logged: bool) {
        self.executed.push(ExecutedStatement {
            statement,
            logged,
            digest: digest(rows),
        });
    }

    /// Prevents suspension until the end of the transaction, as a schema change
    /// requires.
    pub fn pin(&mut self) {
        self.pinned = true;
    }

    /// Creates a savepoint.
    pub fn savepoint(&mut self, name: &str) -> Result<(), SqlError> {
        self.run_savepoint("SAVEPOINT", name)?;
        self.savepoints.push((name.to_owned(), self.executed.len()));
        Ok(())
    }

    /// Releases a savepoint and all later ones.
    pub fn release(&mut self, name: &str) -> Result<(), SqlError> {
        let at = self.find(name)?;
        self.run_savepoint("RELEASE", name)?;
        self.savepoints.truncate(at);
        Ok(())
    }

    /// Rolls back to a savepoint.
    pub fn rollback_to(&mut self, name: &str) -> Result<(), SqlError> {
        let at = self.find(name)?;
        self.run_savepoint("ROLLBACK TO", name)?;
        self.executed.truncate(self.savepoints[at].1);
        self.savepoints.truncate(at + 1);
        Ok(())
    }

    fn find(&self, name: &str) -> Result<usize, SqlError> {
        self.savepoints
            .iter()
            .rposition(|(existing, _)| existing == name)
            .ok_or_else(|| {
                SqlError::new(
                    SqlState::InvalidSavepoint,
                    format!("savepoint \"{name}\" does not exist"),
                )
            })
    }

    fn run_savepoint(&self, command: &str, name: &str) -> Result<(), SqlError> {
        let quoted = name.replace('"', "\"\"");
        self.with_store(|store| {
            store.schema_changed();
            store.run_batch(&format!("{command} \"{quoted}\""))
        })
    }

    /// Commits the changes to the working rows and returns the statements to log.
    pub fn finish(mut self) -> Result<Vec<LoggedStatement>, SqlError> {
        self.with_store(|store| store.run_batch("COMMIT"))?;
        // Without the permit, dropping the transaction rolls nothing back.
        let write_permit = self.write_permit.take();
        let executed = std::mem::take(&mut self.executed);
        drop(write_permit);
        let logged = executed.into_iter().filter(|entry| entry.logged);
        Ok(logged.map(|entry| entry.statement).collect())
    }
}

impl Drop for WriteTransaction {
    fn drop(&mut self) {
        self.suspend();
    }
}

/// Returns a digest of the result of a statement.
fn digest(rows: &RowSet) -> u64 {
    let mut hasher = DefaultHasher::new();
    rows.changed.hash(&mut hasher);
    for value in rows.rows.iter().flatten() {
        match value {
            Value::Null => 0_u8.hash(&mut hasher),
            Value::Integer(number) => number.hash(&mut hasher),
            Value::Real(number) => number.to_bits().hash(&mut hasher),
            Value::Text(text) => text.hash(&mut hasher),
            Value::Blob(bytes) => bytes.hash(&mut hasher),
        }
    }
    hasher.finish()
}
