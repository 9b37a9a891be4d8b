//! Authentication of callers: SCRAM-SHA-256, or none where every caller on loopback is
//! trusted.

use std::collections::BTreeMap;

use bytes::Bytes;
use hookpoint_protocol::extended::take_string;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::reply;
use hookpoint_protocol::scram::{
    DEFAULT_ITERATIONS, MECHANISM, ScramError, ServerExchange, Verifier,
};
use hookpoint_protocol::tags::frontend;
use thiserror::Error;

use crate::caller::settings::{Credential, CredentialStore};
use crate::caller::stream::{CallerGone, CallerStream};

/// Type of the authentication message that lists the SASL mechanisms.
const SASL: u32 = 10;
/// Type of the authentication message that continues a SASL exchange.
const SASL_CONTINUE: u32 = 11;
/// Type of the authentication message that ends a SASL exchange.
const SASL_FINAL: u32 = 12;

/// Why a caller was not authenticated.
#[derive(Debug, Error)]
pub enum AuthenticationError {
    /// The caller has disconnected.
    #[error(transparent)]
    Gone(#[from] CallerGone),
    /// A message is malformed or not allowed during authentication.
    #[error("the authentication messages are malformed")]
    Malformed,
    /// The user or the password is wrong; the error does not reveal which.
    #[error("password authentication failed for user \"{user}\"")]
    Failed {
        /// User name as given by the caller.
        user: String,
    },
}

/// Verifies the credentials of callers.
pub struct Authenticator {
    verifiers: BTreeMap<String, Verifier>,
    secret: [u8; 32],
}

impl Authenticator {
    /// Creates an authenticator for the given credentials.
    pub fn new(credentials: &CredentialStore) -> Self {
        let verifiers = credentials
            .iter()
            .map(|(user, credential)| (user.clone(), derive_verifier(credential)))
            .collect();
        Self {
            verifiers,
            secret: rand::random(),
        }
    }

    /// Runs the SCRAM exchange that proves the caller to be `user`; does nothing if no
    /// credentials are configured.
    ///
    /// # Errors
    /// When the caller disconnects, sends a malformed message or fails to prove its
    /// identity.
    pub async fn authenticate(
        &self,
        stream: &mut CallerStream,
        user: &str,
    ) -> Result<(), AuthenticationError> {
        if self.verifiers.is_empty() {
            return Ok(());
        }
        let refused = |error| match error {
            ScramError::WrongPassword => AuthenticationError::Failed {
                user: user.to_owned(),
            },
            _ => AuthenticationError::Malformed,
        };
        let mut exchange = ServerExchange::new(self.verifiers.get(user), user, &self.secret);
        send(stream, SASL, format!("{MECHANISM}\0\0").as_bytes()).await?;
        let (mechanism, first) = initial_response(&response(stream).await?)?;
        let challenge = exchange.first(&mechanism, &first).map_err(refused)?;
        send(stream, SASL_CONTINUE, challenge.as_bytes()).await?;
        let last = response(stream).await?;
        let proof = exchange.last(&last.body).map_err(refused)?;
        stream.write(&reply::authentication(SASL_FINAL, proof.as_bytes()));
        Ok(())
    }
}

fn derive_verifier(credential: &Credential) -> Verifier {
    match credential {
        Credential::Password(password) => Verifier::from_password(password, DEFAULT_ITERATIONS),
        Credential::Verifier(verifier) => verifier.clone(),
    }
}

async fn send(
    stream: &mut CallerStream,
    kind: u32,
    data: &[u8],
) -> Result<(), AuthenticationError> {
    stream.write(&reply::authentication(kind, data));
    Ok(stream.flush().await?)
}

async fn response(stream: &mut CallerStream) -> Result<Frame, AuthenticationError> {
    let frame = stream.frame().await?;
    match frame.tag {
        frontend::PASSWORD => Ok(frame),
        frontend::TERMINATE => Err(CallerGone::Closed.into()),
        _ => Err(AuthenticationError::Malformed),
    }
}

/// Returns mechanism and data of a `SASLInitialResponse`.
fn initial_response(frame: &Frame) -> Result<(String, Bytes), AuthenticationError> {
    let mut body = frame.body.clone();
    let mechanism =
        take_string(frame.tag, &mut body).map_err(|_| AuthenticationError::Malformed)?;
    if body.len() < 4 {
        return Err(AuthenticationError::Malformed);
    }
    let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]);
    let data = body.slice(4..);
    if data.len() == length as usize {
        Ok((mechanism, data))
    } else {
        Err(AuthenticationError::Malformed)
    }
}
