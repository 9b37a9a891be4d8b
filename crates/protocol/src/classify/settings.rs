//! Parsing of `SET`, `RESET` and `SHOW` from their tokens.

use sqlparser::tokenizer::Token;

use super::SettingChange;
use super::text::StatementTokens;

/// Parameters whose value is a list of names. A quoted string in such a list is one name.
const NAME_LIST_PARAMETERS: &[&str] = &[
    "local_preload_libraries",
    "search_path",
    "session_preload_libraries",
    "temp_tablespaces",
];

/// Meaning of a `SET` or `RESET` statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SettingStatement {
    /// Changes of run-time parameters, which are tracked.
    Changes(Vec<SettingChange>),
    /// The statement affects only the current transaction (`SET TRANSACTION`,
    /// `SET CONSTRAINTS`).
    TransactionOnly,
    /// The statement changes the session user (`SET SESSION AUTHORIZATION`).
    SessionAuthorization,
    /// The statement could not be parsed.
    Unknown,
}

/// Parses a statement that starts with `SET`.
pub(super) fn set_statement(statement: &StatementTokens) -> SettingStatement {
    let (start, local) = match &*statement.word(1) {
        "local" => (2, true),
        "session" => (2, false),
        _ => (1, false),
    };
    let first = statement.word(start);
    if first == "transaction" || statement.word(1) == "constraints" {
        return SettingStatement::TransactionOnly;
    }
    if statement.word(1) == "session" && first == "characteristics" {
        return session_characteristics(statement);
    }
    if first == "authorization" || statement.starts_with(&["set", "session", "session"]) {
        return SettingStatement::SessionAuthorization;
    }
    let change = match &*first {
        "time" if statement.word(start + 1) == "zone" => {
            parse_assignment("timezone", &statement.tokens[start + 2..], local)
        }
        "role" if !is_assignment_operator(statement.tokens.get(start + 1)) => {
            parse_assignment("role", &statement.tokens[start + 1..], local)
        }
        "names" => parse_assignment("client_encoding", &statement.tokens[start + 1..], local),
        "schema" => parse_assignment("search_path", &statement.tokens[start + 1..], local),
        _ => parse_plain_assignment(statement, start, local),
    };
    match change {
        Some(change) => SettingStatement::Changes(vec![change]),
        None => SettingStatement::Unknown,
    }
}

/// Parses a statement that starts with `RESET`.
pub(super) fn reset_statement(statement: &StatementTokens) -> SettingStatement {
    if statement.starts_with(&["reset", "session", "authorization"]) {
        return SettingStatement::SessionAuthorization;
    }
    if statement.starts_with(&["reset", "all"]) {
        return SettingStatement::Changes(vec![SettingChange::ResetAll]);
    }
    if statement.starts_with(&["reset", "time", "zone"]) {
        let name = "timezone".to_owned();
        return SettingStatement::Changes(vec![SettingChange::Reset { name }]);
    }
    match split_parameter_name(&statement.tokens[1..]) {
        Some((name, [])) => SettingStatement::Changes(vec![SettingChange::Reset { name }]),
        _ => SettingStatement::Unknown,
    }
}

/// Returns the lower-case name of the parameter that a `SHOW` statement names.
pub(super) fn shown_parameter(statement: &StatementTokens) -> Option<String> {
    if statement.starts_with(&["show", "time", "zone"]) {
        return Some("timezone".to_owned());
    }
    if statement.starts_with(&["show", "transaction", "isolation", "level"]) {
        return Some("transaction_isolation".to_owned());
    }
    split_parameter_name(statement.tokens.get(1..)?)
        .filter(|(_, rest)| rest.is_empty())
        .map(|(name, _)| name)
}

/// Parses `name = value` or `name TO value`, starting at token `start`.
fn parse_plain_assignment(
    statement: &StatementTokens,
    start: usize,
    local: bool,
) -> Option<SettingChange> {
    let (name, rest) = split_parameter_name(statement.tokens.get(start..)?)?;
    let (operator, value) = rest.split_first()?;
    is_assignment_operator(Some(operator))
        .then(|| parse_assignment(&name, value, local))
        .flatten()
}

