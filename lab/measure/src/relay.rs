//! A plain TCP relay that copies bytes without interpreting them, as a baseline for
//! measurements of a proxy.

use std::net::SocketAddr;

use tokio::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// A running relay. Dropping it stops accepting connections; open ones continue.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on a loopback port assigned by the system. For every accepted connection,
    /// opens one to `target` and copies bytes in both directions.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(copy(client, target));
            }
        });
        Ok(Self { address, accepting })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn copy(mut client: TcpStream, target: SocketAddr) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let nodelay = client.set_nodelay(true).and(server.set_nodelay(true));
    if let Err(error) = nodelay {
        log::debug!("relay: cannot disable Nagle's algorithm: {error}.");
    }
    if let Err(error) = io::copy_bidirectional(&mut client, &mut server).await {
        log::debug!("relay: a connection failed: {error}.");
    }
}
