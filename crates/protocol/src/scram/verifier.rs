//! SCRAM verifiers, which are stored instead of passwords, and the key derivation.

use std::fmt;
use std::str::FromStr;

use hmac::{Hmac, Mac};
use rand::RngCore as _;
use sha2::{Digest, Sha256};
use thiserror::Error;

use super::message::{decode_base64, encode_base64};

/// Iteration count that PostgreSQL uses by default.
pub const DEFAULT_ITERATIONS: u32 = 4_096;
/// Largest iteration count accepted, so that a hostile server cannot keep a client busy.
pub(super) const MAXIMUM_ITERATIONS: u32 = 1_000_000;
/// Smallest iteration count accepted from a server (RFC 7677).
pub(super) const MINIMUM_ITERATIONS: u32 = 4_096;
/// Longest salt accepted, in bytes.
const MAXIMUM_SALT_BYTES: usize = 256;
const SALT_BYTES: usize = 16;
const VERIFIER_PREFIX: &str = "SCRAM-SHA-256$";
const MD5_PREFIX: &str = "md5";

/// A SHA-256 or HMAC-SHA-256 value: a key, a signature or a proof.
pub(super) type Key = [u8; 32];

/// Why a text is not accepted as a verifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VerifierError {
    /// The text is an MD5 hash.
    #[error("MD5 passwords are not accepted; use a SCRAM-SHA-256 verifier")]
    Md5,
    /// The text does not have the form of a SCRAM-SHA-256 verifier.
    #[error("the text is not of the form SCRAM-SHA-256$iterations:salt$stored:server")]
    Malformed,
}

/// Salt, iteration count and the two keys with which a client's proof is checked. The
/// password cannot be derived from them.
#[derive(Clone, PartialEq, Eq)]
pub struct Verifier {
    pub(super) iterations: u32,
    pub(super) salt: Vec<u8>,
    pub(super) stored_key: Key,
    pub(super) server_key: Key,
}

impl Verifier {
    /// Creates a verifier for `password` with a random salt. The iteration count is clamped
    /// to between 1 and 1,000,000.
    pub fn from_password(password: &str, iterations: u32) -> Self {
        let mut salt = vec![0; SALT_BYTES];
        rand::rng().fill_bytes(&mut salt);
        Self::with_salt(password, iterations, salt)
    }

    /// Creates a verifier for `password` with the given salt and the same clamping.
    pub fn with_salt(password: &str, iterations: u32, salt: Vec<u8>) -> Self {
        let iterations = iterations.clamp(1, MAXIMUM_ITERATIONS);
        let salted = salted_password(password, &salt, iterations);
        Self {
            iterations,
            stored_key: sha256(&client_key(&salted)),
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
    let (head, keys) = text.strip_prefix(VERIFIER_PREFIX)?.split_once('$')?;
    let (iterations, salt) = head.split_once(':')?;
    let (stored_key, server_key) = keys.split_once(':')?;
    let iterations = iterations.parse().ok()?;
    let salt = decode_base64(salt).ok()?;
    let in_bounds =
        (1..=MAXIMUM_ITERATIONS).contains(&iterations) && salt.len() <= MAXIMUM_SALT_BYTES;
    in_bounds.then_some(Verifier {
        iterations,
        salt,
        stored_key: decode_base64(stored_key).ok()?.try_into().ok()?,
        server_key: decode_base64(server_key).ok()?.try_into().ok()?,
    })
}

impl fmt::Display for Verifier {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{VERIFIER_PREFIX}{}:{}${}:{}",
            self.iterations,
            encode_base64(&self.salt),
            encode_base64(&self.stored_key),
            encode_base64(&self.server_key)
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
    // A password that cannot be normalised is used unchanged, as PostgreSQL does.
    let normalised = stringprep::saslprep(password).unwrap_or(password.into());
    let mac = new_hmac(normalised.as_bytes());
    let mut block = finalize_hmac(mac.clone(), &[salt, &1_u32.to_be_bytes()]);
    let mut result = block;
    for _ in 1..iterations {
        block = finalize_hmac(mac.clone(), &[&block]);
        result = xor(&result, &block);
    }
    result
}

/// Derives the client key from the salted password.
pub(super) fn client_key(salted: &Key) -> Key {
    hmac_sha256(salted, b"Client Key")
}

/// Derives the server key from the salted password.
pub(super) fn server_key(salted: &Key) -> Key {
    hmac_sha256(salted, b"Server Key")
}

/// Computes the SHA-256 of `bytes`.
pub(super) fn sha256(bytes: &[u8]) -> Key {
    Sha256::digest(bytes).into()
}

/// Computes the HMAC-SHA-256 of `message`.
pub(super) fn hmac_sha256(key: &[u8], message: &[u8]) -> Key {
    finalize_hmac(new_hmac(key), &[message])
}

/// Returns whether `tag` is the HMAC-SHA-256 of `message`, in constant time.
pub(super) fn verify_hmac_sha256(key: &[u8], message: &[u8], tag: &[u8]) -> bool {
    let mut mac = new_hmac(key);
    mac.update(message);
    mac.verify_slice(tag).is_ok()
}

/// Computes the bitwise XOR of both.
pub(super) fn xor(left: &Key, right: &Key) -> Key {
    std::array::from_fn(|index| left[index] ^ right[index])
}

/// Returns whether both are equal, in a time that does not depend on where they differ.
pub(super) fn constant_time_eq(left: &Key, right: &Key) -> bool {
    let difference = left
        .iter()
        .zip(right)
        .fold(0_u8, |difference, (left, right)| {
            difference | (left ^ right)
        });
    std::hint::black_box(difference) == 0
}

fn new_hmac(key: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so the error cannot occur.
    Hmac::new_from_slice(key).unwrap_or_else(|_| Hmac::new(&Default::default()))
}

fn finalize_hmac(mut mac: Hmac<Sha256>, parts: &[&[u8]]) -> Key {
    for part in parts {
        mac.update(part);
    }
    mac.finalize().into_bytes().into()
}
