//! Accepts the client connections of one database.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::node::Node;
use super::startup;

/// Length of the listener's accept queue.
const BACKLOG: u32 = 1024;

/// A loopback port that stays reserved for a database while it is down.
pub struct Port {
    address: SocketAddr,
    _reservation: TcpSocket,
}

impl Port {
    /// Reserves a port that the operating system chooses.
    pub fn reserve() -> io::Result<Self> {
        let socket = new_socket()?;
        socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        Ok(Self {
            address: socket.local_addr()?,
            _reservation: socket,
        })
    }

    /// Returns the address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts listening. Connections are refused once the returned listener is
    /// dropped.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = new_socket()?;
        socket.bind(self.address)?;
        socket.listen(BACKLOG)
    }
}

fn new_socket() -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Required for the reservation and the listener to share the port.
    socket.set_reuseport(true)?;
    Ok(socket)
}

/// Accepts clients while `listening` is true, until the task is aborted.
pub async fn run(
    node: Arc<Node>,
    port: Arc<Port>,
    first: TcpListener,
    mut listening: watch::Receiver<bool>,
) {
    let mut listener = Some(first);
    let mut sessions = JoinSet::new();
    let mut gate = node.gate();
    loop {
        if !*listening.borrow_and_update() {
            listener = None;
        } else if listener.is_none() {
            listener = listen_again(&port);
        }
        let open = *gate.borrow_and_update();
        tokio::select! {
            accepted = accept(listener.as_ref()), if open && listener.is_some() => {
                if let Some(stream) = accepted {
                    sessions.spawn(startup::serve(node.clone(), stream));
                }
            }
            changed = listening.changed() => if changed.is_err() { return; },
            changed = gate.changed() => if changed.is_err() { return; },
            Some(_) = sessions.join_next(), if !sessions.is_empty() => {}
        }
    }
}

fn listen_again(port: &Port) -> Option<TcpListener> {
    match port.listen() {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::error!("database: listening after a restart failed: {error}.");
            None
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener?.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("database: accepting a connection failed: {error}.");
            None
        }
    }
}
