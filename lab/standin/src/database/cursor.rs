//! SQL cursors and prepared statements: DECLARE, FETCH, CLOSE, PREPARE and EXECUTE.

use pgwire::api::Type;
use rusqlite::types::Value;

use super::definition::split_items;
use super::error::{SqlError, SqlState};
use super::extended::Prepared;
use super::lexer::{RawStatement, Token, TokenKind};
use super::outcome::{Column, Outcome};
use super::rewrite::{matching_close, read_type};
use super::session::{Failure, Session};
use super::statement::{Statement, StatementKind};
use super::transaction::Stage;
use super::value;

/// Maximum number of cursors of one session.
const MAXIMUM_CURSORS: usize = 100;

/// A statement that operates on cursors or prepared statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CursorStatement {
    /// DECLARE name CURSOR FOR query
    Declare {
        /// Name of the cursor.
        name: String,
        /// Query of the cursor.
        query: Box<Statement>,
    },
    /// FETCH count FROM name
    Fetch {
        /// Name of the cursor.
        name: String,
        /// Number of rows to fetch; `None` for all.
        count: Option<usize>,
    },
    /// CLOSE name; `None` closes all cursors.
    Close(Option<String>),
    /// PREPARE name (types) AS statement
    Prepare {
        /// Name of the statement.
        name: String,
        /// Specified type identifiers of its parameters.
        types: Vec<u32>,
        /// Tokens of the statement.
        tokens: Vec<Token>,
    },
    /// EXECUTE name (values)
    Execute {
        /// Name of the statement.
        name: String,
        /// Parameter values; `None` for NULL.
        values: Vec<Option<String>>,
    },
}

impl CursorStatement {
    /// Parses a statement that operates on cursors or prepared statements.
    pub fn parse(text: &str, tokens: &[Token]) -> Result<Self, SqlError> {
        let name = tokens.get(1).map(Token::name).unwrap_or_default();
        match tokens[0].text.to_ascii_uppercase().as_str() {
            "DECLARE" => parse_declare(name, text, tokens),
            "FETCH" => parse_fetch(tokens),
            "CLOSE" => Ok(Self::Close((name != "all").then_some(name))),
            "PREPARE" => parse_prepare(name, tokens),
            _ => parse_execute(name, tokens),
        }
    }
}

fn parse_declare(name: String, text: &str, tokens: &[Token]) -> Result<CursorStatement, SqlError> {
    let start = tokens
        .iter()
        .position(|token| token.is_word("FOR"))
        .ok_or_else(|| malformed("DECLARE"))?;
    let holds = tokens[..start]
        .windows(2)
        .any(|pair| pair[0].is_word("WITH") && pair[1].is_word("HOLD"));
    if holds {
        return Err(unsupported("cursors WITH HOLD"));
    }
    let query = Statement::prepare(RawStatement {
        text: text.to_owned(),
        tokens: tokens
            .get(start + 1..)
            .filter(|rest| !rest.is_empty())
            .ok_or_else(|| malformed("DECLARE"))?
            .to_vec(),
    })?;
    if query.kind != StatementKind::Read {
        return Err(unsupported("cursors for anything but plain reads"));
    }
    Ok(CursorStatement::Declare {
        name,
        query: Box::new(query),
    })
}

fn parse_fetch(tokens: &[Token]) -> Result<CursorStatement, SqlError> {
    let name = match tokens.last() {
        Some(token)
            if tokens.len() > 1 && token.is_name() && !token.is_any_word(&["FROM", "IN"]) =>
        {
            token.name()
        }
        _ => return Err(malformed("FETCH")),
    };
    let mut count = Some(1);
    for token in &tokens[1..tokens.len() - 1] {
        if token.is_word("ALL") {
            count = None;
        } else if token.kind == TokenKind::Number {
            count = Some(token.text.parse().map_err(|_| malformed("FETCH"))?);
        } else if !token.is_any_word(&["NEXT", "FORWARD", "FROM", "IN"]) {
            return Err(unsupported("other directions than forward"));
        }
    }
    Ok(CursorStatement::Fetch { name, count })
}

fn parse_prepare(name: String, tokens: &[Token]) -> Result<CursorStatement, SqlError> {
    let start = tokens
        .iter()
        .position(|token| token.is_word("AS"))
        .filter(|start| start + 1 < tokens.len())
        .ok_or_else(|| malformed("PREPARE"))?;
    let mut types = Vec::new();
    if tokens.get(2).is_some_and(|token| token.is_symbol("(")) {
        let close = matching_close(tokens, 2);
        for item in split_items(&tokens[3..close]) {
            let (type_name, _) = read_type(item, 0);
            types.push(
                value::type_by_name(&type_name)
                    .unwrap_or(Type::UNKNOWN)
                    .oid(),
            );
        }
    }
    Ok(CursorStatement::Prepare {
        name,
        types,
        tokens: tokens[start + 1..].to_vec(),
    })
}

fn parse_execute(name: String, tokens: &[Token]) -> Result<CursorStatement, SqlError> {
    let mut values = Vec::new();
    if tokens.get(2).is_some_and(|token| token.is_symbol("(")) {
        let close = matching_close(tokens, 2);
        for item in split_items(&tokens[3..close]) {
            values.push(literal(item)?);
        }
    }
    Ok(CursorStatement::Execute { name, values })
}

