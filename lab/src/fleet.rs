//! The proxies of a deployment, one per zone, each on its own thread. All their links have
//! the latencies between the zones.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, anyhow};
use hookpoint::proxy::Proxy;
use hookpoint::settings::{HexKey, ProxySettings};
use hookpoint_coordination::request::SafetyChecks;
use hookpoint_standin::links::{
    CLIENTS, LinkProxy, LinkSettings, UdpLink, UdpLinkSettings, ZoneLinks,
};
use hookpoint_state::{BundleVersion, DatabaseName, ZoneName};
use hookpoint_transport::shared::Shared;
use hookpoint_workload::deployment::{Deployment, ZoneSpecification};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::bundles::operator_key;
use crate::stack::Stack;

/// Fleet key of the laboratory. It is public and protects nothing.
pub const FLEET_KEY: [u8; 32] = [11; 32];
/// Key that authenticates the laboratory's session tokens.
const TOKEN_KEY: [u8; 32] = [13; 32];

/// The proxies of a deployment.
pub struct ProxyFleet {
    links: ZoneLinks,
    platform_url: String,
    checks: SafetyChecks,
    slots: Vec<ProxySlot>,
}

/// A slot for one proxy; faults may stop the proxy and start a new one in the same slot.
struct ProxySlot {
    zone: ZoneSpecification,
    /// Relay that callers connect to; its address stays when the proxy is replaced.
    entry: LinkProxy,
    /// Relays to the databases, with the address of the database.
    databases: Vec<(SocketAddr, LinkProxy)>,
    running: Mutex<Option<RunningProxy>>,
}

/// A running proxy and the relays to its peers.
struct RunningProxy {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    peer_address: SocketAddr,
    shared: Arc<Shared>,
    stop: oneshot::Sender<StopMode>,
    stopped: oneshot::Receiver<()>,
    /// Relays to other proxies; dropped when this proxy stops.
    peers: Vec<(LinkProxy, UdpLink)>,
}

/// How a proxy is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopMode {
    Planned,
    Abrupt,
}

/// Addresses and shared state that a proxy's thread reports after the start.
struct StartedProxy {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    peer_address: SocketAddr,
    shared: Arc<Shared>,
}

impl ProxyFleet {
    /// Starts one proxy in each of the first `proxies` zones.
    ///
    /// # Errors
    /// Fails if a proxy or a relay does not start.
    pub async fn start(
        stack: &Stack,
        proxies: usize,
        checks: SafetyChecks,
    ) -> anyhow::Result<Self> {
        let addresses = stack.databases.addresses();
        let slots = stack
            .deployment
            .zones
            .iter()
            .take(proxies)
            .map(|zone| ProxySlot::new(&stack.links, zone.clone(), &addresses))
            .collect::<anyhow::Result<Vec<_>>>()?;
        let fleet = Self {
            links: stack.links.clone(),
            platform_url: stack.platform.url(),
            checks,
            slots,
        };
        for index in 0..fleet.slots.len() {
            fleet.start_proxy(index).await?;
        }
        Ok(fleet)
    }

