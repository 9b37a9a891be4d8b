//! Measures the latency that a proxy adds to a request: the same requests are sent
//! alternately directly to the database, over the same links, and through the proxy.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use hookpoint_workload::connection::{ClientConnection, Credentials, Failure, TokenDelivery};
use hookpoint_workload::deployment::Application;
use hookpoint_workload::history::{SessionNumber, WriteKind};
use hookpoint_workload::sql::{self, EntryWrite};
use serde::Serialize;

/// Session number of the rows written directly; higher than those of the workload.
const DIRECT_SESSION: SessionNumber = SessionNumber(900_001);
/// Session number of the rows written through the proxy; higher than those of the
/// workload.
const PROXIED_SESSION: SessionNumber = SessionNumber(900_002);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Rounds before the measured ones.
const WARM_UP_ROUNDS: u64 = 10;
/// Maximum number of rows that a read requests.
const READ_LIMIT: usize = 20;

/// Addresses that the baseline's clients connect to.
#[derive(Clone, Debug)]
pub struct BaselineAddresses {
    /// Database in the client's zone, for direct reads.
    pub direct_read: SocketAddr,
    /// Primary, for direct writes.
    pub direct_write: SocketAddr,
    /// Proxy of the client's zone.
    pub proxied: SocketAddr,
}

/// Median latencies of reads or of writes, measured in pairs.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PairedLatency {
    /// Number of pairs measured.
    pub pairs: usize,
    /// Median latency directly on the database, in milliseconds.
    pub direct_p50_ms: f64,
    /// Median latency through the proxy, in milliseconds.
    pub proxied_p50_ms: f64,
    /// Median of the differences within the pairs, in milliseconds.
    pub added_p50_ms: f64,
}

/// Latencies with and without a proxy.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Baseline {
    /// Reads, directly from the database of the client's zone and through the proxy.
    pub reads: PairedLatency,
    /// Writes, directly to the primary and through the proxy, which also waits for a
    /// majority.
    pub writes: PairedLatency,
}

/// A client of the baseline, with the sequence number of its last write.
struct BaselineClient {
    connection: ClientConnection,
    session: SessionNumber,
    application: Application,
    sequence: u64,
}

/// Measures `rounds` reads and `rounds` writes on each path.
///
/// # Errors
/// Fails if a connection or a request fails. No faults are injected at this time.
pub async fn measure(
    addresses: &BaselineAddresses,
    direct: &Credentials,
    proxied: &Credentials,
    application: Application,
    rounds: u64,
) -> anyhow::Result<Baseline> {
    let open = |address, credentials, session| {
        BaselineClient::open(address, credentials, session, application)
    };
    let mut direct_read = open(addresses.direct_read, direct, DIRECT_SESSION).await?;
    let mut direct_write = open(addresses.direct_write, direct, DIRECT_SESSION).await?;
    let mut proxied_client = open(addresses.proxied, proxied, PROXIED_SESSION).await?;
    let mut reads = Vec::new();
    let mut writes = Vec::new();
    for round in 0..WARM_UP_ROUNDS + rounds {
        let read = (direct_read.read().await?, proxied_client.read().await?);
        let write = (direct_write.write().await?, proxied_client.write().await?);
        if round >= WARM_UP_ROUNDS {
            reads.push(read);
            writes.push(write);
        }
    }
    Ok(Baseline {
        reads: paired_latency(&reads),
        writes: paired_latency(&writes),
    })
}

impl BaselineClient {
    async fn open(
        address: SocketAddr,
        credentials: &Credentials,
        session: SessionNumber,
        application: Application,
    ) -> anyhow::Result<Self> {
        let none = TokenDelivery::None;
        let connection = ClientConnection::open(address, credentials, &none, REQUEST_TIMEOUT)
            .await
            .with_context(|| format!("the baseline cannot connect to {address}"))?;
        Ok(Self {
            connection,
            session,
            application,
            sequence: 0,
        })
    }

    async fn read(&mut self) -> Result<Duration, Failure> {
        let statement = sql::read_own(self.application, self.session, "baseline", READ_LIMIT);
        self.timed(&statement).await
    }

    async fn write(&mut self) -> Result<Duration, Failure> {
        self.sequence += 1;
        let statement = EntryWrite {
            session: self.session,
            sequence: self.sequence,
            attempt: 1,
            kind: WriteKind::Reply,
            request: None,
        }
        .statement(self.application);
        self.timed(&statement).await
    }

    async fn timed(&mut self, statement: &str) -> Result<Duration, Failure> {
        let started = Instant::now();
        self.connection.simple(statement).await?;
        Ok(started.elapsed())
    }
}

fn paired_latency(pairs: &[(Duration, Duration)]) -> PairedLatency {
    let milliseconds = |duration: &Duration| duration.as_secs_f64() * 1_000.0;
    let direct = pairs.iter().map(|(direct, _)| milliseconds(direct));
    let proxied = pairs.iter().map(|(_, proxied)| milliseconds(proxied));
    let added = pairs
        .iter()
        .map(|(direct, proxied)| milliseconds(proxied) - milliseconds(direct));
    PairedLatency {
        pairs: pairs.len(),
        direct_p50_ms: median(direct.collect()),
        proxied_p50_ms: median(proxied.collect()),
        added_p50_ms: median(added.collect()),
    }
}

/// Returns the median of `values`, the upper one of two, or 0 if there are none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
