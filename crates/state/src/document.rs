//! Parsing of TOML documents written by people. Every problem states its line, key and
//! reason.

use std::fmt;
use std::ops::Range;

use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Maximum size of a document, in bytes.
pub const MAXIMUM_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of problems that one check reports.
pub const MAXIMUM_PROBLEMS: usize = 100;

/// One step of a path to a value.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Key(String),
    Index(usize),
    Item(String),
}

/// Path to a value, such as `databases.east-1.slots` or `callers.users[2]`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyPath(Vec<Step>);

impl KeyPath {
    /// Returns the path to the document itself.
    pub fn root() -> Self {
        Self::default()
    }

    /// Returns the path to `name` in the table at this path.
    pub fn key(&self, name: impl AsRef<str>) -> Self {
        let mut steps = self.0.clone();
        steps.push(Step::Key(name.as_ref().to_owned()));
        Self(steps)
    }

    /// Returns the path to entry `index` of the list at this path.
    pub fn index(&self, index: usize) -> Self {
        let mut steps = self.0.clone();
        steps.push(Step::Index(index));
        Self(steps)
    }

    /// Returns the path to the entry `text` of the list of texts at this path.
    pub fn item(&self, text: impl AsRef<str>) -> Self {
        let mut steps = self.0.clone();
        steps.push(Step::Item(text.as_ref().to_owned()));
        Self(steps)
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(name) if position == 0 => formatter.write_str(name)?,
                Step::Key(name) => write!(formatter, ".{name}")?,
                Step::Index(index) => write!(formatter, "[{index}]")?,
                Step::Item(text) => write!(formatter, "[{text:?}]")?,
            }
        }
        Ok(())
    }
}

/// A problem of a document: its location and its reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{reason}", prefix(*line, key))]
pub struct Problem<Reason: fmt::Debug + fmt::Display> {
    /// Line, counted from 1; 0 when there is no document text.
    pub line: usize,
    /// Key concerned; the root when the problem concerns the document as a whole.
    pub key: KeyPath,
    /// Reason of the problem.
    pub reason: Reason,
}

fn prefix(line: usize, key: &KeyPath) -> String {
    let mut prefix = String::new();
    if line > 0 {
        prefix.push_str(&format!("line {line}: "));
    }
    if !key.0.is_empty() {
        prefix.push_str(&format!("{key}: "));
    }
    prefix
}

/// Reason why a document cannot be read at all.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentReason {
    /// The document is larger than [`MAXIMUM_DOCUMENT_BYTES`].
    #[error("the document is larger than {MAXIMUM_DOCUMENT_BYTES} bytes")]
    TooLarge,
    /// The document is not valid TOML.
    #[error("{message}")]
    Syntax {
        /// Message of the TOML parser.
        message: String,
    },
    /// A key is unknown or missing, or a value has the wrong type.
    #[error("{message}")]
    Structure {
        /// Message of the TOML parser.
        message: String,
    },
}

/// A parsed TOML document and its text.
pub struct Document<'text> {
    text: &'text str,
    table: Spanned<DeTable<'text>>,
}

impl<'text> Document<'text> {
    /// Parses `text`.
    ///
    /// # Errors
    /// Returns the first problem of the document's size or syntax.
    pub fn parse(text: &'text str) -> Result<Self, Problem<DocumentReason>> {
        if text.len() > MAXIMUM_DOCUMENT_BYTES {
            return Err(Problem {
                line: 1,
                key: KeyPath::root(),
                reason: DocumentReason::TooLarge,
            });
        }
        let table = DeTable::parse(text).map_err(|error| Problem {
            line: line_at(text, error.span().map_or(0, |span| span.start)),
            key: KeyPath::root(),
            reason: DocumentReason::Syntax {
                message: error.message().trim().to_owned(),
            },
        })?;
        Ok(Self { text, table })
    }

    /// Decodes the whole document.
    ///
    /// # Errors
    /// Returns the first key that is unknown, missing or of the wrong type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Problem<DocumentReason>> {
        toml::from_str(self.text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            Problem {
                line: line_at(self.text, span.start),
                key: self.path_at(&span),
                reason: DocumentReason::Structure {
                    message: error.message().trim().to_owned(),
                },
            }
        })
    }

    /// Returns the line of the value at `path`, or of its nearest existing parent.
    pub fn line_of(&self, path: &KeyPath) -> usize {
        let mut offset = self.table.span().start;
        let mut current: Option<&Spanned<DeValue<'_>>> = None;
        for step in &path.0 {
            let table = match current {
                Some(value) => value.get_ref().as_table(),
                None => Some(self.table.get_ref()),
            };
            let list = current.and_then(|value| value.get_ref().as_array());
            let found = match step {
                Step::Key(name) => table.and_then(|table| entry(table, name)),
                Step::Index(index) => list
                    .and_then(|list| list.get(*index))
                    .map(|value| (value.span().start, value)),
                Step::Item(text) => list
                    .and_then(|list| {
                        list.iter()
                            .find(|item| item.get_ref().as_str() == Some(text))
                    })
                    .map(|value| (value.span().start, value)),
            };
            let Some((start, value)) = found else { break };
            offset = start;
            current = Some(value);
        }
        line_at(self.text, offset)
    }

    /// Returns the path of the innermost key whose name or value contains `span`.
    fn path_at(&self, span: &Range<usize>) -> KeyPath {
        let mut path = KeyPath::root();
        extend_path(self.table.get_ref(), span.start, &mut path);
        path
    }
}

fn entry<'table, 'text>(
    table: &'table DeTable<'text>,
    name: &str,
) -> Option<(usize, &'table Spanned<DeValue<'text>>)> {
    table
        .iter()
        .find(|(key, _)| key.get_ref() == name)
        .map(|(key, value)| (key.span().start, value))
}

fn extend_path(table: &DeTable<'_>, offset: usize, path: &mut KeyPath) {
    for (key, value) in table {
        if key.span().contains(&offset) {
            // A table header may repeat the key. The key is still the innermost one
            // unless one of its entries contains the offset.
            *path = path.key(key.get_ref());
            return;
        }
        let mut inner = path.key(key.get_ref());
        let depth = inner.0.len();
        extend_path_in_value(value, offset, &mut inner);
        if inner.0.len() > depth || value.span().contains(&offset) {
            *path = inner;
            return;
        }
    }
}

fn extend_path_in_value(value: &Spanned<DeValue<'_>>, offset: usize, path: &mut KeyPath) {
    if let Some(table) = value.get_ref().as_table() {
        extend_path(table, offset, path);
    } else if let Some(array) = value.get_ref().as_array() {
        for (index, item) in array.iter().enumerate() {
            let mut inner = path.index(index);
            let depth = inner.0.len();
            extend_path_in_value(item, offset, &mut inner);
            if inner.0.len() > depth || item.span().contains(&offset) {
                *path = inner;
                return;
            }
        }
    }
}

fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    1 + text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}
