//! Load on any PostgreSQL address, with latencies that a stalled server cannot hide.
//!
//! In the open loop every request has an intended start, drawn ahead of the run; its
//! latency counts from there, however late it could be sent. In the closed loop a
//! session sends its next request a fixed interval after the last one, and a slow
//! answer also counts for the requests that it kept from being sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::connection::{ClientConnection, Credentials, Failure, TokenDelivery};
use crate::deployment::Application;
use crate::history::{SessionNumber, WriteKind};
use crate::sql::{self, EntryWrite};

/// Highest latency that the histograms tell apart, in microseconds.
const HIGHEST_MICROS: u64 = 600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Rows that a read asks for.
const READ_LIMIT: usize = 20;
/// Connections opened at the same time at the start.
const CONNECT_CONCURRENCY: usize = 64;
/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pacing {
    /// At Poisson arrivals of this many requests a second over all sessions.
    Open {
        /// Requests a second.
        rate: f64,
    },
    /// By each session this long after the answer before; zero for no pause.
    Closed {
        /// The pause.
        pause: Duration,
    },
}

/// What requests are made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// Shops of the messaging deployment: 55% writes.
    Messaging,
    /// Customers and readers of the metering deployment: 5% writes.
    Metering,
    /// Reads of the session's own rows.
    Reads,
    /// Writes of one row.
    Writes,
    /// A read that touches no table.
    Trivial,
}

impl Mix {
    /// The mix of that name.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "messaging" => Some(Mix::Messaging),
            "metering" => Some(Mix::Metering),
            "reads" => Some(Mix::Reads),
            "writes" => Some(Mix::Writes),
            "trivial" => Some(Mix::Trivial),
            _ => None,
        }
    }

    fn write_share(self) -> f64 {
        match self {
            Mix::Messaging => 0.55,
            Mix::Metering => 0.05,
            Mix::Reads | Mix::Trivial => 0.0,
            Mix::Writes => 1.0,
        }
    }
}

/// A load to put on.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Addresses, used in turn by the sessions.
    pub addresses: Vec<SocketAddr>,
    /// Whom to connect as.
    pub credentials: Credentials,
    /// Tables that the mix works on.
    pub application: Application,
    /// When requests are sent.
    pub pacing: Pacing,
    /// What they are made of.
    pub mix: Mix,
    /// Sessions that send requests.
    pub sessions: usize,
    /// Sessions that stay connected and send nothing.
    pub idle_sessions: usize,
    /// Time before the measurement.
    pub warm_up: Duration,
    /// Time of the measurement.
    pub duration: Duration,
    /// Seed of all chance.
    pub seed: u64,
}

/// Why a load could not be put on.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No address was given.
    #[error("no address was given")]
    NoAddress,
    /// A session could not connect.
    #[error("a session could not connect: {0}")]
    Connect(#[from] Failure),
    /// The histogram could not be made.
    #[error("the histogram could not be made: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Latencies of one kind of request, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Requests measured.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Longest.
    pub max_ms: f64,
}

impl Latency {
    /// The summary of `histogram`, which counts microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            count: histogram.len(),
            mean_ms: histogram.mean() / 1_000.0,
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            max_ms: histogram.max() as f64 / 1_000.0,
        }
    }
}

/// What a load met.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Sessions that sent requests.
    pub sessions: usize,
    /// Sessions that stayed idle.
    pub idle_sessions: usize,
    /// Seconds of the measurement.
    pub seconds: f64,
    /// Requests answered a second.
    pub answered_per_second: f64,
    /// Requests that failed.
    pub failed: u64,
    /// All requests.
    pub all: Latency,
    /// Reads.
    pub reads: Latency,
    /// Writes.
    pub writes: Latency,
    /// Latency as (percentile, milliseconds), for curves.
    pub curve: Vec<(f64, f64)>,
}

