//! Parsing of the response to the status query.

use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_state::position::ParseLsnError;
use hookpoint_state::{Lsn, Term};
use thiserror::Error;

use crate::errors::BackendError;
use crate::frame::Frame;

/// Number of columns of the result.
const COLUMNS: usize = 4;
/// Longest list of replicas accepted, so that a response cannot use unbounded memory.
const MAXIMUM_REPLICAS: usize = 256;

/// Why a status query failed or its response is unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatusQueryError {
    /// The database responded with an error.
    #[error("the database refused the status query: {0}")]
    Refused(#[from] BackendError),
    /// The response has no row.
    #[error("the status query returned no row")]
    NoRow,
    /// The response has more than one row.
    #[error("the status query returned more than one row")]
    MultipleRows,
    /// The row is truncated or does not have four columns.
    #[error("the row of the status query is malformed")]
    MalformedRow,
    /// A column is null or its value does not have the expected form.
    #[error("column `{column}` of the status query is unusable")]
    BadColumn {
        /// Name of the column.
        column: &'static str,
    },
    /// The value of the column `position` is malformed.
    #[error(transparent)]
    BadPosition(#[from] ParseLsnError),
    /// A message arrived that does not belong to the response of a simple query with rows.
    #[error("unexpected message of tag {tag} in the response to the status query")]
    UnexpectedMessage {
        /// Tag of the message.
        tag: u8,
    },
}

/// Collects the messages of one response, from `RowDescription` to `ReadyForQuery`.
#[derive(Clone, Debug, Default)]
pub struct StatusCollector {
    /// The parsed row, once it has arrived.
    row: Option<Result<BackendStatus, StatusQueryError>>,
    /// The first failure; it takes precedence over the row.
    failure: Option<StatusQueryError>,
}

impl StatusCollector {
    /// Creates a collector for a new response.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processes the next message. Returns the result at `ReadyForQuery`, after which the
    /// collector is ready for another response, and `None` before.
    pub fn push(&mut self, frame: &Frame) -> Option<Result<BackendStatus, StatusQueryError>> {
        match frame.tag {
            // RowDescription, CommandComplete, NoticeResponse, ParameterStatus.
            b'T' | b'C' | b'N' | b'S' => {}
            b'D' => self.take_row(&frame.body),
            b'E' => {
                if let Some(error) = BackendError::from_frame(frame) {
                    self.fail(error.into());
                }
            }
            b'Z' => return Some(self.finish()),
            tag => self.fail(StatusQueryError::UnexpectedMessage { tag }),
        }
        None
    }

    fn take_row(&mut self, body: &[u8]) {
        if self.row.is_some() {
            return self.fail(StatusQueryError::MultipleRows);
        }
        self.row = Some(parse_status(body));
    }

    fn fail(&mut self, error: StatusQueryError) {
        self.failure.get_or_insert(error);
    }

    fn finish(&mut self) -> Result<BackendStatus, StatusQueryError> {
        let Self { row, failure } = std::mem::take(self);
        match failure {
            Some(failure) => Err(failure),
            None => row.unwrap_or(Err(StatusQueryError::NoRow)),
        }
    }
}

fn parse_status(body: &[u8]) -> Result<BackendStatus, StatusQueryError> {
    let [in_recovery, term, position, flushed] = parse_columns(body)?;
    let role = match required_text("in_recovery", in_recovery)? {
        "t" | "true" => Role::Replica,
        "f" | "false" => Role::Primary,
        _ => {
            return Err(StatusQueryError::BadColumn {
                column: "in_recovery",
            });
        }
    };
    let term = required_text("term", term)?
        .parse()
        .map_err(|_| StatusQueryError::BadColumn { column: "term" })?;
    Ok(BackendStatus {
        role,
        term: Term(term),
        position: required_text("position", position)?.parse()?,
        flushed: parse_flushed_replicas(required_text("flushed", flushed)?)?,
    })
}

fn required_text<'a>(
    column: &'static str,
    value: Option<&'a [u8]>,
) -> Result<&'a str, StatusQueryError> {
    value
        .and_then(|bytes| std::str::from_utf8(bytes).ok())
        .ok_or(StatusQueryError::BadColumn { column })
}

/// Parses the values of a `DataRow`: their count, then for each value its length (-1 for
/// null) and its bytes.
fn parse_columns(body: &[u8]) -> Result<[Option<&[u8]>; COLUMNS], StatusQueryError> {
    let mut rest = body;
    let count = u16::from_be_bytes(take_bytes(&mut rest)?);
    if usize::from(count) != COLUMNS {
        return Err(StatusQueryError::MalformedRow);
    }
    let mut values = [None; COLUMNS];
    for value in &mut values {
        let length = i32::from_be_bytes(take_bytes(&mut rest)?);
        if let Ok(length) = usize::try_from(length) {
            let (bytes, after) = rest
                .split_at_checked(length)
                .ok_or(StatusQueryError::MalformedRow)?;
            *value = Some(bytes);
            rest = after;
        }
    }
    Ok(values)
}

fn take_bytes<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], StatusQueryError> {
    let (head, after) = rest
        .split_first_chunk::<N>()
        .ok_or(StatusQueryError::MalformedRow)?;
    *rest = after;
    Ok(*head)
}

/// Parses a comma-separated list of `name=position`. Names may contain `=` and `,`: a part
/// that does not end with a position is the beginning of the next name. A replica that has
/// not reported a position is missing from the list, because concatenating text with its
/// null position gives null.
fn parse_flushed_replicas(text: &str) -> Result<Vec<FlushedReplica>, StatusQueryError> {
    let mut replicas = Vec::new();
    let mut name = String::new();
    for part in text.split(',').filter(|_| !text.is_empty()) {
        if !name.is_empty() {
            name.push(',');
        }
        match part.rsplit_once('=') {
            Some((head, position)) if position.parse::<Lsn>().is_ok() => {
                name.push_str(head);
                replicas.push(FlushedReplica {
                    name: std::mem::take(&mut name),
                    position: position.parse()?,
                });
            }
            _ => name.push_str(part),
        }
        if replicas.len() > MAXIMUM_REPLICAS {
            return Err(StatusQueryError::BadColumn { column: "flushed" });
        }
    }
    if name.is_empty() {
        Ok(replicas)
    } else {
        Err(StatusQueryError::BadColumn { column: "flushed" })
    }
}
