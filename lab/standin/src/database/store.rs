//! The rows of one database, stored in memory by an embedded SQL engine.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use pgwire::api::Type;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rusqlite::backup::{Backup, StepResult};
use rusqlite::types::Value;
use rusqlite::{Connection, params_from_iter};

use super::connections::Cancellation;
use super::entry::Entry;
use super::error::{SqlError, SqlState};
use super::functions::{self, FunctionContext, SharedContext};
use super::infer::ColumnTypes;
use super::value::type_by_declaration;
use super::view::{SystemView, refresh};

/// Number of prepared statements that the engine caches.
const STATEMENT_CACHE: usize = 256;
/// Maximum size of one result, in bytes; larger ones fail.
const MAXIMUM_RESULT_BYTES: usize = 256 * 1024 * 1024;
/// Assumed overhead of a value in a result, in bytes.
const VALUE_OVERHEAD: usize = 32;

/// A column of a result, as the engine describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineColumn {
    /// Column name, or the text of the expression.
    pub name: String,
    /// Declared type of the underlying table column, if any.
    pub declared: Option<Type>,
}

/// The rows and the number of changes that a statement made.
#[derive(Debug, Default)]
pub struct RowSet {
    /// Columns of the result; empty when the statement returns no rows.
    pub columns: Vec<EngineColumn>,
    /// Rows of the result.
    pub rows: Vec<Vec<Value>>,
    /// Number of rows that were inserted, updated or deleted.
    pub changed: u64,
}

/// A set of tables and rows in one engine instance.
pub struct Store {
    connection: Connection,
    context: SharedContext,
    columns: HashMap<String, Vec<(String, Type)>>,
    limit: Arc<Mutex<Option<Limit>>>,
}

/// Deadline and cancellation that interrupt a statement.
struct Limit {
    deadline: Instant,
    cancellation: Arc<Cancellation>,
}

impl Limit {
    fn is_reached(&self) -> bool {
        self.cancellation.is_requested() || Instant::now() >= self.deadline
    }
}

/// Number of engine steps between two checks of the limit.
const STEPS_BETWEEN_LIMIT_CHECKS: i32 = 10_000;

impl Store {
    /// Creates an empty store.
    pub fn open() -> rusqlite::Result<Self> {
        let connection = Connection::open_in_memory()?;
        connection.set_prepared_statement_cache_capacity(STATEMENT_CACHE);
        let context = Arc::new(Mutex::new(FunctionContext::default()));
        functions::register(&connection, &context)?;
        rusqlite::vtab::series::load_module(&connection)?;
        connection.execute_batch("PRAGMA foreign_keys = ON; PRAGMA case_sensitive_like = ON;")?;
        super::view::create(&connection)?;
        let limit: Arc<Mutex<Option<Limit>>> = Arc::default();
        let checked_limit = limit.clone();
        connection.progress_handler(
            STEPS_BETWEEN_LIMIT_CHECKS,
            Some(move || checked_limit.lock().as_ref().is_some_and(Limit::is_reached)),
        );
        Ok(Self {
            connection,
            context,
            columns: HashMap::new(),
            limit,
        })
    }

    /// Creates a copy of another store.
    pub fn copy(source: &Self) -> rusqlite::Result<Self> {
        let mut copy = Self::open()?;
        let backup = Backup::new(&source.connection, &mut copy.connection)?;
        while backup.step(-1)? != StepResult::Done {}
        drop(backup);
        Ok(copy)
    }

    /// Sets the replication state that the functions return.
    pub fn set_view(&mut self, view: &SystemView) {
        let mut context = self.context.lock();
        context.in_recovery = view.in_recovery;
        context.timeline = view.timeline;
        context.flushed = view.flushed;
        context.replayed = view.replayed;
    }

    /// Sets the session that runs the next statements, and the results of its advisory
    /// lock calls.
    pub fn set_session(&mut self, process: i32, user: &str, database: &str, locks: Vec<bool>) {
        let mut context = self.context.lock();
        context.process = process;
        user.clone_into(&mut context.user);
        database.clone_into(&mut context.database);
        context.lock_results = locks;
    }

    /// Sets the settings that `current_setting` returns.
    pub fn set_settings(&mut self, settings: BTreeMap<String, String>) {
        self.context.lock().settings = settings;
    }

    /// Sets the time and the random seed of the next statement.
    pub fn set_time_and_seed(&mut self, timestamp: i64, seed: u64) {
        let mut context = self.context.lock();
        context.timestamp = timestamp;
        context.random = ChaCha8Rng::seed_from_u64(seed);
    }

