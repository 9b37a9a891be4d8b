//! Authenticated encryption of datagrams: XChaCha20-Poly1305 with a key derived from the
//! fleet key, a random nonce and an encrypted sequence number.
//!
//! Layout: format (1 byte), key number (4 bytes, big endian), nonce (24 bytes), then the
//! encrypted sequence number (8 bytes, big endian) and `postcard` message, then the
//! authentication tag (16 bytes). Format and key number are authenticated but not encrypted.

use chacha20poly1305::aead::{Aead, AeadCore, KeyInit, OsRng, Payload};
use chacha20poly1305::{XChaCha20Poly1305, XNonce};
use hookpoint_coordination::membership::Datagram;
use thiserror::Error;

use super::key::{FleetKey, FleetKeys};

/// Largest datagram sent or accepted, in bytes; it fits into one Ethernet frame.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_400;

/// Version of the datagram layout.
const FORMAT: u8 = 1;
/// Length of format and key number.
const HEADER_BYTES: usize = 5;
const NONCE_BYTES: usize = 24;
const SEQUENCE_BYTES: usize = 8;
const TAG_BYTES: usize = 16;

/// Why a datagram was not sent or not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The datagram is larger than [`MAXIMUM_DATAGRAM_BYTES`].
    #[error("the datagram is too large")]
    TooLarge,
    /// The datagram is too short, has an unknown format or a message that cannot be decoded.
    #[error("the datagram is malformed")]
    Malformed,
    /// The datagram names a key that is not accepted.
    #[error("the datagram was made with an unknown key")]
    UnknownKey,
    /// The datagram was not encrypted with the key that it names, or was changed in transit.
    #[error("the datagram is not authentic")]
    NotAuthentic,
}

/// Encrypts datagrams and gives them ascending sequence numbers, starting at 1.
#[derive(Debug)]
pub struct DatagramSealer {
    next_sequence: u64,
}

impl Default for DatagramSealer {
    fn default() -> Self {
        Self { next_sequence: 1 }
    }
}

impl DatagramSealer {
    /// Encrypts `datagram` with `key` and the next sequence number.
    ///
    /// # Errors
    /// [`DatagramError::TooLarge`], or [`DatagramError::Malformed`] when the message cannot be
    /// encoded.
    pub fn seal(&mut self, key: &FleetKey, datagram: &Datagram) -> Result<Vec<u8>, DatagramError> {
        let mut plain = self.next_sequence.to_be_bytes().to_vec();
        self.next_sequence += 1;
        plain = postcard::to_extend(datagram, plain).map_err(|_| DatagramError::Malformed)?;
        let mut sealed = vec![FORMAT];
        sealed.extend_from_slice(&key.number().to_be_bytes());
        let nonce = XChaCha20Poly1305::generate_nonce(&mut OsRng);
        let payload = Payload {
            msg: &plain,
            aad: &sealed,
        };
        let body = XChaCha20Poly1305::new(key.datagram_key().into())
            .encrypt(&nonce, payload)
            .map_err(|_| DatagramError::TooLarge)?;
        sealed.extend_from_slice(&nonce);
        sealed.extend_from_slice(&body);
        if sealed.len() > MAXIMUM_DATAGRAM_BYTES {
            return Err(DatagramError::TooLarge);
        }
        Ok(sealed)
    }
}

/// Decrypts a datagram that was encrypted with any of `keys`. Returns it with its sequence
/// number, which the calling code must check with a [`super::ReplayGuard`].
///
/// # Errors
/// Any [`DatagramError`].
pub fn open_datagram(keys: &FleetKeys, sealed: &[u8]) -> Result<(u64, Datagram), DatagramError> {
    const MINIMUM_DATAGRAM_BYTES: usize = HEADER_BYTES + NONCE_BYTES + SEQUENCE_BYTES + TAG_BYTES;
    if sealed.len() > MAXIMUM_DATAGRAM_BYTES {
        return Err(DatagramError::TooLarge);
    }
    if sealed.len() < MINIMUM_DATAGRAM_BYTES || sealed[0] != FORMAT {
        return Err(DatagramError::Malformed);
    }
    let (header, rest) = sealed.split_at(HEADER_BYTES);
    let (nonce, body) = rest.split_at(NONCE_BYTES);
    let number = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    let key = keys.find(number).ok_or(DatagramError::UnknownKey)?;
    let payload = Payload {
        msg: body,
        aad: header,
    };
    let plain = XChaCha20Poly1305::new(key.datagram_key().into())
        .decrypt(XNonce::from_slice(nonce), payload)
        .map_err(|_| DatagramError::NotAuthentic)?;
    let (sequence, message) = plain.split_at(SEQUENCE_BYTES);
    let sequence = sequence
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte));
    let datagram = postcard::from_bytes(message).map_err(|_| DatagramError::Malformed)?;
    Ok((sequence, datagram))
}
