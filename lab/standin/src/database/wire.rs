//! Message framing of the PostgreSQL protocol on one connection.

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

/// Maximum size of a message in bytes; a larger one closes the connection.
const MAXIMUM_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Size of the length field of a message, in bytes; the length includes it.
const LENGTH_BYTES: usize = 4;
/// Size of the output buffer, in bytes, at which it should be written.
const OUTPUT_BYTES: usize = 64 * 1024;
/// Maximum length of an error text, in characters; longer ones are truncated.
const MAXIMUM_ERROR_TEXT: usize = 4000;

/// Errors that end a connection.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The socket failed or was closed.
    #[error("socket error")]
    Socket(#[from] io::Error),
    /// The client sent bytes that are not a valid message.
    #[error("malformed message")]
    Malformed(#[from] PgWireError),
    /// The client sent an invalid message length.
    #[error("invalid message length of {0} bytes")]
    BadLength(usize),
}

/// The socket of one connection with its buffers.
pub struct Wire {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    context: DecodeContext,
    gate: watch::Receiver<bool>,
    /// Whether the output has been written only partially.
    writing: bool,
}

impl Wire {
    /// Wraps an accepted socket; nothing is read or written while `gate` is closed.
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

    /// Records that encryption negotiation is complete and the start-up message
    /// follows.
    pub fn encryption_negotiated(&mut self) {
        self.context.awaiting_frontend_ssl = false;
    }

    /// Records that the start-up message has been received.
    pub fn startup_received(&mut self) {
        self.context.awaiting_frontend_ssl = false;
        self.context.awaiting_frontend_startup = false;
    }

    /// Waits until the database serves clients.
    pub async fn wait_until_serving(&mut self) {
        // The sender exists as long as the database; without it there is no wait.
        let _ = self.gate.wait_for(|open| *open).await;
    }

    /// Reads the next message, or returns `None` when the client has closed the
    /// connection. Cancel-safe.
    pub async fn read(&mut self) -> Result<Option<PgWireFrontendMessage>, WireError> {
        loop {
            self.check_length()?;
            // There is no await between decoding a message and returning it, so
            // that no message is lost when the caller drops the future.
            self.wait_until_serving().await;
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

    /// Returns whether the output should be flushed before more is added.
    pub fn is_full(&self) -> bool {
        self.output.len() >= OUTPUT_BYTES
    }

    /// Writes the output, waiting for a slow reader.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.output.is_empty() {
            return Ok(());
        }
        self.wait_until_serving().await;
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

    /// Sends the error that ends the connection, unless a message was written only
    /// partially, and closes the connection.
    pub async fn disconnect(&mut self, error: &SqlError) -> Result<(), WireError> {
        if !self.writing {
            self.push_error(error)?;
        }
        self.flush().await?;
        Ok(self.stream.shutdown().await?)
    }

    /// Makes closing the socket a reset, as if the process were killed.
    pub fn reset(&self) {
        #[expect(deprecated, reason = "a zero linger never blocks")]
        if let Err(error) = self.stream.set_linger(Some(std::time::Duration::ZERO)) {
            log::debug!("database: setting the linger option of a socket failed: {error}.");
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
