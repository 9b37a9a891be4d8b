//! One statement.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;

use super::functions::{CONNECTION_MEMORY_FUNCTIONS, SESSION_LOCK_FUNCTIONS};
use super::query::{self, QueryFacts};
use super::settings::{self, SettingStatement};
use super::text::StatementTokens;
use super::{CopyDirection, SessionEffect, SettingChange, StatementKind, TransactionMode};

/// Run-time parameters that callers may not change. With the old string syntax a text
/// could hide a statement from this classifier; without a local flush the position
/// behind a commit would not cover it.
pub const FIXED_PARAMETERS: [&str; 2] = ["standard_conforming_strings", "synchronous_commit"];
/// Function that sets a run-time parameter.
const SET_CONFIG: &str = "set_config";

/// Deepest nesting that is parsed.
const RECURSION_LIMIT: usize = 64;

/// What has been proved of one statement.
#[derive(Clone, Debug)]
pub(super) struct StatementClass {
    /// What it is.
    pub(super) kind: StatementKind,
    /// Whether it provably writes nothing.
    pub(super) read: bool,
    /// What it leaves in the session.
    pub(super) effect: SessionEffect,
    /// Its changes of run-time parameters.
    pub(super) settings: Vec<SettingChange>,
    /// Mode of the block it opens.
    pub(super) opens: Option<TransactionMode>,
    /// Parameter it shows.
    pub(super) show: Option<String>,
    /// Feature that cannot be carried.
    pub(super) unsupported: Option<String>,
    /// Direction of its data.
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

    fn harmless(kind: StatementKind) -> Self {
        Self::new(kind, true, SessionEffect::None)
    }

    fn of_facts(kind: StatementKind, facts: QueryFacts) -> Self {
        Self::new(kind, facts.read, facts.effect)
    }

    fn unknown(kind: StatementKind) -> Self {
        Self::new(kind, false, SessionEffect::Unknown)
    }
}

/// Classifies one statement.
pub(super) fn classify(statement: &StatementTokens) -> StatementClass {
    let mut class = by_leading_word(statement);
    class.unsupported = unsupported_feature(statement);
    class
}

