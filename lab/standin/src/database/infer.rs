//! Infers the types of parameters and of computed columns.

use std::collections::BTreeMap;

use pgwire::api::Type;

use super::definition::split_items;
use super::lexer::{Token, TokenKind};
use super::rewrite::{matching_close, read_type};
use super::side_effect;
use super::value::type_by_name;

/// Columns of the tables that a statement references.
#[derive(Clone, Debug, Default)]
pub struct ColumnTypes {
    /// Names and types of the columns, in order, keyed by table name.
    pub tables: BTreeMap<String, Vec<(String, Type)>>,
}

impl ColumnTypes {
    fn find(&self, column: &str) -> Option<Type> {
        self.tables
            .values()
            .flatten()
            .find(|(name, _)| name == column)
            .map(|(_, kind)| kind.clone())
    }
}

/// Returns the names of the tables that a statement references.
pub fn referenced_tables(tokens: &[Token]) -> Vec<String> {
    tokens
        .windows(2)
        .filter(|pair| pair[0].is_any_word(&["FROM", "JOIN", "INTO", "UPDATE", "ONLY"]))
        .filter(|pair| pair[1].is_name())
        .map(|pair| pair[1].name())
        .collect()
}

/// Returns the types of a statement's parameters; `given` are the types specified
/// by the client.
pub fn parameter_types(
    tokens: &[Token],
    count: usize,
    given: &[Option<Type>],
    columns: &ColumnTypes,
) -> Vec<Type> {
    let mut types: Vec<Option<Type>> = vec![None; count];
    for (slot, kind) in types.iter_mut().zip(given) {
        slot.clone_from(kind);
    }
    infer_inserted(tokens, columns, &mut types);
    for (at, token) in tokens.iter().enumerate() {
        if let Some(slot) = parameter_slot(token, &mut types)
            && slot.is_none()
        {
            *slot = parameter_type(tokens, at, columns);
        }
    }
    types
        .into_iter()
        .map(|kind| kind.unwrap_or(Type::TEXT))
        .collect()
}

fn parameter_slot<'a>(
    token: &Token,
    types: &'a mut [Option<Type>],
) -> Option<&'a mut Option<Type>> {
    if token.kind != TokenKind::Parameter {
        return None;
    }
    let number: usize = token.text.parse().ok()?;
    types.get_mut(number.checked_sub(1)?)
}

fn infer_inserted(tokens: &[Token], columns: &ColumnTypes, types: &mut [Option<Type>]) {
    let Some(into) = tokens.iter().position(|token| token.is_word("INTO")) else {
        return;
    };
    let Some(table) = tokens.get(into + 1).map(Token::name) else {
        return;
    };
    let Some(known) = columns.tables.get(&table) else {
        return;
    };
    let Some(values) = tokens.iter().position(|token| token.is_word("VALUES")) else {
        return;
    };
    let listed: Vec<String> = tokens
        .get(into + 2..values)
        .unwrap_or_default()
        .iter()
        .filter(|token| token.is_name())
        .map(Token::name)
        .collect();
    let targets: Vec<Option<Type>> = if listed.is_empty() {
        known.iter().map(|(_, kind)| Some(kind.clone())).collect()
    } else {
        listed
            .iter()
            .map(|name| known.iter().find(|(column, _)| column == name))
            .map(|found| found.map(|(_, kind)| kind.clone()))
            .collect()
    };
    let mut open = values + 1;
    while tokens.get(open).is_some_and(|token| token.is_symbol("(")) {
        let close = matching_close(tokens, open);
        for (item, target) in split_items(&tokens[open + 1..close]).iter().zip(&targets) {
            let [token] = item else { continue };
            if let Some(slot) = parameter_slot(token, types).filter(|slot| slot.is_none()) {
                slot.clone_from(target);
            }
        }
        open = close + 2;
    }
}

const COMPARISONS: [&str; 7] = ["=", "<", ">", "<=", ">=", "<>", "!="];
const ARITHMETIC: [&str; 5] = ["+", "-", "*", "/", "%"];

