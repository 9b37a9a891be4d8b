//! Execution of the statements of a session.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use pgwire::api::Type;
use rusqlite::types::Value;

use super::entry::LoggedStatement;
use super::error::{SqlError, SqlState};
use super::infer::{ColumnTypes, referenced_tables};
use super::outcome::{Column, Outcome, columns_of};
use super::session::{Failure, Session};
use super::side_effect::{SideEffect, SideEffectKind};
use super::statement::{Statement, StatementKind};
use super::store::{RowSet, Store};
use super::transaction::Stage;
use super::view;
use super::working_rows::{WorkingRows, WriteTransaction};

/// Maximum time for which one statement may hold the rows exclusively.
const MAXIMUM_STATEMENT_TIME: Duration = Duration::from_secs(10);

impl Session {
    /// Runs one statement. `described` are the columns that were described to the
    /// client, if any.
    pub(super) async fn execute(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
        described: Option<&[Column]>,
    ) -> Result<Outcome, Failure> {
        self.check_transaction(statement)?;
        if statement.kind != StatementKind::Rollback {
            self.resume_write().await?;
        }
        let outcome = match &statement.kind {
            StatementKind::Read | StatementKind::LockingRead => {
                self.run_read(statement, parameters, described).await?
            }
            StatementKind::Write | StatementKind::Definition => {
                self.run_write(statement, parameters, described).await?
            }
            StatementKind::Status => self.run_status()?,
            StatementKind::CopyIn { table, columns } => {
                return self.copy_in(statement, table, columns).await;
            }
            StatementKind::Cursor(cursor) => return self.run_cursor(statement, cursor).await,
            StatementKind::CopyOut => return self.copy_out(statement).await,
            _ => return Ok(self.run_utility(statement).await?),
        };
        Ok(outcome)
    }

