//! Securing a link: the Noise handshake `NNpsk0` with the fleet key as pre-shared key,
//! then sealed records.
//!
//! The node that dials sends a preamble (magic, format, key number) and the first Noise
//! message; the other answers with the second. Each record is a length of two bytes
//! (big endian) and that many sealed bytes; both sides count records, so one that is
//! lost, repeated or out of order breaks the link.

use snow::{Builder, HandshakeState, StatelessTransportState};
use thiserror::Error;

use super::key::{FleetKey, FleetKeys};

const PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";
const MAGIC: &[u8; 4] = b"hkpt";
const FORMAT: u8 = 1;
/// Bytes of magic, format and key number.
const PREAMBLE_BYTES: usize = 9;
/// Bytes of an ephemeral key and a tag.
const NOISE_MESSAGE_BYTES: usize = 48;
const TAG_BYTES: usize = 16;
const PSK_PLACE: u8 = 0;

/// Bytes that the dialling node sends first.
pub const HANDSHAKE_BYTES: usize = PREAMBLE_BYTES + NOISE_MESSAGE_BYTES;
/// Bytes of the answer.
pub const HANDSHAKE_ANSWER_BYTES: usize = NOISE_MESSAGE_BYTES;
/// Largest content of one record, in bytes.
pub const MAXIMUM_RECORD_BYTES: usize = 65_535 - TAG_BYTES;

/// Why a link was not made or was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The other side speaks something else.
    #[error("the preamble is malformed")]
    Malformed,
    /// The other side uses a key that is not accepted.
    #[error("the link was opened with an unknown key")]
    UnknownKey,
    /// The other side does not have the key, or something was changed on the way.
    #[error("the link is not authentic")]
    Forged,
    /// A record is larger than allowed.
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

fn build(key: &FleetKey, initiator: bool) -> Result<HandshakeState, snow::Error> {
    let preamble = preamble(key);
    let builder = Builder::new(PATTERN.parse()?)
        .psk(PSK_PLACE, key.link_key())?
        .prologue(&preamble)?;
    if initiator {
        builder.build_initiator()
    } else {
        builder.build_responder()
    }
}

/// The dialling side of a handshake.
pub struct Dialler {
    state: HandshakeState,
}

impl Dialler {
    /// Starts a handshake; returns what to send.
    ///
    /// # Errors
    /// [`LinkError::Forged`] if the cryptography fails.
    pub fn start(key: &FleetKey) -> Result<(Self, [u8; HANDSHAKE_BYTES]), LinkError> {
        let mut state = build(key, true).map_err(|_| LinkError::Forged)?;
        let mut message = [0; HANDSHAKE_BYTES];
        message[..PREAMBLE_BYTES].copy_from_slice(&preamble(key));
        state
            .write_message(&[], &mut message[PREAMBLE_BYTES..])
            .map_err(|_| LinkError::Forged)?;
        Ok((Self { state }, message))
    }

    /// Takes the answer.
    ///
    /// # Errors
    /// [`LinkError::Forged`] if the other side does not have the key.
    pub fn finish(
        mut self,
        answer: &[u8; HANDSHAKE_ANSWER_BYTES],
    ) -> Result<LinkCipher, LinkError> {
        self.state
            .read_message(answer, &mut [])
            .map_err(|_| LinkError::Forged)?;
        LinkCipher::new(self.state)
    }
}

/// The accepting side of a handshake: takes what the other side sent and returns what
/// to answer.
///
/// # Errors
/// Any [`LinkError`]; then nothing is answered.
pub fn accept_handshake(
    keys: &FleetKeys,
    message: &[u8; HANDSHAKE_BYTES],
) -> Result<(LinkCipher, [u8; HANDSHAKE_ANSWER_BYTES]), LinkError> {
    if &message[..4] != MAGIC || message[4] != FORMAT {
        return Err(LinkError::Malformed);
    }
    let number = u32::from_be_bytes([message[5], message[6], message[7], message[8]]);
    let key = keys.find(number).ok_or(LinkError::UnknownKey)?;
    let mut state = build(key, false).map_err(|_| LinkError::Forged)?;
    state
        .read_message(&message[PREAMBLE_BYTES..], &mut [])
        .map_err(|_| LinkError::Forged)?;
    let mut answer = [0; HANDSHAKE_ANSWER_BYTES];
    state
        .write_message(&[], &mut answer)
        .map_err(|_| LinkError::Forged)?;
    Ok((LinkCipher::new(state)?, answer))
}

/// Seals and opens the records of one link. Reader and writer share it and count their
/// own records from zero.
pub struct LinkCipher {
    state: StatelessTransportState,
}

impl LinkCipher {
    fn new(state: HandshakeState) -> Result<Self, LinkError> {
        let state = state
            .into_stateless_transport_mode()
            .map_err(|_| LinkError::Forged)?;
        Ok(Self { state })
    }

    /// Seals record `number` and puts its length in front.
    ///
    /// # Errors
    /// [`LinkError::TooLarge`].
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

    /// Opens record `number`, given without its length.
    ///
    /// # Errors
    /// [`LinkError::Forged`].
    pub fn open(&self, number: u64, sealed: &[u8]) -> Result<Vec<u8>, LinkError> {
        let length = sealed
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(LinkError::Forged)?;
        let mut content = vec![0; length];
        self.state
            .read_message(number, sealed, &mut content)
            .map_err(|_| LinkError::Forged)?;
        Ok(content)
    }
}
