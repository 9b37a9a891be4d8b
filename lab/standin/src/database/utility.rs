//! Statements that access no rows: transaction control, settings, and DISCARD and
//! DEALLOCATE.

use pgwire::api::Type;
use rusqlite::types::Value;

use super::error::{SqlError, SqlState};
use super::outcome::{Column, Outcome};
use super::session::Session;
use super::statement::{Statement, StatementKind, TransactionModes};
use super::transaction::{Stage, Transaction};

impl Session {
    pub(super) async fn run_utility(&mut self, statement: &Statement) -> Result<Outcome, SqlError> {
        match &statement.kind {
            StatementKind::Begin(modes) => self.begin(*modes)?,
            StatementKind::Commit => return self.commit_statement().await,
            StatementKind::Rollback => self.rollback_statement()?,
            StatementKind::Savepoint(name) => self.savepoint(name).await?,
            StatementKind::Release(name) => self.change_savepoint(name, false)?,
            StatementKind::RollbackTo(name) => self.change_savepoint(name, true)?,
            StatementKind::SetTransaction(modes) => self.set_modes(*modes)?,
            StatementKind::SetSessionModes(modes) => self.set_session_modes(*modes)?,
            StatementKind::Set { local, name, value } => {
                self.set(*local, name, value.as_deref())?;
            }
            StatementKind::ResetAll => {
                self.identity.settings.reset_all();
                self.transaction.after_commit.reset_all();
            }
            StatementKind::Show(name) => return self.show(name.as_deref()),
            StatementKind::DiscardAll => self.discard_all()?,
            StatementKind::Deallocate(name) => self.deallocate(name.as_deref())?,
            _ => {}
        }
        Ok(Outcome::done(statement.tag.clone()))
    }

    /// Opens an implicit transaction if no transaction is open.
    pub(super) fn open_implicit(&mut self) {
        if self.transaction.stage == Stage::Idle {
            self.transaction = Transaction::open(Stage::Implicit, &self.identity.settings);
        }
    }

    /// Commits the open transaction if it is implicit.
    pub(super) async fn finish_implicit(&mut self) -> Result<(), SqlError> {
        if self.transaction.stage == Stage::Implicit {
            self.commit().await?;
        }
        Ok(())
    }

    /// Marks an explicit transaction as failed, or rolls back an implicit one. The
    /// writes of a failed transaction are kept only if it has savepoints to roll back
    /// to.
    pub(super) fn fail_transaction(&mut self) {
        match self.transaction.stage {
            Stage::Idle => {}
            Stage::Implicit => self.roll_back(),
            Stage::Explicit | Stage::Failed => {
                self.transaction.stage = Stage::Failed;
                let savepoints = self
                    .transaction
                    .write
                    .as_ref()
                    .is_some_and(|write| write.has_savepoints());
                if !savepoints {
                    self.transaction.write = None;
                }
            }
        }
    }

    fn warn(&mut self, code: &str, message: &str) {
        if let Err(error) = self.wire.push_warning(code, message) {
            log::debug!("database: encoding a warning failed: {error}.");
        }
    }

    fn begin(&mut self, modes: TransactionModes) -> Result<(), SqlError> {
        if self.transaction.stage == Stage::Explicit {
            self.warn(
                SqlState::ActiveSqlTransaction.code(),
                "there is already a transaction in progress",
            );
            return Ok(());
        }
        self.transaction.stage = Stage::Explicit;
        self.set_modes(modes)
    }

    fn set_modes(&mut self, modes: TransactionModes) -> Result<(), SqlError> {
        if modes.read_only == Some(false) && self.node.in_recovery() {
            return Err(SqlError::new(
                SqlState::FeatureNotSupported,
                "cannot set transaction read-write mode during recovery",
            ));
        }
        if let Some(read_only) = modes.read_only {
            self.transaction.read_only = read_only;
        }
        if let Some(snapshot) = modes.snapshot {
            self.transaction.snapshot = snapshot;
        }
        Ok(())
    }

    fn set_session_modes(&mut self, modes: TransactionModes) -> Result<(), SqlError> {
        if let Some(read_only) = modes.read_only {
            let value = if read_only { "on" } else { "off" };
            self.set(false, "default_transaction_read_only", Some(value))?;
        }
        if let Some(snapshot) = modes.snapshot {
            let value = if snapshot {
                "repeatable read"
            } else {
                "read committed"
            };
            self.set(false, "default_transaction_isolation", Some(value))?;
        }
        Ok(())
    }

    fn set(&mut self, local: bool, name: &str, value: Option<&str>) -> Result<(), SqlError> {
        if name.eq_ignore_ascii_case("transaction_read_only") {
            let read_only = value.and_then(super::value::parse_bool);
            return self.set_modes(TransactionModes {
                read_only,
                snapshot: None,
            });
        }
        if local && self.transaction.stage == Stage::Implicit {
            self.warn(
                SqlState::NoActiveSqlTransaction.code(),
                "SET LOCAL can only be used in transaction blocks",
            );
        }
        self.identity.settings.set(name, value)?;
        if !local {
            self.transaction.after_commit.set(name, value)?;
        }
        Ok(())
    }

