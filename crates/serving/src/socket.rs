//! Options of the TCP connections that this program opens or accepts.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// How long sent bytes may remain unacknowledged before the connection counts as broken. This
/// allows for the loss of the first transmission and of one retransmission, which follows 0.2 s
/// plus a round trip later. A connection may fail without a reset, and only this timeout reveals
/// it to a waiting request.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(400);

/// Sets a connection's options: small messages are sent immediately, and bytes that are not
/// acknowledged in time break the connection. Fails if the connection has already ended.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
