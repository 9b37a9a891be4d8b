//! Reading a bundle that an operator wrote.

use std::fmt;

use thiserror::Error;

use super::validate::{BundleReason, validate};
use super::{Bundle, BundleVersion};
use crate::document::{Document, MAXIMUM_PROBLEMS, Problem};

/// A problem of a bundle document.
pub type BundleProblem = Problem<BundleReason>;

/// The problems of a bundle document, in the order of their lines.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct BundleProblems {
    /// Name of the document, such as its file.
    pub document: String,
    /// The first of its problems, at most [`MAXIMUM_PROBLEMS`].
    pub problems: Vec<BundleProblem>,
}

impl fmt::Display for BundleProblems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, problem) in self.problems.iter().enumerate() {
            if place > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{}: {problem}", self.document)?;
        }
        Ok(())
    }
}

/// Reads and validates the bundle in `text`; `document` names it in problems.
///
/// # Errors
/// Every problem found, each with its line, key and reason.
pub fn parse_bundle(document: &str, text: &str) -> Result<Bundle, BundleProblems> {
    let failure = |problems| BundleProblems {
        document: document.to_owned(),
        problems,
    };
    let parsed = Document::parse(text).map_err(|problem| failure(vec![convert(problem)]))?;
    let bundle: Bundle = parsed
        .decode()
        .map_err(|problem| failure(vec![convert(problem)]))?;
    let mut problems: Vec<BundleProblem> = validate(&bundle)
        .into_iter()
        .take(MAXIMUM_PROBLEMS)
        .map(|(key, reason)| Problem {
            line: parsed.line_of(&key),
            key,
            reason,
        })
        .collect();
    problems.sort_by_key(|problem| problem.line);
    if problems.is_empty() {
        Ok(bundle)
    } else {
        Err(failure(problems))
    }
}

fn convert(problem: Problem<crate::document::DocumentReason>) -> BundleProblem {
    Problem {
        line: problem.line,
        key: problem.key,
        reason: BundleReason::Document(problem.reason),
    }
}

impl Bundle {
    /// Whether the bundle breaks no rule. Checked again wherever a bundle arrives, since
    /// it may have been written by another version of the software.
    ///
    /// # Errors
    /// The first problem, without a line.
    pub fn check(&self) -> Result<(), BundleProblem> {
        match validate(self).into_iter().next() {
            Some((key, reason)) => Err(Problem {
                line: 0,
                key,
                reason,
            }),
            None => Ok(()),
        }
    }

    /// The same bundle with another version.
    pub fn with_version(mut self, version: BundleVersion) -> Self {
        self.version = version;
        self
    }
}
