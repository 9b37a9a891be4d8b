//! Tests of silent links, failed forwarders, and unauthenticated peers.

mod peer_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hookpoint_coordination::membership::{Datagram, DatagramBody, MemberInfo, Sender};
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::peer::{DatagramSealer, HANDSHAKE_BYTES};
use hookpoint_state::{BundleVersion, NodeId, RegionName, ZoneName};
use hookpoint_transport::lease::BackendLease;
use peer_support::{Ending, alive, home_of, in_time, key, request, start_fleet, start_with, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Relays bytes between a port of its own and `target` until it is frozen; then it keeps
/// its connections open but relays nothing.
async fn relay(target: SocketAddr) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let frozen = Arc::new(AtomicBool::new(false));
    let shared = frozen.clone();
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else {
                continue;
            };
            let (near_reader, near_writer) = near.into_split();
            let (far_reader, far_writer) = far.into_split();
            tokio::spawn(pass(near_reader, far_writer, shared.clone()));
            tokio::spawn(pass(far_reader, near_writer, shared.clone()));
        }
    });
    (address, frozen)
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    frozen: Arc<AtomicBool>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        while frozen.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn echo(lease: &mut BackendLease) {
    let frames = vec![Frame::new(b'Q', "select 1")];
    let command = BackendCommand::Frames(frames.clone());
    in_time(lease.commands.send(command))
        .await
        .expect("it is taken");
    let reply = in_time(lease.replies.recv()).await;
    assert_eq!(reply, Some(BackendReply::Frames(frames)));
}

#[actix_rt::test]
async fn silent_link_loses_its_leases_at_both_ends() {
    let nodes = start_fleet(2).await;
    let (relay_address, frozen) = relay(nodes[1].fleet.address()).await;
    let direct = nodes[1].fleet.address();
    nodes[0].shared.addresses.replace(direct, relay_address);
    let remote = home_of(&nodes[1]);
    let leasing = nodes[0].leases.acquire(request(remote.clone()));
    let mut lease = in_time(leasing).await.expect("it is granted");
    echo(&mut lease).await;
    frozen.store(true, Ordering::SeqCst);
    assert_eq!(
        in_time(lease.replies.recv()).await,
        Some(BackendReply::Lost)
    );
    let endings = nodes[1].echo.endings.clone();
    until(|| *endings.lock() == [Ending::Dropped]).await;
    // Datagrams still pass, so the home appears alive; the request is served locally
    // instead.
    let leasing = nodes[0].leases.acquire(request(remote));
    let mut lease = in_time(leasing).await.expect("it is granted");
    echo(&mut lease).await;
    assert_eq!(nodes[0].echo.granted.load(Ordering::SeqCst), 1);
}

#[actix_rt::test]
async fn home_drops_the_leases_of_a_failed_forwarder() {
    let nodes = start_fleet(2).await;
    let leasing = nodes[0].leases.acquire(request(home_of(&nodes[1])));
    let mut lease = in_time(leasing).await.expect("it is granted");
    echo(&mut lease).await;
    nodes[0].fleet.shutdown();
    let endings = nodes[1].echo.endings.clone();
    until(|| *endings.lock() == [Ending::Dropped]).await;
    until(|| nodes[1].fleet.status().streams == 0).await;
}

#[actix_rt::test]
async fn unauthenticated_link_connections_are_rejected() {
    let nodes = start_fleet(2).await;
    let address = nodes[1].fleet.address();
    let greetings: [&[u8]; 3] = [
        b"GET / HTTP/1.1\r\nHost: hookpoint.example\r\nAccept: everything\r\n\r\n",
        &[0; HANDSHAKE_BYTES],
        b"short",
    ];
    for greeting in greetings {
        let mut other_client = in_time(TcpStream::connect(address))
            .await
            .expect("a connection");
        in_time(other_client.write_all(greeting))
            .await
            .expect("it is sent");
        let mut answer = Vec::new();
        let _ = in_time(other_client.read_to_end(&mut answer)).await;
        assert!(answer.is_empty(), "{answer:?}");
    }
    until(|| nodes[1].fleet.status().counters.links_refused == 3).await;
    let leasing = nodes[0].leases.acquire(request(home_of(&nodes[1])));
    let mut lease = in_time(leasing).await.expect("it is granted");
    echo(&mut lease).await;
}

