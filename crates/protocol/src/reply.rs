//! Server messages that the proxy itself sends to clients.

use bytes::{BufMut, Bytes, BytesMut};

use crate::frame::Frame;
use crate::tags::backend;

/// OID of the type `text`.
const TEXT_TYPE_OID: u32 = 25;

/// Transaction status of a session as reported in `ReadyForQuery`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction block is open.
    #[default]
    Idle,
    /// A transaction block is open.
    InTransaction,
    /// A transaction block is open and has failed; it can only be rolled back.
    Failed,
}

impl TransactionStatus {
    /// Parses the body of a `ReadyForQuery`; `None` when it is malformed.
    pub fn read(frame: &Frame) -> Option<Self> {
        match frame.body.as_ref() {
            [b'I'] => Some(Self::Idle),
            [b'T'] => Some(Self::InTransaction),
            [b'E'] => Some(Self::Failed),
            _ => None,
        }
    }

    /// Whether a transaction block is open.
    pub fn is_open(self) -> bool {
        self != Self::Idle
    }

    fn as_byte(self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::InTransaction => b'T',
            Self::Failed => b'E',
        }
    }
}

fn put_string(body: &mut BytesMut, text: &str) {
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}

/// Builds a `ReadyForQuery` message.
pub fn ready_for_query(status: TransactionStatus) -> Frame {
    Frame::new(backend::READY_FOR_QUERY, vec![status.as_byte()])
}

/// Builds an `AuthenticationOk` message.
pub fn authentication_ok() -> Frame {
    authentication(0, &[])
}

/// Builds an authentication message: the request code `kind` followed by `data`.
pub fn authentication(kind: u32, data: &[u8]) -> Frame {
    let mut body = BytesMut::with_capacity(data.len() + 4);
    body.put_u32(kind);
    body.put_slice(data);
    Frame::new(backend::AUTHENTICATION, body.freeze())
}

/// Builds a `BackendKeyData` message from the process number and secret that a client
/// repeats in a cancel request.
pub fn backend_key_data(process: u32, secret: u32) -> Frame {
    let mut body = BytesMut::with_capacity(8);
    body.put_u32(process);
    body.put_u32(secret);
    Frame::new(backend::BACKEND_KEY_DATA, body.freeze())
}

/// Builds a `ParameterStatus` message.
pub fn parameter_status(name: &str, value: &str) -> Frame {
    let mut body = BytesMut::with_capacity(name.len() + value.len() + 2);
    put_string(&mut body, name);
    put_string(&mut body, value);
    Frame::new(backend::PARAMETER_STATUS, body.freeze())
}

/// Builds a `NegotiateProtocolVersion` message: `version` is the newest supported
/// protocol version, `options` are the requested protocol options that are not supported.
pub fn negotiate_version(version: u32, options: &[String]) -> Frame {
    let mut body = BytesMut::new();
    body.put_u32(version);
    body.put_u32(options.len() as u32);
    for option in options {
        put_string(&mut body, option);
    }
    Frame::new(backend::NEGOTIATE_VERSION, body.freeze())
}

/// Builds a `CommandComplete` message with the command tag `tag`.
pub fn command_complete(tag: &str) -> Frame {
    let mut body = BytesMut::with_capacity(tag.len() + 1);
    put_string(&mut body, tag);
    Frame::new(backend::COMMAND_COMPLETE, body.freeze())
}

/// Returns the command tag of a `CommandComplete`; `None` when the body is malformed.
pub fn command_tag(frame: &Frame) -> Option<&str> {
    let text = frame.body.strip_suffix(&[0])?;
    std::str::from_utf8(text).ok()
}

/// Builds a `RowDescription` of one column of type `text`, named `name`.
pub fn text_column(name: &str) -> Frame {
    let mut body = BytesMut::new();
    body.put_u16(1);
    put_string(&mut body, name);
    body.put_u32(0);
    body.put_u16(0);
    body.put_u32(TEXT_TYPE_OID);
    body.put_i16(-1);
    body.put_i32(-1);
    body.put_u16(0);
    Frame::new(backend::ROW_DESCRIPTION, body.freeze())
}

/// Builds a `DataRow` of one text value.
pub fn text_row(value: &str) -> Frame {
    let mut body = BytesMut::with_capacity(value.len() + 6);
    body.put_u16(1);
    body.put_u32(value.len() as u32);
    body.put_slice(value.as_bytes());
    Frame::new(backend::DATA_ROW, body.freeze())
}

/// Builds a `ParameterDescription` of a statement without parameters.
pub fn no_parameters() -> Frame {
    Frame::new(backend::PARAMETER_DESCRIPTION, vec![0, 0])
}

/// Builds a message of `tag` without a body.
pub fn empty(tag: u8) -> Frame {
    Frame::new(tag, Bytes::new())
}