    fn check_transaction(&mut self, statement: &Statement) -> Result<(), SqlError> {
        if self.transaction.stage == Stage::Failed && !statement.is_allowed_in_failed_transaction()
        {
            return Err(SqlError::new(
                SqlState::InFailedSqlTransaction,
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        self.open_implicit();
        if statement.writes() {
            self.check_writable(statement)?;
        }
        Ok(())
    }

    fn check_writable(&self, statement: &Statement) -> Result<(), SqlError> {
        if self.transaction.read_only || self.node.in_recovery() {
            let words = statement.tag.trim_end_matches(" 0");
            return Err(SqlError::new(
                SqlState::ReadOnlySqlTransaction,
                format!("cannot execute {words} in a read-only transaction"),
            ));
        }
        Ok(())
    }

    pub(super) async fn run_read(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
        described: Option<&[Column]>,
    ) -> Result<Outcome, SqlError> {
        let locks = self
            .run_side_effects(&statement.side_effects, parameters)
            .await?;
        let locks_rows = statement.kind == StatementKind::LockingRead;
        let exclusive = self.transaction.snapshot && !self.transaction.read_only;
        if locks_rows || (exclusive && !self.node.in_recovery()) {
            self.begin_write().await?;
        }
        let (rows, column_types) = self.with_rows(statement, locks, |store| {
            let rows = store.run(&statement.sql, parameters)?;
            let column_types = known_columns(store, statement)?;
            Ok((rows, column_types))
        })?;
        if locks_rows || exclusive {
            // The rows must be unchanged when the transaction resumes.
            let seed = self.node.next_seed();
            self.record(
                LoggedStatement::new(statement, parameters, seed),
                &rows,
                false,
            );
        }
        let columns = result_columns(statement, &rows, described, &column_types)?;
        Ok(Outcome::rows(columns, rows.rows, "SELECT"))
    }

    async fn run_write(
        &mut self,
        statement: &Statement,
        parameters: &[Value],
        described: Option<&[Column]>,
    ) -> Result<Outcome, SqlError> {
        let locks = self
            .run_side_effects(&statement.side_effects, parameters)
            .await?;
        self.begin_write().await?;
        let seed = self.node.next_seed();
        let definition = statement.kind == StatementKind::Definition;
        let timestamp = self.transaction.timestamp;
        let (rows, column_types) = self.with_rows(statement, locks, |store| {
            store.set_time_and_seed(timestamp, seed);
            let rows = store.run(&statement.sql, parameters)?;
            if definition {
                store.schema_changed();
            }
            let column_types = known_columns(store, statement)?;
            Ok((rows, column_types))
        })?;
        let logged = LoggedStatement::new(statement, parameters, seed);
        self.record(logged, &rows, rows.changed > 0 || definition);
        if let Some(write) = self.transaction.write.as_mut().filter(|_| definition) {
            write.pin();
        }
        if rows.columns.is_empty() || definition {
            let tag = if definition {
                statement.tag.clone()
            } else {
                format!("{} {}", statement.tag, rows.changed)
            };
            return Ok(Outcome::done(tag));
        }
        let columns = result_columns(statement, &rows, described, &column_types)?;
        let mut outcome = Outcome::rows(columns, rows.rows, "");
        outcome.counts_rows = false;
        outcome.tag = format!("{} {}", statement.tag, rows.changed);
        Ok(outcome)
    }

    /// Records an executed statement of the open transaction and its result; `logged`
    /// specifies whether it must be logged.
    pub(super) fn record(&mut self, statement: LoggedStatement, rows: &RowSet, logged: bool) {
        if let Some(write) = &mut self.transaction.write {
            write.record(statement, rows, logged);
        }
    }

    /// Runs `work` on the rows visible to this session.
    pub(super) fn with_rows<R>(
        &mut self,
        statement: &Statement,
        locks: Vec<bool>,
        work: impl FnOnce(&mut Store) -> Result<R, SqlError>,
    ) -> Result<R, SqlError> {
        self.take_snapshot()?;
        let mut view = self.node.view();
        let newest = view.replayed;
        let reads_views = statement
            .tokens
            .iter()
            .any(|token| token.is_any_word(&view::NAMES));
        let reads_settings = statement
            .tokens
            .iter()
            .any(|token| token.is_word("current_setting"));
        let seed = self.node.next_seed();
        let identity = &self.identity;
        let timestamp = self.transaction.timestamp;
        let limit = identity.settings.timeout("statement_timeout");
        let deadline = Instant::now() + limit.unwrap_or(MAXIMUM_STATEMENT_TIME);
        let prepared = |store: &mut Store, replayed| {
            view.replayed = replayed;
            store.set_view(&view);
            store.set_time_and_seed(timestamp, seed);
            store.set_limit(deadline, identity.slot.cancellation.clone());
            store.set_session(
                identity.slot.process,
                &identity.user,
                &identity.database,
                locks,
            );
            if reads_views {
                store.fill_views(&view)?;
            }
            if reads_settings {
                store.set_settings(identity.settings.by_name());
            }
            work(store)
        };
        match (&self.transaction.write, &mut self.transaction.rows) {
            (Some(write), _) => write.with_store(|store| prepared(store, newest)),
            (None, Some(rows)) => prepared(rows.get_mut(), newest),
            (None, None) => self.node.read(self.epoch, prepared),
        }
    }

    /// Copies the rows at the first read of a read-only snapshot transaction.
    fn take_snapshot(&mut self) -> Result<(), SqlError> {
        let transaction = &self.transaction;
        let wanted = transaction.stage == Stage::Explicit
            && transaction.snapshot
            && transaction.rows.is_none()
            && (transaction.read_only || self.node.in_recovery());
        if wanted {
            let copy = self
                .node
                .read(self.epoch, |store, _| Ok(Store::copy(store)?))?;
            self.transaction.rows = Some(Mutex::new(copy));
        }
        Ok(())
    }

    /// Returns the columns of the proxies' status query.
    pub(super) fn status_columns() -> Vec<Column> {
        vec![
            Column::new("in_recovery", Type::BOOL),
            Column::new("term", Type::INT4),
            Column::new("position", Type::PG_LSN),
            Column::new("flushed", Type::TEXT),
        ]
    }

    fn run_status(&self) -> Result<Outcome, SqlError> {
        let mut view = self.node.view();
        self.node.read(self.epoch, |_, position| {
            view.replayed = position;
            Ok(())
        })?;
        let position = if view.in_recovery {
            view.replayed
        } else {
            view.flushed
        };
        let row = vec![
            Value::Integer(i64::from(view.in_recovery)),
            Value::Integer(view.timeline as i64),
            Value::Text(position.to_string()),
            Value::Text(view.flushed_list()),
        ];
        Ok(Outcome::rows(Self::status_columns(), vec![row], "SELECT"))
    }

    /// Acquires the write permit, unless the transaction already has it.
    pub(super) async fn begin_write(&mut self) -> Result<(), SqlError> {
        if self.transaction.write.is_some() {
            return self.resume_write().await;
        }
        let working = self.node.working().ok_or_else(|| {
            SqlError::new(
                SqlState::ReadOnlySqlTransaction,
                "cannot execute this statement in a read-only transaction",
            )
        })?;
        let write_permit = self.wait_for_write_permit(&working).await?;
        let write = WriteTransaction::begin(working, write_permit, self.transaction.timestamp)?;
        self.transaction.write = Some(write);
        Ok(())
    }

    /// Resumes the transaction if it is suspended.
    pub(super) async fn resume_write(&mut self) -> Result<(), SqlError> {
        let suspended = self.transaction.write.as_ref();
        let Some(working) = suspended
            .filter(|write| write.is_suspended())
            .map(WriteTransaction::working)
        else {
            return Ok(());
        };
        let write_permit = self.wait_for_write_permit(&working).await?;
        match &mut self.transaction.write {
            Some(write) => write.resume(write_permit),
            None => Ok(()),
        }
    }

    async fn wait_for_write_permit(
        &self,
        working: &Arc<WorkingRows>,
    ) -> Result<tokio::sync::OwnedSemaphorePermit, SqlError> {
        let limit = self.identity.settings.timeout("lock_timeout");
        let limit = limit.unwrap_or(self.node.group.lock_wait);
        let waiting = self.interruptible(working.write_permit());
        match tokio::time::timeout(limit, waiting).await {
            Ok(write_permit) => write_permit?,
            Err(_) => Err(SqlError::new(
                SqlState::LockNotAvailable,
                "canceling statement due to lock timeout",
            )),
        }
    }

    /// Runs `work` until it completes, a cancel request arrives or the statement
    /// timeout expires.
    async fn interruptible<R>(&self, work: impl Future<Output = R>) -> Result<R, SqlError> {
        let limit = self.identity.settings.timeout("statement_timeout");
        let limit = limit.unwrap_or(Duration::from_secs(86_400));
        tokio::select! {
            result = work => Ok(result),
            () = self.identity.slot.cancellation.cancelled() => Err(SqlError::canceled()),
            () = tokio::time::sleep(limit) => Err(SqlError::new(
                SqlState::QueryCanceled,
                "canceling statement due to statement timeout",
            )),
        }
    }

    /// Runs the calls with effects outside the row store. Returns the results of the
    /// calls that have one, in reverse order.
    async fn run_side_effects(
        &self,
        side_effects: &[SideEffect],
        parameters: &[Value],
    ) -> Result<Vec<bool>, SqlError> {
        let mut results = Vec::new();
        for side_effect in side_effects {
            let mut numbers = Vec::new();
            for argument in &side_effect.arguments {
                numbers.push(argument.number(parameters)?);
            }
            if let Some(result) = self.run_side_effect(side_effect.kind, &numbers).await? {
                results.insert(0, result);
            }
        }
        Ok(results)
    }

    async fn run_side_effect(
        &self,
        kind: SideEffectKind,
        numbers: &[f64],
    ) -> Result<Option<bool>, SqlError> {
        let process = self.identity.slot.process;
        let locks = &self.node.advisory;
        let first = numbers.first().copied().unwrap_or(0.0);
        let key = (first as i64, numbers.get(1).map(|second| *second as i64));
        let result = match kind {
            SideEffectKind::Sleep => {
                let duration = Duration::try_from_secs_f64(first).unwrap_or(Duration::ZERO);
                self.interruptible(tokio::time::sleep(duration)).await?;
                None
            }
            SideEffectKind::AdvisoryLock => {
                self.interruptible(locks.lock(key, process, false)).await?;
                None
            }
            SideEffectKind::AdvisoryTransactionLock => {
                self.interruptible(locks.lock(key, process, true)).await?;
                None
            }
            SideEffectKind::TryAdvisoryLock => Some(locks.try_lock(key, process, false)),
            SideEffectKind::TryAdvisoryTransactionLock => Some(locks.try_lock(key, process, true)),
            SideEffectKind::AdvisoryUnlock => Some(locks.unlock(key, process)),
            SideEffectKind::AdvisoryUnlockAll => {
                locks.unlock_session(process);
                None
            }
        };
        Ok(result)
    }
}

/// Returns the columns of the tables that a statement references.
pub(super) fn known_columns(
    store: &mut Store,
    statement: &Statement,
) -> Result<ColumnTypes, SqlError> {
    store.column_types(&referenced_tables(&statement.tokens))
}

fn result_columns(
    statement: &Statement,
    rows: &RowSet,
    described: Option<&[Column]>,
    column_types: &ColumnTypes,
) -> Result<Vec<Column>, SqlError> {
    let Some(described) = described else {
        return Ok(columns_of(
            &rows.columns,
            &statement.tokens,
            &[],
            column_types,
        ));
    };
    if described.len() != rows.columns.len() {
        return Err(SqlError::new(
            SqlState::FeatureNotSupported,
            "cached plan must not change result type",
        ));
    }
    Ok(described.to_vec())
}
