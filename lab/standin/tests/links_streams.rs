//! Tests of relayed TCP connections: order, latency, cuts, closing and
//! back-pressure.

use hookpoint_standin::links::{
    CutBehavior, Latencies, LinkProxy, LinkSettings, RegionSpacing, ZoneLinks,
};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Timeout of expected events, long enough for a busy machine.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Time to wait when checking that nothing happens.
const QUIET_PERIOD: Duration = Duration::from_millis(150);

const LATENCY: Duration = Duration::from_micros(2500);

fn links(latency: Duration) -> ZoneLinks {
    let latencies = Latencies {
        same_zone: Duration::ZERO,
        between_zones: latency,
        between_regions: latency,
        to_clients: latency,
    };
    ZoneLinks::new(
        &[("a", "r"), ("b", "r")],
        latencies,
        RegionSpacing::UseZoneLatency,
    )
}

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A link with one open connection.
struct Pair {
    links: ZoneLinks,
    proxy: LinkProxy,
    caller: TcpStream,
    target: TcpStream,
    listener: TcpListener,
}

async fn pair(change: impl FnOnce(&mut LinkSettings)) -> Pair {
    let links = links(LATENCY);
    let (listener, address) = listener().await;
    let mut settings = LinkSettings::new("a", "b", Some(address));
    change(&mut settings);
    let proxy = LinkProxy::start(&links, settings).expect("a link");
    let caller = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    let accepted = timeout(TIMEOUT, listener.accept()).await.expect("in time");
    let (target, _) = accepted.expect("a connection");
    Pair {
        links,
        proxy,
        caller,
        target,
        listener,
    }
}

async fn exchange(from: &mut TcpStream, to: &mut TcpStream, text: &[u8]) {
    from.write_all(text).await.expect("written");
    let mut received = vec![0; text.len()];
    timeout(TIMEOUT, to.read_exact(&mut received))
        .await
        .expect("in time")
        .expect("read");
    assert_eq!(received, text);
}

async fn assert_no_data(stream: &mut TcpStream) {
    let read = timeout(QUIET_PERIOD, stream.read_u8()).await;
    assert!(read.is_err(), "no data is expected, but got {read:?}");
}

#[tokio::test]
async fn bytes_arrive_no_earlier_than_the_latency() {
    for latency in [
        Duration::ZERO,
        Duration::from_micros(500),
        Duration::from_millis(20),
    ] {
        let links = links(latency);
        let (listener, address) = listener().await;
        let settings = LinkSettings::new("a", "b", Some(address));
        let proxy = LinkProxy::start(&links, settings).expect("a link");
        let start = Instant::now();
        let mut caller = TcpStream::connect(proxy.address())
            .await
            .expect("a connection");
        let accepting = async { listener.accept().await.expect("a connection").0 };
        let mut target = timeout(TIMEOUT, accepting).await.expect("in time");
        assert!(start.elapsed() >= latency, "connecting takes the latency");
        exchange(&mut caller, &mut target, b"first").await;
        assert!(
            start.elapsed() >= 3 * latency,
            "a round trip to connect and one way for the data"
        );
        for _ in 0..5 {
            let sent = Instant::now();
            exchange(&mut caller, &mut target, b"question").await;
            exchange(&mut target, &mut caller, b"answer").await;
            assert!(sent.elapsed() >= 2 * latency, "a round trip");
        }
    }
}

#[tokio::test]
async fn many_bytes_arrive_complete_and_in_order_in_both_directions() {
    const LENGTH: usize = 8 << 20;
    let Pair {
        proxy,
        caller,
        target,
        ..
    } = pair(|_| {}).await;
    let pattern = |index: usize| (index.wrapping_mul(2_654_435_761) >> 7) as u8;
    let content: Vec<u8> = (0..LENGTH).map(pattern).collect();
    let (mut caller_reader, mut caller_writer) = caller.into_split();
    let (mut target_reader, mut target_writer) = target.into_split();
    let (mut there, mut back) = (Vec::new(), Vec::new());
    let moving = async {
        let sending = async {
            caller_writer.write_all(&content).await?;
            caller_writer.shutdown().await
        };
        let answering = async {
            target_writer.write_all(&content).await?;
            target_writer.shutdown().await
        };
        let reading = target_reader.read_to_end(&mut there);
        let reading_back = caller_reader.read_to_end(&mut back);
        tokio::try_join!(sending, answering, reading, reading_back)
    };
    timeout(TIMEOUT, moving)
        .await
        .expect("in time")
        .expect("moved");
    assert!(there == content && back == content);
    let counters = proxy.counters();
    assert_eq!(
        (counters.bytes_to_target, counters.bytes_to_caller),
        (LENGTH as u64, LENGTH as u64)
    );
}

#[tokio::test]
async fn cut_stalls_open_connections_until_it_is_healed() {
    let Pair {
        links,
        mut caller,
        mut target,
        proxy,
        ..
    } = pair(|_| {}).await;
    exchange(&mut caller, &mut target, b"before").await;
    links.cut("a", "b");
    caller.write_all(b"1").await.expect("the write is accepted");
    target.write_all(b"2").await.expect("the write is accepted");
    assert_no_data(&mut target).await;
    assert_no_data(&mut caller).await;
    links.heal("a", "b");
    assert_eq!(
        timeout(TIMEOUT, target.read_u8())
            .await
            .expect("in time")
            .expect("read"),
        b'1'
    );
    assert_eq!(
        timeout(TIMEOUT, caller.read_u8())
            .await
            .expect("in time")
            .expect("read"),
        b'2'
    );
    assert_eq!(proxy.counters().connections_open, 1);
}

