//! Frames of a link. Each record of the link holds a sequence of whole frames.

use bytes::Bytes;
use hookpoint_coordination::membership::MemberInfo;
use hookpoint_state::{DatabaseName, GroupName, Refusal, SessionId, TenantName, ZoneName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A request for a database connection, as sent to the home node of the database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Group that the database belongs to.
    pub group: GroupName,
    /// Database to connect to.
    pub database: DatabaseName,
    /// Requesting session, identified by the number that its own node gave it.
    pub session: SessionId,
    /// Tenant that the session belongs to.
    pub tenant: TenantName,
    /// Zone of the session's node.
    pub zone: ZoneName,
    /// Remaining time that the request may wait, in microseconds.
    pub wait_micros: u64,
}

/// One frame. The node that dialled the link uses odd numbers for the streams that it opens,
/// the accepting node even numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkFrame {
    /// Identifies the sending node; the first frame in each direction.
    Hello(MemberInfo),
    /// Requests a `Pong`.
    Ping,
    /// Response to a `Ping`.
    Pong,
    /// Opens a stream and requests a connection.
    Open {
        /// Number of the stream; it was not used before on this link.
        stream: u32,
        /// The connection that is requested, and for how long the request may wait.
        request: OpenRequest,
    },
    /// The connection is available. Commands on the stream are passed to it from now on,
    /// including those that arrived before.
    Granted {
        /// Number of the stream.
        stream: u32,
    },
    /// No connection is available and nothing ran. The stream is closed.
    Refused {
        /// Number of the stream.
        stream: u32,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// A fragment of a command or a reply.
    Data {
        /// Number of the stream.
        stream: u32,
        /// Whether this is the last fragment of the message.
        last: bool,
        /// Bytes of the fragment.
        bytes: Bytes,
    },
    /// Flow control: allows the peer to send this many more bytes of data on the stream.
    Credit {
        /// Number of the stream.
        stream: u32,
        /// Bytes consumed since the last credit.
        bytes: u32,
    },
    /// The sender sends nothing more on this stream.
    Closed {
        /// Number of the stream.
        stream: u32,
    },
    /// A fragment of a `PeerMessage` between the state machines of two nodes. The fragments
    /// of a message are sent without other control fragments between them.
    Control {
        /// Whether this is the last fragment of the message.
        last: bool,
        /// Bytes of the fragment.
        bytes: Bytes,
    },
    /// Cancels the running request of a session on the receiving node.
    CancelSession {
        /// Process number that the client received in its `BackendKeyData`.
        process: u32,
        /// Secret that the client received in its `BackendKeyData`.
        secret: u32,
    },
}

/// Error for a record that does not consist of whole frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the record does not consist of frames")]
pub struct FrameDecodeError;

/// Appends an encoded frame to a record and returns the record.
pub fn encode_frame(frame: &LinkFrame, record: Vec<u8>) -> Vec<u8> {
    // Every frame can be encoded by postcard, and a vector grows as needed, so this cannot
    // fail.
    postcard::to_extend(frame, record).unwrap_or_default()
}

/// Decodes all frames of a record.
///
/// # Errors
/// [`FrameDecodeError`] if the record holds anything else than whole frames.
pub fn decode_frames(mut record: &[u8]) -> Result<Vec<LinkFrame>, FrameDecodeError> {
    let mut frames = Vec::new();
    while !record.is_empty() {
        let (frame, rest) = postcard::take_from_bytes(record).map_err(|_| FrameDecodeError)?;
        frames.push(frame);
        record = rest;
    }
    Ok(frames)
}
