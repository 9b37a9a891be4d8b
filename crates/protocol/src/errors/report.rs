//! Errors reported to clients.

use std::time::Duration;

use bytes::BytesMut;
use hookpoint_state::outcome::UNKNOWN_SQLSTATE;
use hookpoint_state::{Outcome, Refusal, UnknownCause};
use pgwire::messages::Message;
use pgwire::messages::response::{ErrorResponse, MESSAGE_TYPE_BYTE_ERROR_RESPONSE};

use crate::frame::Frame;

/// SQLSTATE `protocol_violation`.
const PROTOCOL_VIOLATION: &str = "08P01";
/// SQLSTATE `invalid_password`.
const INVALID_PASSWORD: &str = "28P01";
/// SQLSTATE `admin_shutdown`.
const ADMIN_SHUTDOWN: &str = "57P01";

/// Severity of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The request fails and the session continues.
    Error,
    /// The session ends.
    Fatal,
}

impl Severity {
    /// Returns the unlocalised text of the severity field.
    pub fn as_str(self) -> &'static str {
        match self {
            Severity::Error => "ERROR",
            Severity::Fatal => "FATAL",
        }
    }
}

/// An error reported to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorReport {
    /// Whether the session ends with the error.
    pub severity: Severity,
    /// SQLSTATE code of five characters.
    pub sqlstate: String,
    /// Human-readable message of one sentence.
    pub message: String,
    /// Whether the request ran; `None` when the error does not concern a request.
    pub outcome: Option<Outcome>,
    /// Machine-readable reason.
    pub reason: Option<String>,
    /// Time after which a retry can succeed; `None` when a retry is not suggested.
    pub retry_after: Option<Duration>,
}

impl ErrorReport {
    /// Creates an error that does not concern a request.
    pub fn new(severity: Severity, sqlstate: &str, message: impl Into<String>) -> Self {
        Self {
            severity,
            sqlstate: sqlstate.to_owned(),
            message: message.into(),
            outcome: None,
            reason: None,
            retry_after: None,
        }
    }

    /// Creates the error for a request that was refused and did not run.
    pub fn refusal(refusal: &Refusal) -> Self {
        Self {
            outcome: Some(refusal.outcome()),
            reason: Some(refusal_reason(refusal).to_owned()),
            retry_after: refusal.retry_after(),
            ..Self::new(Severity::Error, refusal.sqlstate(), refusal.to_string())
        }
    }

    /// Creates the error for a request whose outcome cannot be determined.
    pub fn unknown_outcome(cause: UnknownCause) -> Self {
        Self {
            outcome: Some(Outcome::Unknown),
            reason: Some(unknown_reason(cause).to_owned()),
            ..Self::new(Severity::Error, UNKNOWN_SQLSTATE, cause.to_string())
        }
    }

    /// Creates the error for a protocol violation by the client; the session ends.
    pub fn protocol(message: impl Into<String>) -> Self {
        Self::new(Severity::Fatal, PROTOCOL_VIOLATION, message)
    }

    /// Creates the error for credentials that were not accepted; the session ends.
    pub fn authentication(user: &str) -> Self {
        let message = format!("password authentication failed for user \"{user}\"");
        Self::new(Severity::Fatal, INVALID_PASSWORD, message)
    }

    /// Creates the error that ends an idle session because the proxy is stopping. A request
    /// that the client was sending at that moment is not read and does not run.
    pub fn shutdown() -> Self {
        let message = "terminating connection because the proxy is stopping";
        Self {
            reason: Some(refusal_reason(&Refusal::Stopping).to_owned()),
            outcome: Some(Outcome::NotRun),
            retry_after: Refusal::Stopping.retry_after(),
            ..Self::new(Severity::Fatal, ADMIN_SHUTDOWN, message)
        }
    }

    /// Returns the same error with a severity that ends the session.
    pub fn fatal(mut self) -> Self {
        self.severity = Severity::Fatal;
        self
    }

    /// Encodes the error as an `ErrorResponse` message.
    pub fn to_frame(&self) -> Frame {
        let severity = self.severity.as_str().to_owned();
        let mut fields = vec![
            (b'S', severity.clone()),
            (b'V', severity),
            (b'C', self.sqlstate.clone()),
            (b'M', self.message.clone()),
        ];
        fields.extend(self.detail().map(|detail| (b'D', detail)));
        fields.extend(self.hint().map(|hint| (b'H', hint)));
        for (_, text) in &mut fields {
            text.retain(|character| character != '\0');
        }
        let mut body = BytesMut::new();
        // Encoding the body only appends to a growing buffer and cannot fail.
        let _ = ErrorResponse::new(fields).encode_body(&mut body);
        Frame::new(MESSAGE_TYPE_BYTE_ERROR_RESPONSE, body)
    }

    /// Returns the `DETAIL` field: the outcome and the reason, separated by a space. `None`
    /// when the error has no outcome.
    pub fn detail(&self) -> Option<String> {
        let outcome = self.outcome?.as_field();
        Some(match &self.reason {
            Some(reason) => format!("{outcome} hookpoint.reason={reason}"),
            None => outcome.to_owned(),
        })
    }

    /// Returns the `HINT` field: the retry time in milliseconds, if there is one.
    pub fn hint(&self) -> Option<String> {
        self.retry_after
            .map(|after| format!("retry_after_ms={}", after.as_millis()))
    }
}

impl From<&Refusal> for ErrorReport {
    fn from(refusal: &Refusal) -> Self {
        Self::refusal(refusal)
    }
}

impl From<UnknownCause> for ErrorReport {
    fn from(cause: UnknownCause) -> Self {
        Self::unknown_outcome(cause)
    }
}

fn refusal_reason(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::QueueFull => "queue_full",
        Refusal::TenantLimit => "tenant_limit",
        Refusal::WaitDeadline => "wait_deadline",
        Refusal::NoPrimary => "no_primary",
        Refusal::NoDatabase => "no_database",
        Refusal::Stopping => "stopping",
        Refusal::UnknownGroup => "unknown_group",
        Refusal::NoBundle => "no_bundle",
        Refusal::Unsupported { .. } => "unsupported",
        Refusal::AlreadyRan => "already_ran",
        Refusal::BackendRefused { .. } => "backend_refused",
        Refusal::RolledBack => "rolled_back",
    }
}

fn unknown_reason(cause: UnknownCause) -> &'static str {
    match cause {
        UnknownCause::ConnectionLost => "connection_lost",
        UnknownCause::NoMajority => "no_majority",
        UnknownCause::TermChanged => "term_changed",
        UnknownCause::Deadline => "deadline",
    }
}