fn parameter_type(tokens: &[Token], at: usize, columns: &ColumnTypes) -> Option<Type> {
    let next = tokens.get(at + 1);
    if next.is_some_and(|next| next.is_symbol("::")) {
        return type_by_name(&read_type(tokens, at + 2).0);
    }
    if next.is_some_and(|next| next.is_word("AS")) && at >= 2 && tokens[at - 2].is_word("CAST") {
        return type_by_name(&read_type(tokens, at + 2).0);
    }
    let previous = tokens.get(at.checked_sub(1)?)?;
    if previous.is_any_word(&["LIMIT", "OFFSET"]) {
        return Some(Type::INT8);
    }
    if let Some(kind) = argument_type(tokens, at) {
        return Some(kind);
    }
    let operator = |token: &Token| {
        token.kind == TokenKind::Symbol
            && (COMPARISONS.contains(&token.text.as_str())
                || ARITHMETIC.contains(&token.text.as_str()))
    };
    if operator(previous)
        && at >= 2
        && let Some(kind) = operand_type(tokens, at - 2, columns)
    {
        return Some(kind);
    }
    if let Some(next) = next.filter(|next| operator(next)) {
        let _ = next;
        let mut end = at + 2;
        while tokens
            .get(end + 1)
            .is_some_and(|token| token.is_symbol("."))
        {
            end += 2;
        }
        if let Some(kind) = tokens
            .get(end)
            .and_then(|token| column_type(token, columns))
        {
            return Some(kind);
        }
    }
    list_operand_type(tokens, at, columns)
}

fn argument_type(tokens: &[Token], at: usize) -> Option<Type> {
    let mut before = at - 1;
    while before > 0 && (tokens[before].is_symbol(",") || is_simple(&tokens[before])) {
        before -= 1;
    }
    if !tokens[before].is_symbol("(") || before == 0 {
        return None;
    }
    let call = &tokens[before - 1];
    if call.is_word("pg_sleep") {
        return Some(Type::FLOAT8);
    }
    let whole = call.is_any_word(&["generate_series"])
        || side_effect::NAMES
            .iter()
            .any(|(name, _)| call.is_word(name));
    whole.then_some(Type::INT8)
}

fn is_simple(token: &Token) -> bool {
    matches!(token.kind, TokenKind::Number | TokenKind::Parameter)
}

/// Returns the type of the operand that ends at `at`.
fn operand_type(tokens: &[Token], at: usize, columns: &ColumnTypes) -> Option<Type> {
    column_type(&tokens[at], columns)
}

fn column_type(token: &Token, columns: &ColumnTypes) -> Option<Type> {
    token.is_name().then(|| columns.find(&token.name()))?
}

/// Returns the type of a parameter in `column IN (...)`, `BETWEEN` or `LIKE`.
fn list_operand_type(tokens: &[Token], at: usize, columns: &ColumnTypes) -> Option<Type> {
    let mut before = at.checked_sub(1)?;
    while before > 0
        && (tokens[before].is_symbol(",")
            || tokens[before].is_symbol("(")
            || tokens[before].is_any_word(&["AND", "NOT"])
            || matches!(
                tokens[before].kind,
                TokenKind::Parameter | TokenKind::Number | TokenKind::Text
            ))
    {
        before -= 1;
    }
    if !tokens[before].is_any_word(&["IN", "BETWEEN", "LIKE"]) {
        return None;
    }
    let mut name = before.checked_sub(1)?;
    if tokens[name].is_word("NOT") {
        name = name.checked_sub(1)?;
    }
    column_type(&tokens[name], columns)
}

/// Returns the result expressions of a statement, or `None` if they are not
/// listed.
pub fn returned_expressions(tokens: &[Token]) -> Option<Vec<&[Token]>> {
    const ENDS: [&str; 12] = [
        "FROM",
        "WHERE",
        "GROUP",
        "ORDER",
        "LIMIT",
        "OFFSET",
        "UNION",
        "HAVING",
        "FOR",
        "EXCEPT",
        "INTERSECT",
        "INTO",
    ];
    let start =
        top_level(tokens, 0, &["RETURNING"]).or_else(|| top_level(tokens, 0, &["SELECT"]))?;
    let mut start = start + 1;
    if tokens
        .get(start)
        .is_some_and(|token| token.is_any_word(&["DISTINCT", "ALL"]))
    {
        start += 1;
    }
    let end = top_level(tokens, start, &ENDS).unwrap_or(tokens.len());
    let items = split_items(&tokens[start..end]);
    let starred = items
        .iter()
        .any(|item| item.last().is_none_or(|token| token.is_symbol("*")));
    (!starred).then_some(items)
}

