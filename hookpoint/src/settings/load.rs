//! Loading and checking of settings.

use std::fmt;
use std::path::{Path, PathBuf};

use hookpoint_state::document::{Document, DocumentReason, KeyPath, Problem};
use thiserror::Error;

use super::ProxySettings;
use super::rules::{SettingsReason, check};

/// Reason why settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Settings that were not read from a file break a rule.
    #[error("{key}: {reason}")]
    Rule {
        /// Key whose value breaks the rule.
        key: KeyPath,
        /// The rule that is broken.
        reason: SettingsReason,
    },
    /// A settings document cannot be decoded or breaks rules.
    #[error("{}", problem_lines(document, problems))]
    Problems {
        /// Name of the document, usually the file's path.
        document: String,
        /// All problems, in ascending order of line; at least one.
        problems: Vec<Problem<SettingsReason>>,
    },
}

fn problem_lines(document: &str, problems: &[impl fmt::Display]) -> String {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{document}: {problem}"))
        .collect();
    lines.join("\n")
}

/// Reads and checks the settings in the file at `path`.
///
/// # Errors
/// Returns a [`SettingsError`] that names the file, and line, key and reason of each
/// problem.
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
/// Returns [`SettingsError::Problems`].
pub fn parse_settings(document: &str, text: &str) -> Result<ProxySettings, SettingsError> {
    let error = |problems| SettingsError::Problems {
        document: document.to_owned(),
        problems,
    };
    let parsed = Document::parse(text).map_err(|problem| error(vec![convert(problem)]))?;
    let settings: ProxySettings = parsed
        .decode()
        .map_err(|problem| error(vec![convert(problem)]))?;
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
        Err(error(problems))
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
    /// Checks the rules on settings, whether they come from a file, flags or code.
    ///
    /// # Errors
    /// Returns the first rule that is broken, as [`SettingsError::Rule`].
    pub fn verify(&self) -> Result<(), SettingsError> {
        match check(self).into_iter().next() {
            Some((key, reason)) => Err(SettingsError::Rule { key, reason }),
            None => Ok(()),
        }
    }
}
