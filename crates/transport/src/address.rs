//! Addresses as one node reaches them.
//!
//! A bundle and the membership name each address once for all nodes. Where a node
//! reaches one by another address, such as through a translating router, its table
//! says so.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use parking_lot::RwLock;

/// Replacements of addresses. Its lock is never held together with another one.
#[derive(Debug, Default)]
pub struct AddressTable {
    replacements: RwLock<BTreeMap<SocketAddr, SocketAddr>>,
}

impl AddressTable {
    /// The address to connect to for `address`: itself unless it is replaced.
    pub fn resolve(&self, address: SocketAddr) -> SocketAddr {
        let replacements = self.replacements.read();
        replacements.get(&address).copied().unwrap_or(address)
    }

    /// Replaces `address` by `reached_at`.
    pub fn replace(&self, address: SocketAddr, reached_at: SocketAddr) {
        self.replacements.write().insert(address, reached_at);
    }
}
