//! SCRAM-SHA-256 (RFC 5802, RFC 7677) in the form that PostgreSQL uses, for both sides.
//! There is no channel binding, and passwords in MD5 form are refused.

mod client;
mod message;
mod server;
mod verifier;

use thiserror::Error;

pub use client::ClientExchange;
pub use server::ServerExchange;
pub use verifier::{DEFAULT_ITERATIONS, Verifier, VerifierError};

/// Name of the mechanism in the authentication messages.
pub const MECHANISM: &str = "SCRAM-SHA-256";

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ScramError {
    /// A message is malformed.
    #[error("a SCRAM message is malformed")]
    Malformed,
    /// A message arrived out of turn.
    #[error("a SCRAM message arrived out of turn")]
    OutOfTurn,
    /// The other side asks for channel binding.
    #[error("channel binding is not supported")]
    ChannelBinding,
    /// The nonce or the channel-binding data do not belong to this exchange.
    #[error("a SCRAM message belongs to another exchange")]
    OtherExchange,
    /// The server asks for too few or too many iterations.
    #[error("the iteration count is out of bounds")]
    Iterations,
    /// The password is wrong, or the user is not known.
    #[error("the password is wrong")]
    WrongPassword,
    /// The server does not know the password either.
    #[error("the server could not prove that it knows the password")]
    WrongServer,
}
