//! The byte stream of one caller: reads and writes frames, both within limits.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use hookpoint_protocol::frame::{Frame, FrameCodec, FrameError};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_rustls::TlsAcceptor;
use tokio_util::codec::Decoder;

/// Maximum bytes read ahead of the running unit. At this limit the caller is no longer
/// read.
const READ_AHEAD: usize = 64 * 1024;
/// Buffer space reserved for the next read of an idle session.
const SHORT_READ: usize = 512;
/// Buffer space reserved for a read once the beginning of a message has arrived.
const LONG_READ: usize = 8 * 1024;
/// Bytes that a caller must accept within the write timeout.
const MINIMUM_WRITE_PROGRESS: usize = 4 * 1024;
/// Capacity above which an empty output buffer is returned to the allocator.
const RETAINED_BUFFER: usize = 16 * 1024;

/// Longest wait for a caller to close its side after the last message.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection with or without TLS.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> ByteStream for T {}

/// The caller can no longer be reached.
#[derive(Debug, Error)]
pub enum CallerGone {
    /// The caller closed the connection.
    #[error("the caller closed the connection")]
    Closed,
    /// The caller accepted too few bytes within the write timeout, which is given here.
    #[error("the caller accepted too few bytes within {0:?}")]
    Stalled(Duration),
    /// The caller sent malformed messages, or the connection failed.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl From<std::io::Error> for CallerGone {
    fn from(error: std::io::Error) -> Self {
        CallerGone::Frame(FrameError::Io(error))
    }
}

/// The connection of one caller.
pub struct CallerStream {
    io: Box<dyn ByteStream>,
    input: BytesMut,
    returned: Option<Frame>,
    output: BytesMut,
    codec: FrameCodec,
    write_timeout: Duration,
}

impl CallerStream {
    /// Wraps a connection whose messages are limited to `message_limit` bytes.
    pub fn new(io: Box<dyn ByteStream>, message_limit: usize, write_timeout: Duration) -> Self {
        Self {
            io,
            input: BytesMut::new(),
            returned: None,
            output: BytesMut::new(),
            codec: FrameCodec::new(message_limit),
            write_timeout,
        }
    }

    /// Replaces the limit on the size of one message.
    pub fn limit_messages(&mut self, limit: usize) {
        self.codec = FrameCodec::new(limit);
    }

    /// Performs the TLS handshake as server. Bytes received ahead of the handshake are
    /// refused, because their sender is not authenticated.
    pub async fn encrypt(&mut self, acceptor: &TlsAcceptor) -> Result<(), CallerGone> {
        if !self.input.is_empty() {
            return Err(CallerGone::Closed);
        }
        let plain = std::mem::replace(&mut self.io, Box::new(tokio::io::empty()));
        self.io = Box::new(acceptor.accept(plain).await?);
        Ok(())
    }

    /// Reads exactly `length` raw bytes; used for start-up packets, which have no tag.
    pub async fn raw(&mut self, length: usize) -> Result<BytesMut, CallerGone> {
        while self.input.len() < length {
            let missing = length - self.input.len();
            let mut limited = (&mut self.io).take(missing as u64);
            if limited.read_buf(&mut self.input).await? == 0 {
                return Err(CallerGone::Closed);
            }
        }
        Ok(self.input.split_to(length))
    }

    /// Returns a frame to the stream, to be read again.
    pub fn put_back(&mut self, frame: Frame) {
        self.returned = Some(frame);
    }

    /// Returns the next frame if it has arrived completely.
    pub fn buffered(&mut self) -> Result<Option<Frame>, CallerGone> {
        if let Some(frame) = self.returned.take() {
            return Ok(Some(frame));
        }
        Ok(self.codec.decode(&mut self.input)?)
    }

    /// Reads the next frame. The future is cancel-safe.
    pub async fn frame(&mut self) -> Result<Frame, CallerGone> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(frame);
            }
            self.reserve_input();
            if self.io.read_buf(&mut self.input).await? == 0 {
                return Err(CallerGone::Closed);
            }
        }
    }

    /// Reserves space for a short message, or more once part of a message has arrived.
    fn reserve_input(&mut self) {
        let room = if self.input.is_empty() {
            SHORT_READ
        } else {
            LONG_READ
        };
        self.input.reserve(room);
    }

    /// Reads ahead while a unit runs, to detect that the caller has disconnected. Never
    /// resolves once the read-ahead limit is reached. The future is cancel-safe.
    pub async fn read_ahead(&mut self) -> CallerGone {
        loop {
            if self.input.len() >= READ_AHEAD {
                std::future::pending::<()>().await;
            }
            self.reserve_input();
            match self.io.read_buf(&mut self.input).await {
                Ok(0) => return CallerGone::Closed,
                Ok(_) => {}
                Err(error) => return error.into(),
            }
        }
    }

    /// Appends a frame to the output.
    pub fn write(&mut self, frame: &Frame) {
        frame.write_to(&mut self.output);
    }

    /// Appends raw bytes to the output; used during start-up, for answers that have no
    /// tag.
    pub fn write_raw(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Returns the number of bytes waiting to be sent.
    pub fn pending(&self) -> usize {
        self.output.len()
    }

    /// Sends the output. A caller that accepts almost nothing within the write timeout is
    /// given up, so that it no longer occupies a database connection.
    pub async fn flush(&mut self) -> Result<(), CallerGone> {
        let mut deadline = Instant::now() + self.write_timeout;
        let mut progress = 0;
        while self.output.has_remaining() {
            match timeout_at(deadline, self.io.write(&self.output)).await {
                Err(_) => return Err(CallerGone::Stalled(self.write_timeout)),
                Ok(Ok(0)) => return Err(CallerGone::Closed),
                Ok(Ok(count)) => {
                    self.output.advance(count);
                    progress += count;
                }
                Ok(Err(error)) => return Err(error.into()),
            }
            if progress >= MINIMUM_WRITE_PROGRESS {
                deadline = Instant::now() + self.write_timeout;
                progress = 0;
            }
        }
        if self.output.capacity() > RETAINED_BUFFER {
            self.output = BytesMut::new();
        }
        match timeout(self.write_timeout, self.io.flush()).await {
            Err(_) => Err(CallerGone::Stalled(self.write_timeout)),
            Ok(result) => Ok(result?),
        }
    }

    /// Releases unused buffer memory while the session is idle.
    pub fn shrink(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        if self.output.is_empty() {
            self.output = BytesMut::new();
        }
    }

    /// Sends the remaining output and closes the connection, ignoring failures.
    pub async fn close(mut self) {
        if self.flush().await.is_err() {
            return;
        }
        let _closed = timeout(self.write_timeout, self.io.shutdown()).await;
        // Closing with unread input would reset the connection, and a reset may discard
        // the last message before the caller has read it.
        let _drained = timeout(CLOSE_TIMEOUT, self.drain()).await;
    }

    /// Discards further input until the caller closes its side.
    async fn drain(&mut self) {
        let mut discarded = [0; 512];
        while matches!(self.io.read(&mut discarded).await, Ok(length) if length > 0) {}
    }
}
