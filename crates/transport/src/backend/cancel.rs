//! Cancel requests to a database.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::outgoing;

/// What a cancel request has to name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CancelKey {
    pub address: SocketAddr,
    pub process: u32,
    pub secret: u32,
}

/// Sends a cancel request and waits until the database has closed the connection it came
/// on, which says that the request has been dealt with. False when that could not be
/// seen within `limit`.
pub(super) async fn cancel(key: CancelKey, limit: Duration) -> bool {
    let dealt_with = tokio::time::timeout(limit, send_and_wait(key)).await;
    matches!(dealt_with, Ok(Ok(())))
}

async fn send_and_wait(key: CancelKey) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(key.address).await?;
    let request = outgoing::cancel_request(key.process, key.secret);
    stream.write_all(&request).await?;
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
