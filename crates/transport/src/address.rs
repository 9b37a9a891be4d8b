//! Address translation for one node.
//!
//! The bundle and the membership contain one address per database or node, valid for all
//! nodes. Where a node reaches one at another address, such as behind a translating
//! router, its table holds the replacement, separately for streams and datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use parking_lot::RwLock;

/// Address replacements. Its locks are never held together with another one.
#[derive(Debug, Default)]
pub struct AddressTable {
    streams: RwLock<BTreeMap<SocketAddr, SocketAddr>>,
    datagrams: RwLock<BTreeMap<SocketAddr, SocketAddr>>,
}

impl AddressTable {
    /// Returns the address to connect to for `address`: its replacement, or `address`
    /// itself.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        let streams = self.streams.read();
        streams.get(&address).copied().unwrap_or(address)
    }

    /// Returns the address to send datagrams to for `address`: its replacement, or
    /// `address` itself.
    pub fn resolve_datagrams(&self, address: SocketAddr) -> SocketAddr {
        let datagrams = self.datagrams.read();
        datagrams.get(&address).copied().unwrap_or(address)
    }

    /// Makes connections to `address` go to `reached_at` instead.
    pub fn replace(&self, address: SocketAddr, reached_at: SocketAddr) {
        self.streams.write().insert(address, reached_at);
    }

    /// Makes datagrams to `address` go to `reached_at` instead.
    pub fn replace_datagrams(&self, address: SocketAddr, reached_at: SocketAddr) {
        self.datagrams.write().insert(address, reached_at);
    }
}
