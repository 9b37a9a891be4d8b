//! The proxies of a deployment, one a zone, each on a thread of its own, with the
//! latencies of their zones on all their links.

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

/// Key of the laboratory's fleet; it protects nothing.
pub const FLEET_KEY: [u8; 32] = [11; 32];
/// Key of the laboratory's tokens.
const TOKEN_KEY: [u8; 32] = [13; 32];

/// The proxies of a deployment.
pub struct ProxyFleet {
    links: ZoneLinks,
    platform_url: String,
    checks: SafetyChecks,
    slots: Vec<ProxySlot>,
}

/// The place of one proxy; the proxy in it may be replaced.
struct ProxySlot {
    zone: ZoneSpecification,
    /// Where callers connect, whichever proxy runs.
    entry: LinkProxy,
    /// Relays to the databases, by the address of the database.
    databases: Vec<(SocketAddr, LinkProxy)>,
    running: Mutex<Option<RunningProxy>>,
}

/// A proxy that runs.
struct RunningProxy {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    peer_address: SocketAddr,
    shared: Arc<Shared>,
    end: oneshot::Sender<Ending>,
    ended: oneshot::Receiver<()>,
    /// Relays to other proxies; they end with this one.
    peers: Vec<(LinkProxy, UdpLink)>,
}

/// How a proxy is to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Planned,
    Abrupt,
}

/// What a started proxy tells.
struct Started {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    peer_address: SocketAddr,
    shared: Arc<Shared>,
}

impl ProxyFleet {
    /// Starts one proxy in each of the first `proxies` zones.
    ///
    /// # Errors
    /// When a proxy or a relay does not start.
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

    /// Starts a proxy in the place `index`, which must be empty.
    ///
    /// # Errors
    /// When it does not start.
    pub async fn start_proxy(&self, index: usize) -> anyhow::Result<()> {
        let slot = self.slot(index)?;
        if slot.running.lock().is_some() {
            return Err(anyhow!("proxy {index} runs already"));
        }
        let (end, ending) = oneshot::channel();
        let (started_sender, started) = oneshot::channel();
        let (ended_sender, ended) = oneshot::channel();
        let settings = self.settings(slot)?;
        std::thread::Builder::new()
            .name(format!("proxy-{index}"))
            .spawn(move || {
                let system = actix_rt::System::new();
                system.block_on(run_proxy(settings, started_sender, ending));
                // Nobody waits when the whole laboratory ends.
                let _ = ended_sender.send(());
            })
            .context("no thread for a proxy")?;
        let started = started.await.context("a proxy's thread ended")??;
        slot.entry.set_target(started.caller_address);
        let running = RunningProxy {
            caller_address: started.caller_address,
            admin_address: started.admin_address,
            peer_address: started.peer_address,
            shared: started.shared,
            end,
            ended,
            peers: Vec::new(),
        };
        *slot.running.lock() = Some(running);
        self.link_peers(index)
    }

    /// Stops a proxy as planned and waits for its end.
    ///
    /// # Errors
    /// When none runs there.
    pub async fn stop_proxy(&self, index: usize) -> anyhow::Result<()> {
        self.end_proxy(index, Ending::Planned).await
    }

    /// Ends a proxy as if it had died.
    ///
    /// # Errors
    /// When none runs there.
    pub async fn kill_proxy(&self, index: usize) -> anyhow::Result<()> {
        self.end_proxy(index, Ending::Abrupt).await
    }

    async fn end_proxy(&self, index: usize, ending: Ending) -> anyhow::Result<()> {
        let running = self.slot(index)?.running.lock().take();
        let running = running.ok_or_else(|| anyhow!("no proxy {index} runs"))?;
        // A thread that is gone has ended its proxy.
        let _ = running.end.send(ending);
        let _ = running.ended.await;
        drop(running.peers);
        Ok(())
    }

