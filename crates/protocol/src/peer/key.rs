//! Fleet keys: secrets shared by all nodes of a fleet.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Shortest secret accepted, in bytes.
const MINIMUM_SECRET_BYTES: usize = 16;
/// Length of a derived key, in bytes.
pub(super) const DERIVED_KEY_BYTES: usize = 32;

const DATAGRAM_LABEL: &[u8] = b"hookpoint fleet datagram 1";
const LINK_LABEL: &[u8] = b"hookpoint fleet link 1";

/// One fleet key. Its number is sent unencrypted, so that receivers know which key to use.
#[derive(Clone, PartialEq, Eq)]
pub struct FleetKey {
    number: u32,
    datagram_key: [u8; DERIVED_KEY_BYTES],
    link_key: [u8; DERIVED_KEY_BYTES],
}

/// Why a key cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FleetKeyError {
    /// The secret is too short.
    #[error("a fleet key needs at least {MINIMUM_SECRET_BYTES} bytes")]
    TooShort,
    /// No key was given.
    #[error("a fleet needs at least one key")]
    NoKey,
    /// Two keys have this number.
    #[error("two fleet keys have the number {0}")]
    SameNumber(u32),
}

fn derive(secret: &[u8], label: &[u8]) -> Result<[u8; DERIVED_KEY_BYTES], FleetKeyError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).map_err(|_| FleetKeyError::TooShort)?;
    mac.update(label);
    Ok(mac.finalize().into_bytes().into())
}

impl FleetKey {
    /// Creates key `number` from a random `secret` of at least 16 bytes.
    ///
    /// # Errors
    /// [`FleetKeyError::TooShort`] when the secret has fewer bytes.
    pub fn new(number: u32, secret: &[u8]) -> Result<Self, FleetKeyError> {
        if secret.len() < MINIMUM_SECRET_BYTES {
            return Err(FleetKeyError::TooShort);
        }
        Ok(Self {
            number,
            datagram_key: derive(secret, DATAGRAM_LABEL)?,
            link_key: derive(secret, LINK_LABEL)?,
        })
    }

    /// Returns the number of the key.
    pub fn number(&self) -> u32 {
        self.number
    }

    pub(super) fn datagram_key(&self) -> &[u8; DERIVED_KEY_BYTES] {
        &self.datagram_key
    }

    pub(super) fn link_key(&self) -> &[u8; DERIVED_KEY_BYTES] {
        &self.link_key
    }
}

/// Prints only the key's number, so that the derived keys do not appear in logs.
impl fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "FleetKey({})", self.number)
    }
}

/// The fleet keys of a node, which encrypts with the first one and accepts all of them. To
/// rotate the key, add the new key as the second one on every node, then make it the first
/// one, then remove the old one.
#[derive(Clone, Debug)]
pub struct FleetKeys {
    keys: Vec<FleetKey>,
}

impl FleetKeys {
    /// Creates the list of keys; the first one is used for encryption.
    ///
    /// # Errors
    /// [`FleetKeyError::NoKey`] or [`FleetKeyError::SameNumber`].
    pub fn new(keys: Vec<FleetKey>) -> Result<Self, FleetKeyError> {
        if keys.is_empty() {
            return Err(FleetKeyError::NoKey);
        }
        for (index, key) in keys.iter().enumerate() {
            if keys[..index].iter().any(|other| other.number == key.number) {
                return Err(FleetKeyError::SameNumber(key.number));
            }
        }
        Ok(Self { keys })
    }

    /// Returns the key to encrypt with.
    pub fn current(&self) -> &FleetKey {
        &self.keys[0]
    }

    /// Returns the accepted key with this number, if there is one.
    pub fn find(&self, number: u32) -> Option<&FleetKey> {
        self.keys.iter().find(|key| key.number == number)
    }
}