impl LoadReport {
    /// The report as a table for a terminal.
    pub fn table(&self) -> String {
        let mut lines = vec![format!(
            "{} sessions, {} idle, {:.1} s: {:.0} answered a second, {} failed",
            self.sessions, self.idle_sessions, self.seconds, self.answered_per_second, self.failed
        )];
        lines.push(format!(
            "{:<8}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}",
            "kind", "count", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms", "max ms"
        ));
        for (name, latency) in [
            ("all", &self.all),
            ("reads", &self.reads),
            ("writes", &self.writes),
        ] {
            lines.push(format!(
                "{name:<8}{:>10}{:>10.3}{:>10.3}{:>10.3}{:>10.3}{:>10.3}",
                latency.count,
                latency.p50_ms,
                latency.p90_ms,
                latency.p99_ms,
                latency.p999_ms,
                latency.max_ms
            ));
        }
        lines.join("\n")
    }
}

/// Running counts, for progress on a terminal.
#[derive(Debug, Default)]
pub struct Progress {
    /// Sessions connected.
    pub connected: AtomicU64,
    /// Requests answered.
    pub answered: AtomicU64,
    /// Requests failed.
    pub failed: AtomicU64,
}

struct Measured {
    reads: Histogram<u64>,
    writes: Histogram<u64>,
    failed: u64,
}

impl Measured {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            reads: histogram()?,
            writes: histogram()?,
            failed: 0,
        })
    }

    fn add(&mut self, other: &Measured) {
        self.reads += &other.reads;
        self.writes += &other.writes;
        self.failed += other.failed;
    }
}

/// A histogram of microseconds.
///
/// # Errors
/// Never with the constants of this module; the library cannot say so.
pub fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS)
}

/// Puts the load on and measures it.
///
/// # Errors
/// A [`LoadError`] when the sessions cannot be set up; failed requests are counted.
pub async fn run(settings: LoadSettings, progress: Arc<Progress>) -> Result<LoadReport, LoadError> {
    if settings.addresses.is_empty() {
        return Err(LoadError::NoAddress);
    }
    let total = settings.sessions + settings.idle_sessions;
    let mut connections = connect_all(&settings, total, &progress).await?;
    let idle = connections.split_off(settings.sessions);
    let total = Arc::new(Mutex::new(Measured::new()?));
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    for (index, connection) in connections.into_iter().enumerate() {
        let session = LoadSession::new(&settings, index, connection, begin, progress.clone())?;
        let total = total.clone();
        tasks.spawn(async move {
            let measured = session.run().await;
            total.lock().add(&measured);
        });
    }
    while tasks.join_next().await.is_some() {}
    drop(idle);
    let measured = total.lock();
    Ok(report(&settings, &measured))
}

async fn connect_all(
    settings: &LoadSettings,
    total: usize,
    progress: &Arc<Progress>,
) -> Result<Vec<ClientConnection>, LoadError> {
    let permits = Arc::new(tokio::sync::Semaphore::new(CONNECT_CONCURRENCY));
    let mut tasks = JoinSet::new();
    for index in 0..total {
        let address = settings.addresses[index % settings.addresses.len()];
        let credentials = settings.credentials.clone();
        let permits = permits.clone();
        let progress = progress.clone();
        tasks.spawn(async move {
            let _permit = permits.acquire_owned().await;
            let none = TokenDelivery::None;
            let opened = ClientConnection::open(address, &credentials, &none, PATIENCE).await;
            progress.connected.fetch_add(1, Ordering::Relaxed);
            opened
        });
    }
    let mut connections = Vec::with_capacity(total);
    while let Some(joined) = tasks.join_next().await {
        if let Ok(opened) = joined {
            connections.push(opened?);
        }
    }
    Ok(connections)
}

struct LoadSession {
    connection: ClientConnection,
    number: SessionNumber,
    application: Application,
    mix: Mix,
    pacing: Pacing,
    mean_gap: Duration,
    measure_from: Instant,
    end: Instant,
    random: ChaCha8Rng,
    next_sequence: u64,
    measured: Measured,
    progress: Arc<Progress>,
}

