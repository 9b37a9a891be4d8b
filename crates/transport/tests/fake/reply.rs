//! Messages that the fake server sends.

use bytes::{BufMut, BytesMut};

pub fn message(output: &mut BytesMut, tag: u8, body: &[u8]) {
    output.put_u8(tag);
    output.put_u32(body.len() as u32 + 4);
    output.put_slice(body);
}

pub fn ready(output: &mut BytesMut, status: u8) {
    message(output, b'Z', &[status]);
}

pub fn complete(output: &mut BytesMut, tag: &str) {
    message(output, b'C', format!("{tag}\0").as_bytes());
}

pub fn error(output: &mut BytesMut, severity: &str, sqlstate: &str) {
    let body = format!("S{severity}\0V{severity}\0C{sqlstate}\0Mscripted\0\0");
    message(output, b'E', body.as_bytes());
}

pub fn authentication(output: &mut BytesMut, code: u32, data: &[u8]) {
    let mut body = BytesMut::new();
    body.put_u32(code);
    body.put_slice(data);
    message(output, b'R', &body);
}

pub fn row(output: &mut BytesMut, values: &[&str]) {
    let mut description = BytesMut::new();
    description.put_u16(values.len() as u16);
    for _ in values {
        description.put_slice(b"c\0");
        description.put_slice(&[0; 6]);
        description.put_u32(25);
        description.put_u16(0xFFFF);
        description.put_slice(&[0; 6]);
    }
    message(output, b'T', &description);
    data_row(output, values);
}

pub fn data_row(output: &mut BytesMut, values: &[&str]) {
    let mut body = BytesMut::new();
    body.put_u16(values.len() as u16);
    for value in values {
        body.put_u32(value.len() as u32);
        body.put_slice(value.as_bytes());
    }
    message(output, b'D', &body);
}
