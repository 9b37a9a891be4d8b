//! Databases whose machines are leaving, as the platform's list of machines says. The
//! watchers tell their zone; whoever starts later is told with its first bundle.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Most addresses in one list.
const MAXIMUM_LEAVING: usize = 1_024;

/// Addresses of databases whose machines are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingList {
    /// Revision of the platform's store that the list was read at.
    pub revision: u64,
    /// The addresses.
    pub addresses: BTreeSet<SocketAddr>,
}

impl LeavingList {
    /// Takes what this node read itself. Returns whether the addresses changed.
    pub(super) fn read(&mut self, mut list: LeavingList) -> bool {
        list.addresses = list.addresses.into_iter().take(MAXIMUM_LEAVING).collect();
        let changed = list.addresses != self.addresses;
        *self = list;
        changed
    }

    /// Takes what another node read, if that is later. Returns whether the addresses
    /// changed.
    pub(super) fn hear(&mut self, list: LeavingList) -> bool {
        list.revision > self.revision && self.read(list)
    }
}
