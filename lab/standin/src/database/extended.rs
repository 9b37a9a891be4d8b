//! The extended query protocol: prepared statements and portals.

use std::sync::Arc;

use pgwire::api::Type;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{NoData, ParameterDescription};
use pgwire::messages::extendedquery::{
    Bind, BindComplete, Close, CloseComplete, Describe, Execute, Parse, ParseComplete,
    PortalSuspended, TARGET_TYPE_BYTE_STATEMENT,
};
use pgwire::messages::response::EmptyQueryResponse;
use rusqlite::types::Value;

use super::error::{SqlError, SqlState};
use super::execute::known_columns;
use super::infer::parameter_types;
use super::lexer::{self, RawStatement};
use super::outcome::{self, Column, Outcome, columns_of, format_of};
use super::session::{Failure, Session};
use super::statement::{Statement, StatementKind};
use super::transaction::Stage;
use super::value;

/// Maximum number of prepared statements of one session.
const MAXIMUM_STATEMENTS: usize = 10_000;
/// Maximum number of portals of one session.
const MAXIMUM_PORTALS: usize = 1_000;

/// A prepared statement with its parameter types and result columns.
pub struct Prepared {
    /// The statement, or `None` for an empty query.
    pub(super) statement: Option<Statement>,
    pub(super) parameters: Vec<Type>,
    pub(super) columns: Option<Vec<Column>>,
}

/// A bound statement, with the rows not sent yet once it has run.
pub struct Portal {
    prepared: Arc<Prepared>,
    parameters: Vec<Value>,
    formats: Vec<i16>,
    outcome: Option<Outcome>,
}

impl Session {
    pub(super) async fn parse(&mut self, parse: Parse) -> Result<(), Failure> {
        let name = parse.name.unwrap_or_default();
        let prepared = self.prepare(&parse.query, &parse.type_oids)?;
        self.store_statement(name, prepared)?;
        let complete = ParseComplete::new();
        Ok(self
            .wire
            .push(PgWireBackendMessage::ParseComplete(complete))?)
    }

    /// Stores a prepared statement under its name.
    pub(super) fn store_statement(
        &mut self,
        name: String,
        prepared: Prepared,
    ) -> Result<(), SqlError> {
        if !name.is_empty() && self.statements.contains_key(&name) {
            return Err(SqlError::new(
                SqlState::DuplicatePreparedStatement,
                format!("prepared statement \"{name}\" already exists"),
            ));
        }
        if self.statements.len() >= MAXIMUM_STATEMENTS {
            return Err(SqlError::new(
                SqlState::ProgramLimitExceeded,
                "too many prepared statements",
            ));
        }
        self.statements.insert(name, Arc::new(prepared));
        Ok(())
    }

    fn prepare(&mut self, sql: &str, oids: &[u32]) -> Result<Prepared, SqlError> {
        let mut statements = lexer::split(sql)?;
        if statements.len() > 1 {
            return Err(SqlError::new(
                SqlState::SyntaxError,
                "cannot insert multiple commands into a prepared statement",
            ));
        }
        let Some(raw) = statements.pop() else {
            return Ok(Prepared {
                statement: None,
                parameters: Vec::new(),
                columns: None,
            });
        };
        self.prepare_statement(raw, oids)
    }