fn top_level(tokens: &[Token], start: usize, words: &[&str]) -> Option<usize> {
    let mut depth = 0;
    for (at, token) in tokens.iter().enumerate().skip(start) {
        if token.is_symbol("(") {
            depth += 1;
        } else if token.is_symbol(")") {
            depth -= 1;
        } else if depth == 0 && token.is_any_word(words) {
            return Some(at);
        }
    }
    None
}

/// Returns the type of a computed column, if it can be inferred.
pub fn expression_type(item: &[Token], parameters: &[Type], columns: &ColumnTypes) -> Option<Type> {
    let item = strip_alias(item);
    let first = item.first()?;
    if let Some(kind) = operator_type(item, parameters, columns) {
        return Some(kind);
    }
    if let [token] = item {
        return single_type(token, parameters, columns);
    }
    if let [_, dot, name] = item
        && dot.is_symbol(".")
    {
        return column_type(name, columns);
    }
    if first.is_symbol("-") {
        return expression_type(&item[1..], parameters, columns);
    }
    if first.is_word("CASE") {
        let then = item.iter().position(|token| token.is_word("THEN"))?;
        let end = item[then..]
            .iter()
            .position(|token| token.is_any_word(&["WHEN", "ELSE", "END"]))?;
        return expression_type(&item[then + 1..then + end], parameters, columns);
    }
    let closed = item.last().is_some_and(|token| token.is_symbol(")"));
    if first.is_symbol("(") && closed && matching_close(item, 0) == item.len() - 1 {
        let inner = &item[1..item.len() - 1];
        if let Some(items) = returned_expressions(inner) {
            return expression_type(items.first()?, parameters, columns);
        }
        return expression_type(inner, parameters, columns);
    }
    let call = item.get(1).is_some_and(|token| token.is_symbol("("));
    if call && closed && matching_close(item, 1) == item.len() - 1 {
        return call_type(&first.name(), &item[2..item.len() - 1], parameters, columns);
    }
    None
}

fn strip_alias(item: &[Token]) -> &[Token] {
    if let Some(at) = top_level(item, 0, &["AS"]) {
        return &item[..at];
    }
    let [rest @ .., before, last] = item else {
        return item;
    };
    let _ = rest;
    let names = last.is_name()
        && !last.is_any_word(&[
            "END",
            "NULL",
            "TRUE",
            "FALSE",
            "PRECISION",
            "VARYING",
            "ZONE",
        ]);
    let after_operand = before.kind != TokenKind::Symbol || before.is_symbol(")");
    let after_word = before.is_any_word(&["NOT", "IS", "AND", "OR", "LIKE", "IN"]);
    if names && after_operand && !after_word {
        &item[..item.len() - 1]
    } else {
        item
    }
}

fn single_type(token: &Token, parameters: &[Type], columns: &ColumnTypes) -> Option<Type> {
    match token.kind {
        TokenKind::Number if token.text.contains(['.', 'e', 'E']) => Some(Type::FLOAT8),
        TokenKind::Number if token.text.parse::<i32>().is_ok() => Some(Type::INT4),
        TokenKind::Number => Some(Type::INT8),
        TokenKind::Text => Some(Type::TEXT),
        TokenKind::Parameter => {
            let number: usize = token.text.parse().ok()?;
            parameters.get(number.checked_sub(1)?).cloned()
        }
        _ if token.is_any_word(&["TRUE", "FALSE"]) => Some(Type::BOOL),
        _ if token.is_any_word(&["CURRENT_TIMESTAMP", "LOCALTIMESTAMP"]) => Some(Type::TIMESTAMPTZ),
        _ => column_type(token, columns),
    }
}