#[actix_rt::test]
async fn leases_survive_a_false_failure_detection() {
    let nodes = start_fleet(2).await;
    let leasing = nodes[0].leases.acquire(request(home_of(&nodes[1])));
    let mut lease = in_time(leasing).await.expect("it is granted");
    // No process reads from this socket.
    let unread = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let unread = unread.local_addr().expect("an address");
    for (node, other) in [(0, 1), (1, 0)] {
        let address = nodes[other].fleet.address();
        nodes[node]
            .shared
            .addresses
            .replace_datagrams(address, unread);
    }
    let dead = |node: usize| {
        let members = nodes[node].fleet.members();
        members.iter().all(|member| member.state.as_str() == "dead")
    };
    until(|| dead(0) && dead(1)).await;
    echo(&mut lease).await;
    assert!(nodes[1].echo.endings.lock().is_empty());
}

fn datagram(sender: NodeId, receiver: Option<NodeId>, address: SocketAddr) -> Datagram {
    let info = MemberInfo {
        node: sender,
        zone: ZoneName::new("zone"),
        region: RegionName::new("region"),
        address,
    };
    Datagram {
        sender: Sender {
            node: sender,
            incarnation: 0,
            leaving: false,
            bundle: BundleVersion(0),
            digest: 0,
            info: Some(Arc::new(info)),
        },
        receiver,
        body: DatagramBody::Gossip,
        updates: Vec::new(),
    }
}

#[actix_rt::test]
async fn datagrams_not_addressed_to_the_node_are_ignored() {
    let node = start_with("zone", Vec::new(), vec![key(1)]);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let own = socket.local_addr().expect("an address");
    let receiver_node = node.fleet.node();
    let mut sealer = DatagramSealer::default();
    let mut seal =
        |number, datagram: &Datagram| sealer.seal(&key(number), datagram).expect("it fits");
    let good = seal(1, &datagram(NodeId(1), Some(receiver_node), own));
    let mut garbled = good.clone();
    garbled[40] ^= 1;
    // Description, datagram, and number of datagrams dropped so far.
    let cases = [
        ("nonsense", vec![7; 200], 1),
        ("too large", vec![1; 1_401], 2),
        ("garbled", garbled, 3),
        (
            "of another key",
            seal(2, &datagram(NodeId(2), Some(receiver_node), own)),
            4,
        ),
        (
            "for another node",
            seal(1, &datagram(NodeId(3), Some(NodeId(9)), own)),
            4,
        ),
        ("for nobody", seal(1, &datagram(NodeId(4), None, own)), 4),
    ];
    for (name, bytes, dropped) in cases {
        let before = node.fleet.status().counters;
        socket
            .send_to(&bytes, node.fleet.address())
            .await
            .expect("it is sent");
        until(|| {
            let counters = node.fleet.status().counters;
            let sum = counters.datagrams_dropped + counters.datagrams_received;
            sum > before.datagrams_dropped + before.datagrams_received
        })
        .await;
        assert_eq!(
            node.fleet.status().counters.datagrams_dropped,
            dropped,
            "{name}"
        );
        assert!(node.fleet.members().is_empty(), "{name}");
    }
    // The valid datagram is accepted, but only once.
    for dropped in [4, 5] {
        socket
            .send_to(&good, node.fleet.address())
            .await
            .expect("it is sent");
        until(|| alive(&node) == 1).await;
        until(|| node.fleet.status().counters.datagrams_dropped == dropped).await;
    }
}
