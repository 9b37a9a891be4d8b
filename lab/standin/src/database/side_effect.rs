//! Function calls in a statement with effects outside the row store: sleeping and
//! advisory locks. They run before the statement; the engine then receives their
//! results.

use rusqlite::types::Value;

use super::error::{SqlError, SqlState};
use super::lexer::{Token, TokenKind};

/// The functions with effects outside the row store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SideEffectKind {
    /// `pg_sleep`
    Sleep,
    /// `pg_advisory_lock`
    AdvisoryLock,
    /// `pg_advisory_xact_lock`
    AdvisoryTransactionLock,
    /// `pg_try_advisory_lock`
    TryAdvisoryLock,
    /// `pg_try_advisory_xact_lock`
    TryAdvisoryTransactionLock,
    /// `pg_advisory_unlock`
    AdvisoryUnlock,
    /// `pg_advisory_unlock_all`
    AdvisoryUnlockAll,
}

/// Names of the functions with effects outside the row store.
pub const NAMES: [(&str, SideEffectKind); 7] = [
    ("pg_sleep", SideEffectKind::Sleep),
    ("pg_advisory_lock", SideEffectKind::AdvisoryLock),
    (
        "pg_advisory_xact_lock",
        SideEffectKind::AdvisoryTransactionLock,
    ),
    ("pg_try_advisory_lock", SideEffectKind::TryAdvisoryLock),
    (
        "pg_try_advisory_xact_lock",
        SideEffectKind::TryAdvisoryTransactionLock,
    ),
    ("pg_advisory_unlock", SideEffectKind::AdvisoryUnlock),
    ("pg_advisory_unlock_all", SideEffectKind::AdvisoryUnlockAll),
];

/// One call of such a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SideEffect {
    /// Function that is called.
    pub kind: SideEffectKind,
    /// Arguments of the call, in order.
    pub arguments: Vec<Argument>,
}

/// An argument whose value is known before the statement runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Argument {
    /// The text of a literal, with its sign.
    Literal(String),
    /// The number of a parameter, starting at 1.
    Parameter(usize),
}

impl Argument {
    /// Returns the argument as a number.
    pub fn number(&self, parameters: &[Value]) -> Result<f64, SqlError> {
        let invalid = || {
            SqlError::new(
                SqlState::InvalidParameterValue,
                "the argument must be a number",
            )
        };
        match self {
            Self::Literal(text) => text.parse().map_err(|_| invalid()),
            Self::Parameter(number) => match parameters.get(number - 1) {
                Some(Value::Integer(value)) => Ok(*value as f64),
                Some(Value::Real(value)) => Ok(*value),
                Some(Value::Text(text)) => text.parse().map_err(|_| invalid()),
                _ => Err(invalid()),
            },
        }
    }
}

/// Finds the calls in a statement, in textual order.
pub fn find(tokens: &[Token]) -> Result<Vec<SideEffect>, SqlError> {
    let mut found = Vec::new();
    for (at, token) in tokens.iter().enumerate() {
        let kind = NAMES.iter().find(|(name, _)| token.is_word(name));
        let called = tokens.get(at + 1).is_some_and(|next| next.is_symbol("("));
        if let (Some((name, kind)), true) = (kind, called) {
            found.push(SideEffect {
                kind: *kind,
                arguments: arguments(name, &tokens[at + 2..])?,
            });
        }
    }
    Ok(found)
}

fn arguments(name: &str, tokens: &[Token]) -> Result<Vec<Argument>, SqlError> {
    let mut found = Vec::new();
    let mut negative = false;
    let mut at = 0;
    while let Some(token) = tokens.get(at) {
        match token.kind {
            TokenKind::Number | TokenKind::Text => {
                let sign = if negative { "-" } else { "" };
                found.push(Argument::Literal(format!("{sign}{}", token.text)));
            }
            TokenKind::Parameter => {
                let number = token.text.parse().ok().filter(|number| *number > 0);
                found.push(Argument::Parameter(
                    number.ok_or_else(|| unsupported(name))?,
                ));
            }
            _ if token.is_symbol(")") => return Ok(found),
            _ if token.is_symbol("::") => at += 1,
            _ if token.is_symbol(",") || token.is_symbol("-") => {}
            _ => return Err(unsupported(name)),
        }
        negative = token.is_symbol("-");
        at += 1;
    }
    Err(unsupported(name))
}

fn unsupported(name: &str) -> SqlError {
    SqlError::new(
        SqlState::FeatureNotSupported,
        format!("{name} takes literals and parameters only"),
    )
}
