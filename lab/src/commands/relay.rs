//! `hookpoint-lab relay`: a plain relay of bytes, to compare a proxy with.

use std::net::SocketAddr;

use anyhow::Context;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};

use crate::commands::print_line;
use crate::flags;

#[derive(Serialize)]
struct RelayLine {
    address: SocketAddr,
}

/// Relays connections to the target until the process is stopped.
///
/// # Errors
/// When no port can be listened on.
pub async fn relay(arguments: flags::Relay) -> anyhow::Result<()> {
    let target: SocketAddr = arguments.target.parse().context("--target is no ip:port")?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    print_line(&RelayLine { address })?;
    loop {
        let (caller, _) = listener.accept().await?;
        tokio::spawn(async move {
            if let Err(error) = carry(caller, target).await {
                log::debug!("relay: a connection ended: {error}.");
            }
        });
    }
}

async fn carry(mut caller: TcpStream, target: SocketAddr) -> std::io::Result<()> {
    let mut database = TcpStream::connect(target).await?;
    caller.set_nodelay(true)?;
    database.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut caller, &mut database).await?;
    Ok(())
}