/// Returns the type of an expression from its top-level operator of lowest
/// precedence.
fn operator_type(item: &[Token], parameters: &[Type], columns: &ColumnTypes) -> Option<Type> {
    const LOGIC: [&str; 9] = [
        "AND", "OR", "NOT", "IS", "IN", "LIKE", "BETWEEN", "EXISTS", "ILIKE",
    ];
    if item.first()?.is_word("CASE") {
        return None;
    }
    let is_operator = |wanted: &[&str], token: &Token| {
        token.kind == TokenKind::Symbol && wanted.contains(&token.text.as_str())
    };
    if top_level(item, 0, &LOGIC).is_some()
        || find_symbol(item, |t| is_operator(&COMPARISONS, t)).is_some()
    {
        return Some(Type::BOOL);
    }
    if find_symbol(item, |token| is_operator(&["||", "->>"], token)).is_some() {
        return Some(Type::TEXT);
    }
    if let Some(at) =
        find_symbol(item, |token| is_operator(&ARITHMETIC, token)).filter(|at| *at > 0)
    {
        let left = expression_type(&item[..at], parameters, columns);
        let right = expression_type(&item[at + 1..], parameters, columns);
        return match (left, right) {
            (Some(left), Some(right)) => Some(wider(left, right)),
            (left, right) => left.or(right),
        };
    }
    let cast = item.iter().rposition(|token| token.is_symbol("::"))?;
    let (name, end) = read_type(item, cast + 1);
    (end >= item.len()).then(|| type_by_name(&name))?
}

fn find_symbol(item: &[Token], accept: impl Fn(&Token) -> bool) -> Option<usize> {
    let mut depth = 0;
    for (at, token) in item.iter().enumerate() {
        if token.is_symbol("(") {
            depth += 1;
        } else if token.is_symbol(")") {
            depth -= 1;
        } else if depth == 0 && accept(token) {
            return Some(at);
        }
    }
    None
}

fn wider(left: Type, right: Type) -> Type {
    const ORDER: [Type; 7] = [
        Type::FLOAT8,
        Type::FLOAT4,
        Type::NUMERIC,
        Type::TIMESTAMPTZ,
        Type::INT8,
        Type::INT4,
        Type::INT2,
    ];
    ORDER
        .into_iter()
        .find(|kind| *kind == left || *kind == right)
        .unwrap_or(left)
}

fn call_type(
    name: &str,
    arguments: &[Token],
    parameters: &[Type],
    columns: &ColumnTypes,
) -> Option<Type> {
    let known = match name {
        "count" | "sum" | "row_number" | "rank" | "generate_series" => Type::INT8,
        "avg" | "random" | "round" => Type::FLOAT8,
        "length" | "char_length" | "octet_length" | "pg_backend_pid" | "strpos" | "position" => {
            Type::INT4
        }
        "now" | "clock_timestamp" | "statement_timestamp" | "transaction_timestamp" => {
            Type::TIMESTAMPTZ
        }
        "pg_is_in_recovery"
        | "exists"
        | "pg_try_advisory_lock"
        | "pg_advisory_unlock"
        | "pg_try_advisory_xact_lock" => Type::BOOL,
        "pg_sleep" | "pg_advisory_lock" | "pg_advisory_xact_lock" | "pg_advisory_unlock_all" => {
            Type::VOID
        }
        "pg_current_wal_lsn"
        | "pg_current_wal_flush_lsn"
        | "pg_current_wal_insert_lsn"
        | "pg_last_wal_receive_lsn"
        | "pg_last_wal_replay_lsn" => Type::PG_LSN,
        "gen_random_uuid" => Type::UUID,
        "cast" => {
            let at = arguments.iter().rposition(|token| token.is_word("AS"))?;
            return type_by_name(&read_type(arguments, at + 1).0);
        }
        "max" | "min" | "coalesce" | "nullif" | "greatest" | "least" | "abs" => {
            return split_items(arguments)
                .into_iter()
                .find_map(|argument| expression_type(argument, parameters, columns));
        }
        _ => Type::TEXT,
    };
    Some(known)
}