    fn show(&self, name: Option<&str>) -> Result<Outcome, SqlError> {
        let Some(name) = name else {
            let rows = self.identity.settings.all().into_iter();
            let rows = rows.map(|(name, value)| vec![Value::Text(name), Value::Text(value)]);
            let columns = vec![
                Column::new("name", Type::TEXT),
                Column::new("setting", Type::TEXT),
            ];
            let mut outcome = Outcome::rows(columns, rows.collect(), "SHOW");
            outcome.counts_rows = false;
            return Ok(outcome);
        };
        let value = match name {
            "transaction_read_only" => {
                let read_only = self.transaction.read_only || self.node.in_recovery();
                if read_only { "on" } else { "off" }
            }
            "in_hot_standby" => {
                if self.node.in_recovery() {
                    "on"
                } else {
                    "off"
                }
            }
            "transaction_isolation" if self.transaction.snapshot => "repeatable read",
            _ => self.identity.settings.show(name)?,
        };
        let row = vec![Value::Text(value.to_owned())];
        let mut outcome = Outcome::rows(vec![Column::new(name, Type::TEXT)], vec![row], "SHOW");
        outcome.counts_rows = false;
        Ok(outcome)
    }

    async fn commit_statement(&mut self) -> Result<Outcome, SqlError> {
        match self.transaction.stage {
            Stage::Failed => {
                self.roll_back();
                return Ok(Outcome::done("ROLLBACK"));
            }
            Stage::Explicit => {}
            Stage::Idle | Stage::Implicit => self.warn(
                SqlState::NoActiveSqlTransaction.code(),
                "there is no transaction in progress",
            ),
        }
        self.commit().await?;
        Ok(Outcome::done("COMMIT"))
    }

    fn rollback_statement(&mut self) -> Result<(), SqlError> {
        if matches!(self.transaction.stage, Stage::Idle | Stage::Implicit) {
            self.warn(
                SqlState::NoActiveSqlTransaction.code(),
                "there is no transaction in progress",
            );
        }
        self.roll_back();
        Ok(())
    }

    /// Commits the open transaction. With `synchronous_commit`, returns once a
    /// majority has flushed it.
    async fn commit(&mut self) -> Result<(), SqlError> {
        self.resume_write().await?;
        let transaction = std::mem::take(&mut self.transaction);
        self.identity.settings = transaction.after_commit;
        self.end_transaction();
        let Some(write) = transaction.write else {
            return Ok(());
        };
        let committed = self.node.commit(write);
        if committed.is_err() {
            self.identity.settings = transaction.after_rollback;
        }
        match committed? {
            Some(length) if self.node.group.synchronous_commit => {
                self.wait_for_majority(length).await
            }
            _ => Ok(()),
        }
    }

    async fn wait_for_majority(&self, length: usize) -> Result<(), SqlError> {
        let mut majority_flushed = self.node.subscribe_majority_flushed();
        let reached = majority_flushed.wait_for(|flushed| *flushed >= length);
        let waited = tokio::time::timeout(self.node.group.commit_wait, reached).await;
        // The result of the wait holds a read lock on the channel, which must be
        // released before continuing.
        let reached = waited.is_ok_and(|changed| changed.is_ok());
        if !reached {
            return Err(SqlError::fatal(
                SqlState::AdminShutdown,
                "terminating connection: no majority confirmed the commit in time",
            ));
        }
        self.node.replay_up_to(length);
        Ok(())
    }

    /// Rolls back the open transaction.
    pub(super) fn roll_back(&mut self) {
        if self.transaction.stage != Stage::Idle {
            let transaction = std::mem::take(&mut self.transaction);
            self.identity.settings = transaction.after_rollback;
        }
        self.end_transaction();
    }

    fn end_transaction(&mut self) {
        self.portals.clear();
        self.cursors.clear();
        self.node
            .advisory
            .unlock_transaction(self.identity.slot.process);
    }

    async fn savepoint(&mut self, name: &str) -> Result<(), SqlError> {
        if self.transaction.stage != Stage::Explicit {
            return Err(outside_block("SAVEPOINT"));
        }
        if self.transaction.read_only || self.node.in_recovery() {
            return Ok(());
        }
        self.begin_write().await?;
        match &mut self.transaction.write {
            Some(write) => write.savepoint(name),
            None => Ok(()),
        }
    }

    fn change_savepoint(&mut self, name: &str, back: bool) -> Result<(), SqlError> {
        if !matches!(self.transaction.stage, Stage::Explicit | Stage::Failed) {
            return Err(outside_block(if back {
                "ROLLBACK TO SAVEPOINT"
            } else {
                "RELEASE SAVEPOINT"
            }));
        }
        let Some(write) = &mut self.transaction.write else {
            return Err(SqlError::new(
                SqlState::InvalidSavepoint,
                format!("savepoint \"{name}\" does not exist"),
            ));
        };
        if back {
            write.rollback_to(name)?;
            self.transaction.stage = Stage::Explicit;
            Ok(())
        } else {
            write.release(name)
        }
    }

    fn discard_all(&mut self) -> Result<(), SqlError> {
        if self.transaction.stage == Stage::Explicit {
            return Err(SqlError::new(
                SqlState::ActiveSqlTransaction,
                "DISCARD ALL cannot run inside a transaction block",
            ));
        }
        self.identity.settings.reset_all();
        self.transaction.after_commit.reset_all();
        self.statements.clear();
        self.portals.clear();
        self.node
            .advisory
            .unlock_session(self.identity.slot.process);
        Ok(())
    }

    fn deallocate(&mut self, name: Option<&str>) -> Result<(), SqlError> {
        match name {
            None => self.statements.clear(),
            Some(name) => {
                self.statements.remove(name).ok_or_else(|| {
                    SqlError::new(
                        SqlState::InvalidSqlStatementName,
                        format!("prepared statement \"{name}\" does not exist"),
                    )
                })?;
            }
        }
        Ok(())
    }
}

fn outside_block(command: &str) -> SqlError {
    SqlError::new(
        SqlState::NoActiveSqlTransaction,
        format!("{command} can only be used in transaction blocks"),
    )
}
