//! Links between zones: latencies, cuts, and relays that put them on real
//! sockets of the loopback interface.

mod carry;
mod datagram;
mod network;
mod proxy;
mod route;
mod runtime;
mod timer;
mod zones;

pub use datagram::{UdpLink, UdpLinkCounters, UdpLinkSettings};
pub use proxy::{CutBehavior, DEFAULT_IN_FLIGHT_LIMIT, LinkProxy, LinkSettings};
pub use zones::{CLIENTS, Latencies, RegionSpacing, ZoneLinks};

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Instant;
use thiserror::Error;

/// Why a link could not be started.
#[derive(Debug, Error)]
pub enum LinkError {
    /// No loopback port could be had.
    #[error("the link found no loopback port: {0}")]
    Bind(#[source] std::io::Error),
    /// A thread of the links could not be started.
    #[error("a thread of the links did not start: {0}")]
    Thread(#[source] std::io::Error),
}

/// Counts of a [`LinkProxy`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Connections accepted since the start.
    pub connections_accepted: u64,
    /// Connections open now.
    pub connections_open: u64,
    /// Bytes delivered to the target.
    pub bytes_there: u64,
    /// Bytes delivered to callers.
    pub bytes_back: u64,
}

/// Sleeps until a moment, more exactly than the runtime's timer does, which
/// counts in milliseconds. Where the timer's thread cannot be started, the
/// runtime's timer takes its place.
pub async fn sleep_until(deadline: Instant) {
    match timer::Timer::get() {
        Ok(timer) => timer.sleep_until(deadline).await,
        Err(error) => {
            log::warn!("link: the timer did not start: {error}.");
            tokio::time::sleep_until(deadline.into()).await;
        }
    }
}

fn listen_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
