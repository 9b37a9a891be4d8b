//! Reads the answer to the status query.

use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_state::position::ParseLsnError;
use hookpoint_state::{Lsn, Term};
use thiserror::Error;

use crate::errors::BackendError;
use crate::frame::Frame;

/// Columns of the answer.
const COLUMNS: usize = 4;
/// Longest list of replicas accepted, so that an answer cannot take unbounded memory.
const MAXIMUM_REPLICAS: usize = 256;

/// Why the answer could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatusQueryError {
    /// The database refused the query.
    #[error("the database refused the status query: {0}")]
    Refused(#[from] BackendError),
    /// The answer ended without a row.
    #[error("the status query gave no row")]
    NoRow,
    /// The answer had more than one row.
    #[error("the status query gave more than one row")]
    ManyRows,
    /// The row is cut short or has other columns.
    #[error("the row of the status query is malformed")]
    MalformedRow,
    /// A column holds no value or one of another form.
    #[error("column `{column}` of the status query is unusable")]
    BadColumn {
        /// Name of the column.
        column: &'static str,
    },
    /// A position is malformed.
    #[error(transparent)]
    BadPosition(#[from] ParseLsnError),
    /// A message arrived that has no place in the answer.
    #[error("a message of tag {tag} has no place in the answer to the status query")]
    UnexpectedMessage {
        /// Tag of the message.
        tag: u8,
    },
}

/// Takes the messages of one answer, from `RowDescription` to `ReadyForQuery`.
#[derive(Clone, Debug, Default)]
pub struct StatusCollector {
    row: Option<Result<BackendStatus, StatusQueryError>>,
    failure: Option<StatusQueryError>,
}

impl StatusCollector {
    /// A collector at the start of an answer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the next message. Gives the result at `ReadyForQuery`, after which the
    /// collector is ready for another answer.
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
            return self.fail(StatusQueryError::ManyRows);
        }
        self.row = Some(status_of(body));
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

fn status_of(body: &[u8]) -> Result<BackendStatus, StatusQueryError> {
    let [in_recovery, term, position, flushed] = columns(body)?;
    let role = match required("in_recovery", in_recovery)? {
        "t" | "true" => Role::Replica,
        "f" | "false" => Role::Primary,
        _ => {
            return Err(StatusQueryError::BadColumn {
                column: "in_recovery",
            });
        }
    };
    let term = required("term", term)?
        .parse()
        .map_err(|_| StatusQueryError::BadColumn { column: "term" })?;
    Ok(BackendStatus {
        role,
        term: Term(term),
        position: required("position", position)?.parse()?,
        flushed: flushed_replicas(required("flushed", flushed)?)?,
    })
}

fn required<'a>(
    column: &'static str,
    value: Option<&'a [u8]>,
) -> Result<&'a str, StatusQueryError> {
    value
        .and_then(|bytes| std::str::from_utf8(bytes).ok())
        .ok_or(StatusQueryError::BadColumn { column })
}

/// The values of a `DataRow`: a count, then for each a length (-1 for null) and bytes.
fn columns(body: &[u8]) -> Result<[Option<&[u8]>; COLUMNS], StatusQueryError> {
    let mut rest = body;
    let count = u16::from_be_bytes(take(&mut rest)?);
    if usize::from(count) != COLUMNS {
        return Err(StatusQueryError::MalformedRow);
    }
    let mut values = [None; COLUMNS];
    for value in &mut values {
        let length = i32::from_be_bytes(take(&mut rest)?);
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

fn take<const N: usize>(rest: &mut &[u8]) -> Result<[u8; N], StatusQueryError> {
    let (head, after) = rest
        .split_first_chunk::<N>()
        .ok_or(StatusQueryError::MalformedRow)?;
    *rest = after;
    Ok(*head)
}

/// `name=position` parted by commas. A name may hold `=` or `,`; an entry without a
/// position belongs to the name of the next one. A replica that has reported no
/// position is missing from the list, because joining its null to a text gives null.
fn flushed_replicas(text: &str) -> Result<Vec<FlushedReplica>, StatusQueryError> {
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
