//! Relayed datagrams: latency, cuts, loss and reordering from a seed.

use hookpoint_standin::links::{Latencies, RegionSpacing, UdpLink, UdpLinkSettings, ZoneLinks};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(30);
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
    let links = ZoneLinks::new(&[("a", "r"), ("b", "r")], latencies, RegionSpacing::Near);
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
    let received = timeout(PATIENCE, socket.recv_from(&mut buffer)).await;
    let (_, source) = received.expect("in time").expect("received");
    (buffer[0], source)
}

/// Sends datagrams one at a time and tells which were delivered.
async fn delivered(pair: &Pair, count: u8) -> Vec<u8> {
    let mut seen = Vec::new();
    for number in 0..count {
        let before = pair.link.counters();
        pair.caller.send(&[number]).await.expect("sent");
        let settled = async {
            while pair.link.counters() == before {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(PATIENCE, settled).await.expect("delivered or lost");
        if pair.link.counters().delivered > before.delivered {
            seen.push(receive(&pair.target).await.0);
        }
    }
    seen
}

#[tokio::test]
async fn datagrams_and_their_answers_take_the_latency() {
    let pair = pair(1).await;
    let begun = Instant::now();
    pair.caller.send(&[1]).await.expect("sent");
    let (number, source) = receive(&pair.target).await;
    assert_eq!(number, 1);
    pair.target.send_to(&[2], source).await.expect("sent");
    assert_eq!(receive(&pair.caller).await.0, 2);
    assert!(begun.elapsed() >= 2 * LATENCY);
}

#[tokio::test]
async fn answers_reach_the_caller_that_they_answer() {
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
async fn a_cut_loses_datagrams_for_good() {
    let pair = pair(1).await;
    pair.links.cut_one_way("a", "b");
    assert_eq!(delivered(&pair, 3).await, Vec::<u8>::new());
    assert_eq!(pair.link.counters().lost, 3);
    pair.links.heal_all();
    assert_eq!(delivered(&pair, 2).await, [0, 1]);
}

#[tokio::test]
async fn loss_follows_the_seed() {
    let mut runs = Vec::new();
    for seed in [7, 7, 8] {
        let pair = pair(seed).await;
        pair.links.set_datagram_faults(0.5, 0.0);
        let seen = delivered(&pair, 40).await;
        assert!(!seen.is_empty() && seen.len() < 40, "{seen:?}");
        assert!(seen.is_sorted());
        runs.push(seen);
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}

#[tokio::test]
async fn overtaken_datagrams_take_longer_and_arrive() {
    let pair = pair(3).await;
    pair.links.set_datagram_faults(0.0, 1.0);
    let begun = Instant::now();
    pair.caller.send(&[1]).await.expect("sent");
    assert_eq!(receive(&pair.target).await.0, 1);
    assert!(begun.elapsed() >= 3 * LATENCY);
}
