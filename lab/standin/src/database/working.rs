//! The rows that a primary's writing transactions change, one at a time.
//!
//! A transaction has the rows to itself while its statements run. While it
//! waits for its client and others want to write, it is suspended: its changes
//! are undone, and its statements run again when it goes on. If one of them
//! then has another result than its client saw, the transaction fails.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use parking_lot::Mutex;
use rusqlite::types::Value;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::entry::LoggedStatement;
use super::error::{SqlError, SqlState};
use super::store::{RowSet, Store};

/// A copy of the rows that is ahead of the committed one by the open
/// transaction and by what a majority has not flushed yet.
pub struct Working {
    store: Mutex<Store>,
    turn: Arc<Semaphore>,
    waiting: watch::Sender<usize>,
}

impl Working {
    /// Starts from `store`.
    pub fn new(store: Store) -> Self {
        Self {
            store: Mutex::new(store),
            turn: Arc::new(Semaphore::new(1)),
            waiting: watch::Sender::new(0),
        }
    }

    /// Waits for the turn to write. Dropping the future gives the place up.
    pub async fn turn(&self) -> Result<OwnedSemaphorePermit, SqlError> {
        if let Ok(turn) = self.turn.clone().try_acquire_owned() {
            return Ok(turn);
        }
        let _waiting = Waiting::new(&self.waiting);
        self.turn
            .clone()
            .acquire_owned()
            .await
            .map_err(|_| SqlError::terminated())
    }
}

/// Counts one who waits for the turn.
struct Waiting<'a>(&'a watch::Sender<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// A statement of an open transaction.
struct Step {
    statement: LoggedStatement,
    /// Whether it changed anything, and so belongs in the log.
    logged: bool,
    /// What it answered.
    digest: u64,
}

/// A transaction that writes; rolled back when dropped.
pub struct WriteTransaction {
    working: Arc<Working>,
    steps: Vec<Step>,
    savepoints: Vec<(String, usize)>,
    timestamp: i64,
    /// Whether it can't be suspended, because it changes the schema.
    pinned: bool,
    /// The turn to write; none while suspended.
    turn: Option<OwnedSemaphorePermit>,
}

impl WriteTransaction {
    /// Opens a transaction with `now()` at `timestamp`.
    pub fn begin(
        working: Arc<Working>,
        turn: OwnedSemaphorePermit,
        timestamp: i64,
    ) -> Result<Self, SqlError> {
        let mut transaction = Self {
            working,
            steps: Vec::new(),
            savepoints: Vec::new(),
            timestamp,
            pinned: false,
            turn: None,
        };
        transaction.resume(turn)?;
        Ok(transaction)
    }

    /// Whether it writes to `working`.
    pub fn belongs_to(&self, working: &Arc<Working>) -> bool {
        Arc::ptr_eq(&self.working, working)
    }

    /// The rows it writes to.
    pub fn working(&self) -> Arc<Working> {
        self.working.clone()
    }

    /// Its `now()`, in microseconds since 1970.
    pub fn timestamp(&self) -> i64 {
        self.timestamp
    }

    /// Whether it has savepoints.
    pub fn has_savepoints(&self) -> bool {
        !self.savepoints.is_empty()
    }

    /// Whether it must be resumed before its next statement.
    pub fn is_suspended(&self) -> bool {
        self.turn.is_none()
    }

    /// Tells how many wait for its turn, if it could give that up.
    pub fn contention(&self) -> Option<watch::Receiver<usize>> {
        let movable = !self.pinned && self.savepoints.is_empty() && !self.is_suspended();
        movable.then(|| self.working.waiting.subscribe())
    }

    /// Undoes its changes for now and lets others write.
    pub fn suspend(&mut self) {
        if let Some(turn) = self.turn.take() {
            self.undo();
            drop(turn);
        }
    }

    /// Goes on after a suspension: runs its statements again.
    pub fn resume(&mut self, turn: OwnedSemaphorePermit) -> Result<(), SqlError> {
        let mut store = self.working.store.lock();
        store.clear_limit();
        store.run_batch("BEGIN")?;
        self.turn = Some(turn);
        for step in &self.steps {
            let statement = &step.statement;
            store.set_chance(self.timestamp, statement.seed);
            let rows = store.run(&statement.sql, &statement.parameters)?;
            if digest(&rows) != step.digest {
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

    /// Runs `work` on the rows as this transaction sees them.
    pub fn with_store<R>(&self, work: impl FnOnce(&mut Store) -> R) -> R {
        work(&mut self.working.store.lock())
    }

    /// Notes a statement with what it answered; `logged` if it changed rows.
    pub fn record(&mut self, statement: LoggedStatement, rows: &RowSet, logged: bool) {
        self.steps.push(Step {
            statement,
            logged,
            digest: digest(rows),
        });
    }

    /// Keeps the turn to the end, as a change of the schema needs.
    pub fn pin(&mut self) {
        self.pinned = true;
    }

    /// Marks a point to go back to.
    pub fn savepoint(&mut self, name: &str) -> Result<(), SqlError> {
        self.run_savepoint("SAVEPOINT", name)?;
        self.savepoints.push((name.to_owned(), self.steps.len()));
        Ok(())
    }

    /// Forgets a savepoint and those after it.
    pub fn release(&mut self, name: &str) -> Result<(), SqlError> {
        let at = self.find(name)?;
        self.run_savepoint("RELEASE", name)?;
        self.savepoints.truncate(at);
        Ok(())
    }

    /// Undoes everything after a savepoint.
    pub fn rollback_to(&mut self, name: &str) -> Result<(), SqlError> {
        let at = self.find(name)?;
        self.run_savepoint("ROLLBACK TO", name)?;
        self.steps.truncate(self.savepoints[at].1);
        self.savepoints.truncate(at + 1);
        Ok(())
    }

    fn find(&self, name: &str) -> Result<usize, SqlError> {
        self.savepoints
            .iter()
            .rposition(|(known, _)| known == name)
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

    /// Commits the rows and hands the statements over for the log.
    pub fn finish(mut self) -> Result<Vec<LoggedStatement>, SqlError> {
        self.with_store(|store| store.run_batch("COMMIT"))?;
        // With the turn gone, dropping rolls nothing back.
        let turn = self.turn.take();
        let steps = std::mem::take(&mut self.steps);
        drop(turn);
        let logged = steps.into_iter().filter(|step| step.logged);
        Ok(logged.map(|step| step.statement).collect())
    }
}

impl Drop for WriteTransaction {
    fn drop(&mut self) {
        self.suspend();
    }
}

/// A summary of what a statement answered.
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
