//! Encryption of a link: the Noise handshake `NNpsk0` with a key derived from the fleet key
//! as pre-shared key, then encrypted records.
//!
//! The dialling node sends a preamble (magic, format, key number) and the first Noise
//! message; the accepting node responds with the second Noise message. Each record is a
//! length of two bytes (big endian) and that many encrypted bytes. Both sides count the
//! records, so a record that is lost, repeated or out of order breaks the link.

use snow::{Builder, HandshakeState, StatelessTransportState};
use thiserror::Error;

use super::key::{FleetKey, FleetKeys};

const NOISE_PROTOCOL: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";
const MAGIC: &[u8; 4] = b"hkpt";
/// Version of the handshake and record format.
const FORMAT: u8 = 1;
/// Length of magic, format and key number.
const PREAMBLE_BYTES: usize = 9;
/// Length of an ephemeral public key and an authentication tag.
const NOISE_MESSAGE_BYTES: usize = 48;
const TAG_BYTES: usize = 16;
/// Position of the pre-shared key in the pattern (`psk0`).
const PSK_POSITION: u8 = 0;

/// Length of the first message of the dialling node, in bytes.
pub const HANDSHAKE_BYTES: usize = PREAMBLE_BYTES + NOISE_MESSAGE_BYTES;
/// Length of the accepting node's response, in bytes.
pub const HANDSHAKE_RESPONSE_BYTES: usize = NOISE_MESSAGE_BYTES;
/// Largest plaintext of one record, in bytes.
pub const MAXIMUM_RECORD_BYTES: usize = 65_535 - TAG_BYTES;

/// Why a link could not be established or was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The peer uses another protocol or format.
    #[error("the preamble is malformed")]
    Malformed,
    /// The peer names a key that is not accepted.
    #[error("the link was opened with an unknown key")]
    UnknownKey,
    /// The peer does not have the key, or data was changed, lost or reordered in transit.
    #[error("the link is not authentic")]
    NotAuthentic,
    /// A record is larger than [`MAXIMUM_RECORD_BYTES`].
    #[error("the record is too large")]
    TooLarge,
}

fn preamble(key: &FleetKey) -> [u8; PREAMBLE_BYTES] {
    let mut bytes = [0; PREAMBLE_BYTES];
    bytes[..4].copy_from_slice(MAGIC);
    bytes[4] = FORMAT;
    bytes[5..].copy_from_slice(&key.number().to_be_bytes());
    bytes
}

fn build_handshake(key: &FleetKey, initiator: bool) -> Result<HandshakeState, snow::Error> {
    let preamble = preamble(key);
    let builder = Builder::new(NOISE_PROTOCOL.parse()?)
        .psk(PSK_POSITION, key.link_key())?
        .prologue(&preamble)?;
    if initiator {
        builder.build_initiator()
    } else {
        builder.build_responder()
    }
}

/// State of a handshake on the dialling node.
pub struct HandshakeInitiator {
    state: HandshakeState,
}

impl HandshakeInitiator {
    /// Starts a handshake and returns the message to send.
    ///
    /// # Errors
    /// [`LinkError::NotAuthentic`] if the cryptography fails.
    pub fn start(key: &FleetKey) -> Result<(Self, [u8; HANDSHAKE_BYTES]), LinkError> {
        let mut state = build_handshake(key, true).map_err(|_| LinkError::NotAuthentic)?;
        let mut message = [0; HANDSHAKE_BYTES];
        message[..PREAMBLE_BYTES].copy_from_slice(&preamble(key));
        state
            .write_message(&[], &mut message[PREAMBLE_BYTES..])
            .map_err(|_| LinkError::NotAuthentic)?;
        Ok((Self { state }, message))
    }

    /// Processes the response of the accepting node and completes the handshake.
    ///
    /// # Errors
    /// [`LinkError::NotAuthentic`] if the peer does not have the key.
    pub fn finish(
        mut self,
        response: &[u8; HANDSHAKE_RESPONSE_BYTES],
    ) -> Result<LinkCipher, LinkError> {
        self.state
            .read_message(response, &mut [])
            .map_err(|_| LinkError::NotAuthentic)?;
        LinkCipher::new(self.state)
    }
}

/// Performs the handshake on the accepting node: processes the message of the dialling node
/// and returns the response to send.
///
/// # Errors
/// Any [`LinkError`] except [`LinkError::TooLarge`]; no response must be sent then.
pub fn accept_handshake(
    keys: &FleetKeys,
    message: &[u8; HANDSHAKE_BYTES],
) -> Result<(LinkCipher, [u8; HANDSHAKE_RESPONSE_BYTES]), LinkError> {
    if &message[..4] != MAGIC || message[4] != FORMAT {
        return Err(LinkError::Malformed);
    }
    let number = u32::from_be_bytes([message[5], message[6], message[7], message[8]]);
    let key = keys.find(number).ok_or(LinkError::UnknownKey)?;
    let mut state = build_handshake(key, false).map_err(|_| LinkError::NotAuthentic)?;
    state
        .read_message(&message[PREAMBLE_BYTES..], &mut [])
        .map_err(|_| LinkError::NotAuthentic)?;
    let mut response = [0; HANDSHAKE_RESPONSE_BYTES];
    state
        .write_message(&[], &mut response)
        .map_err(|_| LinkError::NotAuthentic)?;
    Ok((LinkCipher::new(state)?, response))
}

/// Encrypts and decrypts the records of one link. It is shared by the reader and the writer
/// of the link, each of which counts its own records from zero.
pub struct LinkCipher {
    state: StatelessTransportState,
}

impl LinkCipher {
    fn new(state: HandshakeState) -> Result<Self, LinkError> {
        let state = state
            .into_stateless_transport_mode()
            .map_err(|_| LinkError::NotAuthentic)?;
        Ok(Self { state })
    }

    /// Encrypts record `number` and prepends the length field.
    ///
    /// # Errors
    /// [`LinkError::TooLarge`] when `content` exceeds [`MAXIMUM_RECORD_BYTES`].
    pub fn seal(&self, number: u64, content: &[u8]) -> Result<Vec<u8>, LinkError> {
        if content.len() > MAXIMUM_RECORD_BYTES {
            return Err(LinkError::TooLarge);
        }
        let length = content.len() + TAG_BYTES;
        let mut record = vec![0; 2 + length];
        record[..2].copy_from_slice(&(length as u16).to_be_bytes());
        self.state
            .write_message(number, content, &mut record[2..])
            .map_err(|_| LinkError::TooLarge)?;
        Ok(record)
    }

    /// Decrypts record `number`, given without its length field.
    ///
    /// # Errors
    /// [`LinkError::NotAuthentic`] when the record is not authentic or has another number.
    pub fn open(&self, number: u64, sealed: &[u8]) -> Result<Vec<u8>, LinkError> {
        let length = sealed
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(LinkError::NotAuthentic)?;
        let mut content = vec![0; length];
        self.state
            .read_message(number, sealed, &mut content)
            .map_err(|_| LinkError::NotAuthentic)?;
        Ok(content)
    }
}
