//! What is kept of a password.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use rand::RngCore as _;
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::message::{decode, encode};

/// Iterations that PostgreSQL takes unless told otherwise.
pub const DEFAULT_ITERATIONS: u32 = 4_096;
/// Most iterations accepted, so that a hostile server cannot keep a client busy.
pub(super) const MAXIMUM_ITERATIONS: u32 = 1_000_000;
/// Fewest iterations accepted from a server (RFC 7677).
pub(super) const MINIMUM_ITERATIONS: u32 = 4_096;
/// Longest salt accepted, in bytes.
const MAXIMUM_SALT_BYTES: usize = 256;
const SALT_BYTES: usize = 16;
const PREFIX: &str = "SCRAM-SHA-256$";
const MD5_PREFIX: &str = "md5";

/// A key or a signature.
pub(super) type Key = [u8; 32];

/// A text that is no verifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VerifierError {
    /// It is an MD5 hash, which is not accepted.
    #[error("MD5 passwords are not accepted; use a SCRAM-SHA-256 verifier")]
    Md5,
    /// It is of no known form.
    #[error("the text is not of the form SCRAM-SHA-256$iterations:salt$stored:server")]
    Malformed,
}

/// Salt, iterations and the two keys from which a proof can be checked, and from which
/// the password cannot be had.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    pub(super) iterations: u32,
    pub(super) salt: Vec<u8>,
    pub(super) stored_key: Key,
    pub(super) server_key: Key,
}

impl Verifier {
    /// A verifier with a fresh salt. At least one iteration is made.
    pub fn from_password(password: &str, iterations: u32) -> Self {
        let mut salt = vec![0; SALT_BYTES];
        rand::rng().fill_bytes(&mut salt);
        Self::with_salt(password, iterations, salt)
    }

    /// A verifier with the given salt.
    pub fn with_salt(password: &str, iterations: u32, salt: Vec<u8>) -> Self {
        let iterations = iterations.clamp(1, MAXIMUM_ITERATIONS);
        let salted = salted_password(password, &salt, iterations);
        Self {
            iterations,
            stored_key: hash(&client_key(&salted)),
            server_key: server_key(&salted),
            salt,
        }
    }
}

impl FromStr for Verifier {
    type Err = VerifierError;

    fn from_str(text: &str) -> Result<Self, VerifierError> {
        if text.starts_with(MD5_PREFIX) {
            return Err(VerifierError::Md5);
        }
        parse(text).ok_or(VerifierError::Malformed)
    }
}

fn parse(text: &str) -> Option<Verifier> {
    let (head, keys) = text.strip_prefix(PREFIX)?.split_once('$')?;
    let (iterations, salt) = head.split_once(':')?;
    let (stored_key, server_key) = keys.split_once(':')?;
    let iterations = iterations.parse().ok()?;
    let salt = decode(salt).ok()?;
    let sane = (1..=MAXIMUM_ITERATIONS).contains(&iterations) && salt.len() <= MAXIMUM_SALT_BYTES;
    sane.then_some(Verifier {
        iterations,
        salt,
        stored_key: decode(stored_key).ok()?.try_into().ok()?,
        server_key: decode(server_key).ok()?.try_into().ok()?,
    })
}

impl fmt::Display for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{PREFIX}{}:{}${}:{}",
            self.iterations,
            encode(&self.salt),
            encode(&self.stored_key),
            encode(&self.server_key)
        )
    }
}

impl fmt::Debug for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Verifier")
            .field("iterations", &self.iterations)
            .finish_non_exhaustive()
    }
}

/// `Hi(password, salt, iterations)`: PBKDF2 with HMAC-SHA-256 and one block.
pub(super) fn salted_password(password: &str, salt: &[u8], iterations: u32) -> Key {
    // A password that cannot be normalised is taken as it stands, as PostgreSQL does.
    let normal = stringprep::saslprep(password).unwrap_or(password.into());
    let mac = keyed(normal.as_bytes());
    let mut block = finish(mac.clone(), &[salt, &1_u32.to_be_bytes()]);
    let mut result = block;
    for _ in 1..iterations {
        block = finish(mac.clone(), &[&block]);
        result = xor(&result, &block);
    }
    result
}

/// Key of the client.
pub(super) fn client_key(salted: &Key) -> Key {
    sign(salted, b"Client Key")
}

/// Key of the server.
pub(super) fn server_key(salted: &Key) -> Key {
    sign(salted, b"Server Key")
}

/// SHA-256.
pub(super) fn hash(bytes: &[u8]) -> Key {
    Sha256::digest(bytes).into()
}

/// HMAC-SHA-256 of `message`.
pub(super) fn sign(key: &[u8], message: &[u8]) -> Key {
    finish(keyed(key), &[message])
}

/// Whether `tag` is the HMAC-SHA-256 of `message`, in constant time.
pub(super) fn is_signed(key: &[u8], message: &[u8], tag: &[u8]) -> bool {
    let mut mac = keyed(key);
    mac.update(message);
    mac.verify_slice(tag).is_ok()
}

/// Bytes of both, one by one.
pub(super) fn xor(left: &Key, right: &Key) -> Key {
    std::array::from_fn(|index| left[index] ^ right[index])
}

/// Whether both are the same, in a time that does not depend on where they differ.
pub(super) fn same(left: &Key, right: &Key) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0_u8, |difference, (left, right)| {
            difference | (left ^ right)
        });
    std::hint::black_box(difference) == 0
}

fn keyed(key: &[u8]) -> Hmac<Sha256> {
    // HMAC takes a key of any length, so the error has no occasion.
    Hmac::new_from_slice(key).unwrap_or_else(|_| Hmac::new(&Default::default()))
}

fn finish(mut mac: Hmac<Sha256>, parts: &[&[u8]]) -> Key {
    for part in parts {
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}
