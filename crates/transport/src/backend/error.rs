//! Why a connection to a database cannot be had or used.

use hookpoint_coordination::slots::OpenFailure;
use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::frame::FrameError;
use hookpoint_protocol::scram::ScramError;
use thiserror::Error;

/// SQLSTATE `too_many_connections`.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATEs of a database that starts, stops or crashed.
const NOT_SERVING: [&str; 3] = ["57P01", "57P02", "57P03"];
/// SQLSTATE `invalid_authorization_specification`, for failures found on this side.
const INVALID_AUTHORIZATION: &str = "28000";

/// A failure to connect, or of a connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The network failed.
    #[error("the network failed: {0}")]
    Io(#[from] std::io::Error),
    /// The database sent no valid messages.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The database closed the connection.
    #[error("the database closed the connection")]
    Closed,
    /// The database did not answer in time.
    #[error("the database did not answer in time")]
    Timeout,
    /// The database refused.
    #[error("the database refused: {0}")]
    Refused(BackendError),
    /// The address in the bundle is no address.
    #[error("`{address}` is no address of the form ip:port")]
    BadAddress {
        /// The text in the bundle.
        address: String,
    },
    /// The database wants a password and the settings name none.
    #[error("the database wants a password and none is set for the group")]
    NoPassword,
    /// The database wants an authentication that hookpoint does not do.
    #[error("the database wants authentication method {method}, which is not supported")]
    UnsupportedAuthentication {
        /// Number of the method in the protocol.
        method: u32,
    },
    /// The SCRAM exchange failed.
    #[error("the SCRAM exchange failed: {0}")]
    Scram(#[from] ScramError),
    /// The database sent a message that has no place here.
    #[error("a message of tag {tag} is out of place")]
    OutOfPlace {
        /// Tag of the message.
        tag: u8,
    },
}

impl ConnectError {
    /// What it means for the slots.
    pub(super) fn open_failure(&self) -> OpenFailure {
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
