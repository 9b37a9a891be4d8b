//! A running proxy: the parts of the other crates, wired together.
//!
//! Several proxies may run in one process; they share nothing but the logs.

mod error;
mod fleet_source;
mod metrics;
mod parts;
mod rollout;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hookpoint_state::NodeId;
use hookpoint_transport::admin::AdminHandle;
use hookpoint_transport::backend::LocalPools;
use hookpoint_transport::caller::CallerHandle;
use hookpoint_transport::peer::FleetHandle;
use hookpoint_transport::shared::Shared;

pub use error::ProxyError;
pub use parts::fleet_key;
use parts::{Arbiters, PlatformSide};

use crate::settings::ProxySettings;

/// Longest wait, at a planned stop, for the work of other nodes that flows through
/// this one.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Starts proxies.
pub struct Proxy;

/// A running proxy. Clones mean the same proxy.
#[derive(Clone)]
pub struct ProxyHandle {
    inner: Arc<Running>,
}

struct Running {
    shared: Arc<Shared>,
    callers: CallerHandle,
    pools: Arc<LocalPools>,
    fleet: FleetHandle,
    platform: PlatformSide,
    admin: AdminHandle,
    stopping: Arc<AtomicBool>,
    arbiters: Arbiters,
}

impl Running {
    /// Lets go of the fleet, which the pools' filter holds and which holds the pools.
    fn forget_homes(&self) {
        self.pools.set_home_filter(Arc::new(|_| false));
    }
}

impl Proxy {
    /// Starts a proxy. Must be called inside an actix system. It takes sessions at
    /// once; until a bundle is in force, requests wait or are refused as not run.
    ///
    /// # Errors
    /// A [`ProxyError`] when an address cannot be listened on or a setting cannot be
    /// used. A platform that is away is no error.
    pub async fn start(settings: ProxySettings) -> Result<ProxyHandle, ProxyError> {
        let inner = parts::start(settings).await?;
        Ok(ProxyHandle {
            inner: Arc::new(inner),
        })
    }
}

impl ProxyHandle {
    /// This node.
    pub fn node(&self) -> NodeId {
        self.inner.fleet.node()
    }

    /// Address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.inner.callers.address()
    }

    /// Address of the operators' endpoint.
    pub fn admin_address(&self) -> SocketAddr {
        self.inner.admin.address()
    }

    /// Address that other proxies reach this one by.
    pub fn peer_address(&self) -> SocketAddr {
        self.inner.fleet.address()
    }

    /// The shared tables.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.inner.shared
    }

    /// This node as a member of its fleet.
    pub fn fleet(&self) -> &FleetHandle {
        &self.inner.fleet
    }

    /// The caller side.
    pub fn callers(&self) -> &CallerHandle {
        &self.inner.callers
    }

    /// The connections to databases that this node holds.
    pub fn pools(&self) -> &Arc<LocalPools> {
        &self.inner.pools
    }

    /// A planned stop: leaves the fleet's lists, finishes what is in flight, gives idle
    /// sessions their token and a clean end, and closes.
    pub async fn stop(&self) {
        let running = &self.inner;
        if running.stopping.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("proxy: node {} is stopping.", self.node());
        running.platform.leave();
        running.fleet.leave().await;
        running.callers.stop().await;
        let left = running.fleet.drain(DRAIN_LIMIT).await;
        if left > 0 {
            log::warn!("proxy: {left} forwarded leases did not end in time.");
        }
        running.pools.retire();
        running.forget_homes();
        running.platform.remove().await;
        running.fleet.shutdown();
        running.admin.stop(true).await;
        running.arbiters.stop();
        log::info!("proxy: node {} has stopped.", self.node());
    }

    /// A sudden end, as if the process had died: every socket is closed without a word.
    pub async fn abort(&self) {
        let running = &self.inner;
        running.stopping.store(true, Ordering::Relaxed);
        running.fleet.shutdown();
        running.arbiters.stop();
        running.callers.abort().await;
        running.admin.stop(false).await;
        running.forget_homes();
        log::info!("proxy: node {} was aborted.", self.node());
    }
}
