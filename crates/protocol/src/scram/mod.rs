//! SCRAM-SHA-256 (RFC 5802, RFC 7677) as PostgreSQL uses it, for the client and the server
//! side. Channel binding is not supported and MD5 passwords are refused.

mod client;
mod message;
mod server;
mod verifier;

use thiserror::Error;

pub use client::ClientExchange;
pub use server::ServerExchange;
pub use verifier::{DEFAULT_ITERATIONS, Verifier, VerifierError};

/// Name of the SASL mechanism in the authentication messages.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ScramError {
    /// A message is malformed.
    #[error("a SCRAM message is malformed")]
    Malformed,
    /// A message arrived that is not expected in the current state of the exchange.
    #[error("a SCRAM message arrived out of turn")]
    UnexpectedMessage,
    /// The peer requests channel binding or another mechanism than [`MECHANISM`].
    #[error("channel binding is not supported")]
    ChannelBinding,
    /// The nonce or the channel-binding data do not match this exchange.
    #[error("a SCRAM message belongs to another exchange")]
    ExchangeMismatch,
    /// The server requests too few or too many iterations.
    #[error("the iteration count is out of bounds")]
    IterationsOutOfRange,
    /// The password is wrong or the user is unknown.
    #[error("the password is wrong")]
    WrongPassword,
    /// The server could not prove that it knows the password.
    #[error("the server could not prove that it knows the password")]
    ServerNotAuthenticated,
}