    /// Prepares one statement; `oids` are the parameter types specified by the
    /// client.
    pub(super) fn prepare_statement(
        &mut self,
        raw: RawStatement,
        oids: &[u32],
    ) -> Result<Prepared, SqlError> {
        let statement = Statement::prepare(raw)?;
        if self.transaction.stage == Stage::Failed && !statement.is_allowed_in_failed_transaction()
        {
            return Err(SqlError::new(
                SqlState::InFailedSqlTransaction,
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        self.open_implicit();
        let given: Vec<Option<Type>> = oids
            .iter()
            .map(|oid| Type::from_oid(*oid).filter(|kind| *kind != Type::UNKNOWN))
            .collect();
        let (parameters, columns) = self.describe_statement(&statement, &given)?;
        Ok(Prepared {
            statement: Some(statement),
            parameters,
            columns,
        })
    }

    fn describe_statement(
        &mut self,
        statement: &Statement,
        given: &[Option<Type>],
    ) -> Result<(Vec<Type>, Option<Vec<Column>>), SqlError> {
        let count = statement.parameters.max(given.len());
        match &statement.kind {
            StatementKind::Status => Ok((Vec::new(), Some(Self::status_columns()))),
            StatementKind::Show(Some(name)) => {
                Ok((Vec::new(), Some(vec![Column::new(name, Type::TEXT)])))
            }
            StatementKind::Show(None) => Ok((
                Vec::new(),
                Some(vec![
                    Column::new("name", Type::TEXT),
                    Column::new("setting", Type::TEXT),
                ]),
            )),
            StatementKind::Cursor(cursor) => Ok((Vec::new(), self.cursor_columns(cursor))),
            StatementKind::Definition => Ok((vec![Type::TEXT; count], None)),
            _ if !statement.runs_in_store() || statement.kind == StatementKind::CopyOut => {
                Ok((vec![Type::TEXT; count], None))
            }
            _ => self.with_rows(statement, Vec::new(), |store| {
                let engine = store.describe(&statement.sql)?;
                let known = known_columns(store, statement)?;
                let parameters = parameter_types(&statement.tokens, count, given, &known);
                let columns = (!engine.is_empty())
                    .then(|| columns_of(&engine, &statement.tokens, &parameters, &known));
                Ok((parameters, columns))
            }),
        }
    }

    pub(super) fn bind(&mut self, bind: Bind) -> Result<(), Failure> {
        let name = bind.statement_name.unwrap_or_default();
        let prepared = self.statement(&name)?;
        let portal_name = bind.portal_name.unwrap_or_default();
        if !portal_name.is_empty() && self.portals.contains_key(&portal_name) {
            return Err(Failure::Sql(SqlError::new(
                SqlState::DuplicateCursor,
                format!("cursor \"{portal_name}\" already exists"),
            )));
        }
        if self.portals.len() >= MAXIMUM_PORTALS {
            return Err(Failure::Sql(SqlError::new(
                SqlState::ProgramLimitExceeded,
                "too many portals",
            )));
        }
        if bind.parameters.len() != prepared.parameters.len() {
            return Err(Failure::Sql(SqlError::new(
                SqlState::ProtocolViolation,
                format!(
                    "bind message supplies {} parameters, but prepared statement \"{name}\" requires {}",
                    bind.parameters.len(),
                    prepared.parameters.len()
                ),
            )));
        }
        let mut parameters = Vec::with_capacity(bind.parameters.len());
        for (at, (bytes, kind)) in bind.parameters.iter().zip(&prepared.parameters).enumerate() {
            let format = format_of(&bind.parameter_format_codes, at);
            parameters.push(value::decode(bytes.as_deref(), kind, format)?);
        }
        let portal = Portal {
            prepared,
            parameters,
            formats: bind.result_column_format_codes,
            outcome: None,
        };
        self.open_implicit();
        self.portals.insert(portal_name, portal);
        let complete = BindComplete::new();
        Ok(self
            .wire
            .push(PgWireBackendMessage::BindComplete(complete))?)
    }

    pub(super) fn statement(&self, name: &str) -> Result<Arc<Prepared>, SqlError> {
        self.statements.get(name).cloned().ok_or_else(|| {
            SqlError::new(
                SqlState::InvalidSqlStatementName,
                format!("prepared statement \"{name}\" does not exist"),
            )
        })
    }

    pub(super) fn describe(&mut self, describe: &Describe) -> Result<(), Failure> {
        let name = describe.name.clone().unwrap_or_default();
        let (prepared, formats) = if describe.target_type == TARGET_TYPE_BYTE_STATEMENT {
            let prepared = self.statement(&name)?;
            let types = prepared.parameters.iter().map(Type::oid).collect();
            let message = ParameterDescription::new(types);
            self.wire
                .push(PgWireBackendMessage::ParameterDescription(message))?;
            (prepared, Vec::new())
        } else {
            let portal = self.portals.get(&name).ok_or_else(|| no_portal(&name))?;
            (portal.prepared.clone(), portal.formats.clone())
        };
        let message = match &prepared.columns {
            Some(columns) => outcome::describe(columns, &formats),
            None => PgWireBackendMessage::NoData(NoData::new()),
        };
        Ok(self.wire.push(message)?)
    }

    pub(super) async fn execute_portal(&mut self, execute: &Execute) -> Result<(), Failure> {
        let name = execute.name.clone().unwrap_or_default();
        let mut portal = self.portals.remove(&name).ok_or_else(|| no_portal(&name))?;
        let prepared = portal.prepared.clone();
        let Some(statement) = &prepared.statement else {
            let empty = EmptyQueryResponse::new();
            return Ok(self
                .wire
                .push(PgWireBackendMessage::EmptyQueryResponse(empty))?);
        };
        let mut outcome = match portal.outcome.take() {
            Some(outcome) => outcome,
            None => {
                let columns = prepared.columns.as_deref();
                self.execute(statement, &portal.parameters, columns).await?
            }
        };
        let limit = usize::try_from(execute.max_rows)
            .ok()
            .filter(|limit| *limit > 0);
        let sent = self
            .send_rows(&mut outcome, &portal.formats, limit.unwrap_or(usize::MAX))
            .await?;
        if outcome.columns.is_some() && limit == Some(sent) {
            let suspended = PortalSuspended::new();
            self.wire
                .push(PgWireBackendMessage::PortalSuspended(suspended))?;
        } else {
            self.complete(&outcome.final_tag(sent))?;
        }
        portal.outcome = Some(outcome);
        if self.transaction.stage != Stage::Idle {
            self.portals.insert(name, portal);
        }
        Ok(())
    }

    pub(super) fn close(&mut self, close: &Close) -> Result<(), Failure> {
        let name = close.name.clone().unwrap_or_default();
        if close.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.statements.remove(&name);
        } else {
            self.portals.remove(&name);
        }
        let complete = CloseComplete::new();
        Ok(self
            .wire
            .push(PgWireBackendMessage::CloseComplete(complete))?)
    }
}

fn no_portal(name: &str) -> SqlError {
    SqlError::new(
        SqlState::InvalidCursorName,
        format!("portal \"{name}\" does not exist"),
    )
}