fn is_assignment_operator(token: Option<&Token>) -> bool {
    match token {
        Some(Token::Eq) => true,
        Some(Token::Word(word)) => {
            word.quote_style.is_none() && word.value.eq_ignore_ascii_case("to")
        }
        _ => false,
    }
}

fn parse_assignment(name: &str, value: &[Token], local: bool) -> Option<SettingChange> {
    if let [Token::Word(word)] = value
        && word.quote_style.is_none()
        && is_default(name, &word.value)
    {
        let name = name.to_owned();
        return (!local).then_some(SettingChange::Reset { name });
    }
    Some(SettingChange::Set {
        name: name.to_owned(),
        value: render_value(name, value)?,
        local,
    })
}

fn is_default(name: &str, word: &str) -> bool {
    word.eq_ignore_ascii_case("default") || name == "timezone" && word.eq_ignore_ascii_case("local")
}

/// Splits a parameter name of one or more parts off `tokens`. Returns the name in lower
/// case and the tokens that follow it.
fn split_parameter_name(tokens: &[Token]) -> Option<(String, &[Token])> {
    let mut name = String::new();
    let mut rest = tokens;
    loop {
        let Some((Token::Word(word), after)) = rest.split_first() else {
            return None;
        };
        name.push_str(&word.value.to_lowercase());
        rest = after;
        match rest.split_first() {
            Some((Token::Period, after)) => {
                name.push('.');
                rest = after;
            }
            _ => return Some((name, rest)),
        }
    }
}

/// Renders the tokens of a value in the form that `set_config` accepts; `None` when there
/// are no tokens or one that cannot be part of a value.
fn render_value(name: &str, tokens: &[Token]) -> Option<String> {
    let mut value = String::new();
    let mut sign = "";
    for token in tokens {
        match token {
            Token::Comma => value.push_str(", "),
            Token::Minus => sign = "-",
            Token::Plus => {}
            Token::Number(number, _) => {
                value.push_str(std::mem::take(&mut sign));
                value.push_str(number);
            }
            Token::SingleQuotedString(text) | Token::EscapedStringLiteral(text) => {
                value.push_str(&render_quoted_item(name, text));
            }
            Token::Word(word) if word.quote_style.is_some() => {
                value.push_str(&render_quoted_item(name, &word.value));
            }
            Token::Word(word) => value.push_str(&word.value.to_lowercase()),
            _ => return None,
        }
    }
    (!tokens.is_empty()).then_some(value)
}

fn render_quoted_item(name: &str, text: &str) -> String {
    if NAME_LIST_PARAMETERS.contains(&name) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_owned()
    }
}

/// Converts `SET SESSION CHARACTERISTICS AS TRANSACTION …` into changes of the parameters
/// that it sets.
fn session_characteristics(statement: &StatementTokens) -> SettingStatement {
    let mut changes = Vec::new();
    let mut set = |name: &str, value: &str| {
        changes.push(SettingChange::Set {
            name: name.to_owned(),
            value: value.to_owned(),
            local: false,
        });
    };
    if statement.contains(&["read", "only"]) {
        set("default_transaction_read_only", "on");
    }
    if statement.contains(&["read", "write"]) {
        set("default_transaction_read_only", "off");
    }
    if statement.contains(&["not", "deferrable"]) {
        set("default_transaction_deferrable", "off");
    } else if statement.contains(&["deferrable"]) {
        set("default_transaction_deferrable", "on");
    }
    for level in [
        "serializable",
        "repeatable read",
        "read committed",
        "read uncommitted",
    ] {
        let words: Vec<&str> = level.split(' ').collect();
        if statement.contains(&words) {
            set("default_transaction_isolation", level);
        }
    }
    SettingStatement::Changes(changes)
}
