//! The server side of an exchange, which checks the client's proof of a password.

use super::message::{
    attribute, decode_base64, encode_base64, is_valid_nonce, message_text, random_nonce,
};
use super::verifier::{
    DEFAULT_ITERATIONS, Key, Verifier, constant_time_eq, hmac_sha256, sha256, xor,
};
use super::{MECHANISM, ScramError};

/// Channel-binding data of a client that does not support channel binding: the base64 of
/// its GS2 header `n,,`.
const BINDING_NONE: &str = "biws";
/// Channel-binding data of a client that supports channel binding but was not offered it:
/// the base64 of its GS2 header `y,,`.
const BINDING_NOT_OFFERED: &str = "eSws";

/// One authentication exchange with a client.
#[derive(Debug)]
pub struct ServerExchange {
    verifier: Verifier,
    /// False when the verifier is a mock one for an unknown user.
    known_user: bool,
    state: State,
}

#[derive(Debug)]
enum State {
    Start { nonce: String },
    Challenged { challenge: Challenge },
    Done,
}

#[derive(Debug)]
struct Challenge {
    binding: &'static str,
    client_first_bare: String,
    server_first: String,
    nonce: String,
}

impl ServerExchange {
    /// Creates an exchange that accepts the password from which `verifier` was made. Without
    /// a verifier the exchange proceeds as if the user existed and fails at its end, so that
    /// clients cannot find out which users exist. The salt shown for such a user is derived
    /// from `user` and `secret` and is therefore the same in every exchange.
    pub fn new(verifier: Option<&Verifier>, user: &str, secret: &[u8]) -> Self {
        Self::with_nonce(verifier, user, secret, random_nonce())
    }

    /// Creates an exchange with the given server nonce.
    pub fn with_nonce(
        verifier: Option<&Verifier>,
        user: &str,
        secret: &[u8],
        nonce: String,
    ) -> Self {
        Self {
            verifier: verifier
                .cloned()
                .unwrap_or_else(|| mock_verifier(user, secret)),
            known_user: verifier.is_some(),
            state: State::Start { nonce },
        }
    }

    /// Processes the client's first message and returns the server's first message.
    ///
    /// # Errors
    /// Any [`ScramError`]; the exchange has failed.
    pub fn first(&mut self, mechanism: &str, message: &[u8]) -> Result<String, ScramError> {
        let State::Start { nonce } = std::mem::replace(&mut self.state, State::Done) else {
            return Err(ScramError::UnexpectedMessage);
        };
        if mechanism != MECHANISM {
            return Err(ScramError::ChannelBinding);
        }
        let (binding, bare) = split_gs2_header(message_text(message)?)?;
        let mut parts = bare.split(',');
        attribute(parts.next(), 'n')?;
        let client_nonce = attribute(parts.next(), 'r')?;
        if !is_valid_nonce(client_nonce) {
            return Err(ScramError::Malformed);
        }
        let nonce = format!("{client_nonce}{nonce}");
        let server_first = format!(
            "r={nonce},s={},i={}",
            encode_base64(&self.verifier.salt),
            self.verifier.iterations
        );
        let challenge = Challenge {
            binding,
            client_first_bare: bare.to_owned(),
            server_first: server_first.clone(),
            nonce,
        };
        self.state = State::Challenged { challenge };
        Ok(server_first)
    }

    /// Processes the client's last message and returns the server's last message, which
    /// proves to the client that the server knows the password.
    ///
    /// # Errors
    /// Any [`ScramError`]; the exchange has failed.
    pub fn last(&mut self, message: &[u8]) -> Result<String, ScramError> {
        let State::Challenged { challenge } = std::mem::replace(&mut self.state, State::Done)
        else {
            return Err(ScramError::UnexpectedMessage);
        };
        let message = message_text(message)?;
        let (without_proof, proof) = message.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let mut parts = without_proof.split(',');
        let binding = attribute(parts.next(), 'c')?;
        let nonce = attribute(parts.next(), 'r')?;
        if binding != challenge.binding || nonce != challenge.nonce {
            return Err(ScramError::ExchangeMismatch);
        }
        let proof: Key = decode_base64(proof)?
            .try_into()
            .map_err(|_| ScramError::Malformed)?;
        let auth_message = format!(
            "{},{},{without_proof}",
            challenge.client_first_bare, challenge.server_first
        );
        let signature = hmac_sha256(&self.verifier.stored_key, auth_message.as_bytes());
        let client_key = xor(&proof, &signature);
        let proof_matches = constant_time_eq(&sha256(&client_key), &self.verifier.stored_key);
        if !(proof_matches && self.known_user) {
            return Err(ScramError::WrongPassword);
        }
        let server_signature = hmac_sha256(&self.verifier.server_key, auth_message.as_bytes());
        Ok(format!("v={}", encode_base64(&server_signature)))
    }
}

/// Splits the GS2 header off the client's first message. Returns the header in base64 and
/// the bare message.
fn split_gs2_header(message: &str) -> Result<(&'static str, &str), ScramError> {
    let (flag, rest) = message.split_once(',').ok_or(ScramError::Malformed)?;
    let (authorization, bare) = rest.split_once(',').ok_or(ScramError::Malformed)?;
    if !authorization.is_empty() {
        return Err(ScramError::Malformed);
    }
    match flag {
        "n" => Ok((BINDING_NONE, bare)),
        "y" => Ok((BINDING_NOT_OFFERED, bare)),
        _ if flag.starts_with("p=") => Err(ScramError::ChannelBinding),
        _ => Err(ScramError::Malformed),
    }
}

/// Returns a verifier for an unknown user, which matches no password and has the same salt
/// every time.
fn mock_verifier(user: &str, secret: &[u8]) -> Verifier {
    let salt = hmac_sha256(secret, user.as_bytes());
    Verifier {
        iterations: DEFAULT_ITERATIONS,
        salt: salt[..16].to_vec(),
        stored_key: hmac_sha256(secret, &salt),
        server_key: hmac_sha256(secret, &salt),
    }
}
