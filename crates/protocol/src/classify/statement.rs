//! Classification of one statement.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;

use super::functions::{CONNECTION_STATE_FUNCTIONS, SESSION_LOCK_FUNCTIONS};
use super::query::{self, QueryFacts};
use super::settings::{self, SettingStatement};
use super::text::StatementTokens;
use super::{CopyDirection, SessionEffect, SettingChange, StatementKind, TransactionMode};

/// Run-time parameters that clients must not change. With `standard_conforming_strings`
/// off, a text could hide a statement from the classifier. Without the local flush that
/// `synchronous_commit` ensures, the position read after a commit would not cover the
/// commit.
pub const FIXED_PARAMETERS: [&str; 2] = ["standard_conforming_strings", "synchronous_commit"];
/// Name of the function that sets a run-time parameter.
const SET_CONFIG: &str = "set_config";

/// Recursion limit of the parser; statements nested deeper count as unparsable.
const RECURSION_LIMIT: usize = 64;

/// Classification of one statement.
#[derive(Clone, Debug)]
pub(super) struct StatementClass {
    /// Kind of the statement.
    pub(super) kind: StatementKind,
    /// Whether the statement provably writes nothing.
    pub(super) read: bool,
    /// Session state that the statement leaves on the connection.
    pub(super) effect: SessionEffect,
    /// Changes of run-time parameters made by the statement.
    pub(super) settings: Vec<SettingChange>,
    /// Mode of the transaction block that the statement opens, if any.
    pub(super) opens: Option<TransactionMode>,
    /// Name of the parameter that the statement shows, if any.
    pub(super) show: Option<String>,
    /// Feature used by the statement that transaction pooling does not support.
    pub(super) unsupported: Option<String>,
    /// Direction of the data when the statement is a `COPY` through the connection.
    pub(super) copy: Option<CopyDirection>,
}

impl StatementClass {
    fn new(kind: StatementKind, read: bool, effect: SessionEffect) -> Self {
        Self {
            kind,
            read,
            effect,
            settings: Vec::new(),
            opens: None,
            show: None,
            unsupported: None,
            copy: None,
        }
    }

    /// A statement that writes nothing and leaves no session state.
    fn without_effect(kind: StatementKind) -> Self {
        Self::new(kind, true, SessionEffect::None)
    }

    fn from_facts(kind: StatementKind, facts: QueryFacts) -> Self {
        Self::new(kind, facts.read, facts.effect)
    }

    /// A statement that may write and may leave any session state.
    fn unknown(kind: StatementKind) -> Self {
        Self::new(kind, false, SessionEffect::Unknown)
    }
}

/// Classifies a statement, including the unsupported feature that it uses, if any.
pub(super) fn classify(statement: &StatementTokens) -> StatementClass {
    let mut class = classify_by_leading_word(statement);
    class.unsupported = unsupported_feature(statement);
    class
}

fn classify_by_leading_word(statement: &StatementTokens) -> StatementClass {
    let second = statement.word(1);
    match &*statement.word(0) {
        "begin" | "start" => begin(statement),
        "commit" | "end" if second == "prepared" => finish_prepared(),
        "commit" | "end" => StatementClass::without_effect(StatementKind::Commit),
        "rollback" | "abort" => rollback(statement),
        "savepoint" | "release" => StatementClass::without_effect(StatementKind::Savepoint),
        "prepare" if second == "transaction" => StatementClass::new(
            StatementKind::PrepareTransaction,
            false,
            SessionEffect::None,
        ),
        "set" => set(settings::set_statement(statement)),
        "reset" => set(settings::reset_statement(statement)),
        "discard" | "deallocate" => {
            StatementClass::new(StatementKind::Set, true, SessionEffect::Unknown)
        }
        "unlisten" => StatementClass::without_effect(StatementKind::Other),
        "notify" => StatementClass::new(StatementKind::Other, false, SessionEffect::None),
        "show" => show(statement),
        "explain" => explain(statement),
        "copy" => copy(statement),
        "declare" => declare(statement),
        "fetch" | "move" | "close" => StatementClass::without_effect(StatementKind::Cursor),
        "select" | "with" | "values" => classify_parsed(StatementKind::Query, &statement.tokens),
        "insert" | "update" | "delete" | "merge" => {
            classify_parsed(StatementKind::Modify, &statement.tokens)
        }
        "create" | "alter" | "drop" | "truncate" | "grant" | "revoke" | "comment" => {
            classify_parsed(StatementKind::Definition, &statement.tokens)
        }
        _ if statement.tokens.first() == Some(&Token::LParen) => {
            classify_parsed(StatementKind::Query, &statement.tokens)
        }
        _ => StatementClass::unknown(StatementKind::Other),
    }
}

