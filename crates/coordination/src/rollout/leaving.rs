//! Databases whose machines are leaving according to the platform's list of machines.
//! Watchers send the list to the nodes of their zone; a node that starts later receives
//! it with its first bundle.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Maximum number of addresses in one list.
const MAXIMUM_LEAVING: usize = 1_024;

/// Addresses of databases whose machines are leaving.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingList {
    /// Revision of the platform's store at which the list was read.
    pub revision: u64,
    /// Addresses of the leaving databases.
    pub addresses: BTreeSet<SocketAddr>,
}

impl LeavingList {
    /// Replaces the list with one read from the platform by this node. Returns whether
    /// the addresses changed.
    pub(super) fn replace(&mut self, mut list: LeavingList) -> bool {
        list.addresses = list.addresses.into_iter().take(MAXIMUM_LEAVING).collect();
        let changed = list.addresses != self.addresses;
        *self = list;
        changed
    }

    /// Replaces the list with one read by another node, if that is of a later revision.
    /// Returns whether the addresses changed.
    pub(super) fn replace_if_newer(&mut self, list: LeavingList) -> bool {
        list.revision > self.revision && self.replace(list)
    }
}
