//! Classifies statements and translates them for the embedded engine.

use super::cursor::CursorStatement;
use super::error::{SqlError, SqlState};
use super::lexer::{RawStatement, Token, TokenKind};
use super::rewrite;
use super::side_effect::{self, SideEffect};

#[cfg(test)]
mod tests;

/// Transaction modes of BEGIN or SET TRANSACTION; `None` where not specified.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransactionModes {
    /// READ ONLY (true) or READ WRITE (false).
    pub read_only: Option<bool>,
    /// REPEATABLE READ or SERIALIZABLE (true), or a weaker level (false).
    pub snapshot: Option<bool>,
}

/// Kind of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Reads rows.
    Read,
    /// Reads rows and locks them.
    LockingRead,
    /// Changes rows.
    Write,
    /// Changes the schema.
    Definition,
    /// The status query of the proxies, which bypasses the embedded engine.
    Status,
    /// Opens a transaction.
    Begin(TransactionModes),
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Creates a savepoint.
    Savepoint(String),
    /// Releases a savepoint.
    Release(String),
    /// Rolls back to a savepoint.
    RollbackTo(String),
    /// Changes the modes of the open transaction.
    SetTransaction(TransactionModes),
    /// Changes the modes of later transactions.
    SetSessionModes(TransactionModes),
    /// Changes a setting; without a value, resets it to its default.
    Set {
        /// Whether the change ends with the transaction.
        local: bool,
        /// Name of the setting.
        name: String,
        /// New value.
        value: Option<String>,
    },
    /// Resets all settings to their defaults.
    ResetAll,
    /// Reads a setting, or all settings without a name.
    Show(Option<String>),
    /// Resets the whole session to its initial state.
    DiscardAll,
    /// Deallocates one prepared statement, or all without a name.
    Deallocate(Option<String>),
    /// COPY ... FROM STDIN
    CopyIn {
        /// Target table, as named in the embedded engine.
        table: String,
        /// Target columns; empty for all.
        columns: Vec<String>,
    },
    /// COPY ... TO STDOUT; the statement's SQL reads the rows.
    CopyOut,
    /// Operates on cursors or prepared statements.
    Cursor(CursorStatement),
    /// Accepted and ignored.
    NoOperation,
}

/// A statement ready to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Original text.
    pub text: String,
    /// Original tokens, without schema names.
    pub tokens: Vec<Token>,
    /// Kind of the statement.
    pub kind: StatementKind,
    /// SQL for the embedded engine; empty if the engine does not run the statement.
    pub sql: String,
    /// First words of the command tag, such as `INSERT 0`.
    pub tag: String,
    /// Number of the highest parameter.
    pub parameters: usize,
    /// Calls with effects outside the row store, in order.
    pub side_effects: Vec<SideEffect>,
}

/// The status query of the proxies, with single spaces between words.
const STATUS_QUERY: &str = "SELECT pg_is_in_recovery() AS in_recovery, CASE WHEN pg_is_in_recovery() THEN (SELECT timeline_id FROM pg_control_checkpoint()) ELSE ('x' || substr(pg_walfile_name(pg_current_wal_lsn()), 1, 8))::bit(32)::int END AS term, CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_flush_lsn() END AS position, COALESCE((SELECT string_agg(application_name || '=' || flush_lsn::text, ',') FROM pg_stat_replication), '') AS flushed";

impl Statement {
    /// Classifies and translates one statement.
    pub fn prepare(raw: RawStatement) -> Result<Self, SqlError> {
        let tokens = rewrite::drop_schema_names(raw.tokens);
        check_balance(&tokens)?;
        let mut statement = Self {
            kind: StatementKind::NoOperation,
            sql: String::new(),
            tag: String::new(),
            parameters: highest_parameter(&tokens)?,
            side_effects: Vec::new(),
            text: raw.text,
            tokens,
        };
        if is_status_query(&statement.text) {
            statement.kind = StatementKind::Status;
            statement.tag = "SELECT".to_owned();
            return Ok(statement);
        }
        statement.classify()?;
        if statement.runs_in_store() {
            statement.side_effects = side_effect::find(&statement.tokens)?;
            if statement.sql.is_empty() {
                statement.sql = rewrite::to_engine(&statement.tokens);
            }
        }
        Ok(statement)
    }

    /// Returns whether the embedded engine runs the statement.
    pub fn runs_in_store(&self) -> bool {
        matches!(
            self.kind,
            StatementKind::Read
                | StatementKind::LockingRead
                | StatementKind::Write
                | StatementKind::Definition
                | StatementKind::CopyOut
        )
    }

