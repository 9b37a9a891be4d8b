//! Run-time parameters of one connection, and the statements that change them to those of
//! a session.

use std::collections::BTreeMap;
use std::fmt::Write;

use thiserror::Error;

/// Parameters whose value is a list of names, which is set element by element.
const LIST_PARAMETERS: [&str; 3] = ["search_path", "temp_tablespaces", "local_preload_libraries"];

/// A parameter name that must not be put into a statement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{name}` is not a valid name of a run-time parameter")]
pub(super) struct BadParameterName {
    /// The name, truncated to 64 characters.
    pub name: String,
}

/// Returns the statements that change the parameters `current` to `wanted`; `None` if
/// they are equal.
///
/// # Errors
/// When a name is not valid; the connection is not changed.
pub(super) fn changes(
    current: &BTreeMap<String, String>,
    wanted: &BTreeMap<String, String>,
) -> Result<Option<String>, BadParameterName> {
    let mut statements = String::new();
    for name in current.keys().filter(|name| !wanted.contains_key(*name)) {
        check_name(name)?;
        // Writing to a string cannot fail.
        let _ = write!(statements, "RESET {name};");
    }
    for (name, value) in wanted {
        if current.get(name) == Some(value) {
            continue;
        }
        check_name(name)?;
        let _ = write!(statements, "SET {name} TO {};", literal(name, value));
    }
    Ok((!statements.is_empty()).then_some(statements))
}

fn check_name(name: &str) -> Result<(), BadParameterName> {
    let valid_start = name.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_');
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '.');
    if valid_start && name.chars().all(valid) {
        return Ok(());
    }
    Err(BadParameterName {
        name: name.chars().take(64).collect(),
    })
}

fn literal(name: &str, value: &str) -> String {
    if !LIST_PARAMETERS.contains(&name.to_ascii_lowercase().as_str()) {
        return quoted(value);
    }
    let elements: Vec<String> = value
        .split(',')
        .map(|element| quoted(element.trim().trim_matches('"')))
        .collect();
    elements.join(", ")
}

/// Returns a string literal that is read the same with `standard_conforming_strings` on
/// and off.
fn quoted(value: &str) -> String {
    let doubled = value.replace('\'', "''");
    if doubled.contains('\\') {
        format!("E'{}'", doubled.replace('\\', "\\\\"))
    } else {
        format!("'{doubled}'")
    }
}
