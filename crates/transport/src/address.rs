//! Addresses as one node reaches them.
//!
//! A bundle and the membership name each address once for all nodes. Where a node
//! reaches one by another address, such as through a translating router, its table
//! says so, for streams and for datagrams apart.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use parking_lot::RwLock;

/// Replacements of addresses. Its locks are never held together with another one.
#[derive(Debug, Default)]
pub struct AddressTable {
    streams: RwLock<BTreeMap<SocketAddr, SocketAddr>>,
    datagrams: RwLock<BTreeMap<SocketAddr, SocketAddr>>,
}

impl AddressTable {
    /// The address to connect to for `address`: itself unless it is replaced.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        let streams = self.streams.read();
        streams.get(&address).copied().unwrap_or(address)
    }

    /// The address to send datagrams to for `address`: itself unless it is replaced.
    pub fn resolve_datagrams(&self, address: SocketAddr) -> SocketAddr {
        let datagrams = self.datagrams.read();
        datagrams.get(&address).copied().unwrap_or(address)
    }

    /// Connects to `reached_at` in place of `address`.
    pub fn replace(&self, address: SocketAddr, reached_at: SocketAddr) {
        self.streams.write().insert(address, reached_at);
    }

    /// Sends datagrams to `reached_at` in place of `address`.
    pub fn replace_datagrams(&self, address: SocketAddr, reached_at: SocketAddr) {
        self.datagrams.write().insert(address, reached_at);
    }
}
