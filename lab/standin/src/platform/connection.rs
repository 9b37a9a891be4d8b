//! Open connections, which faults can close without an answer.

use parking_lot::Mutex;
use std::io::ErrorKind;
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::sync::{Arc, Weak};

/// A second handle on the socket of a connection.
#[derive(Debug, Clone)]
pub(super) struct Connection(Arc<TcpStream>);

impl Connection {
    /// Takes a handle on a socket; none when the system has no more of them.
    pub(super) fn of(socket: &impl AsFd) -> Option<Self> {
        let handle = socket.as_fd().try_clone_to_owned().ok()?;
        Some(Self(Arc::new(TcpStream::from(handle))))
    }

    /// Closes the connection at once, without any answer.
    pub(super) fn close(&self) {
        // A connection that the peer closed first cannot be shut down again.
        let _closed_before = self.0.shutdown(Shutdown::Both);
    }

    /// Whether the peer has closed its side.
    pub(super) fn is_closed_by_peer(&self) -> bool {
        match self.0.peek(&mut [0]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

/// All open connections of a stand-in.
#[derive(Debug, Default)]
pub(super) struct Connections(Mutex<Vec<Weak<TcpStream>>>);

impl Connections {
    /// Adds a connection and forgets those that have ended.
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
