//! Errors of opening and using database connections.

use hookpoint_coordination::slots::OpenFailure;
use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::frame::FrameError;
use hookpoint_protocol::scram::ScramError;
use thiserror::Error;

/// SQLSTATE `too_many_connections`.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATEs of a database that is starting up, is shutting down or has crashed.
const NOT_SERVING: [&str; 3] = ["57P01", "57P02", "57P03"];
/// SQLSTATE `invalid_authorization_specification`, for failures detected by the proxy.
const INVALID_AUTHORIZATION: &str = "28000";

/// Why a connection could not be opened or has failed.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// A network operation failed.
    #[error("the network failed: {0}")]
    Io(#[from] std::io::Error),
    /// The database sent malformed messages.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The database closed the connection.
    #[error("the database closed the connection")]
    Closed,
    /// The database did not answer in time.
    #[error("the database did not answer in time")]
    Timeout,
    /// The database answered with an error.
    #[error("the database answered with an error: {0}")]
    Refused(BackendError),
    /// The address in the bundle is not valid.
    #[error("`{address}` is not an address of the form ip:port")]
    BadAddress {
        /// The address text in the bundle.
        address: String,
    },
    /// The database requires a password and the settings contain none.
    #[error("the database requires a password and none is set for the group")]
    NoPassword,
    /// The database requires an authentication method that hookpoint does not support.
    #[error("the database requires authentication method {method}, which is not supported")]
    UnsupportedAuthentication {
        /// Number of the method in the protocol.
        method: u32,
    },
    /// The SCRAM exchange failed.
    #[error("the SCRAM exchange failed: {0}")]
    Scram(#[from] ScramError),
    /// The database sent a message that is not allowed at this point.
    #[error("unexpected message with tag {tag}")]
    OutOfPlace {
        /// Tag of the message.
        tag: u8,
    },
}

impl ConnectError {
    /// Returns the kind of failure as the slot table distinguishes it.
    pub(super) fn as_open_failure(&self) -> OpenFailure {
        match self {
            Self::Io(_) | Self::Frame(_) | Self::Closed | Self::Timeout => OpenFailure::Unreachable,
            Self::Refused(error) if error.sqlstate == TOO_MANY_CONNECTIONS => {
                OpenFailure::SlotsTaken
            }
            Self::Refused(error) if NOT_SERVING.contains(&error.sqlstate.as_str()) => {
                OpenFailure::Unreachable
            }
            Self::Refused(error) => OpenFailure::Rejected(error.sqlstate.clone()),
            Self::BadAddress { .. }
            | Self::NoPassword
            | Self::UnsupportedAuthentication { .. }
            | Self::Scram(_)
            | Self::OutOfPlace { .. } => OpenFailure::Rejected(INVALID_AUTHORIZATION.to_owned()),
        }
    }
}
