//! Reading settings from a file.

use std::fmt;
use std::path::{Path, PathBuf};

use hookpoint_state::document::{Document, DocumentReason, KeyPath, Problem};
use thiserror::Error;

use super::ProxySettings;
use super::rules::{SettingsReason, check};

/// Why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// Settings from elsewhere than a file break a rule.
    #[error("{key}: {reason}")]
    Rule {
        /// Key concerned.
        key: KeyPath,
        /// What is wrong.
        reason: SettingsReason,
    },
    /// The settings break rules.
    #[error("{}", lines(document, problems))]
    Problems {
        /// Name of the document.
        document: String,
        /// The problems.
        problems: Vec<Problem<SettingsReason>>,
    },
}

fn lines(document: &str, problems: &[impl fmt::Display]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{document}: {problem}"))
        .collect();
    lines.join("\n")
}

/// Reads and checks the settings in the file at `path`.
///
/// # Errors
/// A [`SettingsError`] that names the file, and line, key and reason of each problem.
pub fn load_settings(path: &Path) -> Result<ProxySettings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse_settings(&path.display().to_string(), &text)
}

/// Reads and checks the settings in `text`; `document` names it in problems.
///
/// # Errors
/// [`SettingsError::Problems`].
pub fn parse_settings(document: &str, text: &str) -> Result<ProxySettings, SettingsError> {
    let failure = |problems| SettingsError::Problems {
        document: document.to_owned(),
        problems,
    };
    let parsed = Document::parse(text).map_err(|problem| failure(vec![convert(problem)]))?;
    let settings: ProxySettings = parsed
        .decode()
        .map_err(|problem| failure(vec![convert(problem)]))?;
    let mut problems: Vec<_> = check(&settings)
        .into_iter()
        .map(|(key, reason)| Problem {
            line: parsed.line_of(&key),
            key,
            reason,
        })
        .collect();
    problems.sort_by_key(|problem| problem.line);
    if problems.is_empty() {
        Ok(settings)
    } else {
        Err(failure(problems))
    }
}

fn convert(problem: Problem<DocumentReason>) -> Problem<SettingsReason> {
    Problem {
        line: problem.line,
        key: problem.key,
        reason: SettingsReason::Document(problem.reason),
    }
}

impl ProxySettings {
    /// Whether the settings break no rule, wherever they come from.
    ///
    /// # Errors
    /// The first rule broken, as [`SettingsError::Rule`].
    pub fn verify(&self) -> Result<(), SettingsError> {
        match check(self).into_iter().next() {
            Some((key, reason)) => Err(SettingsError::Rule { key, reason }),
            None => Ok(()),
        }
    }
}