fn literal(item: &[Token]) -> Result<Option<String>, SqlError> {
    match item {
        [token] if token.is_word("NULL") => Ok(None),
        [token] if token.kind != TokenKind::Symbol => Ok(Some(token.text.clone())),
        [sign, token] if sign.is_symbol("-") && token.kind == TokenKind::Number => {
            Ok(Some(format!("-{}", token.text)))
        }
        _ => Err(unsupported("values of EXECUTE that are no literals")),
    }
}

impl Session {
    pub(super) async fn run_cursor(
        &mut self,
        statement: &Statement,
        cursor: &CursorStatement,
    ) -> Result<Outcome, Failure> {
        match cursor {
            CursorStatement::Declare { name, query } => self.declare(name, query).await?,
            CursorStatement::Fetch { name, count } => return Ok(self.fetch(name, *count)?),
            CursorStatement::Close(None) => self.cursors.clear(),
            CursorStatement::Close(Some(name)) => {
                self.cursors.remove(name).ok_or_else(|| no_cursor(name))?;
            }
            CursorStatement::Prepare {
                name,
                types,
                tokens,
            } => {
                let raw = RawStatement {
                    text: statement.text.clone(),
                    tokens: tokens.clone(),
                };
                let prepared = self.prepare_statement(raw, types)?;
                if !prepared
                    .statement
                    .as_ref()
                    .is_some_and(Statement::runs_in_store)
                {
                    return Err(Failure::Sql(malformed("PREPARE")));
                }
                self.store_statement(name.clone(), prepared)?;
            }
            CursorStatement::Execute { name, values } => {
                return self.execute_prepared(name, values).await;
            }
        }
        Ok(Outcome::done(statement.tag.clone()))
    }

    async fn declare(&mut self, name: &str, query: &Statement) -> Result<(), SqlError> {
        if self.transaction.stage != Stage::Explicit {
            return Err(SqlError::new(
                SqlState::NoActiveSqlTransaction,
                "DECLARE CURSOR can only be used in transaction blocks",
            ));
        }
        if self.cursors.contains_key(name) {
            return Err(SqlError::new(
                SqlState::DuplicateCursor,
                format!("cursor \"{name}\" already exists"),
            ));
        }
        if self.cursors.len() >= MAXIMUM_CURSORS {
            return Err(SqlError::new(
                SqlState::ProgramLimitExceeded,
                "too many cursors",
            ));
        }
        let outcome = self.run_read(query, &[], None).await?;
        self.cursors.insert(name.to_owned(), outcome);
        Ok(())
    }

    fn fetch(&mut self, name: &str, count: Option<usize>) -> Result<Outcome, SqlError> {
        let cursor = self.cursors.get_mut(name).ok_or_else(|| no_cursor(name))?;
        let columns = cursor.columns.clone().unwrap_or_default();
        let taken = count.unwrap_or(usize::MAX).min(cursor.rows.len());
        let rows = cursor.rows.drain(..taken).collect();
        Ok(Outcome::rows(columns, rows, "FETCH"))
    }

    async fn execute_prepared(
        &mut self,
        name: &str,
        values: &[Option<String>],
    ) -> Result<Outcome, Failure> {
        let prepared = self.statement(name)?;
        if values.len() != prepared.parameters.len() {
            return Err(Failure::Sql(SqlError::new(
                SqlState::SyntaxError,
                format!("wrong number of parameters for prepared statement \"{name}\""),
            )));
        }
        let mut parameters = Vec::with_capacity(values.len());
        for (text, kind) in values.iter().zip(&prepared.parameters) {
            parameters.push(match text {
                Some(text) => value::parse_text(text, kind)?,
                None => Value::Null,
            });
        }
        match &prepared.statement {
            Some(statement) => {
                let run = self.execute(statement, &parameters, prepared.columns.as_deref());
                Box::pin(run).await
            }
            None => Ok(Outcome::done("EXECUTE")),
        }
    }

    /// Returns the columns of the result of a cursor statement.
    pub(super) fn cursor_columns(&self, cursor: &CursorStatement) -> Option<Vec<Column>> {
        match cursor {
            CursorStatement::Fetch { name, .. } => self.cursors.get(name)?.columns.clone(),
            CursorStatement::Execute { name, .. } => self.prepared(name)?.columns.clone(),
            _ => None,
        }
    }

    fn prepared(&self, name: &str) -> Option<&Prepared> {
        self.statements.get(name).map(AsRef::as_ref)
    }
}

fn no_cursor(name: &str) -> SqlError {
    SqlError::new(
        SqlState::InvalidCursorName,
        format!("cursor \"{name}\" does not exist"),
    )
}

fn malformed(command: &str) -> SqlError {
    SqlError::new(SqlState::SyntaxError, format!("syntax error in {command}"))
}

fn unsupported(what: &str) -> SqlError {
    SqlError::new(
        SqlState::FeatureNotSupported,
        format!("the stand-in has no {what}"),
    )
}
