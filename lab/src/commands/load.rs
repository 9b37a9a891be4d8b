//! `hookpoint-lab load`: load on any PostgreSQL address.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::{Context, anyhow, bail};
use hookpoint_workload::connection::Credentials;
use hookpoint_workload::load::{self, LoadSettings, Mix, Pacing, Progress};

use crate::commands::{deployment_of, write_json};
use crate::flags;

/// Sessions where none are given.
const DEFAULT_SESSIONS: usize = 10;
/// Seconds where none are given.
const DEFAULT_SECONDS: u64 = 10;

/// Puts the load on and prints what it met.
///
/// # Errors
/// When the arguments do not fit or the sessions cannot connect.
pub async fn load(arguments: flags::Load) -> anyhow::Result<()> {
    let report_path = arguments.report.clone();
    let settings = settings_of(arguments)?;
    let progress = Arc::new(Progress::default());
    let reporter = tokio::spawn(show_progress(progress.clone()));
    let report = load::run(settings, progress).await;
    reporter.abort();
    let report = report?;
    println!("{}", report.table());
    if let Some(path) = report_path {
        write_json(&path, &report)?;
    }
    Ok(())
}

fn settings_of(arguments: flags::Load) -> anyhow::Result<LoadSettings> {
    let deployment = deployment_of(arguments.deployment.as_deref())?;
    let addresses = arguments
        .address
        .iter()
        .map(|address| {
            address
                .parse()
                .with_context(|| format!("{address} is no ip:port"))
        })
        .collect::<anyhow::Result<Vec<SocketAddr>>>()?;
    if addresses.is_empty() {
        bail!("give an --address");
    }
    let name = arguments.mix.as_deref().unwrap_or("trivial");
    let mix = Mix::by_name(name).ok_or_else(|| anyhow!("there is no mix {name}"))?;
    let pacing = match (arguments.rate, arguments.pause_ms) {
        (Some(_), Some(_)) => bail!("give --rate or --pause-ms, not both"),
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
