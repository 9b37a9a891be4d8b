//! Establishes links: dialling, accepting, the handshake and the first frames.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::membership::MemberInfo;
use hookpoint_coordination::node::NodeEvent;
use hookpoint_protocol::peer::{
    HANDSHAKE_BYTES, HANDSHAKE_RESPONSE_BYTES, HandshakeInitiator, LinkCipher, LinkFrame,
    accept_handshake, encode_frame,
};
use hookpoint_state::NodeId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::{Link, reader, writer};
use crate::peer::core::Core;
use crate::peer::error::ConnectError;
use crate::peer::status::count;

/// Longest time for connecting and the handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of the first record after the `Hello` record.
const FIRST_RECORD: u64 = 1;

/// A connection after the handshake, which has identified the peer.
struct EstablishedConnection {
    peer: MemberInfo,
    cipher: Arc<LinkCipher>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
}

/// Returns the link to a peer, dialling if there is none.
pub(in crate::peer) async fn connect(
    core: &Arc<Core>,
    node: NodeId,
) -> Result<Arc<Link>, ConnectError> {
    if let Some(link) = core.links.get(node) {
        return Ok(link);
    }
    let address = core.address_of(node).ok_or(ConnectError::WrongNode(node))?;
    let dial = core.links.dial(node);
    // Concurrent requests for the same link wait here and then find it established.
    let mut dial = dial.lock().await;
    if let Some(link) = core.links.get(node) {
        return Ok(link);
    }
    if dial.is_backing_off() {
        return Err(ConnectError::BackingOff);
    }
    match dial_peer(core, node, address).await {
        Ok(link) => {
            dial.record_success();
            Ok(link)
        }
        Err(error) => {
            log::warn!("fleet: cannot establish a link to node {node} at {address}: {error}.");
            dial.record_failure();
            core.handle_event(NodeEvent::PeerLost(node));
            Err(error)
        }
    }
}

async fn dial_peer(
    core: &Arc<Core>,
    node: NodeId,
    address: SocketAddr,
) -> Result<Arc<Link>, ConnectError> {
    let address = core.shared.addresses.resolve(address);
    let handshake = handshake_as_initiator(core, address);
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .map_err(|_| ConnectError::Timeout)??;
    if connection.peer.node != node {
        return Err(ConnectError::WrongNode(node));
    }
    Ok(run(core, connection, true))
}

/// Establishes a link on an accepted connection.
pub(in crate::peer) async fn accept(
    core: &Arc<Core>,
    socket: TcpStream,
) -> Result<(), ConnectError> {
    let handshake = handshake_as_acceptor(core, socket);
    let connection = tokio::time::timeout(CONNECT_TIMEOUT, handshake)
        .await
        .map_err(|_| ConnectError::Timeout)??;
    if connection.peer.node == core.own.node {
        return Err(ConnectError::Protocol);
    }
    run(core, connection, false);
    Ok(())
}

async fn handshake_as_initiator(
    core: &Core,
    address: SocketAddr,
) -> Result<EstablishedConnection, ConnectError> {
    let mut socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let (initiator, message) = HandshakeInitiator::start(core.keys.read().current())?;
    socket.write_all(&message).await?;
    let mut response = [0; HANDSHAKE_RESPONSE_BYTES];
    socket.read_exact(&mut response).await?;
    let cipher = Arc::new(initiator.finish(&response)?);
    let (mut reader, mut writer) = socket.into_split();
    send_hello(core, &cipher, &mut writer).await?;
    let peer = read_hello(&cipher, &mut reader).await?;
    Ok(EstablishedConnection {
        peer,
        cipher,
        reader,
        writer,
    })
}

async fn handshake_as_acceptor(
    core: &Core,
    mut socket: TcpStream,
) -> Result<EstablishedConnection, ConnectError> {
    socket.set_nodelay(true)?;
    let mut message = [0; HANDSHAKE_BYTES];
    socket.read_exact(&mut message).await?;
    let (cipher, response) = accept_handshake(&core.keys.read(), &message)?;
    socket.write_all(&response).await?;
    let cipher = Arc::new(cipher);
    let (mut reader, mut writer) = socket.into_split();
    // An initiator that replays recorded messages cannot seal a record.
    let peer = read_hello(&cipher, &mut reader).await?;
    send_hello(core, &cipher, &mut writer).await?;
    Ok(EstablishedConnection {
        peer,
        cipher,
        reader,
        writer,
    })
}

async fn send_hello(
    core: &Core,
    cipher: &LinkCipher,
    socket: &mut OwnedWriteHalf,
) -> Result<(), ConnectError> {
    let hello = LinkFrame::Hello((*core.own).clone());
    let content = encode_frame(&hello, Vec::new());
    let bytes = writer::send_record(cipher, 0, &content, socket).await?;
    count(&core.counters.link_records_sent, 1);
    count(&core.counters.link_bytes_sent, bytes as u64);
    Ok(())
}

async fn read_hello(
    cipher: &LinkCipher,
    socket: &mut OwnedReadHalf,
) -> Result<MemberInfo, ConnectError> {
    let frames = reader::read_record(cipher, 0, socket)
        .await
        .map_err(|error| match error {
            reader::ReadError::Io(error) => ConnectError::Io(error),
            reader::ReadError::Record(error) => ConnectError::Handshake(error),
            _ => ConnectError::Protocol,
        })?;
    match <[LinkFrame; 1]>::try_from(frames) {
        Ok([LinkFrame::Hello(info)]) => Ok(info),
        _ => Err(ConnectError::Protocol),
    }
}

fn run(core: &Arc<Core>, connection: EstablishedConnection, dialled: bool) -> Arc<Link> {
    let (link, frames) = Link::new(Arc::new(connection.peer), dialled);
    core.links.register(core.own.node, &link);
    let cipher = connection.cipher;
    let writing = writer::write(
        core.clone(),
        link.clone(),
        frames,
        cipher.clone(),
        connection.writer,
        FIRST_RECORD,
    );
    tokio::spawn(writing);
    let reading = reader::read(
        core.clone(),
        link.clone(),
        cipher,
        connection.reader,
        FIRST_RECORD,
    );
    tokio::spawn(reading);
    tokio::spawn(link.clone().monitor());
    link
}
