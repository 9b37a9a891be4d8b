//! Open connections, which faults can close without a response.

use parking_lot::Mutex;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Weak};

/// A duplicated handle to the socket of a connection.
#[derive(Debug, Clone)]
pub(super) struct Connection(Arc<TcpStream>);

impl Connection {
    /// Duplicates the handle of a socket, or returns `None` when the system cannot.
    pub(super) fn of(socket: &impl AsFd) -> Option<Self> {
        let handle = socket.as_fd().try_clone_to_owned().ok()?;
        Some(Self(Arc::new(TcpStream::from(handle))))
    }

    /// Closes the connection immediately, without a response.
    pub(super) fn close(&self) {
        // Shutting down fails if the peer has already closed the connection.
        let _already_closed = self.0.shutdown(Shutdown::Both);
    }

    /// Returns whether the peer has closed its side.
    pub(super) fn is_closed_by_peer(&self) -> bool {
        match self.0.peek(&mut [0]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// All open connections of the server.
#[derive(Debug, Default)]
pub(super) struct Connections(Mutex<Vec<Weak<TcpStream>>>);

impl Connections {
    /// Adds a connection and removes those that have ended.
    pub(super) fn add(&self, connection: &Connection) {
        let mut list = self.0.lock();
        list.retain(|entry| entry.strong_count() > 0);
        list.push(Arc::downgrade(&connection.0));
    }

    /// Closes all connections.
    pub(super) fn close_all(&self) {
        let list = std::mem::take(&mut *self.0.lock());
        for socket in list.iter().filter_map(Weak::upgrade) {
            Connection(socket).close();
        }
    }
}