fn begin(statement: &StatementTokens) -> StatementClass {
    let read_only =
        statement.contains(&["read", "only"]) && !statement.contains(&["read", "write"]);
    let mut class = StatementClass::new(StatementKind::Begin, read_only, SessionEffect::None);
    class.opens = Some(TransactionMode { read_only });
    class
}

fn rollback(statement: &StatementTokens) -> StatementClass {
    if statement.word(1) == "prepared" {
        return finish_prepared();
    }
    let kind = if statement.contains(&["to"]) {
        StatementKind::Savepoint
    } else {
        StatementKind::Rollback
    };
    StatementClass::without_effect(kind)
}

fn finish_prepared() -> StatementClass {
    StatementClass::new(StatementKind::FinishPrepared, false, SessionEffect::None)
}

fn set(statement: SettingStatement) -> StatementClass {
    match statement {
        SettingStatement::TransactionOnly => StatementClass::without_effect(StatementKind::Set),
        SettingStatement::SessionAuthorization | SettingStatement::Unknown => {
            StatementClass::new(StatementKind::Set, true, SessionEffect::Unknown)
        }
        SettingStatement::Changes(changes) => {
            let local_only = changes
                .iter()
                .all(|change| matches!(change, SettingChange::Set { local: true, .. }));
            let effect = if local_only {
                SessionEffect::None
            } else {
                SessionEffect::Tracked
            };
            let mut class = StatementClass::new(StatementKind::Set, true, effect);
            class.settings = changes;
            class
        }
    }
}

fn show(statement: &StatementTokens) -> StatementClass {
    let mut class = StatementClass::without_effect(StatementKind::Show);
    class.show = settings::shown_parameter(statement);
    class
}

/// Classifies `tokens` by parsing them; tokens that do not parse get the unknown class.
fn classify_parsed(kind: StatementKind, tokens: &[Token]) -> StatementClass {
    match parse_facts(tokens) {
        Some(facts) => StatementClass::from_facts(kind, facts),
        None => StatementClass::unknown(kind),
    }
}

/// Parses and analyses exactly one statement; `None` when `tokens` are not one.
fn parse_facts(tokens: &[Token]) -> Option<QueryFacts> {
    let mut parser = Parser::new(&PostgreSqlDialect {})
        .with_recursion_limit(RECURSION_LIMIT)
        .with_tokens(tokens.to_vec());
    let statement = parser.parse_statement().ok()?;
    (parser.peek_token().token == Token::EOF).then(|| query::facts_of(&statement))
}

/// `EXPLAIN` only plans the statement and writes nothing; with `ANALYZE` it also runs the
/// statement and is classified like it.
fn explain(statement: &StatementTokens) -> StatementClass {
    let inner_start = explained_statement_index(statement);
    let is_run = statement.tokens[..inner_start]
        .iter()
        .any(|token| matches!(token, Token::Word(word) if is_analyze(&word.value)));
    let inner = &statement.tokens[inner_start..];
    if is_run {
        let inner = classify_by_leading_word(&StatementTokens {
            tokens: inner.to_vec(),
        });
        return StatementClass::new(StatementKind::Explain, inner.read, inner.effect);
    }
    match parse_facts(inner) {
        Some(_) => StatementClass::without_effect(StatementKind::Explain),
        None => StatementClass::unknown(StatementKind::Explain),
    }
}

fn is_analyze(word: &str) -> bool {
    word.eq_ignore_ascii_case("analyze") || word.eq_ignore_ascii_case("analyse")
}

/// Returns the index of the first token of the explained statement, after the options of
/// `EXPLAIN`.
fn explained_statement_index(statement: &StatementTokens) -> usize {
    let mut index = 1;
    if statement.tokens.get(1) == Some(&Token::LParen) {
        let close = statement
            .tokens
            .iter()
            .position(|token| *token == Token::RParen);
        return close.map_or(statement.tokens.len(), |close| close + 1);
    }
    while is_analyze(&statement.word(index)) || statement.word(index) == "verbose" {
        index += 1;
    }
    index.min(statement.tokens.len())
}

/// Classifies `COPY`. A `COPY` to or from a file or program of the server is never a read.
fn copy(statement: &StatementTokens) -> StatementClass {
    let (source, direction) = copy_source(statement);
    let to = statement.word(direction) == "to";
    let through_connection = match &*statement.word(direction + 1) {
        "stdout" => to,
        "stdin" => !to,
        _ => false,
    };
    if !through_connection {
        return StatementClass::unknown(StatementKind::Copy);
    }
    let mut class = match (to, source) {
        (true, Some(query)) => classify_parsed(StatementKind::Copy, query),
        (true, None) => StatementClass::without_effect(StatementKind::Copy),
        (false, _) => StatementClass::new(StatementKind::Copy, false, SessionEffect::None),
    };
    class.copy = Some(if to {
        CopyDirection::ToCaller
    } else {
        CopyDirection::FromCaller
    });
    class
}

