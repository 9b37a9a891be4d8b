//! Why a connection could not be opened, and why an exchange of commands and answers failed.
//!
//! A caller may be told that nothing was kept only if nothing was sent. [`ExchangeError`] therefore
//! separates the two, and a function that runs after commands were sent returns a
//! [`ConnectionError`], which cannot express that they were not.

use std::io;

use hookpoint_coordination::serving::answer_order::MisplacedAnswer;
use thiserror::Error;

use crate::message::Failure;

/// Why a connection could not be opened, or why commands that were sent have no usable answers.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// The host refused the connection or reset it.
    #[error("the database refused or reset the connection: {0}")]
    Refused(io::Error),
    /// The connection ended or failed, or a message was invalid.
    #[error("the connection broke: {0}")]
    Broken(io::Error),
    /// The database did not answer in time.
    #[error("the database did not answer in time")]
    TimedOut,
    /// An answer may belong to another command.
    #[error("an answer may belong to another command: {0}")]
    Misplaced(#[from] MisplacedAnswer),
    /// The database refused the session.
    #[error("the database refused the session: {}", .0.code.as_str())]
    Rejected(Failure),
}

impl From<io::Error> for ConnectionError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                ConnectionError::Refused(error)
            }
            _ => ConnectionError::Broken(error),
        }
    }
}

/// Why none of an exchange's commands was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotSent {
    /// The database is draining and gets no more new work, or its zone is evacuated.
    #[error("the database gets no more work")]
    NoMoreWork,
    /// Answers on the connection could not be attributed to their commands.
    #[error("the connection cannot be used any more")]
    Unusable,
    /// The peer that holds the connection did not send them, for either of these reasons.
    #[error("the peer that holds the connection did not send the commands")]
    RefusedByPeer,
}

/// Why an exchange has no answers.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// No command of the exchange was sent, and none will be.
    #[error("nothing was sent: {0}")]
    NotSent(#[from] NotSent),
    /// Commands were sent, and any of them may have run.
    #[error("the outcome of what was sent is not known: {0}")]
    Unanswered(#[from] ConnectionError),
}

impl ExchangeError {
    /// Returns whether the error says nothing about the state of the database: it has answered, but
    /// the answer cannot be attributed.
    pub fn is_misattribution(&self) -> bool {
        matches!(
            self,
            ExchangeError::NotSent(NotSent::Unusable)
                | ExchangeError::Unanswered(ConnectionError::Misplaced(_))
        )
    }
}

impl From<MisplacedAnswer> for ExchangeError {
    fn from(reason: MisplacedAnswer) -> Self {
        ConnectionError::from(reason).into()
    }
}
