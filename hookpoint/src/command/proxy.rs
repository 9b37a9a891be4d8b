//! `hookpoint proxy`.

use std::process;

use anyhow::{Context, Result};
use hookpoint::proxy::{Proxy, ProxyHandle};
use hookpoint::settings::{ProxySettings, load_settings};
use hookpoint_state::{RegionName, ZoneName};
use serde_json::json;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::{in_system, logging};
use crate::flags;

/// Exit code after a second signal.
const EXIT_INTERRUPTED: i32 = 130;

/// Runs a proxy until it is told to stop.
///
/// # Errors
/// When the settings are bad or the proxy does not start.
pub fn run(flags: flags::Proxy) -> Result<()> {
    let settings = settings(flags)?;
    logging::start(&settings.log)?;
    in_system(serve(settings))
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
    settings.verify().context("the flags do not fit")?;
    Ok(settings)
}

async fn serve(settings: ProxySettings) -> Result<()> {
    let mut signals = Signals::new().context("signals cannot be received")?;
    let proxy = Proxy::start(settings).await?;
    print_addresses(&proxy);
    signals.next().await;
    log::info!("proxy: stopping on a signal; another one ends it at once.");
    tokio::select! {
        () = proxy.stop() => Ok(()),
        () = signals.next() => {
            log::warn!("proxy: ended by a second signal.");
            process::exit(EXIT_INTERRUPTED);
        }
    }
}

/// One line of JSON for whoever started the proxy on ports of the system's choice.
fn print_addresses(proxy: &ProxyHandle) {
    let line = json!({
        "node": proxy.node().to_string(),
        "callers": proxy.caller_address(),
        "peers": proxy.peer_address(),
        "admin": proxy.admin_address(),
    });
    println!("{line}");
}

/// The signals that ask for a stop.
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