    /// Returns whether the statement needs a read-write transaction.
    pub fn writes(&self) -> bool {
        const IGNORED_CHANGES: [&str; 6] =
            ["CREATE", "DROP", "ALTER", "GRANT", "REVOKE", "COMMENT"];
        let ignored_change =
            self.kind == StatementKind::NoOperation && self.tokens[0].is_any_word(&IGNORED_CHANGES);
        if ignored_change {
            return true;
        }
        matches!(
            self.kind,
            StatementKind::Write
                | StatementKind::Definition
                | StatementKind::LockingRead
                | StatementKind::CopyIn { .. }
        )
    }

    /// Returns whether the statement is allowed in a failed transaction.
    pub fn is_allowed_in_failed_transaction(&self) -> bool {
        matches!(
            self.kind,
            StatementKind::Commit | StatementKind::Rollback | StatementKind::RollbackTo(_)
        )
    }

    fn classify(&mut self) -> Result<(), SqlError> {
        let first = self.tokens[0].text.to_ascii_uppercase();
        self.tag.clone_from(&first);
        match first.as_str() {
            "SELECT" | "VALUES" | "TABLE" | "WITH" | "(" => self.classify_query(),
            "INSERT" | "UPDATE" | "DELETE" | "REPLACE" | "MERGE" => {
                self.set_write_tag(&first);
                self.kind = StatementKind::Write;
            }
            "TRUNCATE" => self.classify_truncate(),
            "CREATE" | "DROP" | "ALTER" => self.classify_definition(),
            "BEGIN" => self.kind = StatementKind::Begin(modes(&self.tokens[1..])),
            "START" => {
                self.kind = StatementKind::Begin(modes(&self.tokens[1..]));
                self.tag = "START TRANSACTION".to_owned();
            }
            "COMMIT" | "END" => {
                self.kind = StatementKind::Commit;
                self.tag = "COMMIT".to_owned();
            }
            "ABORT" | "ROLLBACK" => self.classify_rollback(),
            "SAVEPOINT" => self.kind = StatementKind::Savepoint(self.last_name()?),
            "RELEASE" => self.kind = StatementKind::Release(self.last_name()?),
            "SET" => self.kind = classify_set(&self.tokens)?,
            "RESET" => self.classify_reset()?,
            "SHOW" => self.classify_show(),
            "DISCARD" => {
                self.kind = StatementKind::DiscardAll;
                self.tag = "DISCARD ALL".to_owned();
            }
            "DEALLOCATE" => self.classify_deallocate()?,
            "COPY" => self.classify_copy()?,
            "DECLARE" | "FETCH" | "CLOSE" | "PREPARE" | "EXECUTE" => {
                let cursor = CursorStatement::parse(&self.text, &self.tokens)?;
                if matches!(
                    cursor,
                    CursorStatement::Declare { .. } | CursorStatement::Close(_)
                ) {
                    self.tag.push_str(" CURSOR");
                }
                self.kind = StatementKind::Cursor(cursor);
            }
            "EXPLAIN" => {
                self.kind = StatementKind::Read;
                self.sql = "SELECT 'Result' AS \"QUERY PLAN\"".to_owned();
            }
            "LISTEN" | "UNLISTEN" | "NOTIFY" | "ANALYZE" | "VACUUM" | "GRANT" | "REVOKE"
            | "COMMENT" | "CHECKPOINT" | "REINDEX" => {}
            "LOCK" => self.tag = "LOCK TABLE".to_owned(),
            _ => return Err(syntax_error(&self.tokens[0])),
        }
        Ok(())
    }

    fn classify_query(&mut self) {
        let verb = main_verb(&self.tokens);
        let changes = self
            .tokens
            .iter()
            .enumerate()
            .any(|(at, token)| starts_change(&self.tokens, at, token));
        if changes {
            self.kind = StatementKind::Write;
            self.set_write_tag(&verb);
            return;
        }
        self.tag = "SELECT".to_owned();
        self.kind = if rewrite::locks_rows(&self.tokens) {
            StatementKind::LockingRead
        } else {
            StatementKind::Read
        };
    }

    fn set_write_tag(&mut self, verb: &str) {
        self.tag = match verb {
            "INSERT" | "REPLACE" => "INSERT 0".to_owned(),
            other => other.to_owned(),
        };
    }

    fn classify_truncate(&mut self) {
        self.kind = StatementKind::Definition;
        self.tag = "TRUNCATE TABLE".to_owned();
        let names = self.tokens[1..]
            .iter()
            .filter(|token| token.is_name())
            .find(|token| !token.is_any_word(&["TABLE", "ONLY"]));
        if let Some(name) = names {
            self.sql = format!("DELETE FROM {}", name.render());
        }
    }

