//! Errors as callers see them, and the reasons why sessions end.

use hookpoint_protocol::errors::{BackendError, ErrorReport, Severity};
use hookpoint_protocol::extended::MalformedMessage;
use hookpoint_protocol::frame::{Frame, FrameError};
use hookpoint_state::{Refusal, UnknownCause};
use thiserror::Error;

use crate::caller::authentication::AuthenticationError;
use crate::caller::startup::StartFailure;
use crate::caller::stream::CallerGone;
use crate::caller::unit::UnitError;

const PROTOCOL_VIOLATION: &str = "08P01";
const PROGRAM_LIMIT_EXCEEDED: &str = "54000";
const FEATURE_NOT_SUPPORTED: &str = "0A000";
const QUERY_CANCELLED: &str = "57014";
const IDLE_IN_TRANSACTION: &str = "25P03";
const FAILED_TRANSACTION: &str = "25P02";
const ACTIVE_TRANSACTION: &str = "25001";
const INVALID_STATEMENT_NAME: &str = "26000";
const TOO_MANY_CONNECTIONS: &str = "53300";
const TOO_MANY_STATEMENTS: &str = "53400";
const INVALID_AUTHORIZATION: &str = "28000";
const INVALID_PASSWORD: &str = "28P01";
const UNKNOWN_DATABASE: &str = "3D000";
const INVALID_NAME: &str = "42602";

/// Why a session ended.
#[derive(Debug, Error)]
pub enum SessionEnd {
    /// The caller sent `Terminate`.
    #[error("the caller sent Terminate")]
    Terminated,
    /// The caller has disconnected.
    #[error(transparent)]
    Gone(#[from] CallerGone),
    /// The caller violated the protocol.
    #[error(transparent)]
    Malformed(#[from] MalformedMessage),
    /// The caller's messages up to `Sync` exceed the size limit.
    #[error("a unit of messages is over the limit")]
    UnitTooLarge,
    /// The proxy is stopping.
    #[error("the proxy is stopping")]
    Stopping,
    /// A database refused a start-up parameter (`Some`), or the proxy cannot carry it
    /// (`None`).
    #[error("a start-up parameter was refused")]
    Setting(Option<BackendError>),
    /// A transaction was idle for too long.
    #[error("a transaction stood idle for too long")]
    IdleTransaction,
}

impl SessionEnd {
    /// Returns the last message to the caller, if one can still be sent.
    pub fn final_message(&self) -> Option<Frame> {
        let sqlstate = match self {
            SessionEnd::Terminated => return None,
            SessionEnd::Gone(CallerGone::Frame(
                FrameError::BadLength { .. } | FrameError::TooLarge { .. },
            ))
            | SessionEnd::Malformed(_) => PROTOCOL_VIOLATION,
            SessionEnd::Gone(_) => return None,
            SessionEnd::UnitTooLarge => PROGRAM_LIMIT_EXCEEDED,
            SessionEnd::Stopping => return Some(ErrorReport::shutdown().to_frame()),
            SessionEnd::Setting(None) => FEATURE_NOT_SUPPORTED,
            SessionEnd::Setting(Some(error)) => {
                return Some(fatal(&error.sqlstate, &error.message));
            }
            SessionEnd::IdleTransaction => IDLE_IN_TRANSACTION,
        };
        Some(fatal(sqlstate, &self.to_string()))
    }
}

/// Returns the error message for a connection that did not become a session.
pub fn start_failure(failure: &StartFailure) -> Option<Frame> {
    let sqlstate = match failure {
        StartFailure::Gone(_) | StartFailure::TlsHandshake => return None,
        StartFailure::Packet(_) | StartFailure::TooManyEncryptionRequests => PROTOCOL_VIOLATION,
        StartFailure::Authentication(AuthenticationError::Gone(_)) => return None,
        StartFailure::Authentication(AuthenticationError::Malformed) => PROTOCOL_VIOLATION,
        StartFailure::Authentication(AuthenticationError::Failed { .. }) => INVALID_PASSWORD,
        StartFailure::TlsRequired => INVALID_AUTHORIZATION,
        StartFailure::Replication => FEATURE_NOT_SUPPORTED,
        StartFailure::SettingName { .. } => INVALID_NAME,
        StartFailure::TooManySessions => TOO_MANY_CONNECTIONS,
        StartFailure::UnknownGroup { .. } => UNKNOWN_DATABASE,
    };
    Some(fatal(sqlstate, &failure.to_string()))
}

/// Returns the error message for a request that did not run.
pub fn refusal(refusal: &Refusal) -> Frame {
    ErrorReport::refusal(refusal).to_frame()
}

/// Returns the error message for a request that may have run.
pub fn unknown(cause: UnknownCause) -> Frame {
    ErrorReport::unknown_outcome(cause).to_frame()
}

/// Returns the error message for a request that the caller cancelled before it was sent.
pub fn cancelled() -> Frame {
    error(QUERY_CANCELLED, "the request was cancelled before it ran")
}

/// Returns the error message for a unit that cannot be planned.
pub fn unit_error(failure: &UnitError) -> Frame {
    let sqlstate = match failure {
        UnitError::Malformed(_) => PROTOCOL_VIOLATION,
        UnitError::TooManyStatements => TOO_MANY_STATEMENTS,
    };
    error(sqlstate, &failure.to_string())
}

/// Returns the error message for a statement inside a failed transaction block.
pub fn aborted_transaction() -> Frame {
    error(
        FAILED_TRANSACTION,
        "current transaction is aborted, commands ignored until end of transaction block",
    )
}

/// Returns the error message for `DEALLOCATE` of a statement that does not exist.
pub fn missing_statement(name: &str) -> Frame {
    let message = format!("prepared statement \"{name}\" does not exist");
    error(INVALID_STATEMENT_NAME, &message)
}

/// Returns the error message for `DISCARD ALL` inside a transaction block.
pub fn discard_in_transaction() -> Frame {
    error(
        ACTIVE_TRANSACTION,
        "DISCARD ALL cannot run inside a transaction block",
    )
}

fn error(sqlstate: &'static str, message: &str) -> Frame {
    ErrorReport::new(Severity::Error, sqlstate, message).to_frame()
}

fn fatal(sqlstate: &str, message: &str) -> Frame {
    ErrorReport::new(Severity::Fatal, sqlstate, message).to_frame()
}
