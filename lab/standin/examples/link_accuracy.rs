//! Measures how much a relayed round trip exceeds twice the configured latency,
//! and the throughput of one relayed connection.
//!
//! `cargo run --release --locked -p hookpoint-standin --example link_accuracy`

use hookpoint_standin::links::{Latencies, LinkProxy, LinkSettings, RegionSpacing, ZoneLinks};
use std::error::Error;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ROUND_TRIPS: usize = 2000;
const TOTAL_BYTES: usize = 256 << 20;
const BLOCK_BYTES: usize = 64 << 10;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("one-way latency | excess of a round trip: p50, p99 | MB a second");
    for micros in [0, 500, 1_500, 3_000, 20_000] {
        let latency = Duration::from_micros(micros);
        let (_proxy, mut caller, mut target) = connect(latency).await?;
        let excess = round_trips(&mut caller, &mut target, latency).await?;
        let rate = throughput(caller, target).await?;
        let at = |fraction: f64| excess[(fraction * (excess.len() - 1) as f64) as usize];
        println!("{latency:?} | {:?}, {:?} | {rate:.0}", at(0.5), at(0.99));
    }
    Ok(())
}

async fn connect(latency: Duration) -> Result<(LinkProxy, TcpStream, TcpStream), Box<dyn Error>> {
    let latencies = Latencies {
        same_zone: Duration::ZERO,
        between_zones: latency,
        between_regions: latency,
        to_clients: latency,
    };
    let links = ZoneLinks::new(
        &[("a", "r"), ("b", "r")],
        latencies,
        RegionSpacing::UseZoneLatency,
    );
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let settings = LinkSettings::new("a", "b", Some(listener.local_addr()?));
    let proxy = LinkProxy::start(&links, settings)?;
    let caller = TcpStream::connect(proxy.address()).await?;
    caller.set_nodelay(true)?;
    let (target, _) = listener.accept().await?;
    target.set_nodelay(true)?;
    Ok((proxy, caller, target))
}

/// Returns how much each round trip exceeds twice the latency, in ascending order.
async fn round_trips(
    caller: &mut TcpStream,
    target: &mut TcpStream,
    latency: Duration,
) -> std::io::Result<Vec<Duration>> {
    let count = match latency.as_millis() {
        0..5 => ROUND_TRIPS,
        _ => ROUND_TRIPS / 10,
    };
    let mut excess = Vec::with_capacity(count);
    let mut buffer = [0; 64];
    for _ in 0..count {
        let sent = Instant::now();
        caller.write_all(&buffer).await?;
        target.read_exact(&mut buffer).await?;
        target.write_all(&buffer).await?;
        caller.read_exact(&mut buffer).await?;
        excess.push(sent.elapsed().saturating_sub(2 * latency));
    }
    excess.sort();
    // Drops the greatest value: the first round trip includes the time of
    // connecting.
    excess.pop();
    Ok(excess)
}

/// Returns the throughput from the caller to the target, in megabytes per second.
async fn throughput(mut caller: TcpStream, mut target: TcpStream) -> std::io::Result<f64> {
    let start = Instant::now();
    let sending = async {
        let block = vec![0; BLOCK_BYTES];
        for _ in 0..TOTAL_BYTES / BLOCK_BYTES {
            caller.write_all(&block).await?;
        }
        caller.shutdown().await
    };
    let receiving = async {
        let mut buffer = vec![0; BLOCK_BYTES];
        while target.read(&mut buffer).await? > 0 {}
        Ok(())
    };
    tokio::try_join!(sending, receiving)?;
    Ok(TOTAL_BYTES as f64 / 1e6 / start.elapsed().as_secs_f64())
}
