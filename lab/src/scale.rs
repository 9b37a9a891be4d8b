//! What control costs a node, over the size of the fleet: real proxies beside hollow
//! nodes on real sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{anyhow, bail};
use hookpoint::proxy::fleet_key;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::TrustedKeys;
use hookpoint_transport::peer::FleetCounters;
use hookpoint_workload::deployment::Deployment;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::bundles::{on_actix, operator_key};
use crate::fleet::FLEET_KEY;
use crate::hollow::HollowNode;
use crate::laboratory::{Laboratory, LaboratoryOptions};
use crate::process::ProcessUse;

/// Longest wait for all nodes to know each other.
const JOIN_WAIT: Duration = Duration::from_secs(60);
/// Longest wait for a bundle to be in force on all nodes.
const SPREAD_WAIT: Duration = Duration::from_secs(30);
/// Pause between two looks.
const POLL_PAUSE: Duration = Duration::from_millis(10);
/// Hollow nodes started at the same time.
const START_BATCH: usize = 10;
/// Time for a fleet that has grown to settle.
const SETTLE: Duration = Duration::from_secs(3);

/// What is measured.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Deployment whose proxies are real.
    pub deployment: Arc<Deployment>,
    /// Numbers of hollow nodes, rising.
    pub sizes: Vec<usize>,
    /// Time of each measurement.
    pub window: Duration,
}

/// One size.
#[derive(Clone, Debug, Serialize)]
pub struct ScalePoint {
    /// Hollow nodes.
    pub hollow: usize,
    /// All nodes, the real proxies included.
    pub nodes: usize,
    /// Time from the start of the last batch to every hollow node knowing all others.
    pub joined_ms: f64,
    /// Datagrams that a hollow node sent a second.
    pub datagrams_per_second: f64,
    /// Bytes of them, without IP and UDP headers.
    pub datagram_bytes_per_second: f64,
    /// Processor time of the whole process a second, in percent of a core.
    pub processor_percent: f64,
    /// Resident memory of the whole process.
    pub resident_bytes: u64,
    /// From the operator's confirmation of a bundle to its being in force everywhere.
    pub bundle_everywhere_ms: f64,
}

/// A fitted line through the sizes.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Slope {
    /// Growth for each node.
    pub per_node: f64,
    /// Value without a node.
    pub base: f64,
    /// Share of the variation that the line explains.
    pub fit: f64,
}

/// All sizes.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// The sizes.
    pub points: Vec<ScalePoint>,
    /// Processor percent over nodes.
    pub processor_percent: Slope,
    /// Resident bytes over nodes.
    pub resident_bytes: Slope,
    /// Bytes a second that one node sends, over nodes.
    pub datagram_bytes_per_second: Slope,
}

/// What the thread of the hollow nodes is asked.
enum Request {
    /// Grow to this number; answers how long they took to know each other.
    Grow(usize, oneshot::Sender<anyhow::Result<Duration>>),
    /// The sums of all counters.
    Count(oneshot::Sender<Totals>),
    /// Wait until this version is in force everywhere.
    Await(BundleVersion, oneshot::Sender<anyhow::Result<()>>),
}

/// Sums over the hollow nodes.
#[derive(Clone, Copy, Default)]
struct Totals {
    datagrams: u64,
    bytes: u64,
}

/// Measures all sizes.
///
/// # Errors
/// When nodes do not start or do not find each other.
pub async fn measure(settings: &ScaleSettings) -> anyhow::Result<ScaleReport> {
    let laboratory =
        Laboratory::start(settings.deployment.clone(), LaboratoryOptions::default()).await?;
    let real = laboratory.fleet.shared().len();
    let (requests, receiver) = mpsc::channel(1);
    let deployment = settings.deployment.clone();
    let seeds = laboratory.fleet.peer_addresses();
    let nodes = tokio::spawn(on_actix(move || serve(receiver, deployment, seeds, real)));
    let mut points = Vec::new();
    for size in &settings.sizes {
        points.push(measure_size(&laboratory, &requests, *size, real, settings.window).await?);
    }
    drop(requests);
    nodes.await??;
    Ok(report_of(points))
}

async fn measure_size(
    laboratory: &Laboratory,
    requests: &mpsc::Sender<Request>,
    hollow: usize,
    real: usize,
    window: Duration,
) -> anyhow::Result<ScalePoint> {
    let joined = ask(requests, |answer| Request::Grow(hollow, answer)).await??;
    tokio::time::sleep(SETTLE).await;
    let before = ask(requests, Request::Count).await?;
    let used_before = ProcessUse::own()?;
    let began = Instant::now();
    tokio::time::sleep(window).await;
    let after = ask(requests, Request::Count).await?;
    let used = ProcessUse::own()?;
    let seconds = began.elapsed().as_secs_f64();
    let (version, _) = laboratory.roll("rolled to measure its spread").await?;
    let rolled = Instant::now();
    ask(requests, |answer| Request::Await(version, answer)).await??;
    let spread = rolled.elapsed();
    let each = hollow as f64 * seconds;
    let processor = used
        .processor_time
        .saturating_sub(used_before.processor_time);
    let point = ScalePoint {
        hollow,
        nodes: hollow + real,
        joined_ms: joined.as_secs_f64() * 1_000.0,
        datagrams_per_second: (after.datagrams - before.datagrams) as f64 / each,
        datagram_bytes_per_second: (after.bytes - before.bytes) as f64 / each,
        processor_percent: processor.as_secs_f64() / seconds * 100.0,
        resident_bytes: used.resident_bytes,
        bundle_everywhere_ms: spread.as_secs_f64() * 1_000.0,
    };
    eprintln!("scale: {point:?}.");
    Ok(point)
}

