//! The side that has a password.

use std::fmt;

use super::ScramError;
use super::message::{attribute, decode, encode, fresh_nonce, text};
use super::verifier::{
    Key, MAXIMUM_ITERATIONS, MINIMUM_ITERATIONS, client_key, hash, is_signed, salted_password,
    server_key, sign, xor,
};

/// Header that asks for no channel binding.
const HEADER: &str = "n,,";

/// One exchange with one server.
pub struct ClientExchange {
    password: String,
    nonce: String,
    expected: Option<Expected>,
}

/// What the server's last message has to prove.
struct Expected {
    server_key: Key,
    signed: String,
}

impl ClientExchange {
    /// An exchange with a fresh nonce. The user is the one of the start-up message.
    pub fn new(password: &str) -> Self {
        Self::with_nonce(password, fresh_nonce())
    }

    /// The same with a given nonce.
    pub fn with_nonce(password: &str, nonce: String) -> Self {
        Self {
            password: password.to_owned(),
            nonce,
            expected: None,
        }
    }

    /// The client's first message.
    pub fn first(&self) -> String {
        format!("{HEADER}{}", self.first_bare())
    }

    fn first_bare(&self) -> String {
        format!("n=,r={}", self.nonce)
    }

    /// Takes the server's first message and gives the client's last.
    ///
    /// # Errors
    /// [`ScramError`]; the exchange is over.
    pub fn last(&mut self, server_first: &[u8]) -> Result<String, ScramError> {
        let server_first = text(server_first)?;
        let mut parts = server_first.split(',');
        let nonce = attribute(parts.next(), 'r')?;
        let salt = decode(attribute(parts.next(), 's')?)?;
        let iterations: u32 = attribute(parts.next(), 'i')?
            .parse()
            .map_err(|_| ScramError::Malformed)?;
        if nonce.len() <= self.nonce.len() || !nonce.starts_with(&self.nonce) {
            return Err(ScramError::OtherExchange);
        }
        if !(MINIMUM_ITERATIONS..=MAXIMUM_ITERATIONS).contains(&iterations) {
            return Err(ScramError::Iterations);
        }
        let salted = salted_password(&self.password, &salt, iterations);
        let without_proof = format!("c={},r={nonce}", encode(HEADER.as_bytes()));
        let signed = format!("{},{server_first},{without_proof}", self.first_bare());
        let key = client_key(&salted);
        let signature = sign(&hash(&key), signed.as_bytes());
        let proof = encode(&xor(&key, &signature));
        self.expected = Some(Expected {
            server_key: server_key(&salted),
            signed,
        });
        Ok(format!("{without_proof},p={proof}"))
    }

    /// Checks the server's last message.
    ///
    /// # Errors
    /// [`ScramError::WrongServer`] when the server does not know the password.
    pub fn finish(&mut self, server_last: &[u8]) -> Result<(), ScramError> {
        let expected = self.expected.take().ok_or(ScramError::OutOfTurn)?;
        let message = text(server_last)?;
        if message.starts_with("e=") {
            return Err(ScramError::WrongPassword);
        }
        let signature = decode(attribute(message.split(',').next(), 'v')?)?;
        if is_signed(&expected.server_key, expected.signed.as_bytes(), &signature) {
            Ok(())
        } else {
            Err(ScramError::WrongServer)
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
