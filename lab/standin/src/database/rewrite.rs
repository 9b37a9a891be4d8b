//! Rewrites PostgreSQL syntax into the syntax of the embedded engine.

use super::definition;
use super::lexer::{Token, TokenKind};

/// Schemas whose names are dropped.
const DROPPED_SCHEMAS: [&str; 2] = ["pg_catalog", "public"];
/// Schemas whose names become a prefix of the table's name.
const PREFIX_SCHEMAS: [&str; 1] = ["hookpoint"];

/// Drops schema names or folds them into the table name, because the embedded
/// engine has no schemas.
pub fn drop_schema_names(tokens: Vec<Token>) -> Vec<Token> {
    let mut result = Vec::with_capacity(tokens.len());
    let mut tokens = tokens.into_iter().peekable();
    while let Some(token) = tokens.next() {
        let qualifies = token.is_name() && tokens.peek().is_some_and(|next| next.is_symbol("."));
        let name = token.name();
        if qualifies && DROPPED_SCHEMAS.contains(&name.as_str()) {
            tokens.next();
        } else if qualifies && PREFIX_SCHEMAS.contains(&name.as_str()) && is_setting(&result) {
            result.push(token);
        } else if qualifies && PREFIX_SCHEMAS.contains(&name.as_str()) {
            tokens.next();
            if let Some(table) = tokens.next() {
                result.push(Token {
                    kind: table.kind,
                    text: format!("{name}_{}", table.name()),
                });
            }
        } else {
            result.push(token);
        }
    }
    result
}

/// Returns whether the name that follows the tokens `before` is the name of a
/// setting.
fn is_setting(before: &[Token]) -> bool {
    before
        .first()
        .is_some_and(|token| token.is_any_word(&["SET", "SHOW", "RESET"]))
}

/// Returns whether a query has a row locking clause such as FOR UPDATE or FOR
/// SHARE.
pub fn locks_rows(tokens: &[Token]) -> bool {
    tokens
        .windows(2)
        .any(|pair| starts_lock(&pair[0], &pair[1]))
}

fn starts_lock(first: &Token, second: &Token) -> bool {
    first.is_word("FOR") && second.is_any_word(&["UPDATE", "SHARE", "NO", "KEY"])
}

/// Returns the statement in the syntax of the embedded engine.
pub fn to_engine(tokens: &[Token]) -> String {
    let tokens = drop_locking(tokens);
    let tokens = rename_calls(&tokens);
    let tokens = rewrite_casts(&tokens);
    let tokens = definition::rewrite(tokens);
    let mut sql = String::new();
    for token in &tokens {
        if !sql.is_empty() {
            sql.push(' ');
        }
        sql.push_str(&token.render());
    }
    sql
}

fn drop_locking(tokens: &[Token]) -> Vec<Token> {
    let mut result = Vec::with_capacity(tokens.len());
    let mut skipping = false;
    for (at, token) in tokens.iter().enumerate() {
        let next = tokens.get(at + 1);
        if next.is_some_and(|next| starts_lock(token, next)) {
            skipping = true;
        } else if token.is_symbol(")") || token.is_any_word(&["LIMIT", "OFFSET"]) {
            skipping = false;
        }
        if !skipping {
            result.push(token.clone());
        }
    }
    result
}

/// Keywords that PostgreSQL evaluates as function calls without parentheses, and
/// the functions to call instead.
const BARE_CALLS: [(&str, &str); 5] = [
    ("current_timestamp", "now"),
    ("localtimestamp", "now"),
    ("current_user", "pg_user"),
    ("session_user", "pg_user"),
    ("current_role", "pg_user"),
];
/// Set-returning functions that are implemented as tables.
const TABLE_CALLS: [&str; 1] = ["pg_control_checkpoint"];
/// Functions that have a different name in the embedded engine.
const RENAMED_CALLS: [(&str, &str); 2] = [("greatest", "max"), ("least", "min")];

fn rename_calls(tokens: &[Token]) -> Vec<Token> {
    let mut result = Vec::with_capacity(tokens.len());
    let mut at = 0;
    while at < tokens.len() {
        let token = &tokens[at];
        let called = tokens.get(at + 1).is_some_and(|next| next.is_symbol("("));
        if token.is_word("generate_series") && called {
            at = rewrite_series(tokens, at, &mut result);
            continue;
        }
        at += 1;
        if let Some((_, call)) = BARE_CALLS.iter().find(|(word, _)| token.is_word(word)) {
            result.extend([Token::word(call), Token::symbol("("), Token::symbol(")")]);
        } else if called && token.is_any_word(&TABLE_CALLS) {
            result.push(token.clone());
            at += 2;
        } else if let Some((_, name)) = RENAMED_CALLS
            .iter()
            .find(|(word, _)| called && token.is_word(word))
        {
            result.push(Token::word(name));
        } else {
            result.push(token.clone());
        }
    }
    result
}