async fn ask<T>(
    requests: &mpsc::Sender<Request>,
    request: impl FnOnce(oneshot::Sender<T>) -> Request,
) -> anyhow::Result<T> {
    let (answer, answered) = oneshot::channel();
    let gone = || anyhow!("the hollow nodes are gone");
    requests.send(request(answer)).await.map_err(|_| gone())?;
    answered.await.map_err(|_| gone())
}

/// Runs the hollow nodes. An asker that is gone needs no answer.
async fn serve(
    mut requests: mpsc::Receiver<Request>,
    deployment: Arc<Deployment>,
    seeds: Vec<SocketAddr>,
    real: usize,
) -> anyhow::Result<()> {
    let mut nodes: Vec<HollowNode> = Vec::new();
    while let Some(request) = requests.recv().await {
        match request {
            Request::Grow(size, answer) => {
                let grown = grow(&mut nodes, size, &deployment, &seeds, real).await;
                let _ = answer.send(grown);
            }
            Request::Count(answer) => {
                let _ = answer.send(total_of(&nodes));
            }
            Request::Await(version, answer) => {
                let _ = answer.send(wait_for_version(&nodes, version).await);
            }
        }
    }
    nodes.iter().for_each(HollowNode::stop);
    Ok(())
}

async fn grow(
    nodes: &mut Vec<HollowNode>,
    size: usize,
    deployment: &Deployment,
    seeds: &[SocketAddr],
    real: usize,
) -> anyhow::Result<Duration> {
    let trusted = TrustedKeys::read(&[operator_key().public_text()])
        .map_err(|(_, error)| anyhow!("the operator's key: {error}"))?;
    while nodes.len() < size {
        for _ in 0..START_BATCH.min(size - nodes.len()) {
            let zone = &deployment.zones[nodes.len() % deployment.zones.len()];
            let key = fleet_key(&FLEET_KEY)?;
            nodes.push(HollowNode::start(zone, key, seeds, trusted.clone())?);
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    let begin = Instant::now();
    let others = size + real - 1;
    while nodes.iter().any(|node| node.members() < others) {
        if begin.elapsed() > JOIN_WAIT {
            let least = nodes.iter().map(HollowNode::members).min();
            bail!("a node knows only {least:?} of {others} others");
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Ok(begin.elapsed())
}

async fn wait_for_version(nodes: &[HollowNode], version: BundleVersion) -> anyhow::Result<()> {
    let begin = Instant::now();
    while nodes.iter().any(|node| node.version() < Some(version)) {
        if begin.elapsed() > SPREAD_WAIT {
            bail!("bundle {} is not in force on all hollow nodes", version.0);
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Ok(())
}

fn total_of(nodes: &[HollowNode]) -> Totals {
    let counters = nodes.iter().map(HollowNode::counters);
    counters.fold(Totals::default(), |sum, node: FleetCounters| Totals {
        datagrams: sum.datagrams + node.datagrams_sent,
        bytes: sum.bytes + node.datagram_bytes_sent,
    })
}

fn report_of(points: Vec<ScalePoint>) -> ScaleReport {
    let line = |of: fn(&ScalePoint) -> f64| {
        let pairs: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (point.nodes as f64, of(point)))
            .collect();
        slope_of(&pairs)
    };
    ScaleReport {
        processor_percent: line(|point| point.processor_percent),
        resident_bytes: line(|point| point.resident_bytes as f64),
        datagram_bytes_per_second: line(|point| point.datagram_bytes_per_second),
        points,
    }
}

/// The line of least squares through `pairs`.
pub fn slope_of(pairs: &[(f64, f64)]) -> Slope {
    let count = pairs.len().max(1) as f64;
    let mean_x = pairs.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = pairs.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products = pairs.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let covariance: f64 = products.sum();
    let spread_x: f64 = pairs.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let spread_y: f64 = pairs.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let per_node = if spread_x > 0.0 {
        covariance / spread_x
    } else {
        0.0
    };
    let fit = if spread_x > 0.0 && spread_y > 0.0 {
        covariance.powi(2) / (spread_x * spread_y)
    } else {
        1.0
    };
    Slope {
        per_node,
        base: mean_y - per_node * mean_x,
        fit,
    }
}
