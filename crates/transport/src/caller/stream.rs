//! The byte stream of one caller: frames in, frames out, both with bounds.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use hookpoint_protocol::frame::{Frame, FrameCodec, FrameError};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_rustls::TlsAcceptor;
use tokio_util::codec::Decoder;

/// Bytes read ahead of the unit that runs. Past this the caller is not read.
const READ_AHEAD: usize = 64 * 1024;
/// Room kept for the next read of a session that is idle.
const SHORT_READ: usize = 512;
/// Room for a read where the beginning of a message is there already.
const LONG_READ: usize = 8 * 1024;
/// Bytes a caller has to take within the write timeout.
const LEAST_PROGRESS: usize = 4 * 1024;
/// Output buffer that is given back to the allocator when it is empty.
const RETAINED_BUFFER: usize = 16 * 1024;

/// Longest wait for a caller to close its side after the last message.
const LINGER: Duration = Duration::from_secs(1);

/// A connection with or without TLS.
pub trait ByteStream: AsyncRead + AsyncWrite + Unpin + Send {}

impl<T: AsyncRead + AsyncWrite + Unpin + Send> ByteStream for T {}

/// The caller cannot be spoken to any more.
#[derive(Debug, Error)]
pub enum CallerGone {
    /// It closed the connection.
    #[error("the caller closed the connection")]
    Closed,
    /// It took no bytes for too long.
    #[error("the caller took no bytes for {0:?}")]
    Stalled(Duration),
    /// What it sent is no sequence of messages, or the connection failed.
    #[error(transparent)]
    Frame(#[from] FrameError),
}

impl From<std::io::Error> for CallerGone {
    fn from(error: std::io::Error) -> Self {
        CallerGone::Frame(FrameError::Io(error))
    }
}

/// One caller's connection.
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

    /// Goes on encrypted. Bytes that came ahead of the handshake are refused, because
    /// nobody knows who sent them.
    pub async fn encrypt(&mut self, acceptor: &TlsAcceptor) -> Result<(), CallerGone> {
        if !self.input.is_empty() {
            return Err(CallerGone::Closed);
        }
        let plain = std::mem::replace(&mut self.io, Box::new(tokio::io::empty()));
        self.io = Box::new(acceptor.accept(plain).await?);
        Ok(())
    }

    /// Reads exactly `length` raw bytes; used before messages have tags.
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

    /// Puts a frame back to be read again.
    pub fn put_back(&mut self, frame: Frame) {
        self.returned = Some(frame);
    }

    /// A frame that has already arrived whole.
    pub fn buffered(&mut self) -> Result<Option<Frame>, CallerGone> {
        if let Some(frame) = self.returned.take() {
            return Ok(Some(frame));
        }
        Ok(self.codec.decode(&mut self.input)?)
    }

    /// The next frame. Cancelling the future loses nothing.
    pub async fn frame(&mut self) -> Result<Frame, CallerGone> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(frame);
            }
            self.make_room();
            if self.io.read_buf(&mut self.input).await? == 0 {
                return Err(CallerGone::Closed);
            }
        }
    }

    /// Room for a short message; more once a longer one is on its way.
    fn make_room(&mut self) {
        let room = if self.input.is_empty() {
            SHORT_READ
        } else {
            LONG_READ
        };
        self.input.reserve(room);
    }

    /// Reads what comes while a unit runs, to notice that the caller has gone. Waits
    /// for ever once enough was read ahead. Cancelling the future loses nothing.
    pub async fn read_ahead(&mut self) -> CallerGone {
        loop {
            if self.input.len() >= READ_AHEAD {
                std::future::pending::<()>().await;
            }
            self.make_room();
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

    /// Appends raw bytes to the output; used before messages have tags.
    pub fn write_raw(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Bytes waiting to be sent.
    pub fn pending(&self) -> usize {
        self.output.len()
    }

    /// Sends the output. A caller that takes next to nothing for the write timeout is
    /// given up, so that it holds no connection to a database any longer.
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
            if progress >= LEAST_PROGRESS {
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

    /// Gives unused memory back while the session is idle.
    pub fn shrink(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
        if self.output.is_empty() {
            self.output = BytesMut::new();
        }
    }

    /// Sends what is left and closes the connection; failures no longer matter.
    pub async fn close(mut self) {
        if self.flush().await.is_err() {
            return;
        }
        let _closed = timeout(self.write_timeout, self.io.shutdown()).await;
        // Closing with unread input would reset the connection, and a reset may take
        // the last message from the caller.
        let _drained = timeout(LINGER, self.drain()).await;
    }

    /// Reads and drops what still comes, until the caller closes its side.
    async fn drain(&mut self) {
        let mut scrap = [0; 512];
        while matches!(self.io.read(&mut scrap).await, Ok(length) if length > 0) {}
    }
}
