//! Frames of a link. A record of the link holds whole frames, one behind the other.

use bytes::Bytes;
use hookpoint_coordination::membership::MemberInfo;
use hookpoint_state::{DatabaseName, GroupName, Refusal, SessionId, TenantName, ZoneName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A request for a connection, as it travels to the home node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Group of the database.
    pub group: GroupName,
    /// Database to reach.
    pub database: DatabaseName,
    /// Session that asks, as numbered by its own node.
    pub session: SessionId,
    /// Tenant of the session.
    pub tenant: TenantName,
    /// Zone of the session's node.
    pub zone: ZoneName,
    /// What is left of the time the request may wait, in microseconds.
    pub wait_micros: u64,
}

/// One frame. The node that dialled numbers the streams it opens oddly, the other
/// evenly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFrame {
    /// Who speaks; the first frame in each direction.
    Hello(MemberInfo),
    /// Asks for a `Pong`.
    Ping,
    /// Answers a `Ping`.
    Pong,
    /// Opens a stream and asks for a connection.
    Open {
        /// Number of the stream, not used before on this link.
        stream: u32,
        /// What is asked for.
        request: OpenRequest,
    },
    /// The connection is there: commands go to it from now on, also those that came
    /// before.
    Granted {
        /// The stream.
        stream: u32,
    },
    /// No connection; nothing ran. The stream is closed.
    Refused {
        /// The stream.
        stream: u32,
        /// Why.
        refusal: Refusal,
    },
    /// A piece of a command or a reply.
    Data {
        /// The stream.
        stream: u32,
        /// Whether the message ends here.
        last: bool,
        /// The piece.
        bytes: Bytes,
    },
    /// The receiver has room for so many more bytes of data.
    Credit {
        /// The stream.
        stream: u32,
        /// Bytes taken since the last credit.
        bytes: u32,
    },
    /// The sender is done with the stream. Nothing follows on it from here.
    Closed {
        /// The stream.
        stream: u32,
    },
    /// A piece of a `PeerMessage` between node machines. Pieces of one message follow
    /// each other.
    Control {
        /// Whether the message ends here.
        last: bool,
        /// The piece.
        bytes: Bytes,
    },
    /// Cancel what a session of the receiver runs.
    CancelSession {
        /// Process number as told to the caller.
        process: u32,
        /// Secret as told to the caller.
        secret: u32,
    },
}

/// A record that does not consist of frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the record does not consist of frames")]
pub struct FrameDecodeError;

/// Appends a frame to a record.
pub fn encode_frame(frame: &LinkFrame, record: Vec<u8>) -> Vec<u8> {
    // Frames hold nothing that postcard cannot encode, and a vector takes all.
    postcard::to_extend(frame, record).unwrap_or_default()
}

/// The frames of a record.
///
/// # Errors
/// [`FrameDecodeError`] if it holds anything else.
pub fn decode_frames(mut record: &[u8]) -> Result<Vec<LinkFrame>, FrameDecodeError> {
    let mut frames = Vec::new();
    while !record.is_empty() {
        let (frame, rest) = postcard::take_from_bytes(record).map_err(|_| FrameDecodeError)?;
        frames.push(frame);
        record = rest;
    }
    Ok(frames)
}
