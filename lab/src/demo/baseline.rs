//! What a proxy adds to a request: the same client straight at the database, over the
//! same links, turn by turn with the client at the proxy.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use hookpoint_workload::connection::{ClientConnection, Credentials, Failure, TokenDelivery};
use hookpoint_workload::deployment::Application;
use hookpoint_workload::history::{SessionNumber, WriteKind};
use hookpoint_workload::sql::{self, EntryWrite};
use serde::Serialize;

/// Session numbers of the baseline's rows, beyond those of the workload.
const DIRECT_SESSION: SessionNumber = SessionNumber(900_001);
const PROXIED_SESSION: SessionNumber = SessionNumber(900_002);
/// Longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Turns before the measured ones.
const WARM_UP_TURNS: u64 = 10;
/// Rows that a read asks for.
const READ_LIMIT: usize = 20;

/// Where the baseline's client connects to.
#[derive(Clone, Debug)]
pub struct BaselineAddresses {
    /// The nearest database, for reads.
    pub direct_read: SocketAddr,
    /// The primary, for writes.
    pub direct_write: SocketAddr,
    /// The proxy of the client's zone.
    pub proxied: SocketAddr,
}

/// Median latencies of one kind of request.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PairedLatency {
    /// Pairs measured.
    pub pairs: usize,
    /// Median straight at the database, in milliseconds.
    pub direct_p50_ms: f64,
    /// Median through the proxy, in milliseconds.
    pub proxied_p50_ms: f64,
    /// Median of the differences within the pairs, in milliseconds.
    pub added_p50_ms: f64,
}

/// What was measured.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Baseline {
    /// Reads: straight at the nearest database, and through the proxy.
    pub reads: PairedLatency,
    /// Writes: straight at the primary, and through the proxy, which waits for a
    /// majority besides.
    pub writes: PairedLatency,
}

/// A client of the baseline, with its sequence.
struct Caller {
    connection: ClientConnection,
    session: SessionNumber,
    application: Application,
    sequence: u64,
}

/// Measures `turns` reads and `turns` writes each way.
///
/// # Errors
/// When a connection or a request fails; the run is quiet then.
pub async fn measure(
    addresses: &BaselineAddresses,
    direct: &Credentials,
    proxied: &Credentials,
    application: Application,
    turns: u64,
) -> anyhow::Result<Baseline> {
    let open =
        |address, credentials, session| Caller::open(address, credentials, session, application);
    let mut direct_read = open(addresses.direct_read, direct, DIRECT_SESSION).await?;
    let mut direct_write = open(addresses.direct_write, direct, DIRECT_SESSION).await?;
    let mut through = open(addresses.proxied, proxied, PROXIED_SESSION).await?;
    let mut reads = Vec::new();
    let mut writes = Vec::new();
    for turn in 0..WARM_UP_TURNS + turns {
        let read = (direct_read.read().await?, through.read().await?);
        let write = (direct_write.write().await?, through.write().await?);
        if turn >= WARM_UP_TURNS {
            reads.push(read);
            writes.push(write);
        }
    }
    Ok(Baseline {
        reads: paired(&reads),
        writes: paired(&writes),
    })
}

impl Caller {
    async fn open(
        address: SocketAddr,
        credentials: &Credentials,
        session: SessionNumber,
        application: Application,
    ) -> anyhow::Result<Self> {
        let none = TokenDelivery::None;
        let connection = ClientConnection::open(address, credentials, &none, PATIENCE)
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

fn paired(pairs: &[(Duration, Duration)]) -> PairedLatency {
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

/// The median of `values`; 0 of none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
