//! The canonical encoding of a bundle and its digest.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use super::Bundle;

/// SHA-256 of a bundle's canonical encoding, which includes its version.
///
/// The canonical encoding is that of `postcard`: fields in the order of their
/// declaration, maps and sets in the order of their keys. Equal bundles therefore have
/// equal encodings.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleDigest(pub [u8; 32]);

/// Error for text that is not a digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct ParseDigestError;

impl Bundle {
    /// Returns the canonical encoding.
    pub fn canonical_encoding(&self) -> Vec<u8> {
        // Encoding does not fail: every type in a bundle is encodable, and the output is
        // memory.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Returns the digest of the canonical encoding.
    pub fn digest(&self) -> BundleDigest {
        BundleDigest(Sha256::digest(self.canonical_encoding()).into())
    }
}

impl fmt::Display for BundleDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&to_hex(&self.0))
    }
}

impl fmt::Debug for BundleDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "BundleDigest({self})")
    }
}

impl FromStr for BundleDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        from_hex(text).map(Self).ok_or(ParseDigestError)
    }
}

impl Serialize for BundleDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for BundleDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            let text = String::deserialize(deserializer)?;
            text.parse().map_err(de::Error::custom)
        } else {
            <[u8; 32]>::deserialize(deserializer).map(Self)
        }
    }
}

/// Returns `bytes` as lower-case hexadecimal digits.
pub(super) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal `text`; returns `None` unless it encodes exactly `LENGTH` bytes.
pub(super) fn from_hex<const LENGTH: usize>(text: &str) -> Option<[u8; LENGTH]> {
    if text.len() != LENGTH * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; LENGTH];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}
