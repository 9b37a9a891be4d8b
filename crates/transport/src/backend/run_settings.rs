//! Run-time parameters of one connection, and the statements that change them into
//! those of a session.

use std::collections::BTreeMap;
use std::fmt::Write;

use thiserror::Error;

/// Parameters whose value is a list of names; the list is set element by element.
const LIST_PARAMETERS: [&str; 3] = ["search_path", "temp_tablespaces", "local_preload_libraries"];

/// A parameter name that cannot be put into a statement.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{name}` is no name of a run-time parameter")]
pub(super) struct BadParameterName {
    /// The name.
    pub name: String,
}

/// The statements that lead from the parameters `current` to `wanted`; none if they are
/// the same.
///
/// # Errors
/// A name that is none; the connection stays as it is.
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
    let starts_well = name.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_');
    let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '.');
    if starts_well && name.chars().all(valid) {
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

/// A string literal that means the same whatever `standard_conforming_strings` is.
fn quoted(value: &str) -> String {
    let doubled = value.replace('\'', "''");
    if doubled.contains('\\') {
        format!("E'{}'", doubled.replace('\\', "\\\\"))
    } else {
        format!("'{doubled}'")
    }
}
