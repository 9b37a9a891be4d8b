//! A relay that copies bytes and knows nothing, to compare a proxy with.

use std::net::SocketAddr;

use tokio::io;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// A running relay; it ends when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on a loopback port that the system chooses and copies every connection
    /// to one of its own to `target`.
    ///
    /// # Errors
    /// When there is no port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(copy(near, target));
            }
        });
        Ok(Self { address, accepting })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn copy(mut near: TcpStream, target: SocketAddr) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let undelayed = near.set_nodelay(true).and(far.set_nodelay(true));
    if let Err(error) = undelayed {
        log::debug!("relay: a connection is delayed: {error}.");
    }
    if let Err(error) = io::copy_bidirectional(&mut near, &mut far).await {
        log::debug!("relay: a connection ended: {error}.");
    }
}
