//! A caller that sends and receives raw messages.

use std::time::Duration;

use bytes::BytesMut;
use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::extended;
use hookpoint_protocol::frame::{Frame, FrameCodec};
use hookpoint_protocol::reply;
use hookpoint_protocol::tags::{backend, frontend};
use hookpoint_transport::caller::CallerHandle;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

use super::{GROUP, TIMEOUT};

/// A raw caller connection.
pub struct RawClient {
    pub socket: TcpStream,
    input: BytesMut,
}

impl RawClient {
    pub async fn open(handle: &CallerHandle) -> Self {
        let socket = TcpStream::connect(handle.address())
            .await
            .expect("a connection");
        Self {
            socket,
            input: BytesMut::new(),
        }
    }

    /// Opens a connection and starts a session; returns the server's start-up messages
    /// too.
    pub async fn begin(handle: &CallerHandle, parameters: &[(&str, &str)]) -> (Self, Vec<Frame>) {
        let mut client = Self::open(handle).await;
        client.send_raw(&startup(196_608, parameters)).await;
        let greeting = client.until_ready().await;
        (client, greeting)
    }

    pub async fn send_raw(&mut self, bytes: &[u8]) {
        self.socket.write_all(bytes).await.expect("bytes are sent");
    }

    pub async fn send(&mut self, frames: &[Frame]) {
        let mut output = BytesMut::new();
        for frame in frames {
            frame.write_to(&mut output);
        }
        self.send_raw(&output).await;
    }

    /// Returns the next message; `None` if the proxy has closed the connection.
    pub async fn next(&mut self) -> Option<Frame> {
        let mut codec = FrameCodec::new(usize::MAX);
        loop {
            if let Some(frame) = codec.decode(&mut self.input).expect("whole messages") {
                return Some(frame);
            }
            let read = self.socket.read_buf(&mut self.input);
            let read = tokio::time::timeout(TIMEOUT, read).await;
            match read.expect("a message in time") {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    /// Returns the messages up to and including `ReadyForQuery`, or up to the end of the
    /// connection.
    pub async fn until_ready(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        while let Some(frame) = self.next().await {
            let ready = frame.tag == backend::READY_FOR_QUERY;
            frames.push(frame);
            if ready {
                break;
            }
        }
        frames
    }

    /// Returns the answer to a simple query.
    pub async fn query(&mut self, text: &str) -> Vec<Frame> {
        self.send(&[extended::query(text)]).await;
        self.until_ready().await
    }

    /// Returns whether the proxy sends nothing for the given time.
    pub async fn is_silent(&mut self, time: Duration) -> bool {
        tokio::time::timeout(time, self.socket.read_buf(&mut self.input))
            .await
            .is_err()
    }
}

/// Returns a start-up packet; user and database are added unless given.
pub fn startup(version: u32, parameters: &[(&str, &str)]) -> Vec<u8> {
    let mut body = version.to_be_bytes().to_vec();
    let own = [("user", "clinic"), ("database", GROUP)];
    let own = own
        .iter()
        .filter(|(name, _)| !parameters.iter().any(|(other, _)| other == name));
    for (name, value) in own.chain(parameters) {
        for text in [name, value] {
            body.extend(text.as_bytes());
            body.push(0);
        }
    }
    body.push(0);
    packet(&body)
}

/// Returns a packet without a tag.
pub fn packet(body: &[u8]) -> Vec<u8> {
    let mut packet = (body.len() as u32 + 4).to_be_bytes().to_vec();
    packet.extend(body);
    packet
}

/// Returns the message tags as text.
pub fn tags(frames: &[Frame]) -> String {
    frames.iter().map(|frame| char::from(frame.tag)).collect()
}

/// Returns the SQLSTATE of the first error among `frames`.
pub fn first_error(frames: &[Frame]) -> Option<String> {
    let error = frames.iter().find_map(BackendError::from_frame)?;
    Some(error.sqlstate)
}

/// Returns the command tags among `frames`.
pub fn command_tags(frames: &[Frame]) -> Vec<String> {
    let complete = frames
        .iter()
        .filter(|frame| frame.tag == backend::COMMAND_COMPLETE);
    complete
        .filter_map(|frame| reply::command_tag(frame).map(str::to_owned))
        .collect()
}

/// Returns the last reported value of a parameter among `frames`.
pub fn reported(frames: &[Frame], name: &str) -> Option<String> {
    frames.iter().rev().find_map(|frame| {
        if frame.tag != backend::PARAMETER_STATUS {
            return None;
        }
        let mut parts = frame.body.split(|byte| *byte == 0);
        let found = parts.next()? == name.as_bytes();
        let value = parts.next()?;
        found.then(|| String::from_utf8_lossy(value).into_owned())
    })
}

/// Returns a `Parse` message.
pub fn parse(name: &str, query: &str) -> Frame {
    Frame::new(
        frontend::PARSE,
        format!("{name}\0{query}\0\0\0").into_bytes(),
    )
}

/// Returns a `Bind` message without parameters.
pub fn bind(portal: &str, statement: &str) -> Frame {
    let mut body = format!("{portal}\0{statement}\0").into_bytes();
    body.extend([0; 6]);
    Frame::new(frontend::BIND, body)
}

/// Returns a `Describe` message.
pub fn describe(kind: char, name: &str) -> Frame {
    Frame::new(frontend::DESCRIBE, format!("{kind}{name}\0").into_bytes())
}

/// Returns a `Close` message.
pub fn close(kind: char, name: &str) -> Frame {
    Frame::new(frontend::CLOSE, format!("{kind}{name}\0").into_bytes())
}

/// Returns an `Execute` message for all rows.
pub fn execute(portal: &str) -> Frame {
    let mut body = format!("{portal}\0").into_bytes();
    body.extend([0; 4]);
    Frame::new(frontend::EXECUTE, body)
}
