//! A running proxy, composed of the components of the other crates.
//!
//! Several proxies may run in one process; they share only the process's logging.

mod components;
mod error;
mod fleet_source;
mod metrics;
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

pub use components::fleet_key;
use components::{Arbiters, PlatformTasks};
pub use error::ProxyError;

use crate::settings::ProxySettings;

/// Longest wait, at a planned stop, for the end of leases that this node has lent to
/// other nodes.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Entry point for starting proxies; see [`Proxy::start`].
pub struct Proxy;

/// Handle of a running proxy. Clones refer to the same proxy.
#[derive(Clone)]
pub struct ProxyHandle {
    inner: Arc<Running>,
}

struct Running {
    shared: Arc<Shared>,
    callers: CallerHandle,
    pools: Arc<LocalPools>,
    fleet: FleetHandle,
    platform: PlatformTasks,
    admin: AdminHandle,
    stopping: Arc<AtomicBool>,
    arbiters: Arbiters,
}

impl Running {
    /// Breaks the reference cycle between the pools, whose home filter holds the fleet,
    /// and the fleet, which holds the pools.
    fn clear_home_filter(&self) {
        self.pools.set_home_filter(Arc::new(|_| false));
    }
}

impl Proxy {
    /// Starts a proxy. Must be called inside an actix system. The proxy accepts sessions
    /// immediately; until a bundle is in force, requests wait or are refused as not run.
    ///
    /// # Errors
    /// Returns a [`ProxyError`] if an address cannot be listened on or a setting is
    /// invalid. An unreachable platform is not an error.
    pub async fn start(settings: ProxySettings) -> Result<ProxyHandle, ProxyError> {
        let inner = components::start(settings).await?;
        Ok(ProxyHandle {
            inner: Arc::new(inner),
        })
    }
}

impl ProxyHandle {
    /// Returns the id of this node.
    pub fn node(&self) -> NodeId {
        self.inner.fleet.node()
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.inner.callers.address()
    }

    /// Returns the address of the admin endpoint.
    pub fn admin_address(&self) -> SocketAddr {
        self.inner.admin.address()
    }

    /// Returns the address at which other proxies reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.inner.fleet.address()
    }

    /// Returns the state that the proxy's components share, such as the bundle and the
    /// group views.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.inner.shared
    }

    /// Returns the handle of this node's fleet membership.
    pub fn fleet(&self) -> &FleetHandle {
        &self.inner.fleet
    }

    /// Returns the handle of the listener for callers.
    pub fn callers(&self) -> &CallerHandle {
        &self.inner.callers
    }

    /// Returns the pools of connections to databases that this node holds.
    pub fn pools(&self) -> &Arc<LocalPools> {
        &self.inner.pools
    }

    /// Stops the proxy as planned: marks it as leaving in the platform's list and in the
    /// fleet, finishes requests in flight, sends idle sessions their token and closes them
    /// cleanly, and waits for the end of leases that it has lent, up to [`DRAIN_TIMEOUT`].
    /// Then it removes itself from the platform's list and closes all listeners. Has no effect
    /// if the proxy is stopping already.
    pub async fn stop(&self) {
        let running = &self.inner;
        if running.stopping.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!("proxy: node {} is stopping.", self.node());
        running.platform.leave();
        running.fleet.leave().await;
        running.callers.stop().await;
        let unfinished = running.fleet.drain(DRAIN_TIMEOUT).await;
        if unfinished > 0 {
            log::warn!(
                "proxy: {unfinished} forwarded leases did not end before the drain timeout."
            );
        }
        running.pools.retire();
        running.clear_home_filter();
        running.platform.remove().await;
        running.fleet.shutdown();
        running.admin.stop(true).await;
        running.arbiters.stop();
        log::info!("proxy: node {} has stopped.", self.node());
    }

    /// Ends the proxy as if its process had died: closes every socket without notice to the
    /// peers.
    pub async fn abort(&self) {
        let running = &self.inner;
        running.stopping.store(true, Ordering::Relaxed);
        running.fleet.shutdown();
        running.arbiters.stop();
        running.callers.abort().await;
        running.admin.stop(false).await;
        running.clear_home_filter();
        log::info!("proxy: node {} was aborted.", self.node());
    }
}