    /// Refreshes the system views before a statement that reads them.
    pub fn fill_views(&mut self, view: &SystemView) -> Result<(), SqlError> {
        Ok(refresh(&self.connection, view)?)
    }

    /// Sets the deadline and the cancellation that interrupt the next statements.
    pub fn set_limit(&mut self, deadline: Instant, cancellation: Arc<Cancellation>) {
        *self.limit.lock() = Some(Limit {
            deadline,
            cancellation,
        });
    }

    /// Removes the limit, so that the next statements run to completion.
    pub fn clear_limit(&mut self) {
        *self.limit.lock() = None;
    }

    /// Runs one statement.
    pub fn run(&mut self, sql: &str, parameters: &[Value]) -> Result<RowSet, SqlError> {
        let before = self.connection.total_changes();
        let mut statement = self.connection.prepare_cached(sql)?;
        let columns = describe_columns(&statement);
        let mut rows = Vec::new();
        let mut size = 0;
        let mut cursor = statement.query(params_from_iter(parameters))?;
        while let Some(row) = cursor.next()? {
            let mut values = Vec::with_capacity(columns.len());
            for at in 0..columns.len() {
                let value: Value = row.get(at)?;
                size += VALUE_OVERHEAD + size_of_value(&value);
                values.push(value);
            }
            if size > MAXIMUM_RESULT_BYTES {
                return Err(SqlError::new(
                    SqlState::ProgramLimitExceeded,
                    "the result is too large for the stand-in",
                ));
            }
            rows.push(values);
        }
        drop(cursor);
        drop(statement);
        Ok(RowSet {
            columns,
            rows,
            changed: self.connection.total_changes() - before,
        })
    }

    /// Runs statements without parameters, such as BEGIN.
    pub fn run_batch(&mut self, sql: &str) -> Result<(), SqlError> {
        Ok(self.connection.execute_batch(sql)?)
    }

    /// Clears the cached table columns; must be called after a schema change.
    pub fn schema_changed(&mut self) {
        self.columns.clear();
    }

    /// Returns the columns that a statement would return.
    pub fn describe(&mut self, sql: &str) -> Result<Vec<EngineColumn>, SqlError> {
        let statement = self.connection.prepare_cached(sql)?;
        Ok(describe_columns(&statement))
    }

    /// Returns the columns of the given tables.
    pub fn column_types(&mut self, tables: &[String]) -> Result<ColumnTypes, SqlError> {
        let mut found = ColumnTypes::default();
        for table in tables {
            if !self.columns.contains_key(table) {
                let columns = self.read_columns(table)?;
                self.columns.insert(table.clone(), columns);
            }
            if let Some(columns) = self.columns.get(table) {
                found.tables.insert(table.clone(), columns.clone());
            }
        }
        Ok(found)
    }

    fn read_columns(&self, table: &str) -> Result<Vec<(String, Type)>, SqlError> {
        let mut statement = self
            .connection
            .prepare_cached("SELECT name, type FROM pragma_table_info(?1)")?;
        let rows = statement.query_map([table], |row| {
            let name: String = row.get(0)?;
            let declared: String = row.get(1)?;
            let kind = type_by_declaration(&declared).unwrap_or(Type::TEXT);
            Ok((name.to_lowercase(), kind))
        })?;
        Ok(rows.collect::<rusqlite::Result<_>>()?)
    }

    /// Applies one log entry in a transaction.
    pub fn replay(&mut self, entry: &Entry) -> Result<(), SqlError> {
        if entry.statements.is_empty() {
            return Ok(());
        }
        self.clear_limit();
        self.run_batch("BEGIN")?;
        let result = entry.statements.iter().try_for_each(|statement| {
            self.set_time_and_seed(entry.timestamp, statement.seed);
            self.run(&statement.sql, &statement.parameters).map(drop)
        });
        self.schema_changed();
        match result {
            Ok(()) => self.run_batch("COMMIT"),
            Err(error) => {
                self.run_batch("ROLLBACK")?;
                Err(error)
            }
        }
    }
}

fn describe_columns(statement: &rusqlite::Statement<'_>) -> Vec<EngineColumn> {
    statement
        .columns()
        .iter()
        .map(|column| EngineColumn {
            name: column.name().to_owned(),
            declared: column.decl_type().and_then(type_by_declaration),
        })
        .collect()
}

fn size_of_value(value: &Value) -> usize {
    match value {
        Value::Text(text) => text.len(),
        Value::Blob(bytes) => bytes.len(),
        _ => 0,
    }
}
