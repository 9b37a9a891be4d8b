//! Bodies of the extended-query messages, as far as a proxy has to read and rewrite
//! them: names are rewritten, values are left alone.

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::frame::Frame;
use crate::tags::frontend;

/// A message body that does not have the form its tag asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("a message of tag `{}` is malformed", char::from(*tag))]
pub struct MalformedMessage {
    /// Tag of the message.
    pub tag: u8,
}

/// What a `Describe` or `Close` speaks of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// A prepared statement.
    Statement,
    /// A portal.
    Portal,
}

/// A `Parse` message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parse {
    /// Name of the statement; empty for the unnamed one.
    pub name: String,
    /// Its text.
    pub query: String,
    /// Parameter type identifiers, 0 where the server is to choose.
    pub parameter_types: Vec<u32>,
}

/// A `Bind` message: the two names and the rest as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Bind {
    /// Name of the portal.
    pub portal: String,
    /// Name of the statement.
    pub statement: String,
    /// Formats, values and result formats.
    pub rest: Bytes,
}

/// A `Describe` or `Close` message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Named {
    /// Kind of thing.
    pub target: Target,
    /// Its name.
    pub name: String,
}

/// Takes a string that ends with a zero byte off the front of `body`.
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

/// Text of a `Query` message.
///
/// # Errors
/// When it is not one UTF-8 string that ends with a zero byte.
pub fn query_text(frame: &Frame) -> Result<String, MalformedMessage> {
    let mut body = frame.body.clone();
    let text = take_string(frame.tag, &mut body)?;
    if body.is_empty() {
        Ok(text)
    } else {
        Err(MalformedMessage { tag: frame.tag })
    }
}

/// A `Query` message of `text`.
pub fn query(text: &str) -> Frame {
    let mut body = BytesMut::with_capacity(text.len() + 1);
    put_string(&mut body, text);
    Frame::new(frontend::QUERY, body.freeze())
}

/// A `Sync` message.
pub fn sync() -> Frame {
    Frame::new(frontend::SYNC, Bytes::new())
}

impl Parse {
    /// Reads a `Parse` body.
    ///
    /// # Errors
    /// When it is malformed.
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
    /// Reads a `Bind` body.
    ///
    /// # Errors
    /// When its names are malformed.
    pub fn read(frame: &Frame) -> Result<Self, MalformedMessage> {
        let mut rest = frame.body.clone();
        let portal = take_string(frame.tag, &mut rest)?;
        let statement = take_string(frame.tag, &mut rest)?;
        Ok(Self {
            portal,
            statement,
            rest,
        })
    }

    /// The message with the statement called `statement`.
    pub fn with_statement(&self, statement: &str) -> Frame {
        let length = self.portal.len() + statement.len() + 2 + self.rest.len();
        let mut body = BytesMut::with_capacity(length);
        put_string(&mut body, &self.portal);
        put_string(&mut body, statement);
        body.put_slice(&self.rest);
        Frame::new(frontend::BIND, body.freeze())
    }
}

impl Named {
    /// Reads a `Describe` or `Close` body.
    ///
    /// # Errors
    /// When it is malformed.
    pub fn read(frame: &Frame) -> Result<Self, MalformedMessage> {
        let malformed = MalformedMessage { tag: frame.tag };
        let target = match frame.body.first() {
            Some(b'S') => Target::Statement,
            Some(b'P') => Target::Portal,
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

    /// The message of `tag` with the name `name`.
    pub fn renamed(&self, tag: u8, name: &str) -> Frame {
        let mut body = BytesMut::with_capacity(name.len() + 2);
        body.put_u8(match self.target {
            Target::Statement => b'S',
            Target::Portal => b'P',
        });
        put_string(&mut body, name);
        Frame::new(tag, body.freeze())
    }
}

/// Name of the portal of an `Execute` message.
///
/// # Errors
/// When it is malformed.
pub fn execute_portal(frame: &Frame) -> Result<String, MalformedMessage> {
    let mut body = frame.body.clone();
    let portal = take_string(frame.tag, &mut body)?;
    if body.len() == 4 {
        Ok(portal)
    } else {
        Err(MalformedMessage { tag: frame.tag })
    }
}