    fn classify_definition(&mut self) {
        const MODIFIERS: [&str; 8] = [
            "UNIQUE",
            "TEMP",
            "TEMPORARY",
            "UNLOGGED",
            "OR",
            "REPLACE",
            "GLOBAL",
            "LOCAL",
        ];
        let object = self.tokens[1..]
            .iter()
            .find(|token| !token.is_any_word(&MODIFIERS))
            .map(|token| token.text.to_ascii_uppercase())
            .unwrap_or_default();
        self.tag = format!("{} {object}", self.tag);
        let known = ["TABLE", "INDEX", "VIEW", "TRIGGER"].contains(&object.as_str());
        if known {
            self.kind = StatementKind::Definition;
        }
    }

    fn classify_rollback(&mut self) {
        self.tag = "ROLLBACK".to_owned();
        let to_savepoint = self.tokens.iter().any(|token| token.is_word("TO"));
        self.kind = match self.tokens.last() {
            Some(name) if to_savepoint => StatementKind::RollbackTo(name.name()),
            _ => StatementKind::Rollback,
        };
    }

    fn classify_reset(&mut self) -> Result<(), SqlError> {
        let name = setting_name(&self.tokens[1..]);
        self.kind = match name.as_str() {
            "" => return Err(syntax_error(&self.tokens[0])),
            "all" => StatementKind::ResetAll,
            _ => StatementKind::Set {
                local: false,
                name,
                value: None,
            },
        };
        Ok(())
    }

    fn classify_show(&mut self) {
        let name = setting_name(&self.tokens[1..]);
        let name = match name.as_str() {
            "timezone" | "timezonezone" => "timezone".to_owned(),
            "transactionisolationlevel" => "transaction_isolation".to_owned(),
            _ => name,
        };
        self.kind = StatementKind::Show((name != "all").then_some(name));
    }

    fn classify_deallocate(&mut self) -> Result<(), SqlError> {
        let name = self.last_name()?;
        let all = name == "all";
        if all {
            self.tag = "DEALLOCATE ALL".to_owned();
        }
        self.kind = StatementKind::Deallocate((!all).then_some(name));
        Ok(())
    }

    fn classify_copy(&mut self) -> Result<(), SqlError> {
        let direction = self
            .tokens
            .iter()
            .rposition(|token| token.is_any_word(&["STDIN", "STDOUT"]))
            .ok_or_else(|| {
                SqlError::new(
                    SqlState::FeatureNotSupported,
                    "COPY works with STDIN and STDOUT only",
                )
            })?;
        let source = self
            .tokens
            .get(1..direction.saturating_sub(1))
            .unwrap_or_default();
        let options = &self.tokens[direction + 1..];
        if options
            .iter()
            .any(|token| token.is_any_word(&["CSV", "BINARY"]))
        {
            return Err(SqlError::new(
                SqlState::FeatureNotSupported,
                "COPY works in the text format only",
            ));
        }
        let Some(head) = source.first() else {
            return Err(syntax_error(&self.tokens[0]));
        };
        if self.tokens[direction].is_word("STDIN") {
            self.kind = StatementKind::CopyIn {
                table: head.render(),
                columns: names_in(&source[1..]),
            };
            return Ok(());
        }
        self.kind = StatementKind::CopyOut;
        self.sql = if head.is_symbol("(") {
            let close = rewrite::matching_close(source, 0);
            rewrite::to_engine(source.get(1..close).unwrap_or_default())
        } else {
            let columns = names_in(&source[1..]);
            let list = if columns.is_empty() {
                "*".to_owned()
            } else {
                columns.join(", ")
            };
            format!("SELECT {list} FROM {}", head.render())
        };
        Ok(())
    }

    fn last_name(&self) -> Result<String, SqlError> {
        match self.tokens.last() {
            Some(token) if self.tokens.len() > 1 && token.is_name() => Ok(token.name()),
            _ => Err(syntax_error(&self.tokens[0])),
        }
    }
}

/// Maximum nesting depth of parentheses and brackets.
const MAXIMUM_NESTING: usize = 200;

/// Rejects empty statements, unbalanced parentheses and brackets, and too deep
/// nesting.
fn check_balance(tokens: &[Token]) -> Result<(), SqlError> {
    let mut open = Vec::new();
    for token in tokens {
        let expected = if token.is_symbol(")") {
            "("
        } else if token.is_symbol("]") {
            "["
        } else {
            if token.is_symbol("(") || token.is_symbol("[") {
                open.push(token.text.as_str());
                if open.len() > MAXIMUM_NESTING {
                    return Err(SqlError::new(
                        SqlState::ProgramLimitExceeded,
                        "the statement nests too deeply",
                    ));
                }
            }
            continue;
        };
        if open.pop() != Some(expected) {
            return Err(syntax_error(token));
        }
    }
    match tokens.first() {
        Some(_) if open.is_empty() => Ok(()),
        _ => Err(SqlError::new(
            SqlState::SyntaxError,
            "syntax error at end of input",
        )),
    }
}