fn by_leading_word(statement: &StatementTokens) -> StatementClass {
    let second = statement.word(1);
    match &*statement.word(0) {
        "begin" | "start" => begin(statement),
        "commit" | "end" if second == "prepared" => finish_prepared(),
        "commit" | "end" => StatementClass::harmless(StatementKind::Commit),
        "rollback" | "abort" => rollback(statement),
        "savepoint" | "release" => StatementClass::harmless(StatementKind::Savepoint),
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
        "unlisten" => StatementClass::harmless(StatementKind::Other),
        "notify" => StatementClass::new(StatementKind::Other, false, SessionEffect::None),
        "show" => show(statement),
        "explain" => explain(statement),
        "copy" => copy(statement),
        "declare" => declare(statement),
        "fetch" | "move" | "close" => StatementClass::harmless(StatementKind::Cursor),
        "select" | "with" | "values" => parsed(StatementKind::Query, &statement.tokens),
        "insert" | "update" | "delete" | "merge" => {
            parsed(StatementKind::Modify, &statement.tokens)
        }
        "create" | "alter" | "drop" | "truncate" | "grant" | "revoke" | "comment" => {
            parsed(StatementKind::Definition, &statement.tokens)
        }
        _ if statement.tokens.first() == Some(&Token::LParen) => {
            parsed(StatementKind::Query, &statement.tokens)
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
    StatementClass::harmless(kind)
}

fn finish_prepared() -> StatementClass {
    StatementClass::new(StatementKind::FinishPrepared, false, SessionEffect::None)
}

fn set(statement: SettingStatement) -> StatementClass {
    match statement {
        SettingStatement::TransactionOnly => StatementClass::harmless(StatementKind::Set),
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
    let mut class = StatementClass::harmless(StatementKind::Show);
    class.show = settings::shown_parameter(statement);
    class
}

fn parsed(kind: StatementKind, tokens: &[Token]) -> StatementClass {
    match facts(tokens) {
        Some(facts) => StatementClass::of_facts(kind, facts),
        None => StatementClass::unknown(kind),
    }
}

/// Parses exactly one statement.
fn facts(tokens: &[Token]) -> Option<QueryFacts> {
    let mut parser = Parser::new(&PostgreSqlDialect {})
        .with_recursion_limit(RECURSION_LIMIT)
        .with_tokens(tokens.to_vec());
    let statement = parser.parse_statement().ok()?;
    (parser.peek_token().token == Token::EOF).then(|| query::facts_of(&statement))
}

/// `EXPLAIN` alone plans and writes nothing; with `ANALYZE` it runs its statement.
fn explain(statement: &StatementTokens) -> StatementClass {
    let options = explain_options(statement);
    let runs = statement.tokens[..options]
        .iter()
        .any(|token| matches!(token, Token::Word(word) if is_analyze(&word.value)));
    let inner = &statement.tokens[options..];
    if runs {
        let inner = by_leading_word(&StatementTokens {
            tokens: inner.to_vec(),
        });
        return StatementClass::new(StatementKind::Explain, inner.read, inner.effect);
    }
    match facts(inner) {
        Some(_) => StatementClass::harmless(StatementKind::Explain),
        None => StatementClass::unknown(StatementKind::Explain),
    }
}

fn is_analyze(word: &str) -> bool {
    word.eq_ignore_ascii_case("analyze") || word.eq_ignore_ascii_case("analyse")
}

/// Index of the explained statement's first token.
fn explain_options(statement: &StatementTokens) -> usize {
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

/// `COPY` through the connection; to or from files and programs it is never a read.
fn copy(statement: &StatementTokens) -> StatementClass {
    let (source, after) = copy_source(statement);
    let to = statement.word(after) == "to";
    let through_connection = match &*statement.word(after + 1) {
        "stdout" => to,
        "stdin" => !to,
        _ => false,
    };
    if !through_connection {
        return StatementClass::unknown(StatementKind::Copy);
    }
    let mut class = match (to, source) {
        (true, Some(query)) => parsed(StatementKind::Copy, query),
        (true, None) => StatementClass::harmless(StatementKind::Copy),
        (false, _) => StatementClass::new(StatementKind::Copy, false, SessionEffect::None),
    };
    class.copy = Some(if to {
        CopyDirection::ToCaller
    } else {
        CopyDirection::FromCaller
    });
    class
}

/// The query inside the parentheses, if there is one, and the index of `TO` or `FROM`.
fn copy_source(statement: &StatementTokens) -> (Option<&[Token]>, usize) {
    let tokens = &statement.tokens;
    let mut depth = 0_usize;
    let direction = tokens.iter().enumerate().skip(1).find(|(index, token)| {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            _ => {}
        }
        depth == 0 && matches!(&*statement.word(*index), "to" | "from")
    });
    let after = direction.map_or(tokens.len(), |(index, _)| index);
    let starts_with_query = tokens.get(1) == Some(&Token::LParen) && after > 3;
    let query = starts_with_query.then(|| &tokens[2..after - 1]);
    (query, after)
}

/// A cursor lives in its transaction, and its query decides what it is.
fn declare(statement: &StatementTokens) -> StatementClass {
    let query = (1..statement.tokens.len()).find(|index| statement.word(*index) == "for");
    let Some(query) = query else {
        return StatementClass::unknown(StatementKind::Cursor);
    };
    parsed(StatementKind::Cursor, &statement.tokens[query + 1..])
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

/// The fixed parameter that `statement` may change, by `SET` or by a function. A name
/// that is no literal could be any.
fn fixed_parameter(statement: &StatementTokens) -> Option<&'static str> {
    if statement.word(0) == "set"
        && let SettingStatement::Changes(changes) = settings::set_statement(statement)
    {
        return changes.iter().find_map(|change| match change {
            SettingChange::Set { name, .. } => fixed(name),
            _ => None,
        });
    }
    statement.tokens.windows(3).find_map(|window| match window {
        [Token::Word(word), Token::LParen, argument]
            if word.value.eq_ignore_ascii_case(SET_CONFIG) =>
        {
            match argument {
                Token::SingleQuotedString(name) => fixed(name),
                _ => Some("a parameter whose name is not a literal"),
            }
        }
        _ => None,
    })
}

fn fixed(name: &str) -> Option<&'static str> {
    FIXED_PARAMETERS
        .into_iter()
        .find(|fixed| name.eq_ignore_ascii_case(fixed))
}

fn unsupported_call(statement: &StatementTokens) -> Option<String> {
    let mut names = statement.called_names();
    names
        .find(|name| {
            SESSION_LOCK_FUNCTIONS.contains(&&**name)
                || CONNECTION_MEMORY_FUNCTIONS.contains(&&**name)
        })
        .map(|name| format!("{name}()"))
}
