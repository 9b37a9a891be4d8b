//! Bodies of the extended-query messages. They are parsed only as far as the proxy needs
//! in order to rewrite statement names; parameter values are passed on unchanged.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::frame::Frame;
use crate::tags::frontend;

/// Error for a message body that does not have the layout required by its tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a message of tag `{}` is malformed", char::from(*tag))]
pub struct MalformedMessage {
    /// Tag of the message.
    pub tag: u8,
}

/// Kind of object that a `Describe` or `Close` message refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescribeTarget {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// A `Parse` message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parse {
    /// Name of the statement; empty for the unnamed statement.
    pub name: String,
    /// SQL text of the statement.
    pub query: String,
    /// Type OIDs of the parameters; 0 where the server infers the type.
    pub parameter_types: Vec<u32>,
}

/// A `Bind` message: the portal and statement names, and the rest of the body unparsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bind {
    /// Name of the portal; empty for the unnamed portal.
    pub portal: String,
    /// Name of the statement; empty for the unnamed statement.
    pub statement: String,
    /// Parameter formats, parameter values and result formats, as received.
    pub parameters_and_formats: Bytes,
}

/// A `Describe` or `Close` message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DescribeOrClose {
    /// Whether `name` names a statement or a portal.
    pub target: DescribeTarget,
    /// Name of the statement or portal; empty for the unnamed one.
    pub name: String,
}

/// Removes a zero-terminated string from the front of `body` and returns it. `tag` is
/// used for the error only.
///
/// # Errors
/// [`MalformedMessage`] when there is no terminator or the string is not UTF-8.
pub fn take_string(tag: u8, body: &mut Bytes) -> Result<String, MalformedMessage> {
    let malformed = MalformedMessage { tag };
    let end = body.iter().position(|byte| *byte == 0).ok_or(malformed)?;
    let text = body.split_to(end);
    let _terminator = body.split_to(1);
    String::from_utf8(text.to_vec()).map_err(|_| malformed)
}

fn put_string(body: &mut BytesMut, text: &str) {
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}

/// Returns the SQL text of a `Query` message.
///
/// # Errors
/// [`MalformedMessage`] when the body is not exactly one zero-terminated UTF-8 string.
pub fn query_text(frame: &Frame) -> Result<String, MalformedMessage> {
    let mut body = frame.body.clone();
    let text = take_string(frame.tag, &mut body)?;
    if body.is_empty() {
        Ok(text)
    } else {
        Err(MalformedMessage { tag: frame.tag })
    }
}

/// Builds a `Query` message with the SQL text `text`.
pub fn query(text: &str) -> Frame {
    let mut body = BytesMut::with_capacity(text.len() + 1);
    put_string(&mut body, text);
    Frame::new(frontend::QUERY, body.freeze())
}

/// Builds a `Sync` message.
pub fn sync() -> Frame {
    Frame::new(frontend::SYNC, Bytes::new())
}

impl Parse {
    /// Parses the body of a `Parse` message.
    ///
    /// # Errors
    /// [`MalformedMessage`] when the body does not have the expected layout.
    pub fn read(frame: &Frame) -> Result<Self, MalformedMessage> {
        let malformed = MalformedMessage { tag: frame.tag };
        let mut body = frame.body.clone();
        let name = take_string(frame.tag, &mut body)?;
        let query = take_string(frame.tag, &mut body)?;
        if body.len() < 2 {
            return Err(malformed);
        }
        let count = usize::from(u16::from_be_bytes([body[0], body[1]]));
        let types = body.slice(2..);
        if types.len() != count * 4 {
            return Err(malformed);
        }
        let parameter_types = types
            .chunks_exact(4)
            .map(|chunk| u32::from_be_bytes([chunk[0], chunk[1], chunk[2], chunk[3]]))
            .collect();
        Ok(Self {
            name,
            query,
            parameter_types,
        })
    }
}

impl Bind {
    /// Parses the names in the body of a `Bind` message.
    ///
    /// # Errors
    /// [`MalformedMessage`] when one of the names is not a zero-terminated UTF-8 string.
    pub fn read(frame: &Frame) -> Result<Self, MalformedMessage> {
        let mut rest = frame.body.clone();
        let portal = take_string(frame.tag, &mut rest)?;
        let statement = take_string(frame.tag, &mut rest)?;
        Ok(Self {
            portal,
            statement,
            parameters_and_formats: rest,
        })
    }

    /// Builds the message with the statement name replaced by `statement`.
    pub fn with_statement(&self, statement: &str) -> Frame {
        let length = self.portal.len() + statement.len() + 2 + self.parameters_and_formats.len();
        let mut body = BytesMut::with_capacity(length);
        put_string(&mut body, &self.portal);
        put_string(&mut body, statement);
        body.put_slice(&self.parameters_and_formats);
        Frame::new(frontend::BIND, body.freeze())
    }
}

impl DescribeOrClose {
    /// Parses the body of a `Describe` or `Close` message.
    ///
    /// # Errors
    /// [`MalformedMessage`] when the body does not have the expected layout.
    pub fn read(frame: &Frame) -> Result<Self, MalformedMessage> {
        let malformed = MalformedMessage { tag: frame.tag };
        let target = match frame.body.first() {
            Some(b'S') => DescribeTarget::Statement,
            Some(b'P') => DescribeTarget::Portal,
            _ => return Err(malformed),
        };
        let mut rest = frame.body.slice(1..);
        let name = take_string(frame.tag, &mut rest)?;
        if rest.is_empty() {
            Ok(Self { target, name })
        } else {
            Err(malformed)
        }
    }

    /// Builds a message of `tag` for the same target, with the name replaced by `name`.
    pub fn with_name(&self, tag: u8, name: &str) -> Frame {
        let mut body = BytesMut::with_capacity(name.len() + 2);
        body.put_u8(match self.target {
            DescribeTarget::Statement => b'S',
            DescribeTarget::Portal => b'P',
        });
        put_string(&mut body, name);
        Frame::new(tag, body.freeze())
    }
}

/// Returns the portal name of an `Execute` message.
///
/// # Errors
/// [`MalformedMessage`] when the body is not a portal name and a row limit of four bytes.
pub fn execute_portal(frame: &Frame) -> Result<String, MalformedMessage> {
    let mut body = frame.body.clone();
    let portal = take_string(frame.tag, &mut body)?;
    if body.len() == 4 {
        Ok(portal)
    } else {
        Err(MalformedMessage { tag: frame.tag })
    }
}
