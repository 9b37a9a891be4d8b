//! Splitting of messages into fragments on a stream and their reassembly in bounded memory.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Bytes that may be sent on a new stream before the first credit arrives.
pub const INITIAL_CREDIT: u32 = 256 * 1024;
/// Bytes that a receiver consumes before it grants credit for them.
pub const CREDIT_GRANT_THRESHOLD: u32 = 64 * 1024;
/// Largest fragment in one frame, in bytes.
pub const MAXIMUM_FRAGMENT_BYTES: usize = 16 * 1024;
/// Largest command or reply, in bytes: the largest message that a bundle may allow, with
/// room for the messages that are batched with it.
const MAXIMUM_MESSAGE_BYTES: usize = 96 * 1024 * 1024;
/// Largest control message between nodes, in bytes; a whole bundle has to fit.
const MAXIMUM_CONTROL_BYTES: usize = 16 * 1024 * 1024;

/// Why data on a stream was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum StreamError {
    /// A message is larger than allowed.
    #[error("the message is too large")]
    TooLarge,
    /// A message cannot be decoded.
    #[error("the message is malformed")]
    Malformed,
    /// The peer sent more bytes than it had credit for.
    #[error("the credit of the stream was exceeded")]
    CreditExceeded,
}

/// Encodes a message and splits it into fragments of at most [`MAXIMUM_FRAGMENT_BYTES`].
/// Each fragment comes with a flag that marks the last one.
///
/// # Errors
/// [`StreamError::Malformed`] if the message cannot be encoded.
pub fn fragments<M: Serialize>(
    message: &M,
) -> Result<impl Iterator<Item = (bool, Bytes)>, StreamError> {
    let encoded = postcard::to_stdvec(message).map_err(|_| StreamError::Malformed)?;
    let mut rest = Some(Bytes::from(encoded));
    Ok(std::iter::from_fn(move || {
        let mut fragment = rest.take()?;
        if fragment.len() <= MAXIMUM_FRAGMENT_BYTES {
            return Some((true, fragment));
        }
        rest = Some(fragment.split_off(MAXIMUM_FRAGMENT_BYTES));
        Some((false, fragment))
    }))
}

/// Reassembles messages from their fragments.
#[derive(Debug)]
pub struct Assembler {
    partial: Vec<u8>,
    limit: usize,
}

impl Default for Assembler {
    fn default() -> Self {
        Self {
            partial: Vec::new(),
            limit: MAXIMUM_MESSAGE_BYTES,
        }
    }
}

impl Assembler {
    /// Creates an assembler for control messages between nodes.
    pub fn for_control() -> Self {
        Self {
            partial: Vec::new(),
            limit: MAXIMUM_CONTROL_BYTES,
        }
    }

    /// Adds a fragment and returns the message if the fragment completes it.
    ///
    /// # Errors
    /// [`StreamError::TooLarge`] or [`StreamError::Malformed`].
    pub fn push<M: DeserializeOwned>(
        &mut self,
        last: bool,
        fragment: &[u8],
    ) -> Result<Option<M>, StreamError> {
        if self.partial.len() + fragment.len() > self.limit {
            return Err(StreamError::TooLarge);
        }
        if !last {
            self.partial.extend_from_slice(fragment);
            return Ok(None);
        }
        if self.partial.is_empty() {
            return decode(fragment).map(Some);
        }
        let mut message = std::mem::take(&mut self.partial);
        message.extend_from_slice(fragment);
        decode(&message).map(Some)
    }
}

fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, StreamError> {
    postcard::from_bytes(bytes).map_err(|_| StreamError::Malformed)
}
