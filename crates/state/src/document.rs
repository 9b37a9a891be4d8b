//! Reading TOML documents that people write: every problem names its line, its key and
//! its reason.

use std::fmt;
use std::ops::Range;

use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Largest document accepted, in bytes.
pub const MAXIMUM_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;
/// Most problems one check lists.
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
    /// The document itself.
    pub fn root() -> Self {
        Self::default()
    }

    /// The path to `name` inside the table at this path.
    pub fn key(&self, name: impl AsRef<str>) -> Self {
        let mut steps = self.0.clone();
        steps.push(Step::Key(name.as_ref().to_owned()));
        Self(steps)
    }

    /// The path to entry `index` of the list at this path.
    pub fn index(&self, index: usize) -> Self {
        let mut steps = self.0.clone();
        steps.push(Step::Index(index));
        Self(steps)
    }

    /// The path to the entry `text` of the list of texts at this path.
    pub fn item(&self, text: impl AsRef<str>) -> Self {
        let mut steps = self.0.clone();
        steps.push(Step::Item(text.as_ref().to_owned()));
        Self(steps)
    }
}

impl fmt::Display for KeyPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, step) in self.0.iter().enumerate() {
            match step {
                Step::Key(name) if place == 0 => formatter.write_str(name)?,
                Step::Key(name) => write!(formatter, ".{name}")?,
                Step::Index(index) => write!(formatter, "[{index}]")?,
                Step::Item(text) => write!(formatter, "[{text:?}]")?,
            }
        }
        Ok(())
    }
}

/// A problem of a document: where it is and what it is.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{reason}", prefix(*line, key))]
pub struct Problem<Reason: fmt::Debug + fmt::Display> {
    /// Line, from 1; 0 where there is no text.
    pub line: usize,
    /// Key concerned; the root when the document as a whole is.
    pub key: KeyPath,
    /// What is wrong.
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

/// Why a document cannot be read at all.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DocumentReason {
    /// More than [`MAXIMUM_DOCUMENT_BYTES`].
    #[error("the document is larger than {MAXIMUM_DOCUMENT_BYTES} bytes")]
    TooLarge,
    /// Not TOML.
    #[error("{message}")]
    Syntax {
        /// The reader's text.
        message: String,
    },
    /// A key that is unknown or missing, or a value of the wrong type.
    #[error("{message}")]
    Shape {
        /// The reader's text.
        message: String,
    },
}

/// A document that is TOML.
pub struct Document<'text> {
    text: &'text str,
    table: Spanned<DeTable<'text>>,
}

impl<'text> Document<'text> {
    /// Reads `text`.
    ///
    /// # Errors
    /// The first problem of its size or syntax.
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
    /// The first key that is unknown, missing or of the wrong type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, Problem<DocumentReason>> {
        toml::from_str(self.text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            Problem {
                line: line_at(self.text, span.start),
                key: self.path_at(&span),
                reason: DocumentReason::Shape {
                    message: error.message().trim().to_owned(),
                },
            }
        })
    }

    /// Line of the value at `path`, or of its nearest parent that exists.
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

    /// Path of the innermost key whose own text or value holds `span`.
    fn path_at(&self, span: &Range<usize>) -> KeyPath {
        let mut path = KeyPath::root();
        descend(self.table.get_ref(), span.start, &mut path);
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

fn descend(table: &DeTable<'_>, offset: usize, path: &mut KeyPath) {
    for (key, value) in table {
        if key.span().contains(&offset) {
            // A table's header may name it anew; the key is still the innermost one
            // unless one of its own entries holds the place.
            *path = path.key(key.get_ref());
            return;
        }
        let mut inner = path.key(key.get_ref());
        let depth = inner.0.len();
        descend_value(value, offset, &mut inner);
        if inner.0.len() > depth || value.span().contains(&offset) {
            *path = inner;
            return;
        }
    }
}

fn descend_value(value: &Spanned<DeValue<'_>>, offset: usize, path: &mut KeyPath) {
    if let Some(table) = value.get_ref().as_table() {
        descend(table, offset, path);
    } else if let Some(array) = value.get_ref().as_array() {
        for (index, item) in array.iter().enumerate() {
            let mut inner = path.index(index);
            let depth = inner.0.len();
            descend_value(item, offset, &mut inner);
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