    /// Where callers connect, by proxy.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.slots.iter().map(|slot| slot.entry.address()).collect()
    }

    /// Zones of the proxies.
    pub fn zones(&self) -> Vec<ZoneName> {
        self.slots
            .iter()
            .map(|slot| slot.zone.zone.clone())
            .collect()
    }

    /// Addresses of callers' own listeners, without the latency of clients.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.running(|running| running.caller_address)
    }

    /// Addresses that other nodes reach the proxies by.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.running(|running| running.peer_address)
    }

    /// Addresses of the operators' endpoints.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.running(|running| running.admin_address)
    }

    /// Shared tables of the proxies that run.
    pub fn shared(&self) -> Vec<Arc<Shared>> {
        self.running(|running| running.shared.clone())
    }

    /// The lowest version in force on the proxies that run; none while one has none.
    pub fn version_in_force(&self) -> Option<BundleVersion> {
        let versions: Option<Vec<BundleVersion>> = self
            .shared()
            .iter()
            .map(|shared| shared.bundle().map(|bundle| bundle.version))
            .collect();
        versions?.into_iter().min()
    }

    fn running<T>(&self, of: impl Fn(&RunningProxy) -> T) -> Vec<T> {
        let slots = self.slots.iter();
        slots
            .filter_map(|slot| slot.running.lock().as_ref().map(&of))
            .collect()
    }

    fn slot(&self, index: usize) -> anyhow::Result<&ProxySlot> {
        let slot = self.slots.get(index);
        slot.ok_or_else(|| anyhow!("there is no proxy {index}"))
    }

    fn settings(&self, slot: &ProxySlot) -> anyhow::Result<ProxySettings> {
        let zone = &slot.zone;
        let mut settings = ProxySettings::new(zone.zone.clone(), zone.region.clone());
        settings.tokens.keys = vec![HexKey::new(TOKEN_KEY.to_vec())?];
        settings.peers.keys = vec![HexKey::new(FLEET_KEY.to_vec())?];
        settings.peers.seeds = self.running(|running| running.peer_address);
        settings.platform.urls = vec![self.platform_url.clone()];
        settings.bundles.trusted_keys = vec![operator_key().public_text()];
        let databases = slot.databases.iter();
        settings.reached_at = databases
            .map(|(address, relay)| (*address, relay.address()))
            .collect();
        settings.checks = self.checks;
        Ok(settings)
    }

    /// Puts the links between `index` and each other proxy, both ways.
    fn link_peers(&self, index: usize) -> anyhow::Result<()> {
        for other in 0..self.slots.len() {
            if other != index {
                self.link(index, other)?;
                self.link(other, index)?;
            }
        }
        Ok(())
    }

    /// Lets proxy `from` reach proxy `to` over the link between their zones.
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

/// Relays for a client of `zone` straight to a database, over the same links that a
/// request through the zone's proxy takes.
pub fn direct_link(
    links: &ZoneLinks,
    deployment: &Deployment,
    zone: usize,
    database: (&ZoneName, SocketAddr),
) -> anyhow::Result<(SocketAddr, Vec<LinkProxy>)> {
    let zone = deployment.zones[zone].zone.as_str();
    let far = LinkSettings::new(zone, database.0.as_str(), Some(database.1));
    let far = LinkProxy::start(links, far)?;
    let near = LinkSettings::new(CLIENTS, zone, Some(far.address()));
    let near = LinkProxy::start(links, near)?;
    Ok((near.address(), vec![near, far]))
}

async fn run_proxy(
    settings: ProxySettings,
    started: oneshot::Sender<anyhow::Result<Started>>,
    ending: oneshot::Receiver<Ending>,
) {
    let proxy = match Proxy::start(settings).await {
        Ok(proxy) => proxy,
        Err(error) => {
            // The starter waits for this answer.
            let _ = started.send(Err(error.into()));
            return;
        }
    };
    let _ = started.send(Ok(Started {
        caller_address: proxy.caller_address(),
        admin_address: proxy.admin_address(),
        peer_address: proxy.peer_address(),
        shared: proxy.shared().clone(),
    }));
    match ending.await {
        Ok(Ending::Planned) => proxy.stop().await,
        Ok(Ending::Abrupt) | Err(_) => proxy.abort().await,
    }
}
