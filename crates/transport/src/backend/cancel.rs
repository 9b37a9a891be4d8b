//! Cancel requests to a database.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::outgoing;

/// Address and cancel key of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CancelKey {
    pub address: SocketAddr,
    pub process: u32,
    pub secret: u32,
}

/// Sends a cancel request and waits until the database has closed the connection that the
/// request was sent on, which means that the request has been processed. Returns false if
/// that was not observed within `limit`.
pub(super) async fn cancel(key: CancelKey, limit: Duration) -> bool {
    let result = tokio::time::timeout(limit, send_and_wait(key)).await;
    matches!(result, Ok(Ok(())))
}

async fn send_and_wait(key: CancelKey) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(key.address).await?;
    let request = outgoing::cancel_request(key.process, key.secret);
    stream.write_all(&request).await?;
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
