//! Results of statements and their protocol messages.

use std::collections::VecDeque;

use bytes::BytesMut;
use pgwire::api::Type;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::types::Value;

use super::error::SqlError;
use super::infer::{ColumnTypes, expression_type, returned_expressions};
use super::lexer::Token;
use super::store::EngineColumn;
use super::value;

/// A column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Column {
    /// Name of the column.
    pub name: String,
    /// Type of the column.
    pub kind: Type,
}

impl Column {
    /// Creates a column.
    pub fn new(name: &str, kind: Type) -> Self {
        Self {
            name: name.to_owned(),
            kind,
        }
    }
}

/// Result of a statement.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Columns, or `None` if the statement returns no rows.
    pub columns: Option<Vec<Column>>,
    /// Rows that have not been sent yet.
    pub rows: VecDeque<Vec<Value>>,
    /// Command tag, without the row count if `counts_rows` is set.
    pub tag: String,
    /// Whether the number of rows sent is added to the tag.
    pub counts_rows: bool,
}

impl Outcome {
    /// Creates a result without rows.
    pub fn done(tag: impl Into<String>) -> Self {
        Self {
            tag: tag.into(),
            ..Self::default()
        }
    }

    /// Creates a result with rows, whose count is appended to the tag.
    pub fn rows(columns: Vec<Column>, rows: Vec<Vec<Value>>, tag: impl Into<String>) -> Self {
        Self {
            columns: Some(columns),
            rows: rows.into(),
            tag: tag.into(),
            counts_rows: true,
        }
    }

    /// Returns the command tag after `sent` rows.
    pub fn final_tag(&self, sent: usize) -> String {
        if self.counts_rows {
            format!("{} {sent}", self.tag)
        } else {
            self.tag.clone()
        }
    }
}

/// Returns the names and types of the columns that the engine describes.
pub fn columns_of(
    engine: &[EngineColumn],
    tokens: &[Token],
    parameters: &[Type],
    known: &ColumnTypes,
) -> Vec<Column> {
    let expressions = returned_expressions(tokens).filter(|items| items.len() == engine.len());
    engine
        .iter()
        .enumerate()
        .map(|(at, column)| {
            let computed = || {
                let item = expressions.as_ref()?.get(at)?;
                expression_type(item, parameters, known)
            };
            let kind = column
                .declared
                .clone()
                .or_else(computed)
                .unwrap_or(Type::TEXT);
            Column {
                name: column_name(&column.name),
                kind,
            }
        })
        .collect()
}

/// Returns PostgreSQL's name for a column that the engine names by its expression.
fn column_name(engine: &str) -> String {
    let is_name = engine
        .chars()
        .all(|letter| letter.is_alphanumeric() || letter == '_');
    let starts = engine
        .chars()
        .next()
        .is_some_and(|letter| !letter.is_ascii_digit());
    if is_name && starts && !engine.starts_with('?') {
        return engine.to_owned();
    }
    let call = engine.split(" (").next().unwrap_or_default();
    let is_call = call.len() < engine.len()
        && !call.is_empty()
        && call
            .chars()
            .all(|letter| letter.is_alphanumeric() || letter == '_');
    if is_call {
        call.to_lowercase()
    } else {
        "?column?".to_owned()
    }
}

/// Returns the format code of column `at`, by the rule of the Bind message.
pub fn format_of(formats: &[i16], at: usize) -> i16 {
    match formats {
        [] => 0,
        [all] => *all,
        each => each.get(at).copied().unwrap_or(0),
    }
}

/// Returns the message that describes columns.
pub fn describe(columns: &[Column], formats: &[i16]) -> PgWireBackendMessage {
    let fields = columns
        .iter()
        .enumerate()
        .map(|(at, column)| {
            let size = value::type_size(&column.kind);
            let format = format_of(formats, at);
            FieldDescription::new(
                column.name.clone(),
                0,
                0,
                column.kind.oid(),
                size,
                -1,
                format,
            )
        })
        .collect();
    PgWireBackendMessage::RowDescription(RowDescription::new(fields))
}

/// Returns the message that contains one row.
pub fn encode_row(
    row: &[Value],
    columns: &[Column],
    formats: &[i16],
) -> Result<PgWireBackendMessage, SqlError> {
    let mut data = BytesMut::new();
    for (at, (value, column)) in row.iter().zip(columns).enumerate() {
        value::encode(value, &column.kind, format_of(formats, at), &mut data)?;
    }
    Ok(PgWireBackendMessage::DataRow(DataRow::new(
        data,
        row.len() as i16,
    )))
}