    /// Starts a proxy in slot `index`, which must be empty.
    ///
    /// # Errors
    /// Fails if the slot does not exist or is occupied, or the proxy does not start.
    pub async fn start_proxy(&self, index: usize) -> anyhow::Result<()> {
        let slot = self.slot(index)?;
        if slot.running.lock().is_some() {
            return Err(anyhow!("proxy {index} is already running"));
        }
        let (stop, stop_request) = oneshot::channel();
        let (started_sender, started) = oneshot::channel();
        let (stopped_sender, stopped) = oneshot::channel();
        let settings = self.settings(slot)?;
        std::thread::Builder::new()
            .name(format!("proxy-{index}"))
            .spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(run_proxy(settings, started_sender, stop_request));
                // The receiver is gone when the whole laboratory is shut down.
                let _ = stopped_sender.send(());
            })
            .context("cannot spawn the thread of a proxy")?;
        let started = started
            .await
            .context("the proxy's thread ended before the proxy was up")??;
        slot.entry.set_target(started.caller_address);
        let running = RunningProxy {
            caller_address: started.caller_address,
            admin_address: started.admin_address,
            peer_address: started.peer_address,
            shared: started.shared,
            stop,
            stopped,
            peers: Vec::new(),
        };
        *slot.running.lock() = Some(running);
        self.link_peers(index)
    }

    /// Stops a proxy as planned and waits until it has stopped.
    ///
    /// # Errors
    /// Fails if no proxy is running in that slot.
    pub async fn stop_proxy(&self, index: usize) -> anyhow::Result<()> {
        self.end_proxy(index, StopMode::Planned).await
    }

    /// Ends a proxy abruptly, as if its process had died.
    ///
    /// # Errors
    /// Fails if no proxy is running in that slot.
    pub async fn kill_proxy(&self, index: usize) -> anyhow::Result<()> {
        self.end_proxy(index, StopMode::Abrupt).await
    }

    async fn end_proxy(&self, index: usize, mode: StopMode) -> anyhow::Result<()> {
        let running = self.slot(index)?.running.lock().take();
        let running = running.ok_or_else(|| anyhow!("proxy {index} is not running"))?;
        // Errors mean that the thread, and the proxy with it, has already ended.
        let _ = running.stop.send(mode);
        let _ = running.stopped.await;
        drop(running.peers);
        Ok(())
    }

    /// Returns the address that callers connect to, for each slot.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.slots.iter().map(|slot| slot.entry.address()).collect()
    }

    /// Returns the zone of each slot.
    pub fn zones(&self) -> Vec<ZoneName> {
        self.slots
            .iter()
            .map(|slot| slot.zone.zone.clone())
            .collect()
    }

    /// Returns the caller addresses of the running proxies, without the latency of the
    /// client links.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.map_running(|running| running.caller_address)
    }

    /// Returns the peer addresses of the running proxies.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.map_running(|running| running.peer_address)
    }

    /// Returns the addresses of the running proxies' admin endpoints.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.map_running(|running| running.admin_address)
    }

    /// Returns the shared state of each running proxy.
    pub fn shared(&self) -> Vec<Arc<Shared>> {
        self.map_running(|running| running.shared.clone())
    }

    /// Returns the lowest bundle version in force on the running proxies; `None` if any of
    /// them has no bundle or none is running.
    pub fn version_in_force(&self) -> Option<BundleVersion> {
        let versions: Option<Vec<BundleVersion>> = self
            .shared()
            .iter()
            .map(|shared| shared.bundle().map(|bundle| bundle.version))
            .collect();
        versions?.into_iter().min()
    }

    fn map_running<T>(&self, f: impl Fn(&RunningProxy) -> T) -> Vec<T> {
        let slots = self.slots.iter();
        slots
            .filter_map(|slot| slot.running.lock().as_ref().map(&f))
            .collect()
    }

    fn slot(&self, index: usize) -> anyhow::Result<&ProxySlot> {
        let slot = self.slots.get(index);
        slot.ok_or_else(|| anyhow!("proxy {index} does not exist"))
    }

    fn settings(&self, slot: &ProxySlot) -> anyhow::Result<ProxySettings> {
        let zone = &slot.zone;
        let mut settings = ProxySettings::new(zone.zone.clone(), zone.region.clone());
        settings.tokens.keys = vec![HexKey::new(TOKEN_KEY.to_vec())?];
        settings.peers.keys = vec![HexKey::new(FLEET_KEY.to_vec())?];
        settings.peers.seeds = self.map_running(|running| running.peer_address);
        settings.platform.urls = vec![self.platform_url.clone()];
        settings.bundles.trusted_keys = vec![operator_key().public_text()];
        let databases = slot.databases.iter();
        settings.reached_at = databases
            .map(|(address, relay)| (*address, relay.address()))
            .collect();
        settings.checks = self.checks;
        Ok(settings)
    }

    /// Starts relays between proxy `index` and every other running proxy, in both
    /// directions.
    fn link_peers(&self, index: usize) -> anyhow::Result<()> {
        for other in 0..self.slots.len() {
            if other != index {
                self.link(index, other)?;
                self.link(other, index)?;
            }
        }
        Ok(())
    }

    /// Starts relays that carry the traffic of proxy `from` to proxy `to` over the link
    /// between their zones.
    fn link(&self, from: usize, to: usize) -> anyhow::Result<()> {
        let (source, target) = (self.slot(from)?, self.slot(to)?);
        let address = target.running.lock().as_ref().map(|peer| peer.peer_address);
        let Some(address) = address else {
            return Ok(());
        };
        let (from_zone, to_zone) = (source.zone.zone.as_str(), target.zone.zone.as_str());
        let stream = LinkSettings::new(from_zone, to_zone, Some(address));
        let stream = LinkProxy::start(&self.links, stream)?;
        let datagrams = UdpLinkSettings {
            from: from_zone.to_owned(),
            to: to_zone.to_owned(),
            target: Some(address),
            seed: from as u64,
        };
        let datagrams = UdpLink::start(&self.links, datagrams)?;
        if let Some(running) = source.running.lock().as_mut() {
            let addresses = &running.shared.addresses;
            addresses.replace(address, stream.address());
            addresses.replace_datagrams(address, datagrams.address());
            running.peers.push((stream, datagrams));
        }
        Ok(())
    }
}

