//! The `hookpoint-lab load` command: puts load on any PostgreSQL address.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context, anyhow, bail};
use hookpoint_measure::process::{Process, Reading};
use hookpoint_workload::connection::Credentials;
use hookpoint_workload::load::{self, LoadReport, LoadSettings, Mix, Pacing, Progress};
use serde::Serialize;
use tokio::task::JoinHandle;

use crate::commands::{deployment_of, write_json};
use crate::flags;

/// Default number of sessions.
const DEFAULT_SESSIONS: usize = 10;
/// Interval at which the number of connected sessions is polled.
const CONNECTED_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Default duration of the measurement, in seconds.
const DEFAULT_SECONDS: u64 = 10;

/// Runs the load and prints its report.
///
/// # Errors
/// Fails if the arguments are invalid, the sessions cannot connect or the observed process
/// cannot be read.
pub async fn load(arguments: flags::Load) -> anyhow::Result<()> {
    let report_path = arguments.report.clone();
    let observe = arguments.observe;
    let settings = settings_of(arguments)?;
    let progress = Arc::new(Progress::default());
    let reporter = tokio::spawn(show_progress(progress.clone()));
    let observed = observe.map(|pid| Observer::start(pid, &settings, progress.clone()));
    let sessions = settings.sessions + settings.idle_sessions;
    let report = load::run(settings, progress).await;
    reporter.abort();
    let report = report?;
    println!("{}", report.table());
    let observed = match observed {
        Some(observer) => Some(observer?.finish(sessions, &report).await?),
        None => None,
    };
    if let Some(observed) = &observed {
        println!("{}", serde_json::to_string(observed)?);
    }
    if let Some(path) = report_path {
        write_json(&path, &ObservedReport { report, observed })?;
    }
    Ok(())
}

/// Report of a load with the resources that an observed process used during it.
#[derive(Serialize)]
struct ObservedReport {
    #[serde(flatten)]
    report: LoadReport,
    observed: Option<ObservedUse>,
}

/// Resources that the observed process used.
#[derive(Clone, Copy, Debug, Serialize)]
struct ObservedUse {
    /// Resident memory before any session was opened, in bytes.
    resident_before: u64,
    /// Resident memory at the start of the measurement, with all sessions connected, in
    /// bytes.
    resident_connected: u64,
    /// Growth of resident memory per session, in bytes.
    bytes_per_session: f64,
    /// Processor time during the measurement, in seconds.
    processor_seconds: f64,
    /// Answered requests per second of processor time.
    answered_per_processor_second: f64,
}

/// Reads the resource usage of another process before and during a load.
struct Observer {
    pid: u32,
    before: Reading,
    readings: JoinHandle<anyhow::Result<(Reading, Reading)>>,
}

impl Observer {
    fn start(pid: u32, settings: &LoadSettings, progress: Arc<Progress>) -> anyhow::Result<Self> {
        let sessions = (settings.sessions + settings.idle_sessions) as u64;
        let (warm_up, duration) = (settings.warm_up, settings.duration);
        let process = Process::Other(pid);
        let before = process.read()?;
        let readings = tokio::spawn(async move {
            while progress.connected.load(Ordering::Relaxed) < sessions {
                tokio::time::sleep(CONNECTED_POLL_INTERVAL).await;
            }
            tokio::time::sleep(warm_up).await;
            let first = process.read()?;
            tokio::time::sleep(duration).await;
            Ok((first, process.read()?))
        });
        Ok(Self {
            pid,
            before,
            readings,
        })
    }

    async fn finish(self, sessions: usize, report: &LoadReport) -> anyhow::Result<ObservedUse> {
        let readings = self
            .readings
            .await
            .context("the task that reads the process panicked")?;
        let (first, last) =
            readings.with_context(|| format!("process {} cannot be read", self.pid))?;
        let grown = first
            .resident_bytes
            .saturating_sub(self.before.resident_bytes);
        let used = last.processor.saturating_sub(first.processor);
        Ok(ObservedUse {
            resident_before: self.before.resident_bytes,
            resident_connected: first.resident_bytes,
            bytes_per_session: grown as f64 / sessions.max(1) as f64,
            processor_seconds: used.as_secs_f64(),
            answered_per_processor_second: report.all.count as f64
                / used.as_secs_f64().max(f64::MIN_POSITIVE),
        })
    }
}

fn settings_of(arguments: flags::Load) -> anyhow::Result<LoadSettings> {
    let deployment = deployment_of(arguments.deployment.as_deref())?;
    let addresses = arguments
        .address
        .iter()
        .map(|address| {
            address
                .parse()
                .with_context(|| format!("{address} is not an ip:port address"))
        })
        .collect::<anyhow::Result<Vec<SocketAddr>>>()?;
    if addresses.is_empty() {
        bail!("at least one --address is required");
    }
    let name = arguments.mix.as_deref().unwrap_or("trivial");
    let mix = Mix::by_name(name).ok_or_else(|| anyhow!("unknown mix {name}"))?;
    let pacing = match (arguments.rate, arguments.pause_ms) {
        (Some(_), Some(_)) => bail!("--rate and --pause-ms are mutually exclusive"),
        (Some(rate), None) => Pacing::Open { rate },
        (None, pause) => Pacing::Closed {
            pause: Duration::from_millis(pause.unwrap_or(0)),
        },
    };
    Ok(LoadSettings {
        addresses,
        credentials: Credentials {
            user: arguments.user.unwrap_or_else(|| "load".to_owned()),
            password: arguments.password,
            database: arguments
                .database
                .unwrap_or_else(|| deployment.groups[0].name.to_string()),
        },
        application: deployment.application,
        pacing,
        mix,
        sessions: arguments.sessions.unwrap_or(DEFAULT_SESSIONS),
        idle_sessions: arguments.idle.unwrap_or(0),
        warm_up: Duration::from_secs(arguments.warm_up.unwrap_or(1)),
        duration: Duration::from_secs(arguments.seconds.unwrap_or(DEFAULT_SECONDS)),
        seed: arguments.seed.unwrap_or(1),
    })
}

async fn show_progress(progress: Arc<Progress>) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    let mut answered_before = 0;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let answered = progress.answered.load(Ordering::Relaxed);
        eprint!(
            "\r{} connected, {} answered ({} a second), {} failed   ",
            progress.connected.load(Ordering::Relaxed),
            answered,
            answered - answered_before,
            progress.failed.load(Ordering::Relaxed),
        );
        answered_before = answered;
    }
}
