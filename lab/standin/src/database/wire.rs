//! Frames of the PostgreSQL protocol on one connection.

use std::io;

use bytes::BytesMut;
use pgwire::error::PgWireError;
use pgwire::messages::response::{ErrorResponse, NoticeResponse};
use pgwire::messages::{
    DecodeContext, PgWireBackendMessage, PgWireFrontendMessage, ProtocolVersion,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::error::SqlError;

/// Size of a message in bytes past which the connection is closed.
const MAXIMUM_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Size of a message's length, which counts itself.
const LENGTH_BYTES: usize = 4;
/// Output collected before it is written.
const OUTPUT_BYTES: usize = 64 * 1024;
/// Length of an error's text past which it is cut.
const MAXIMUM_ERROR_TEXT: usize = 4000;

/// Why a connection ends.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The socket failed or was closed.
    #[error("the socket failed")]
    Socket(#[from] io::Error),
    /// The client sent what is no message.
    #[error("a malformed message")]
    Malformed(#[from] PgWireError),
    /// The client sent a length that no message has.
    #[error("a message of {0} bytes")]
    BadLength(usize),
}

/// One connection's socket with its buffers.
pub struct Wire {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
    gate: watch::Receiver<bool>,
    /// Whether a part of the output has been written and the rest not.
    writing: bool,
}

impl Wire {
    /// Wraps an accepted socket; nothing passes while `gate` is closed.
    pub fn new(stream: TcpStream, gate: watch::Receiver<bool>) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
            gate,
            writing: false,
        }
    }

    /// Notes that the next message is the start-up message.
    pub fn negotiated(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// Notes that the start-up message has come.
    pub fn started(&mut self) {
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
    }

    /// Waits until the database answers clients.
    pub async fn pass_gate(&mut self) {
        // The sender lives as long as the database; without it nothing waits.
        let _ = self.gate.wait_for(|open| *open).await;
    }

    /// Reads the next message; none when the client has closed.
    pub async fn read(&mut self) -> Result<Option<PgWireFrontendMessage>, WireError> {
        loop {
            self.check_length()?;
            // Nothing is waited for between decoding a message and returning
            // it, so that a caller that gives up waiting loses none.
            self.pass_gate().await;
            if let Some(message) = PgWireFrontendMessage::decode(&mut self.input, &self.context)? {
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Ok(None);
            }
        }
    }

    fn check_length(&self) -> Result<(), WireError> {
        let typed = !self.context.awaiting_frontend_startup;
        let at = usize::from(typed);
        let Some(bytes) = self.input.get(at..at + LENGTH_BYTES) else {
            return Ok(());
        };
        let length = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
        if !(LENGTH_BYTES..=MAXIMUM_MESSAGE_BYTES).contains(&length) {
            return Err(WireError::BadLength(length));
        }
        Ok(())
    }

    /// Adds a message to the output.
    pub fn push(&mut self, message: PgWireBackendMessage) -> Result<(), WireError> {
        Ok(message.encode(&mut self.output)?)
    }

    /// Adds an error to the output.
    pub fn push_error(&mut self, error: &SqlError) -> Result<(), WireError> {
        let severity = if error.fatal { "FATAL" } else { "ERROR" };
        let fields = fields(severity, error.state.code(), &error.message);
        self.push(PgWireBackendMessage::ErrorResponse(ErrorResponse::new(
            fields,
        )))
    }

    /// Adds a warning to the output.
    pub fn push_warning(&mut self, code: &str, message: &str) -> Result<(), WireError> {
        let fields = fields("WARNING", code, message);
        self.push(PgWireBackendMessage::NoticeResponse(NoticeResponse::new(
            fields,
        )))
    }

    /// Whether the output should be written before more is added.
    pub fn is_full(&self) -> bool {
        self.output.len() >= OUTPUT_BYTES
    }

    /// Writes the output; waits for a slow reader.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.output.is_empty() {
            return Ok(());
        }
        self.pass_gate().await;
        self.writing = true;
        while !self.output.is_empty() {
            let written = self.stream.write_buf(&mut self.output).await?;
            if written == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero).into());
            }
        }
        self.writing = false;
        Ok(())
    }

    /// Tells the client why it is disconnected, if it can be told.
    pub async fn farewell(&mut self, error: &SqlError) -> Result<(), WireError> {
        if !self.writing {
            self.push_error(error)?;
        }
        self.flush().await?;
        Ok(self.stream.shutdown().await?)
    }

    /// Makes the socket's end a reset, as that of a killed process.
    pub fn reset(&self) {
        #[expect(deprecated, reason = "a zero linger never blocks")]
        if let Err(error) = self.stream.set_linger(Some(std::time::Duration::ZERO)) {
            log::debug!("database: a socket cannot be reset: {error}.");
        }
    }
}

fn fields(severity: &str, code: &str, message: &str) -> Vec<(u8, String)> {
    vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.chars().take(MAXIMUM_ERROR_TEXT).collect()),
    ]
}
