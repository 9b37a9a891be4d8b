//! The client side of an exchange, which proves that it knows a password.

use std::fmt;

use super::ScramError;
use super::message::{attribute, decode_base64, encode_base64, message_text, random_nonce};
use super::verifier::{
    Key, MAXIMUM_ITERATIONS, MINIMUM_ITERATIONS, client_key, hmac_sha256, salted_password,
    server_key, sha256, verify_hmac_sha256, xor,
};

/// GS2 header that requests no channel binding.
const GS2_HEADER: &str = "n,,";

/// One authentication exchange with a server.
pub struct ClientExchange {
    password: String,
    nonce: String,
    /// Set once the client's last message was created.
    expected: Option<ExpectedServerProof>,
}

/// Data against which the signature in the server's last message is checked.
struct ExpectedServerProof {
    server_key: Key,
    auth_message: String,
}

impl ClientExchange {
    /// Creates an exchange with a random nonce. The user name is not sent here; the server
    /// takes it from the start-up message.
    pub fn new(password: &str) -> Self {
        Self::with_nonce(password, random_nonce())
    }

    /// Creates an exchange with the given nonce.
    pub fn with_nonce(password: &str, nonce: String) -> Self {
        Self {
            password: password.to_owned(),
            nonce,
            expected: None,
        }
    }

    /// Returns the client's first message.
    pub fn first(&self) -> String {
        format!("{GS2_HEADER}{}", self.first_bare())
    }

    /// Returns the first message without its GS2 header.
    fn first_bare(&self) -> String {
        format!("n=,r={}", self.nonce)
    }

    /// Processes the server's first message and returns the client's last message.
    ///
    /// # Errors
    /// Any [`ScramError`]; the exchange has failed.
    pub fn last(&mut self, server_first: &[u8]) -> Result<String, ScramError> {
        let server_first = message_text(server_first)?;
        let mut parts = server_first.split(',');
        let nonce = attribute(parts.next(), 'r')?;
        let salt = decode_base64(attribute(parts.next(), 's')?)?;
        let iterations: u32 = attribute(parts.next(), 'i')?
            .parse()
            .map_err(|_| ScramError::Malformed)?;
        if nonce.len() <= self.nonce.len() || !nonce.starts_with(&self.nonce) {
            return Err(ScramError::ExchangeMismatch);
        }
        if !(MINIMUM_ITERATIONS..=MAXIMUM_ITERATIONS).contains(&iterations) {
            return Err(ScramError::IterationsOutOfRange);
        }
        let salted = salted_password(&self.password, &salt, iterations);
        let without_proof = format!("c={},r={nonce}", encode_base64(GS2_HEADER.as_bytes()));
        let auth_message = format!("{},{server_first},{without_proof}", self.first_bare());
        let key = client_key(&salted);
        let signature = hmac_sha256(&sha256(&key), auth_message.as_bytes());
        let proof = encode_base64(&xor(&key, &signature));
        self.expected = Some(ExpectedServerProof {
            server_key: server_key(&salted),
            auth_message,
        });
        Ok(format!("{without_proof},p={proof}"))
    }

    /// Checks the server's last message.
    ///
    /// # Errors
    /// [`ScramError::ServerNotAuthenticated`] when the signature is wrong and
    /// [`ScramError::WrongPassword`] when the server refused the client's proof; else
    /// [`ScramError::UnexpectedMessage`] or [`ScramError::Malformed`].
    pub fn finish(&mut self, server_last: &[u8]) -> Result<(), ScramError> {
        let expected = self.expected.take().ok_or(ScramError::UnexpectedMessage)?;
        let message = message_text(server_last)?;
        if message.starts_with("e=") {
            return Err(ScramError::WrongPassword);
        }
        let signature = decode_base64(attribute(message.split(',').next(), 'v')?)?;
        if verify_hmac_sha256(
            &expected.server_key,
            expected.auth_message.as_bytes(),
            &signature,
        ) {
            Ok(())
        } else {
            Err(ScramError::ServerNotAuthenticated)
        }
    }
}

impl fmt::Debug for ClientExchange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ClientExchange")
            .finish_non_exhaustive()
    }
}