fn names_in(tokens: &[Token]) -> Vec<String> {
    tokens
        .iter()
        .filter(|token| token.is_name())
        .map(Token::render)
        .collect()
}

fn is_status_query(text: &str) -> bool {
    text.split_ascii_whitespace().eq(STATUS_QUERY.split(' '))
}

fn highest_parameter(tokens: &[Token]) -> Result<usize, SqlError> {
    let mut highest = 0;
    for token in tokens
        .iter()
        .filter(|token| token.kind == TokenKind::Parameter)
    {
        let number: Option<u16> = token.text.parse().ok().filter(|number| *number > 0);
        let number = number.ok_or_else(|| {
            SqlError::new(
                SqlState::UndefinedParameter,
                format!("there is no parameter ${}", token.text),
            )
        })?;
        highest = highest.max(usize::from(number));
    }
    Ok(highest)
}

/// Returns the main verb of a query, after its WITH clause.
fn main_verb(tokens: &[Token]) -> String {
    let mut depth = 0;
    for token in tokens {
        if token.is_symbol("(") {
            depth += 1;
        } else if token.is_symbol(")") {
            depth -= 1;
        } else if depth == 0
            && token.is_any_word(&["SELECT", "INSERT", "UPDATE", "DELETE", "VALUES", "TABLE"])
        {
            return token.text.to_ascii_uppercase();
        }
    }
    "SELECT".to_owned()
}

/// Returns whether the token at `at` starts a data-modifying statement inside a
/// query.
fn starts_change(tokens: &[Token], at: usize, token: &Token) -> bool {
    if !token.is_any_word(&["INSERT", "UPDATE", "DELETE"]) {
        return false;
    }
    let followed = tokens.get(at + 1).is_some_and(|next| {
        next.is_any_word(&["INTO", "FROM"]) || (token.is_word("UPDATE") && next.is_name())
    });
    let follows_for = at > 0 && tokens[at - 1].is_any_word(&["FOR", "KEY"]);
    followed && !follows_for
}

fn modes(tokens: &[Token]) -> TransactionModes {
    let mut modes = TransactionModes::default();
    for pair in tokens.windows(2) {
        if pair[0].is_word("READ") && pair[1].is_word("ONLY") {
            modes.read_only = Some(true);
        } else if pair[0].is_word("READ") && pair[1].is_word("WRITE") {
            modes.read_only = Some(false);
        } else if pair[0].is_word("LEVEL") {
            modes.snapshot = Some(pair[1].is_any_word(&["REPEATABLE", "SERIALIZABLE"]));
        }
    }
    modes
}

fn classify_set(tokens: &[Token]) -> Result<StatementKind, SqlError> {
    let mut rest = &tokens[1..];
    let mut local = false;
    if let Some(scope) = rest
        .first()
        .filter(|token| token.is_any_word(&["LOCAL", "SESSION"]))
    {
        let characteristics = rest
            .get(1)
            .is_some_and(|token| token.is_word("CHARACTERISTICS"));
        if characteristics {
            return Ok(StatementKind::SetSessionModes(modes(rest)));
        }
        local = scope.is_word("LOCAL");
        rest = &rest[1..];
    }
    let Some(head) = rest.first() else {
        return Err(syntax_error(&tokens[0]));
    };
    if head.is_word("TRANSACTION") {
        return Ok(StatementKind::SetTransaction(modes(rest)));
    }
    if head.is_any_word(&["ROLE", "AUTHORIZATION", "CONSTRAINTS"]) {
        return Ok(StatementKind::NoOperation);
    }
    let (name, value) = if head.is_word("TIME") {
        ("timezone".to_owned(), rest.get(2..))
    } else if head.is_word("NAMES") {
        ("client_encoding".to_owned(), rest.get(1..))
    } else {
        let at = rest
            .iter()
            .position(|token| token.is_symbol("=") || token.is_word("TO"))
            .ok_or_else(|| syntax_error(head))?;
        (setting_name(&rest[..at]), rest.get(at + 1..))
    };
    let value = value
        .filter(|value| !value.is_empty())
        .ok_or_else(|| syntax_error(head))?;
    let default = value.len() == 1 && value[0].is_word("DEFAULT");
    Ok(StatementKind::Set {
        local,
        name,
        value: (!default).then(|| setting_value(value)),
    })
}

fn setting_name(tokens: &[Token]) -> String {
    tokens
        .iter()
        .map(|token| token.text.to_lowercase())
        .collect()
}

fn setting_value(tokens: &[Token]) -> String {
    let mut value = String::new();
    for token in tokens {
        if token.is_symbol(",") {
            value.push_str(", ");
        } else {
            value.push_str(&token.text);
        }
    }
    value
}

fn syntax_error(token: &Token) -> SqlError {
    SqlError::new(
        SqlState::SyntaxError,
        format!("syntax error at or near \"{}\"", token.text),
    )
}