impl LoadSession {
    fn new(
        settings: &LoadSettings,
        index: usize,
        connection: ClientConnection,
        begin: Instant,
        progress: Arc<Progress>,
    ) -> Result<Self, LoadError> {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(index as u64);
        let mean_gap = match settings.pacing {
            Pacing::Open { rate } => {
                Duration::from_secs_f64(settings.sessions as f64 / rate.max(1e-3))
            }
            Pacing::Closed { pause } => pause,
        };
        let measure_from = begin + settings.warm_up;
        Ok(Self {
            connection,
            number: SessionNumber(index as u32 + 1),
            application: settings.application,
            mix: settings.mix,
            pacing: settings.pacing,
            mean_gap,
            measure_from,
            end: measure_from + settings.duration,
            random,
            next_sequence: 1,
            measured: Measured::new()?,
            progress,
        })
    }

    async fn run(mut self) -> Measured {
        let mut intended = Instant::now() + self.gap();
        while intended < self.end {
            sleep_until(intended).await;
            let start = match self.pacing {
                Pacing::Open { .. } => intended,
                Pacing::Closed { .. } => Instant::now(),
            };
            if !self.request(start).await {
                break;
            }
            intended = match self.pacing {
                Pacing::Open { .. } => intended + self.gap(),
                Pacing::Closed { .. } => Instant::now() + self.gap(),
            };
        }
        self.measured
    }

    /// Sends one request; false when the connection is gone.
    async fn request(&mut self, start: Instant) -> bool {
        let write = self.random.random_bool(self.mix.write_share());
        let statement = self.statement(write);
        let answer = self.connection.simple(&statement).await;
        let failed = answer.is_err();
        if start >= self.measure_from {
            self.record(write, start.elapsed(), failed);
        }
        let counter = match failed {
            true => &self.progress.failed,
            false => &self.progress.answered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        !self.connection.is_closed()
    }

    fn record(&mut self, write: bool, latency: Duration, failed: bool) {
        if failed {
            self.measured.failed += 1;
            return;
        }
        let micros = (latency.as_micros() as u64).clamp(1, HIGHEST_MICROS);
        let histogram = match write {
            true => &mut self.measured.writes,
            false => &mut self.measured.reads,
        };
        let interval = match self.pacing {
            Pacing::Open { .. } => 0,
            Pacing::Closed { pause } => pause.as_micros() as u64,
        };
        // The value is within the bounds, so recording cannot fail.
        let _ = match interval {
            0 => histogram.record(micros),
            interval => histogram.record_correct(micros, interval),
        };
    }

    fn statement(&mut self, write: bool) -> String {
        let nonce = self.next_sequence.to_string();
        if write {
            let sequence = self.next_sequence;
            self.next_sequence += 1;
            return EntryWrite {
                session: self.number,
                sequence,
                attempt: 1,
                kind: WriteKind::Reply,
                request: None,
            }
            .statement(self.application);
        }
        match self.mix {
            Mix::Trivial => format!("select '{nonce}' as echo"),
            _ => sql::read_own(self.application, self.number, &nonce, READ_LIMIT),
        }
    }

    fn gap(&mut self) -> Duration {
        match self.pacing {
            Pacing::Open { .. } => {
                let draw: f64 = self.random.random_range(1e-12..1.0);
                self.mean_gap.mul_f64(-draw.ln())
            }
            Pacing::Closed { pause } => pause,
        }
    }
}

fn report(settings: &LoadSettings, measured: &Measured) -> LoadReport {
    let mut all = measured.reads.clone();
    all += &measured.writes;
    let seconds = settings.duration.as_secs_f64();
    let curve = all
        .iter_quantiles(1)
        .map(|point| {
            let quantile = point.quantile_iterated_to() * 100.0;
            (quantile, point.value_iterated_to() as f64 / 1_000.0)
        })
        .collect();
    LoadReport {
        sessions: settings.sessions,
        idle_sessions: settings.idle_sessions,
        seconds,
        answered_per_second: all.len() as f64 / seconds.max(1e-9),
        failed: measured.failed,
        all: Latency::of(&all),
        reads: Latency::of(&measured.reads),
        writes: Latency::of(&measured.writes),
        curve,
    }
}
