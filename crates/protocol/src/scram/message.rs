//! Pieces of SCRAM messages.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use rand::RngCore as _;

use super::ScramError;

/// Longest message read.
pub(super) const MAXIMUM_MESSAGE_BYTES: usize = 2_048;
/// Random bytes of a nonce; RFC 5802 leaves the length open, PostgreSQL takes 18.
const NONCE_BYTES: usize = 18;

/// The message as text, if it is one of a sane length.
pub(super) fn text(message: &[u8]) -> Result<&str, ScramError> {
    if message.len() > MAXIMUM_MESSAGE_BYTES {
        return Err(ScramError::Malformed);
    }
    std::str::from_utf8(message).map_err(|_| ScramError::Malformed)
}

/// The value of attribute `name` in `part`, which has the form `name=value`.
pub(super) fn attribute(part: Option<&str>, name: char) -> Result<&str, ScramError> {
    part.and_then(|part| part.strip_prefix(name))
        .and_then(|part| part.strip_prefix('='))
        .ok_or(ScramError::Malformed)
}

/// A fresh nonce from the thread's cryptographic generator.
pub(super) fn fresh_nonce() -> String {
    let mut bytes = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    STANDARD.encode(bytes)
}

/// Decodes base64.
pub(super) fn decode(text: &str) -> Result<Vec<u8>, ScramError> {
    STANDARD.decode(text).map_err(|_| ScramError::Malformed)
}

/// Encodes base64.
pub(super) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Whether a nonce has only the characters that RFC 5802 allows.
pub(super) fn is_nonce(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b',')
}
