//! Errors from databases.

use pgwire::messages::response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE;
use thiserror::Error;

use crate::frame::Frame;

/// SQLSTATE used where the message carries none (`internal_error`).
const MISSING_SQLSTATE: &str = "XX000";

/// What a database's `ErrorResponse` says. Missing fields are empty; a truncated message
/// gives the fields before the cut.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{severity} {sqlstate}: {message}")]
pub struct BackendError {
    /// Severity, unlocalised where the database sends it so.
    pub severity: String,
    /// SQLSTATE.
    pub sqlstate: String,
    /// Primary message.
    pub message: String,
}

impl BackendError {
    /// Reads an `ErrorResponse`; `None` for any other message.
    pub fn from_frame(frame: &Frame) -> Option<Self> {
        (frame.tag == MESSAGE_TYPE_BYTE_ERROR_RESPONSE).then(|| Self::from_body(&frame.body))
    }

    /// Whether the connection ends with this error.
    pub fn is_fatal(&self) -> bool {
        matches!(&*self.severity, "FATAL" | "PANIC")
    }

    fn from_body(body: &[u8]) -> Self {
        let mut error = Self {
            severity: String::new(),
            sqlstate: MISSING_SQLSTATE.to_owned(),
            message: String::new(),
        };
        let mut localised = String::new();
        for (code, text) in fields(body) {
            match code {
                b'S' => localised = text,
                b'V' => error.severity = text,
                b'C' => error.sqlstate = text,
                b'M' => error.message = text,
                _ => {}
            }
        }
        if error.severity.is_empty() {
            error.severity = localised;
        }
        error
    }
}

/// The fields of the message, each a code and a text ended by a zero byte. The reading
/// is done here because the codec library panics on a truncated body.
fn fields(body: &[u8]) -> impl Iterator<Item = (u8, String)> {
    let mut rest = body;
    std::iter::from_fn(move || {
        let (&code, after) = rest.split_first()?;
        if code == 0 {
            return None;
        }
        let end = after.iter().position(|byte| *byte == 0)?;
        rest = &after[end + 1..];
        Some((code, String::from_utf8_lossy(&after[..end]).into_owned()))
    })
}
