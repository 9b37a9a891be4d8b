//! COPY in the text format.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::copy::{CopyData, CopyDone, CopyInResponse, CopyOutResponse};
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use rusqlite::types::Value;

use super::entry::LoggedStatement;
use super::error::{SqlError, SqlState};
use super::outcome::Outcome;
use super::session::{Failure, Session};
use super::statement::Statement;
use super::value;

/// Maximum size of the data of one COPY FROM, in bytes.
const MAXIMUM_COPY_BYTES: usize = 64 * 1024 * 1024;
/// Representation of NULL in the text format.
const NULL: &str = "\\N";

impl Session {
    pub(super) async fn copy_in(
        &mut self,
        statement: &Statement,
        table: &str,
        columns: &[String],
    ) -> Result<Outcome, Failure> {
        let name = table.trim_matches('"').to_lowercase();
        let known = self.with_rows(statement, Vec::new(), |store| {
            store.column_types(std::slice::from_ref(&name))
        })?;
        let all = known.tables.get(&name).cloned().unwrap_or_default();
        if all.is_empty() {
            return Err(Failure::Sql(SqlError::new(
                SqlState::UndefinedTable,
                format!("relation \"{name}\" does not exist"),
            )));
        }
        let targets: Vec<_> = if columns.is_empty() {
            all
        } else {
            let named = |column: &String| {
                let column = column.trim_matches('"').to_lowercase();
                all.iter().find(|(known, _)| *known == column).cloned()
            };
            columns.iter().filter_map(named).collect()
        };
        let width = targets.len() as i16;
        let response = CopyInResponse::new(0, width, vec![0; targets.len()]);
        self.wire
            .push(PgWireBackendMessage::CopyInResponse(response))?;
        self.wire.flush().await?;
        let data = self.read_copy().await?;
        self.begin_write().await?;
        let names: Vec<String> = targets
            .iter()
            .map(|(name, _)| format!("\"{name}\""))
            .collect();
        let places: Vec<String> = (1..=targets.len()).map(|at| format!("?{at}")).collect();
        let sql = format!(
            "INSERT INTO {table} ({}) VALUES ({})",
            names.join(", "),
            places.join(", ")
        );
        let mut count = 0;
        for line in data.lines().take_while(|line| *line != "\\.") {
            let fields: Vec<&str> = line.split('\t').collect();
            if fields.len() != targets.len() {
                return Err(Failure::Sql(SqlError::new(
                    SqlState::BadCopyFileFormat,
                    format!(
                        "line {} has {} columns, not {width}",
                        count + 1,
                        fields.len()
                    ),
                )));
            }
            let mut row = Vec::with_capacity(fields.len());
            for (field, (_, kind)) in fields.iter().zip(&targets) {
                row.push(match *field {
                    NULL => Value::Null,
                    text => value::parse_text(&unescape(text), kind)?,
                });
            }
            let seed = self.node.next_seed();
            let rows = self.with_rows(statement, Vec::new(), |store| store.run(&sql, &row))?;
            let logged = LoggedStatement {
                text: statement.text.clone(),
                sql: sql.clone(),
                parameters: row,
                seed,
            };
            self.record(logged, &rows, true);
            count += 1;
        }
        Ok(Outcome::done(format!("COPY {count}")))
    }

    async fn read_copy(&mut self) -> Result<String, Failure> {
        let mut data = Vec::new();
        loop {
            let Some(message) = self.wire.read().await? else {
                return Err(Failure::Sql(SqlError::fatal(
                    SqlState::ProtocolViolation,
                    "unexpected EOF on client connection with an open transaction",
                )));
            };
            match message {
                PgWireFrontendMessage::CopyData(chunk) => data.extend_from_slice(&chunk.data),
                PgWireFrontendMessage::CopyDone(_) => break,
                PgWireFrontendMessage::CopyFail(fail) => {
                    return Err(Failure::Sql(SqlError::new(
                        SqlState::QueryCanceled,
                        format!("COPY from stdin failed: {}", fail.message),
                    )));
                }
                PgWireFrontendMessage::Flush(_) | PgWireFrontendMessage::Sync(_) => {}
                _ => {
                    return Err(Failure::Sql(SqlError::fatal(
                        SqlState::ProtocolViolation,
                        "unexpected message during COPY from stdin",
                    )));
                }
            }
            if data.len() > MAXIMUM_COPY_BYTES {
                return Err(Failure::Sql(SqlError::new(
                    SqlState::ProgramLimitExceeded,
                    "the copied data is too large for the stand-in",
                )));
            }
        }
        String::from_utf8(data).map_err(|_| {
            Failure::Sql(SqlError::new(
                SqlState::BadCopyFileFormat,
                "invalid byte sequence for encoding \"UTF8\"",
            ))
        })
    }

    pub(super) async fn copy_out(&mut self, statement: &Statement) -> Result<Outcome, Failure> {
        let rows = self.with_rows(statement, Vec::new(), |store| {
            store.run(&statement.sql, &[])
        })?;
        let width = rows.columns.len();
        let response = CopyOutResponse::new(0, width as i16, vec![0; width]);
        self.wire
            .push(PgWireBackendMessage::CopyOutResponse(response))?;
        let count = rows.rows.len();
        for row in rows.rows {
            let data = CopyData::new(encode_line(&row, &rows.columns)?);
            self.wire.push(PgWireBackendMessage::CopyData(data))?;
            if self.wire.is_full() {
                if self.identity.slot.cancellation.take() {
                    return Err(Failure::Sql(SqlError::canceled()));
                }
                self.wire.flush().await?;
            }
        }
        self.wire
            .push(PgWireBackendMessage::CopyDone(CopyDone::new()))?;
        Ok(Outcome::done(format!("COPY {count}")))
    }
}

fn encode_line(row: &[Value], columns: &[super::store::EngineColumn]) -> Result<Bytes, SqlError> {
    let mut line = BytesMut::new();
    for (at, (field, column)) in row.iter().zip(columns).enumerate() {
        if at > 0 {
            line.put_u8(b'\t');
        }
        if matches!(field, Value::Null) {
            line.put_slice(NULL.as_bytes());
            continue;
        }
        let kind = column.declared.clone().unwrap_or(pgwire::api::Type::TEXT);
        let mut encoded = BytesMut::new();
        value::encode(field, &kind, 0, &mut encoded)?;
        for byte in &encoded[4..] {
            match byte {
                b'\\' => line.put_slice(b"\\\\"),
                b'\t' => line.put_slice(b"\\t"),
                b'\n' => line.put_slice(b"\\n"),
                b'\r' => line.put_slice(b"\\r"),
                other => line.put_u8(*other),
            }
        }
    }
    line.put_u8(b'\n');
    Ok(line.freeze())
}

fn unescape(field: &str) -> String {
    let mut result = String::with_capacity(field.len());
    let mut letters = field.chars();
    while let Some(letter) = letters.next() {
        if letter != '\\' {
            result.push(letter);
            continue;
        }
        match letters.next() {
            Some('t') => result.push('\t'),
            Some('n') => result.push('\n'),
            Some('r') => result.push('\r'),
            Some(other) => result.push(other),
            None => {}
        }
    }
    result
}
