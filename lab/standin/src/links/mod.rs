//! Links between zones: latencies, cuts, and relays that apply them to real
//! sockets on the loopback interface.

mod datagram;
mod network;
mod proxy;
mod route;
mod runtime;
mod stream;
mod timer;
mod zones;

pub use datagram::{UdpLink, UdpLinkCounters, UdpLinkSettings};
pub use proxy::{CutBehavior, DEFAULT_IN_FLIGHT_LIMIT, LinkProxy, LinkSettings};
pub use zones::{CLIENTS, Latencies, RegionSpacing, ZoneLinks};

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;
use thiserror::Error;

/// Errors of starting a link.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Binding a loopback port failed.
    #[error("link: binding a loopback port failed: {0}")]
    Bind(#[source] std::io::Error),
    /// Spawning a link thread failed.
    #[error("link: spawning a link thread failed: {0}")]
    Thread(#[source] std::io::Error),
}

/// Counters of a [`LinkProxy`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Connections accepted since the start.
    pub connections_accepted: u64,
    /// Connections currently open.
    pub connections_open: u64,
    /// Bytes delivered to the target.
    pub bytes_to_target: u64,
    /// Bytes delivered to callers.
    pub bytes_to_caller: u64,
}

/// Sleeps until a deadline, more precisely than the runtime's timer, which has a
/// resolution of one millisecond. Falls back to the runtime's timer when the
/// timer thread cannot be started.
pub async fn sleep_until(deadline: Instant) {
    match timer::Timer::get() {
        Ok(timer) => timer.sleep_until(deadline).await,
        Err(error) => {
            log::warn!("link: starting the timer thread failed: {error}.");
            tokio::time::sleep_until(deadline.into()).await;
        }
    }
}

fn listen_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
