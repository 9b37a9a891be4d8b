//! Secret values, whose `Debug` output hides the contents.

use std::fmt;

use serde::{Deserialize, Deserializer, de};
use thiserror::Error;

/// Minimum length of a key, in bytes.
const MINIMUM_KEY_BYTES: usize = 16;

/// A password or other secret text.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the secret text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}

/// A key of at least 16 bytes, written in hexadecimal.
#[derive(Clone, PartialEq, Eq)]
pub struct HexKey(Vec<u8>);

/// Error for a text that is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a key has at least {} hexadecimal digits, and an even number of them", MINIMUM_KEY_BYTES * 2)]
pub struct HexKeyError;

impl HexKey {
    /// Creates a key from bytes.
    ///
    /// # Errors
    /// Fails if there are fewer than 16 bytes.
    pub fn new(bytes: Vec<u8>) -> Result<Self, HexKeyError> {
        if bytes.len() < MINIMUM_KEY_BYTES {
            return Err(HexKeyError);
        }
        Ok(Self(bytes))
    }

    /// Parses hexadecimal digits.
    ///
    /// # Errors
    /// Fails if `text` is not hexadecimal, has an odd number of digits, or is too short.
    pub fn read(text: &str) -> Result<Self, HexKeyError> {
        let digits = text.as_bytes();
        if !digits.len().is_multiple_of(2) || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(HexKeyError);
        }
        let bytes = (0..text.len())
            .step_by(2)
            .map(|index| u8::from_str_radix(&text[index..index + 2], 16))
            .collect::<Result<_, _>>()
            .map_err(|_| HexKeyError)?;
        Self::new(bytes)
    }

    /// Returns the bytes of the key.
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for HexKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("HexKey(..)")
    }
}

impl<'de> Deserialize<'de> for HexKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::read(&text).map_err(de::Error::custom)
    }
}
