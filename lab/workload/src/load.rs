//! Load generator for any PostgreSQL address. Latencies are corrected for coordinated
//! omission, so a stalled server cannot hide them.
//!
//! In the open loop every request has an intended start, drawn independently of earlier
//! answers; its latency counts from there, however late it is sent. In the closed loop a
//! session sends its next request a fixed pause after the last answer, and a slow answer
//! also counts for the requests that it prevented from being sent. Without a pause there is
//! no such correction.

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

/// Highest latency that the histograms record, in microseconds. Higher values are clamped.
const MAXIMUM_LATENCY_MICROS: u64 = 600_000_000;
/// Number of significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of rows requested by a read.
const READ_LIMIT: usize = 20;
/// Maximum number of connections opened concurrently at the start.
const CONNECT_CONCURRENCY: usize = 64;
/// Timeout of connecting and of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// When requests are sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pacing {
    /// Open loop: Poisson arrivals with this rate over all sessions.
    Open {
        /// Requests per second.
        rate: f64,
    },
    /// Closed loop: each session sends its next request this long after the previous
    /// answer.
    Closed {
        /// Pause between an answer and the next request; zero for no pause.
        pause: Duration,
    },
}

/// The mix of requests of a load.
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
    /// Returns the mix called `name`; `None` when there is none.
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

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Server addresses, assigned to the sessions round-robin.
    pub addresses: Vec<SocketAddr>,
    /// User, password and database of the connections.
    pub credentials: Credentials,
    /// Application whose tables the requests use.
    pub application: Application,
    /// When requests are sent.
    pub pacing: Pacing,
    /// Mix of requests.
    pub mix: Mix,
    /// Number of sessions that send requests.
    pub sessions: usize,
    /// Number of sessions that stay connected without sending requests.
    pub idle_sessions: usize,
    /// Time under load before the measurement starts.
    pub warm_up: Duration,
    /// Duration of the measurement.
    pub duration: Duration,
    /// Seed of the random number generators; each session uses its own stream of it.
    pub seed: u64,
}

/// Why a load could not be run.
#[derive(Debug, Error)]
pub enum LoadError {
    /// No address was given.
    #[error("no address was given")]
    NoAddress,
    /// A session could not connect.
    #[error("a session could not connect: {0}")]
    Connect(#[from] Failure),
    /// A histogram could not be created.
    #[error("a histogram could not be created: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
}

/// Latencies of one kind of request, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of requests measured.
    pub count: u64,
    /// Mean latency.
    pub mean_ms: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Highest latency.
    pub max_ms: f64,
}

impl Latency {
    /// Summarizes `histogram`, whose values are in microseconds.
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

/// The results of a load.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Number of sessions that sent requests.
    pub sessions: usize,
    /// Number of sessions that stayed idle.
    pub idle_sessions: usize,
    /// Duration of the measurement in seconds.
    pub seconds: f64,
    /// Requests answered per second.
    pub answered_per_second: f64,
    /// Number of requests that failed.
    pub failed: u64,
    /// Latency of all requests.
    pub all: Latency,
    /// Latency of reads.
    pub reads: Latency,
    /// Latency of writes.
    pub writes: Latency,
    /// Latency distribution as (percentile, milliseconds), for plots.
    pub curve: Vec<(f64, f64)>,
}

impl LoadReport {
    /// Formats the report as a table for a terminal.
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

/// Counters updated during a load, for a progress display.
#[derive(Debug, Default)]
pub struct Progress {
    /// Connection attempts completed.
    pub connected: AtomicU64,
    /// Requests answered, including those of the warm-up.
    pub answered: AtomicU64,
    /// Requests failed, including those of the warm-up.
    pub failed: AtomicU64,
}

struct Measurements {
    reads: Histogram<u64>,
    writes: Histogram<u64>,
    failed: u64,
}

impl Measurements {
    fn new() -> Result<Self, hdrhistogram::CreationError> {
        Ok(Self {
            reads: histogram()?,
            writes: histogram()?,
            failed: 0,
        })
    }

    fn add(&mut self, other: &Measurements) {
        self.reads += &other.reads;
        self.writes += &other.writes;
        self.failed += other.failed;
    }
}

/// Creates an empty histogram of microseconds.
///
/// # Errors
/// Never, since the constants of this module are valid bounds; the library's signature
/// requires the `Result`.
pub fn histogram() -> Result<Histogram<u64>, hdrhistogram::CreationError> {
    Histogram::new_with_bounds(1, MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS)
}

/// Runs the load and measures it.
///
/// # Errors
/// A [`LoadError`] when the sessions cannot be set up. Failed requests are counted in the
/// report instead.
pub async fn run(settings: LoadSettings, progress: Arc<Progress>) -> Result<LoadReport, LoadError> {
    if settings.addresses.is_empty() {
        return Err(LoadError::NoAddress);
    }
    let total = settings.sessions + settings.idle_sessions;
    let mut connections = connect_all(&settings, total, &progress).await?;
    let idle = connections.split_off(settings.sessions);
    let total = Arc::new(Mutex::new(Measurements::new()?));
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
            let opened =
                ClientConnection::open(address, &credentials, &none, REQUEST_TIMEOUT).await;
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
    mean_interval: Duration,
    measure_from: Instant,
    end: Instant,
    random: ChaCha8Rng,
    next_sequence: u64,
    measured: Measurements,
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
        let mean_interval = match settings.pacing {
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
            mean_interval,
            measure_from,
            end: measure_from + settings.duration,
            random,
            next_sequence: 1,
            measured: Measurements::new()?,
            progress,
        })
    }

    async fn run(mut self) -> Measurements {
        let mut intended = Instant::now() + self.draw_interval();
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
                Pacing::Open { .. } => intended + self.draw_interval(),
                Pacing::Closed { .. } => Instant::now() + self.draw_interval(),
            };
        }
        self.measured
    }

    /// Sends one request. Returns false when the connection is closed.
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
        let micros = (latency.as_micros() as u64).clamp(1, MAXIMUM_LATENCY_MICROS);
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

    fn draw_interval(&mut self) -> Duration {
        match self.pacing {
            Pacing::Open { .. } => {
                let draw: f64 = self.random.random_range(1e-12..1.0);
                self.mean_interval.mul_f64(-draw.ln())
            }
            Pacing::Closed { pause } => pause,
        }
    }
}

fn report(settings: &LoadSettings, measured: &Measurements) -> LoadReport {
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
