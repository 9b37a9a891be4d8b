//! The session token: a session's last known position, authenticated so that the caller
//! can present it to another proxy.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use thiserror::Error;

use crate::names::GroupName;
use crate::position::Position;

/// Maximum length of a token's text, in bytes.
pub const MAXIMUM_TOKEN_LENGTH: usize = 512;

const TAG_LENGTH: usize = 16;
const FORMAT: u8 = 1;

type TokenMac = Hmac<Sha256>;

/// Contents of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// Group the position belongs to.
    pub group: GroupName,
    /// Position up to which everything must be visible to the session's reads.
    pub position: Position,
}

/// Reason why a token was rejected. A session with a rejected token is treated as one
/// without a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TokenError {
    /// The token is not base64, too long, or of an unknown format.
    #[error("the token is malformed")]
    Malformed,
    /// The authentication tag does not match under any current key.
    #[error("the token is not authentic")]
    Forged,
}

impl SessionToken {
    /// Encodes and authenticates the token with `key`.
    pub fn seal(&self, key: &[u8]) -> String {
        let mut body = vec![FORMAT];
        body.extend(postcard::to_stdvec(self).unwrap_or_default());
        let tag = tag_of(key, &body);
        body.extend_from_slice(&tag);
        URL_SAFE_NO_PAD.encode(body)
    }

    /// Decodes `text`, accepting any of `keys` (the current one first, then those
    /// still valid during a rotation).
    ///
    /// # Errors
    /// Returns [`TokenError::Malformed`] or [`TokenError::Forged`].
    pub fn open<'a>(
        text: &str,
        keys: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<Self, TokenError> {
        if text.len() > MAXIMUM_TOKEN_LENGTH {
            return Err(TokenError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TokenError::Malformed)?;
        if bytes.len() <= TAG_LENGTH + 1 || bytes[0] != FORMAT {
            return Err(TokenError::Malformed);
        }
        let (body, tag) = bytes.split_at(bytes.len() - TAG_LENGTH);
        let authentic = keys.into_iter().any(|key| verify_tag(key, body, tag));
        if !authentic {
            return Err(TokenError::Forged);
        }
        postcard::from_bytes(&body[1..]).map_err(|_| TokenError::Malformed)
    }
}

fn mac_of(key: &[u8], body: &[u8]) -> Option<TokenMac> {
    let mut mac = TokenMac::new_from_slice(key).ok()?;
    mac.update(b"hookpoint session token");
    mac.update(body);
    Some(mac)
}

fn tag_of(key: &[u8], body: &[u8]) -> [u8; TAG_LENGTH] {
    let mut tag = [0; TAG_LENGTH];
    if let Some(mac) = mac_of(key, body) {
        tag.copy_from_slice(&mac.finalize().into_bytes()[..TAG_LENGTH]);
    }
    tag
}

fn verify_tag(key: &[u8], body: &[u8], tag: &[u8]) -> bool {
    mac_of(key, body).is_some_and(|mac| mac.verify_truncated_left(tag).is_ok())
}