impl ProxySlot {
    fn new(
        links: &ZoneLinks,
        zone: ZoneSpecification,
        addresses: &[(DatabaseName, ZoneName, SocketAddr)],
    ) -> anyhow::Result<Self> {
        let own = zone.zone.as_str();
        let entry = LinkProxy::start(links, LinkSettings::new(CLIENTS, own, None))?;
        let databases = addresses
            .iter()
            .map(|(_, database_zone, address)| {
                let settings = LinkSettings::new(own, database_zone.as_str(), Some(*address));
                Ok((*address, LinkProxy::start(links, settings)?))
            })
            .collect::<anyhow::Result<Vec<_>>>()?;
        Ok(Self {
            zone,
            entry,
            databases,
            running: Mutex::new(None),
        })
    }
}

/// Starts relays from a client of `zone` to a database, over the same links that a request
/// through the zone's proxy takes. Returns the address to connect to and the relays, which
/// must be kept alive.
///
/// # Errors
/// Fails if a relay does not start.
pub fn direct_link(
    links: &ZoneLinks,
    deployment: &Deployment,
    zone: usize,
    database: (&ZoneName, SocketAddr),
) -> anyhow::Result<(SocketAddr, Vec<LinkProxy>)> {
    let zone = deployment.zones[zone].zone.as_str();
    let database_link = LinkSettings::new(zone, database.0.as_str(), Some(database.1));
    let database_link = LinkProxy::start(links, database_link)?;
    let client_link = LinkSettings::new(CLIENTS, zone, Some(database_link.address()));
    let client_link = LinkProxy::start(links, client_link)?;
    Ok((client_link.address(), vec![client_link, database_link]))
}

async fn run_proxy(
    settings: ProxySettings,
    started: oneshot::Sender<anyhow::Result<StartedProxy>>,
    stop_request: oneshot::Receiver<StopMode>,
) {
    let proxy = match Proxy::start(settings).await {
        Ok(proxy) => proxy,
        Err(error) => {
            // `start_proxy` awaits this result.
            let _ = started.send(Err(error.into()));
            return;
        }
    };
    let _ = started.send(Ok(StartedProxy {
        caller_address: proxy.caller_address(),
        admin_address: proxy.admin_address(),
        peer_address: proxy.peer_address(),
        shared: proxy.shared().clone(),
    }));
    match stop_request.await {
        Ok(StopMode::Planned) => proxy.stop().await,
        Ok(StopMode::Abrupt) | Err(_) => proxy.abort().await,
    }
}
