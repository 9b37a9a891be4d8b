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

fn listen_address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
