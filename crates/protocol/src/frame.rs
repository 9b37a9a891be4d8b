//! PostgreSQL messages as a tag and an undecoded body, which is how they are relayed.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder};

/// Length of a message header in bytes: a one-byte tag and a four-byte length field.
const HEADER_LENGTH: usize = 5;

/// A message of the phase after start-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// Message tag, such as `b'Q'`.
    pub tag: u8,
    /// Body of the message, without tag and length field.
    pub body: Bytes,
}

impl Frame {
    /// Creates a frame from `tag` and `body`.
    pub fn new(tag: u8, body: impl Into<Bytes>) -> Self {
        Self {
            tag,
            body: body.into(),
        }
    }

    /// Returns the encoded length of the frame in bytes, header included.
    pub fn wire_length(&self) -> usize {
        HEADER_LENGTH + self.body.len()
    }

    /// Appends the encoded frame to `output`.
    pub fn write_to(&self, output: &mut BytesMut) {
        output.reserve(self.wire_length());
        output.put_u8(self.tag);
        output.put_u32(self.body.len() as u32 + 4);
        output.put_slice(&self.body);
    }
}

/// Why a byte stream could not be split into frames.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The length field is below 4, although it counts its own four bytes.
    #[error("a message of tag {tag} has the impossible length {length}")]
    BadLength {
        /// Tag of the message.
        tag: u8,
        /// Length field as received.
        length: u32,
    },
    /// The body of a message is larger than the limit.
    #[error("a message of {length} bytes is over the limit of {limit}")]
    TooLarge {
        /// Length of the body in bytes.
        length: usize,
        /// Largest body accepted, in bytes.
        limit: usize,
    },
    /// The connection failed; holds the error of the operating system.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
}

/// Splits a byte stream into frames and limits the body size of a frame.
#[derive(Clone, Debug)]
pub struct FrameCodec {
    limit: usize,
}

impl FrameCodec {
    /// Creates a codec that refuses bodies of more than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if source.len() < HEADER_LENGTH {
            return Ok(None);
        }
        let tag = source[0];
        let length = u32::from_be_bytes([source[1], source[2], source[3], source[4]]);
        let Some(body_length) = (length as usize).checked_sub(4) else {
            return Err(FrameError::BadLength { tag, length });
        };
        if body_length > self.limit {
            return Err(FrameError::TooLarge {
                length: body_length,
                limit: self.limit,
            });
        }
        let total = HEADER_LENGTH + body_length;
        if source.len() < total {
            source.reserve((total - source.len()).min(64 * 1024));
            return Ok(None);
        }
        let mut message = source.split_to(total);
        let body = message.split_off(HEADER_LENGTH).freeze();
        Ok(Some(Frame { tag, body }))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, output: &mut BytesMut) -> Result<(), FrameError> {
        frame.write_to(output);
        Ok(())
    }
}
