//! Tests of relayed datagrams: latency, cuts, and seeded loss and reordering.

use hookpoint_standin::links::{Latencies, RegionSpacing, UdpLink, UdpLinkSettings, ZoneLinks};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(30);
const LATENCY: Duration = Duration::from_millis(2);

struct Pair {
    links: ZoneLinks,
    link: UdpLink,
    caller: UdpSocket,
    target: UdpSocket,
}

async fn pair(seed: u64) -> Pair {
    let latencies = Latencies {
        same_zone: Duration::ZERO,
        between_zones: LATENCY,
        between_regions: LATENCY,
        to_clients: LATENCY,
    };
    let links = ZoneLinks::new(
        &[("a", "r"), ("b", "r")],
        latencies,
        RegionSpacing::UseZoneLatency,
    );
    let target = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let settings = UdpLinkSettings {
        from: "a".to_owned(),
        to: "b".to_owned(),
        target: Some(target.local_addr().expect("an address")),
        seed,
    };
    let link = UdpLink::start(&links, settings).expect("a link");
    let caller = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    caller.connect(link.address()).await.expect("connected");
    Pair {
        links,
        link,
        caller,
        target,
    }
}

async fn receive(socket: &UdpSocket) -> (u8, std::net::SocketAddr) {
    let mut buffer = [0; 16];
    let received = timeout(TIMEOUT, socket.recv_from(&mut buffer)).await;
    let (_, source) = received.expect("in time").expect("received");
    (buffer[0], source)
}

/// Sends datagrams one at a time and returns the numbers of those delivered.
async fn send_and_collect(pair: &Pair, count: u8) -> Vec<u8> {
    let mut received_numbers = Vec::new();
    for number in 0..count {
        let before = pair.link.counters();
        pair.caller.send(&[number]).await.expect("sent");
        let counted = async {
            while pair.link.counters() == before {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, counted).await.expect("delivered or lost");
        if pair.link.counters().delivered > before.delivered {
            received_numbers.push(receive(&pair.target).await.0);
        }
    }
    received_numbers
}

#[tokio::test]
async fn datagrams_and_responses_take_the_latency() {
    let pair = pair(1).await;
    let start = Instant::now();
    pair.caller.send(&[1]).await.expect("sent");
    let (number, source) = receive(&pair.target).await;
    assert_eq!(number, 1);
    pair.target.send_to(&[2], source).await.expect("sent");
    assert_eq!(receive(&pair.caller).await.0, 2);
    assert!(start.elapsed() >= 2 * LATENCY);
}

#[tokio::test]
async fn responses_reach_the_caller_that_sent_the_request() {
    let pair = pair(1).await;
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    other.connect(pair.link.address()).await.expect("connected");
    pair.caller.send(&[1]).await.expect("sent");
    other.send(&[2]).await.expect("sent");
    for _ in 0..2 {
        let (number, source) = receive(&pair.target).await;
        pair.target
            .send_to(&[number + 10], source)
            .await
            .expect("sent");
    }
    assert_eq!(receive(&pair.caller).await.0, 11);
    assert_eq!(receive(&other).await.0, 12);
}

#[tokio::test]
async fn datagrams_sent_during_a_cut_are_lost_permanently() {
    let pair = pair(1).await;
    pair.links.cut_one_way("a", "b");
    assert_eq!(send_and_collect(&pair, 3).await, Vec::<u8>::new());
    assert_eq!(pair.link.counters().lost, 3);
    pair.links.heal_all();
    assert_eq!(send_and_collect(&pair, 2).await, [0, 1]);
}

#[tokio::test]
async fn loss_is_determined_by_the_seed() {
    let mut runs = Vec::new();
    for seed in [7, 7, 8] {
        let pair = pair(seed).await;
        pair.links.set_datagram_faults(0.5, 0.0);
        let received_numbers = send_and_collect(&pair, 40).await;
        assert!(
            !received_numbers.is_empty() && received_numbers.len() < 40,
            "{received_numbers:?}"
        );
        assert!(received_numbers.is_sorted());
        runs.push(received_numbers);
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}

#[tokio::test]
async fn reordered_datagrams_are_delayed_and_delivered() {
    let pair = pair(3).await;
    pair.links.set_datagram_faults(0.0, 1.0);
    let start = Instant::now();
    pair.caller.send(&[1]).await.expect("sent");
    assert_eq!(receive(&pair.target).await.0, 1);
    assert!(start.elapsed() >= 3 * LATENCY);
}
