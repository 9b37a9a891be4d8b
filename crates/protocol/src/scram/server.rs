//! The side that checks a password.

use super::message::{attribute, decode, encode, fresh_nonce, is_nonce, text};
use super::verifier::{DEFAULT_ITERATIONS, Key, Verifier, hash, same, sign, xor};
use super::{MECHANISM, ScramError};

/// Channel-binding data of a client that asks for none, in base64 of its header.
const BINDING_NONE: &str = "biws";
/// The same of a client that could do it but believes that the server cannot.
const BINDING_NOT_OFFERED: &str = "eSws";

/// One exchange with one client.
#[derive(Debug)]
pub struct ServerExchange {
    verifier: Verifier,
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
    /// An exchange that accepts the password behind `verifier`. Without one the exchange
    /// goes on as if the user existed and fails at its end, so that names of users
    /// cannot be found out. `user` and `secret` make the salt of such a user steady.
    pub fn new(verifier: Option<&Verifier>, user: &str, secret: &[u8]) -> Self {
        Self::with_nonce(verifier, user, secret, fresh_nonce())
    }

    /// The same with a given nonce.
    pub fn with_nonce(
        verifier: Option<&Verifier>,
        user: &str,
        secret: &[u8],
        nonce: String,
    ) -> Self {
        Self {
            verifier: verifier.cloned().unwrap_or_else(|| mock(user, secret)),
            known_user: verifier.is_some(),
            state: State::Start { nonce },
        }
    }

    /// Takes the client's first message and gives the server's.
    ///
    /// # Errors
    /// [`ScramError`]; the exchange is over.
    pub fn first(&mut self, mechanism: &str, message: &[u8]) -> Result<String, ScramError> {
        let State::Start { nonce } = std::mem::replace(&mut self.state, State::Done) else {
            return Err(ScramError::OutOfTurn);
        };
        if mechanism != MECHANISM {
            return Err(ScramError::ChannelBinding);
        }
        let (binding, bare) = binding_header(text(message)?)?;
        let mut parts = bare.split(',');
        attribute(parts.next(), 'n')?;
        let client_nonce = attribute(parts.next(), 'r')?;
        if !is_nonce(client_nonce) {
            return Err(ScramError::Malformed);
        }
        let nonce = format!("{client_nonce}{nonce}");
        let server_first = format!(
            "r={nonce},s={},i={}",
            encode(&self.verifier.salt),
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

    /// Takes the client's last message and gives the server's, which proves to the
    /// client that the server knows the password too.
    ///
    /// # Errors
    /// [`ScramError`]; the exchange is over.
    pub fn last(&mut self, message: &[u8]) -> Result<String, ScramError> {
        let State::Challenged { challenge } = std::mem::replace(&mut self.state, State::Done)
        else {
            return Err(ScramError::OutOfTurn);
        };
        let message = text(message)?;
        let (without_proof, proof) = message.rsplit_once(",p=").ok_or(ScramError::Malformed)?;
        let mut parts = without_proof.split(',');
        let binding = attribute(parts.next(), 'c')?;
        let nonce = attribute(parts.next(), 'r')?;
        if binding != challenge.binding || nonce != challenge.nonce {
            return Err(ScramError::OtherExchange);
        }
        let proof: Key = decode(proof)?
            .try_into()
            .map_err(|_| ScramError::Malformed)?;
        let signed = format!(
            "{},{},{without_proof}",
            challenge.client_first_bare, challenge.server_first
        );
        let signature = sign(&self.verifier.stored_key, signed.as_bytes());
        let client_key = xor(&proof, &signature);
        let right = same(&hash(&client_key), &self.verifier.stored_key);
        if !(right && self.known_user) {
            return Err(ScramError::WrongPassword);
        }
        let answer = sign(&self.verifier.server_key, signed.as_bytes());
        Ok(format!("v={}", encode(&answer)))
    }
}

/// Parts the header from the bare message, and gives the header in base64.
fn binding_header(message: &str) -> Result<(&'static str, &str), ScramError> {
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

/// A verifier that no password fits, with a salt that is the same every time.
fn mock(user: &str, secret: &[u8]) -> Verifier {
    let salt = sign(secret, user.as_bytes());
    Verifier {
        iterations: DEFAULT_ITERATIONS,
        salt: salt[..16].to_vec(),
        stored_key: sign(secret, &salt),
        server_key: sign(secret, &salt),
    }
}
