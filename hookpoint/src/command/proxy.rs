//! The `hookpoint proxy` command.

use std::process;

use anyhow::{Context, Result};
use hookpoint::proxy::{Proxy, ProxyHandle};
use hookpoint::settings::{ProxySettings, load_settings};
use hookpoint_state::{RegionName, ZoneName};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{logging, run_in_actix_system};
use crate::flags;

/// Exit code after a second signal.
const EXIT_INTERRUPTED: i32 = 130;

/// Runs a proxy until SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the settings are invalid or the proxy does not start.
pub fn run(flags: flags::Proxy) -> Result<()> {
    let settings = settings(flags)?;
    logging::start(&settings.log)?;
    run_in_actix_system(serve(settings))
}

fn settings(flags: flags::Proxy) -> Result<ProxySettings> {
    let mut settings = load_settings(&flags.settings)?;
    if let Some(zone) = flags.zone {
        settings.node.zone = ZoneName::new(zone);
    }
    if let Some(region) = flags.region {
        settings.node.region = RegionName::new(region);
    }
    settings.callers.listen = flags.callers.unwrap_or(settings.callers.listen);
    settings.peers.listen = flags.peers.unwrap_or(settings.peers.listen);
    settings.peers.advertise = flags.advertise.or(settings.peers.advertise);
    settings.admin.listen = flags.admin.unwrap_or(settings.admin.listen);
    if !flags.seed.is_empty() {
        settings.peers.seeds = flags.seed;
    }
    if !flags.platform.is_empty() {
        settings.platform.urls = flags.platform;
    }
    settings
        .verify()
        .context("invalid settings after applying the flags")?;
    Ok(settings)
}

async fn serve(settings: ProxySettings) -> Result<()> {
    let mut signals = Signals::new().context("signals cannot be received")?;
    let proxy = Proxy::start(settings).await?;
    print_addresses(&proxy);
    signals.next().await;
    log::info!("proxy: stopping on a signal; a second signal exits immediately.");
    tokio::select! {
        () = proxy.stop() => Ok(()),
        () = signals.next() => {
            log::warn!("proxy: exiting on a second signal.");
            process::exit(EXIT_INTERRUPTED);
        }
    }
}

/// Prints the proxy's addresses as one line of JSON, for callers that let the system choose
/// ports.
fn print_addresses(proxy: &ProxyHandle) {
    let line = json!({
        "node": proxy.node().to_string(),
        "callers": proxy.caller_address(),
        "peers": proxy.peer_address(),
        "admin": proxy.admin_address(),
    });
    println!("{line}");
}

/// The signals that request a stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