/// Rewrites `generate_series(a, b) AS name` into a subquery whose column has that
/// name. Returns the index of the first token after the call and its alias.
fn rewrite_series(tokens: &[Token], at: usize, result: &mut Vec<Token>) -> usize {
    let close = matching_close(tokens, at + 1);
    let call = &tokens[at..=close.min(tokens.len() - 1)];
    let after_from = result.last().is_some_and(|last| {
        last.is_any_word(&["FROM", "JOIN"]) || (last.is_symbol(",") && has_from(result))
    });
    let mut next = close + 1;
    if tokens.get(next).is_some_and(|token| token.is_word("AS")) {
        next += 1;
    }
    let alias = tokens
        .get(next)
        .filter(|token| token.is_name() && !token.is_any_word(&CLAUSE_WORDS))
        .cloned();
    let mut column = alias
        .clone()
        .unwrap_or_else(|| Token::word("generate_series"));
    let mut end = if alias.is_some() { next + 1 } else { close + 1 };
    if alias.is_some() && tokens.get(end).is_some_and(|token| token.is_symbol("(")) {
        column = tokens.get(end + 1).cloned().unwrap_or(column);
        end = matching_close(tokens, end) + 1;
    }
    if after_from {
        result.extend([Token::symbol("("), Token::word("SELECT")]);
    }
    result.extend([Token::word("value"), Token::word("AS"), column.clone()]);
    result.push(Token::word("FROM"));
    result.extend_from_slice(call);
    if after_from {
        result.extend([Token::symbol(")"), Token::word("AS")]);
        result.push(alias.unwrap_or(column));
    }
    end
}

fn has_from(tokens: &[Token]) -> bool {
    tokens.iter().any(|token| token.is_word("FROM"))
}

const CLAUSE_WORDS: [&str; 16] = [
    "WHERE", "GROUP", "ORDER", "LIMIT", "OFFSET", "UNION", "HAVING", "JOIN", "LEFT", "RIGHT",
    "INNER", "CROSS", "ON", "FROM", "FOR", "FULL",
];

/// Returns the index of the parenthesis that closes the one at `open`.
pub fn matching_close(tokens: &[Token], open: usize) -> usize {
    let mut depth = 0;
    for (at, token) in tokens.iter().enumerate().skip(open) {
        if token.is_symbol("(") {
            depth += 1;
        } else if token.is_symbol(")") {
            depth -= 1;
            if depth == 0 {
                return at;
            }
        }
    }
    tokens.len().saturating_sub(1)
}

fn rewrite_casts(tokens: &[Token]) -> Vec<Token> {
    let mut result: Vec<Token> = Vec::with_capacity(tokens.len());
    // For each open parenthesis, the start of the CAST to which it belongs.
    let mut opened: Vec<Option<usize>> = Vec::new();
    let mut at = 0;
    while at < tokens.len() {
        let token = &tokens[at];
        if token.is_symbol("::") {
            let (name, next) = read_type(tokens, at + 1);
            let start = operand_start(&result);
            wrap_cast(&mut result, start, &name);
            at = next;
            continue;
        }
        if let Some(text) = interval_after(tokens, at) {
            let start = operand_start(&result);
            wrap_interval(&mut result, start, token, text);
            at += 3;
            continue;
        }
        if token.is_word("AS") && matches!(opened.last(), Some(Some(_))) {
            let (name, next) = read_type(tokens, at + 1);
            if let Some(Some(start)) = opened.pop() {
                result.remove(start);
                result.remove(start);
                wrap_cast(&mut result, start, &name);
            }
            at = next + 1;
            continue;
        }
        if token.is_symbol("(") {
            let of_cast = result.last().is_some_and(|last| last.is_word("CAST"));
            opened.push(of_cast.then(|| result.len() - 1));
        } else if token.is_symbol(")") {
            opened.pop();
        }
        result.push(token.clone());
        at += 1;
    }
    result
}

