//! Messages that the proxy itself sends to a database.

use bytes::{BufMut, BytesMut};
use hookpoint_protocol::frame::Frame;

use hookpoint_protocol::tags::frontend;

/// Version 3.0 of the protocol.
const PROTOCOL_VERSION: u32 = 196_608;
/// Request code of a cancel request.
const CANCEL_CODE: u32 = 80_877_102;
/// Length of a cancel request, in bytes.
const CANCEL_LENGTH: u32 = 16;

fn put_text(body: &mut BytesMut, text: &str) {
    body.put_slice(text.as_bytes());
    body.put_u8(0);
}

/// Returns a start-up message with the given parameters.
pub(super) fn startup<'a>(parameters: impl IntoIterator<Item = (&'a str, &'a str)>) -> BytesMut {
    let mut body = BytesMut::new();
    body.put_u32(PROTOCOL_VERSION);
    for (name, value) in parameters {
        put_text(&mut body, name);
        put_text(&mut body, value);
    }
    body.put_u8(0);
    let mut message = BytesMut::with_capacity(body.len() + 4);
    message.put_u32(body.len() as u32 + 4);
    message.put_slice(&body);
    message
}

/// Returns a cancel request for the connection with this process number and secret.
pub(super) fn cancel_request(process: u32, secret: u32) -> BytesMut {
    let mut message = BytesMut::with_capacity(CANCEL_LENGTH as usize);
    message.put_u32(CANCEL_LENGTH);
    message.put_u32(CANCEL_CODE);
    message.put_u32(process);
    message.put_u32(secret);
    message
}

/// Returns a `Parse` of a named statement.
pub(super) fn parse(name: &str, text: &str, types: &[u32]) -> Frame {
    let mut body = BytesMut::new();
    put_text(&mut body, name);
    put_text(&mut body, text);
    body.put_u16(types.len() as u16);
    for parameter in types {
        body.put_u32(*parameter);
    }
    Frame::new(frontend::PARSE, body.freeze())
}

/// Returns a `Close` of a named statement.
pub(super) fn close_statement(name: &str) -> Frame {
    let mut body = BytesMut::new();
    body.put_u8(b'S');
    put_text(&mut body, name);
    Frame::new(frontend::CLOSE, body.freeze())
}

/// Returns a message with a clear-text password.
pub(super) fn password(password: &str) -> Frame {
    let mut body = BytesMut::new();
    put_text(&mut body, password);
    Frame::new(frontend::PASSWORD, body.freeze())
}

/// Returns the first client message of a SASL exchange.
pub(super) fn sasl_initial(mechanism: &str, data: &str) -> Frame {
    let mut body = BytesMut::new();
    put_text(&mut body, mechanism);
    body.put_u32(data.len() as u32);
    body.put_slice(data.as_bytes());
    Frame::new(frontend::PASSWORD, body.freeze())
}

/// Returns a later client message of a SASL exchange.
pub(super) fn sasl_response(data: &str) -> Frame {
    Frame::new(frontend::PASSWORD, data.as_bytes().to_vec())
}

/// Returns a `Terminate` message.
pub(super) fn terminate() -> Frame {
    Frame::new(frontend::TERMINATE, Vec::new())
}
