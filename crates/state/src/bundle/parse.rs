//! Parsing of bundle documents written by operators.

use std::fmt;

use thiserror::Error;

use super::validate::{BundleReason, validate};
use super::{Bundle, BundleVersion};
use crate::document::{Document, MAXIMUM_PROBLEMS, Problem};

/// A problem of a bundle document.
pub type BundleProblem = Problem<BundleReason>;

/// The problems of a bundle document, ordered by line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct BundleProblems {
    /// Name of the document, such as its file name.
    pub document: String,
    /// The problems found, at most [`MAXIMUM_PROBLEMS`].
    pub problems: Vec<BundleProblem>,
}

impl fmt::Display for BundleProblems {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{}: {problem}", self.document)?;
        }
        Ok(())
    }
}

/// Parses and validates the bundle in `text`. `document` is the name of the document in
/// reported problems.
///
/// # Errors
/// Returns the problems found, each with its line, key and reason.
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
    /// Validates the bundle. This is repeated wherever a bundle is received, since it
    /// may have been written by another version of the software.
    ///
    /// # Errors
    /// Returns the first problem, without a line.
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

    /// Returns the bundle with its version replaced.
    pub fn with_version(mut self, version: BundleVersion) -> Self {
        self.version = version;
        self
    }
}