fn interval_after(tokens: &[Token], at: usize) -> Option<&Token> {
    let sign = tokens[at].is_symbol("+") || tokens[at].is_symbol("-");
    let word = tokens.get(at + 1)?.is_word("interval");
    let text = tokens.get(at + 2)?;
    (sign && word && text.kind == TokenKind::Text).then_some(text)
}

fn wrap_interval(result: &mut Vec<Token>, start: usize, sign: &Token, text: &Token) {
    result.insert(start, Token::word("pg_add_interval"));
    result.insert(start + 1, Token::symbol("("));
    result.extend([Token::symbol(","), text.clone(), Token::symbol(",")]);
    let factor = if sign.is_symbol("-") { "-1" } else { "1" };
    result.extend([Token::symbol(factor), Token::symbol(")")]);
}

/// Reads a type name from `at`; returns it in lower case with the index of the
/// token after it.
pub fn read_type(tokens: &[Token], at: usize) -> (String, usize) {
    let word = |at: usize| tokens.get(at).map(Token::name).unwrap_or_default();
    let mut name = word(at);
    let mut next = at + 1;
    match (name.as_str(), word(next).as_str()) {
        ("double", "precision") | ("character", "varying") => next += 1,
        ("timestamp" | "time", "with") => {
            name.push_str("tz");
            next += 3;
        }
        ("timestamp" | "time", "without") => next += 3,
        _ => {}
    }
    if name == "character" {
        "varchar".clone_into(&mut name);
    }
    if tokens.get(next).is_some_and(|token| token.is_symbol("(")) {
        next = matching_close(tokens, next) + 1;
    }
    while tokens.get(next).is_some_and(|token| token.is_symbol("[")) {
        next += 2;
    }
    (name, next)
}

/// Returns the start of the operand at the end of `tokens`.
fn operand_start(tokens: &[Token]) -> usize {
    let Some(last) = tokens.len().checked_sub(1) else {
        return 0;
    };
    let mut start = last;
    if tokens[last].is_symbol(")") {
        start = matching_open(tokens, last);
        let call = start > 0 && is_call_name(&tokens[start - 1]);
        if call {
            start -= 1;
        }
    }
    while start >= 2 && tokens[start - 1].is_symbol(".") {
        start -= 2;
    }
    start
}

fn matching_open(tokens: &[Token], close: usize) -> usize {
    let mut depth = 0;
    for at in (0..=close).rev() {
        if tokens[at].is_symbol(")") {
            depth += 1;
        } else if tokens[at].is_symbol("(") {
            depth -= 1;
            if depth == 0 {
                return at;
            }
        }
    }
    0
}

fn is_call_name(token: &Token) -> bool {
    const NOT_CALLS: [&str; 19] = [
        "AND",
        "OR",
        "NOT",
        "IN",
        "SELECT",
        "WHERE",
        "VALUES",
        "WHEN",
        "THEN",
        "ELSE",
        "CASE",
        "ON",
        "BY",
        "LIKE",
        "BETWEEN",
        "RETURNING",
        "HAVING",
        "FROM",
        "ANY",
    ];
    token.is_name() && !token.is_any_word(&NOT_CALLS)
}

/// How a cast to a type is expressed in the embedded engine.
enum Cast {
    Function(&'static str),
    Engine(&'static str),
}

fn cast_to(name: &str) -> Cast {
    match name {
        "int" | "int2" | "int4" | "int8" | "integer" | "bigint" | "smallint" | "oid" => {
            Cast::Function("pg_to_integer")
        }
        "bool" | "boolean" => Cast::Function("pg_to_boolean"),
        "bytea" => Cast::Function("pg_to_bytea"),
        "timestamptz" | "timestamp" => Cast::Function("pg_to_timestamp"),
        "float4" | "float8" | "real" | "double" => Cast::Engine("REAL"),
        "numeric" | "decimal" => Cast::Engine("NUMERIC"),
        _ => Cast::Engine("TEXT"),
    }
}

fn wrap_cast(result: &mut Vec<Token>, start: usize, name: &str) {
    let (call, engine_type) = match cast_to(name) {
        Cast::Function(function) => (function, None),
        Cast::Engine(engine_type) => ("CAST", Some(engine_type)),
    };
    result.insert(start, Token::word(call));
    result.insert(start + 1, Token::symbol("("));
    if let Some(engine_type) = engine_type {
        result.extend([Token::word("AS"), Token::word(engine_type)]);
    }
    result.push(Token::symbol(")"));
}