#[tokio::test]
async fn one_way_cut_does_not_affect_the_other_direction() {
    let Pair {
        links,
        mut caller,
        mut target,
        proxy: _proxy,
        ..
    } = pair(|_| {}).await;
    links.cut_one_way("a", "b");
    caller.write_all(b"1").await.expect("the write is accepted");
    assert_no_data(&mut target).await;
    exchange(&mut target, &mut caller, b"back").await;
    links.heal_all();
    assert_eq!(
        timeout(TIMEOUT, target.read_u8())
            .await
            .expect("in time")
            .expect("read"),
        b'1'
    );
}

#[tokio::test]
async fn new_connections_hang_while_the_link_is_cut() {
    let Pair {
        links,
        proxy,
        listener,
        ..
    } = pair(|_| {}).await;
    links.cut("a", "b");
    let mut caller = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    caller.write_all(b"1").await.expect("written");
    assert!(timeout(QUIET_PERIOD, listener.accept()).await.is_err());
    links.heal_all();
    let accepted = timeout(TIMEOUT, listener.accept()).await.expect("in time");
    let (mut target, _) = accepted.expect("a connection");
    assert_eq!(
        timeout(TIMEOUT, target.read_u8())
            .await
            .expect("in time")
            .expect("read"),
        b'1'
    );
}

#[tokio::test]
async fn each_cause_resets_connections() {
    /// Causes a reset; returns the sockets that must observe it.
    type Cause = fn(Pair) -> (TcpStream, Option<TcpStream>, Option<LinkProxy>);
    let cases: [(&str, Cause); 4] = [
        ("a cut that resets", |pair| {
            pair.links.cut_one_way("b", "a");
            (pair.caller, Some(pair.target), Some(pair.proxy))
        }),
        ("reset_connections", |pair| {
            pair.proxy.reset_connections();
            (pair.caller, Some(pair.target), Some(pair.proxy))
        }),
        ("stopping the link", |pair| {
            pair.proxy.stop();
            (pair.caller, Some(pair.target), None)
        }),
        ("a reset by the target", |pair| {
            pair.target.set_zero_linger().expect("the option");
            (pair.caller, None, Some(pair.proxy))
        }),
    ];
    for (name, cause) in cases {
        let pair = pair(|settings| settings.cut_behavior = CutBehavior::Reset).await;
        let (caller, target, _proxy) = cause(pair);
        for mut stream in [Some(caller), target].into_iter().flatten() {
            let read = timeout(TIMEOUT, stream.read_u8()).await.expect("in time");
            let kind = read.expect_err(name).kind();
            assert_eq!(kind, ErrorKind::ConnectionReset, "{name}");
        }
    }
}

#[tokio::test]
async fn refused_connection_to_the_target_resets_the_caller() {
    let links = links(LATENCY);
    let (listener, address) = listener().await;
    drop(listener);
    let settings = LinkSettings::new("a", "b", Some(address));
    let proxy = LinkProxy::start(&links, settings).expect("a link");
    let start = Instant::now();
    let mut caller = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    let read = timeout(TIMEOUT, caller.read_u8()).await.expect("in time");
    assert!(read.is_err());
    assert!(start.elapsed() >= 2 * LATENCY);
}

#[tokio::test]
async fn one_side_can_close_while_the_other_continues() {
    let Pair {
        mut caller,
        mut target,
        proxy,
        ..
    } = pair(|_| {}).await;
    caller.write_all(b"final data").await.expect("written");
    caller.shutdown().await.expect("closed");
    let mut received = Vec::new();
    timeout(TIMEOUT, target.read_to_end(&mut received))
        .await
        .expect("in time")
        .expect("read");
    assert_eq!(received, b"final data");
    exchange(&mut target, &mut caller, b"reply data").await;
    drop(target);
    let end = timeout(TIMEOUT, caller.read(&mut [0]))
        .await
        .expect("in time");
    assert_eq!(end.expect("a clean end"), 0);
    let closed = async {
        while proxy.counters().connections_open > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, closed)
        .await
        .expect("the connection is released");
}

#[tokio::test]
async fn sender_is_blocked_when_the_in_flight_limit_is_reached() {
    const LIMIT: usize = 256 << 10;
    /// Generous upper bound of the data that operating system buffers may hold.
    const SYSTEM_BUFFERS: usize = 32 << 20;
    let Pair {
        links,
        mut caller,
        mut target,
        proxy: _proxy,
        ..
    } = pair(|settings| settings.in_flight_limit = LIMIT).await;
    links.cut("a", "b");
    let block = vec![7; 1 << 20];
    let mut sent = 0;
    while let Ok(written) = timeout(QUIET_PERIOD, caller.write(&block)).await {
        sent += written.expect("written");
        assert!(sent < LIMIT + SYSTEM_BUFFERS, "the sender is never blocked");
    }
    links.heal_all();
    caller.shutdown().await.expect("closed");
    let mut received = Vec::new();
    timeout(TIMEOUT, target.read_to_end(&mut received))
        .await
        .expect("in time")
        .expect("read");
    assert_eq!(received.len(), sent);
}

#[tokio::test]
async fn connections_wait_for_a_target_that_is_set_later() {
    let links = links(LATENCY);
    let settings = LinkSettings::new("a", "b", None);
    let proxy = LinkProxy::start(&links, settings).expect("a link");
    let mut caller = TcpStream::connect(proxy.address())
        .await
        .expect("a connection");
    caller.write_all(b"1").await.expect("written");
    let (listener, address) = listener().await;
    proxy.set_target(address);
    let accepted = timeout(TIMEOUT, listener.accept()).await.expect("in time");
    let (mut target, _) = accepted.expect("a connection");
    assert_eq!(
        timeout(TIMEOUT, target.read_u8())
            .await
            .expect("in time")
            .expect("read"),
        b'1'
    );
}
