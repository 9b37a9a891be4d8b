//! Binds one port for both datagrams and links.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Number of ports tried when the system chooses the port and the other protocol's port
/// is taken.
const ATTEMPTS: usize = 32;

/// Both sockets, non-blocking and on the same port.
pub struct Sockets {
    /// Socket for datagrams.
    pub udp: UdpSocket,
    /// TCP listener that accepts links from peers.
    pub tcp: TcpListener,
    /// Address of both sockets.
    pub address: SocketAddr,
}

/// Binds `listen`; with port 0 the system chooses a port that is free for both protocols.
pub fn bind(listen: SocketAddr) -> io::Result<Sockets> {
    let attempts = if listen.port() == 0 { ATTEMPTS } else { 1 };
    let mut failure = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..attempts {
        match bind_once(listen) {
            Ok(sockets) => return Ok(sockets),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

fn bind_once(listen: SocketAddr) -> io::Result<Sockets> {
    let tcp = TcpListener::bind(listen)?;
    let address = tcp.local_addr()?;
    let udp = UdpSocket::bind(address)?;
    tcp.set_nonblocking(true)?;
    udp.set_nonblocking(true)?;
    Ok(Sockets { udp, tcp, address })
}