/// Returns the tokens of the parenthesized query, if there is one, and the index of the
/// `TO` or `FROM` that gives the direction (the number of tokens when there is neither).
fn copy_source(statement: &StatementTokens) -> (Option<&[Token]>, usize) {
    let tokens = &statement.tokens;
    let mut depth = 0_usize;
    let found = tokens.iter().enumerate().skip(1).find(|(index, token)| {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth == 0 && matches!(&*statement.word(*index), "to" | "from")
    });
    let direction = found.map_or(tokens.len(), |(index, _)| index);
    let starts_with_query = tokens.get(1) == Some(&Token::LParen) && direction > 3;
    let query = starts_with_query.then(|| &tokens[2..direction - 1]);
    (query, direction)
}

/// Classifies `DECLARE` by the query of the cursor. A cursor ends with its transaction, so
/// it leaves no session state.
fn declare(statement: &StatementTokens) -> StatementClass {
    let for_index = (1..statement.tokens.len()).find(|index| statement.word(*index) == "for");
    let Some(for_index) = for_index else {
        return StatementClass::unknown(StatementKind::Cursor);
    };
    classify_parsed(StatementKind::Cursor, &statement.tokens[for_index + 1..])
}

fn unsupported_feature(statement: &StatementTokens) -> Option<String> {
    let feature = match &*statement.word(0) {
        "listen" => "LISTEN",
        "load" => "LOAD",
        "prepare" if statement.word(1) != "transaction" => "PREPARE",
        "execute" => "EXECUTE",
        "deallocate"
            if statement.word(1) != "all"
                && !statement.starts_with(&["deallocate", "prepare", "all"]) =>
        {
            "DEALLOCATE"
        }
        "declare" if statement.contains(&["with", "hold"]) => "DECLARE ... WITH HOLD",
        "commit" | "end" | "rollback" | "abort" if statement.contains(&["and", "chain"]) => {
            "AND CHAIN"
        }
        "create" if creates_temporary(statement) => "temporary tables",
        "select" | "with" if selects_into_temporary(statement) => "temporary tables",
        "set" if settings::set_statement(statement) == SettingStatement::SessionAuthorization => {
            "SET SESSION AUTHORIZATION"
        }
        _ => {
            return fixed_parameter(statement)
                .map(|name| format!("a change of {name}"))
                .or_else(|| unsupported_call(statement));
        }
    };
    Some(feature.to_owned())
}

fn creates_temporary(statement: &StatementTokens) -> bool {
    let prefix = (1..5).map(|index| statement.word(index));
    let kinds = ["temp", "temporary"];
    prefix
        .take_while(|word| !matches!(&**word, "table" | "view" | "sequence" | "index" | ""))
        .any(|word| kinds.contains(&&*word))
        || in_temporary_schema(statement)
}

fn in_temporary_schema(statement: &StatementTokens) -> bool {
    statement.tokens.windows(2).any(|pair| {
        matches!(pair, [Token::Word(word), Token::Period] if word.value.eq_ignore_ascii_case("pg_temp"))
    })
}

fn selects_into_temporary(statement: &StatementTokens) -> bool {
    ["temp", "temporary"].iter().any(|kind| {
        statement.contains(&["into", kind]) || statement.contains(&["into", "local", kind])
    })
}

/// Returns the fixed parameter that `statement` may change with `SET` or `set_config`. A
/// name that is not a literal could be the name of a fixed parameter.
fn fixed_parameter(statement: &StatementTokens) -> Option<&'static str> {
    if statement.word(0) == "set"
        && let SettingStatement::Changes(changes) = settings::set_statement(statement)
    {
        return changes.iter().find_map(|change| match change {
            SettingChange::Set { name, .. } => find_fixed_parameter(name),
            _ => None,
        });
    }
    statement.tokens.windows(3).find_map(|window| match window {
        [Token::Word(word), Token::LParen, argument]
            if word.value.eq_ignore_ascii_case(SET_CONFIG) =>
        {
            match argument {
                Token::SingleQuotedString(name) => find_fixed_parameter(name),
                _ => Some("a parameter whose name is not a literal"),
            }
        }
        _ => None,
    })
}

fn find_fixed_parameter(name: &str) -> Option<&'static str> {
    FIXED_PARAMETERS
        .into_iter()
        .find(|fixed| name.eq_ignore_ascii_case(fixed))
}

fn unsupported_call(statement: &StatementTokens) -> Option<String> {
    let mut names = statement.called_names();
    names
        .find(|name| {
            SESSION_LOCK_FUNCTIONS.contains(&&**name)
                || CONNECTION_STATE_FUNCTIONS.contains(&&**name)
        })
        .map(|name| format!("{name}()"))
}
