//! Rewrites CREATE and ALTER statements for the embedded engine.

use super::lexer::Token;
use super::rewrite::{matching_close, read_type};

/// Rewrites the tokens of a definition; other statements are returned unchanged.
pub fn rewrite(tokens: Vec<Token>) -> Vec<Token> {
    let Some(first) = tokens.first() else {
        return tokens;
    };
    if first.is_word("DROP") {
        return remove_words(tokens, &["CASCADE", "RESTRICT"]);
    }
    if !first.is_any_word(&["CREATE", "ALTER"]) {
        return tokens;
    }
    let tokens = remove_words(tokens, &["UNLOGGED", "TEMP", "TEMPORARY", "CONCURRENTLY"]);
    let is_table = tokens.get(1).is_some_and(|token| token.is_word("TABLE"));
    if !is_table {
        return drop_index_method(tokens);
    }
    if tokens[0].is_word("ALTER") {
        return wrap_defaults(rewrite_added_column(tokens));
    }
    wrap_defaults(rewrite_columns(tokens))
}

fn remove_words(tokens: Vec<Token>, words: &[&str]) -> Vec<Token> {
    tokens
        .into_iter()
        .filter(|token| !token.is_any_word(words))
        .collect()
}

/// Drops the `USING method` clause of an index.
fn drop_index_method(tokens: Vec<Token>) -> Vec<Token> {
    let mut result = Vec::with_capacity(tokens.len());
    let mut tokens = tokens.into_iter();
    while let Some(token) = tokens.next() {
        if token.is_word("USING") {
            tokens.next();
        } else {
            result.push(token);
        }
    }
    result
}

fn rewrite_columns(tokens: Vec<Token>) -> Vec<Token> {
    let Some(open) = tokens.iter().position(|token| token.is_symbol("(")) else {
        return tokens;
    };
    if tokens[..open].iter().any(|token| token.is_word("AS")) {
        return tokens;
    }
    let close = matching_close(&tokens, open);
    let mut result = tokens[..=open].to_vec();
    for (number, item) in split_items(&tokens[open + 1..close])
        .into_iter()
        .enumerate()
    {
        if number > 0 {
            result.push(Token::symbol(","));
        }
        result.extend(rewrite_column(item));
    }
    // Storage parameters and partitioning clauses after the list are dropped.
    result.push(Token::symbol(")"));
    result
}

fn rewrite_added_column(tokens: Vec<Token>) -> Vec<Token> {
    let Some(add) = tokens.iter().position(|token| token.is_word("ADD")) else {
        return tokens;
    };
    let has_word = tokens
        .get(add + 1)
        .is_some_and(|token| token.is_word("COLUMN"));
    let start = if has_word { add + 2 } else { add + 1 };
    let mut result = tokens[..start].to_vec();
    result.extend(rewrite_column(&tokens[start..]));
    result
}

/// Splits a list at its top-level commas.
pub fn split_items(tokens: &[Token]) -> Vec<&[Token]> {
    let mut items = Vec::new();
    let mut depth = 0;
    let mut start = 0;
    for (at, token) in tokens.iter().enumerate() {
        if token.is_symbol("(") {
            depth += 1;
        } else if token.is_symbol(")") {
            depth -= 1;
        } else if depth == 0 && token.is_symbol(",") {
            items.push(&tokens[start..at]);
            start = at + 1;
        }
    }
    items.push(&tokens[start..]);
    items
}

const TABLE_CONSTRAINTS: [&str; 6] = [
    "PRIMARY",
    "UNIQUE",
    "CONSTRAINT",
    "FOREIGN",
    "CHECK",
    "EXCLUDE",
];

fn rewrite_column(item: &[Token]) -> Vec<Token> {
    let is_constraint = item
        .first()
        .is_none_or(|token| token.is_any_word(&TABLE_CONSTRAINTS));
    if is_constraint || item.len() < 2 {
        return item.to_vec();
    }
    let (type_name, mut next) = read_type(item, 1);
    let identity = item.iter().any(|token| token.is_word("IDENTITY"));
    let serial =
        identity || ["serial", "bigserial", "serial4", "serial8"].contains(&type_name.as_str());
    let mut result = vec![item[0].clone()];
    if serial {
        result.push(Token::word("INTEGER"));
    } else {
        result.push(Token::word(&engine_type(&type_name)));
    }
    while next < item.len() {
        let token = &item[next];
        if token.is_word("GENERATED") && identity {
            while next < item.len() && !item[next].is_word("IDENTITY") {
                next += 1;
            }
            next += 1;
            continue;
        }
        result.push(token.clone());
        let ends_key = token.is_word("KEY") && item[next - 1].is_word("PRIMARY");
        if serial && ends_key {
            result.push(Token::word("AUTOINCREMENT"));
        }
        next += 1;
    }
    result
}

/// Returns the type to declare in the engine; `INTEGER` is reserved for serial
/// columns.
fn engine_type(name: &str) -> String {
    match name {
        "integer" | "int" | "int4" => "INT4".to_owned(),
        "bigint" => "INT8".to_owned(),
        "smallint" => "INT2".to_owned(),
        "double" => "FLOAT8".to_owned(),
        other => other.to_ascii_uppercase(),
    }
}

/// Puts parentheses around default values, which the engine requires for
/// expressions other than literals.
fn wrap_defaults(tokens: Vec<Token>) -> Vec<Token> {
    const ENDS: [&str; 8] = [
        "NOT",
        "NULL",
        "PRIMARY",
        "UNIQUE",
        "REFERENCES",
        "CHECK",
        "CONSTRAINT",
        "COLLATE",
    ];
    let mut result = Vec::with_capacity(tokens.len());
    let mut at = 0;
    while at < tokens.len() {
        result.push(tokens[at].clone());
        at += 1;
        let default =
            tokens[at - 1].is_word("DEFAULT") && !(at > 1 && tokens[at - 2].is_word("SET"));
        if !default {
            continue;
        }
        result.push(Token::symbol("("));
        let mut depth = 0;
        let start = at;
        while at < tokens.len() {
            let token = &tokens[at];
            let ends = token.is_symbol(")") || token.is_symbol(",") || token.is_any_word(&ENDS);
            if depth == 0 && ends && at > start {
                break;
            }
            if token.is_symbol("(") {
                depth += 1;
            } else if token.is_symbol(")") {
                depth -= 1;
            }
            result.push(token.clone());
            at += 1;
        }
        result.push(Token::symbol(")"));
    }
    result
}
