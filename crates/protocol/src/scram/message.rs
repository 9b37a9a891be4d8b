//! Parsing and encoding of the parts of SCRAM messages.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use rand::RngCore as _;

use super::ScramError;

/// Longest message accepted, in bytes.
pub(super) const MAXIMUM_MESSAGE_BYTES: usize = 2_048;
/// Random bytes of a nonce. RFC 5802 leaves the length open; PostgreSQL uses 18.
const NONCE_BYTES: usize = 18;

/// Returns the message as text if it is UTF-8 of at most [`MAXIMUM_MESSAGE_BYTES`].
pub(super) fn message_text(message: &[u8]) -> Result<&str, ScramError> {
    if message.len() > MAXIMUM_MESSAGE_BYTES {
        return Err(ScramError::Malformed);
    }
    std::str::from_utf8(message).map_err(|_| ScramError::Malformed)
}

/// Returns the value of attribute `name` in `part`, which has the form `name=value`.
pub(super) fn attribute(part: Option<&str>, name: char) -> Result<&str, ScramError> {
    part.and_then(|part| part.strip_prefix(name))
        .and_then(|part| part.strip_prefix('='))
        .ok_or(ScramError::Malformed)
}

/// Returns a random nonce from the thread's cryptographic random number generator.
pub(super) fn random_nonce() -> String {
    let mut bytes = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    STANDARD.encode(bytes)
}

/// Decodes standard base64.
pub(super) fn decode_base64(text: &str) -> Result<Vec<u8>, ScramError> {
    STANDARD.decode(text).map_err(|_| ScramError::Malformed)
}

/// Encodes as standard base64.
pub(super) fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Returns whether `text` is not empty and has only the characters that RFC 5802 allows in
/// a nonce.
pub(super) fn is_valid_nonce(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b',')
}
