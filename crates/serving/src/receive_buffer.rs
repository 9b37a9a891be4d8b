//! Bytes that were received on a connection and not yet decoded.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;

/// Bytes that were received and not yet decoded. It remembers how far they were searched for the
/// end of a message, so that a message that arrives in small pieces is searched only once.
#[derive(Debug, Default)]
pub struct ReceiveBuffer {
    bytes: BytesMut,
    /// Number of bytes at the front at which no end begins.
    searched: usize,
}

impl ReceiveBuffer {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends received bytes.
    pub fn extend_from_slice(&mut self, received: &[u8]) {
        self.bytes.extend_from_slice(received);
    }

    /// Reserves `chunk` bytes, reads once from `stream` and returns the number of bytes read, which
    /// is 0 at the end of the stream. Reading is cancellation-safe.
    pub async fn read_from(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        chunk: usize,
    ) -> io::Result<usize> {
        self.bytes.reserve(chunk);
        stream.read_buf(&mut self.bytes).await
    }

    /// Appends what has arrived on `stream`, without waiting, and returns the number of bytes read,
    /// which is 0 at the end of the stream.
    pub fn try_read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        stream.try_read_buf(&mut self.bytes)
    }

    /// Returns where the first `width` bytes begin that `is_end` accepts. Each place is examined
    /// once; callers must look for the same end until they take it. Panics if `width` is 0.
    pub fn find_end(&mut self, width: usize, is_end: impl FnMut(&[u8]) -> bool) -> Option<usize> {
        let found = self.bytes[self.searched..].windows(width).position(is_end);
        match found {
            Some(place) => {
                self.searched += place;
                Some(self.searched)
            }
            None => {
                // An end may begin in the last bytes and go on in later ones.
                let examined = (self.bytes.len() + 1).saturating_sub(width);
                self.searched = self.searched.max(examined);
                None
            }
        }
    }

    /// Removes and returns the first `length` bytes, and removes the `end_width` bytes that follow.
    /// Panics if there are fewer.
    pub fn take(&mut self, length: usize, end_width: usize) -> Bytes {
        let mut taken = self.bytes.split_to(length + end_width);
        taken.truncate(length);
        self.searched = 0;
        taken.freeze()
    }
}

impl From<&[u8]> for ReceiveBuffer {
    fn from(received: &[u8]) -> Self {
        Self {
            bytes: BytesMut::from(received),
            searched: 0,
        }
    }
}
