//! Parsing of errors received from databases.

use pgwire::messages::response::MESSAGE_TYPE_BYTE_ERROR_RESPONSE;
use thiserror::Error;

use crate::frame::Frame;

/// SQLSTATE used when the message carries none (`internal_error`).
const MISSING_SQLSTATE: &str = "XX000";

/// Main fields of an `ErrorResponse`. Missing fields are empty, except the SQLSTATE, which
/// is then `XX000`. Of a truncated message, the complete fields are kept.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{severity} {sqlstate}: {message}")]
pub struct BackendError {
    /// Severity; the unlocalised form when the database sends it, else the localised one.
    pub severity: String,
    /// SQLSTATE code of five characters.
    pub sqlstate: String,
    /// Primary human-readable message.
    pub message: String,
}

impl BackendError {
    /// Parses an `ErrorResponse`; `None` for any other message.
    pub fn from_frame(frame: &Frame) -> Option<Self> {
        (frame.tag == MESSAGE_TYPE_BYTE_ERROR_RESPONSE).then(|| Self::from_body(&frame.body))
    }

    /// Returns whether the database ends the connection with this error.
    pub fn is_fatal(&self) -> bool {
        matches!(&*self.severity, "FATAL" | "PANIC")
    }

    fn from_body(body: &[u8]) -> Self {
        let mut error = Self {
            severity: String::new(),
            sqlstate: MISSING_SQLSTATE.to_owned(),
            message: String::new(),
        };
        let mut localised_severity = String::new();
        for (code, text) in fields(body) {
            match code {
                b'S' => localised_severity = text,
                b'V' => error.severity = text,
                b'C' => error.sqlstate = text,
                b'M' => error.message = text,
                _ => {}
            }
        }
        if error.severity.is_empty() {
            error.severity = localised_severity;
        }
        error
    }
}

/// Iterates over the fields of the message, each a code and a zero-terminated text. The
/// body is parsed here because `pgwire` panics on a truncated body.
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
