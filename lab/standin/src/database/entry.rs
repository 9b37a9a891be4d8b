//! Entries of a database's log.

use rusqlite::types::Value;

use super::position::Lsn;
use super::statement::Statement;
use super::value;

/// One statement of a committed transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedStatement {
    /// Statement text as sent by the client.
    pub text: String,
    /// Statement in the syntax of the embedded engine.
    pub sql: String,
    /// Bound parameter values.
    pub parameters: Vec<Value>,
    /// Seed of the random functions in the statement.
    pub seed: u64,
}

impl LoggedStatement {
    /// Creates the log record of an executed statement.
    pub fn new(statement: &Statement, parameters: &[Value], seed: u64) -> Self {
        Self {
            text: statement.text.clone(),
            sql: statement.sql.clone(),
            parameters: parameters.to_vec(),
            seed,
        }
    }

    /// Returns the size in the log, in bytes.
    fn size(&self) -> u64 {
        let values: usize = self
            .parameters
            .iter()
            .map(|value| value::literal(value).len())
            .sum();
        (self.sql.len() + values) as u64
    }

    /// Returns the statement text with the parameters replaced by their values.
    pub fn render(&self) -> String {
        let mut text = self.text.clone();
        for (at, parameter) in self.parameters.iter().enumerate().rev() {
            text = text.replace(&format!("${}", at + 1), &value::literal(parameter));
        }
        text
    }
}

/// One committed transaction, or the start of a term.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Term of the primary that wrote the entry.
    pub term: u64,
    /// Position immediately after the entry.
    pub end: Lsn,
    /// Result of `now()` in the transaction, in microseconds since 1970.
    pub timestamp: i64,
    /// Statements of the transaction; empty at the start of a term.
    pub statements: Vec<LoggedStatement>,
}

/// Size of an entry without its statements, in bytes.
const HEADER_BYTES: u64 = 56;
/// Alignment of entries in the log, in bytes.
const ALIGNMENT: u64 = 8;

impl Entry {
    /// Creates an entry that starts at `start`.
    pub fn new(term: u64, start: Lsn, timestamp: i64, statements: Vec<LoggedStatement>) -> Self {
        let body: u64 = statements.iter().map(LoggedStatement::size).sum();
        let length = (HEADER_BYTES + body).next_multiple_of(ALIGNMENT);
        Self {
            term,
            end: Lsn(start.0 + length),
            timestamp,
            statements,
        }
    }
}
