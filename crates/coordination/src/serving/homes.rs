//! Selection of the nodes that hold connections to a database (its home nodes).
//!
//! A database accepts a bounded number of connections from all nodes together. In a small fleet
//! every node holds its share. In a larger fleet only the home nodes do, and the other nodes lease
//! connections from them. Home nodes are chosen by rendezvous hashing, nodes of the database's own
//! zone first, so nodes with the same view of the membership agree on them without exchanging
//! messages.

use std::cmp::Reverse;
use std::hash::Hasher;
use std::time::Duration;

use hookpoint_state::{DatabaseName, TenantName, ZoneName};
use siphasher::sip::SipHasher13;

/// Whether a connection may serve requests of any tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionSharing {
    /// Any request may use any connection.
    Shared,
    /// Each connection serves a single tenant.
    ByTenant,
}

impl ConnectionSharing {
    /// Returns the minimum number of connections per home node. If each connection serves a single
    /// tenant, fewer home nodes with more connections each give shorter waits.
    fn connections_per_home(self) -> usize {
        match self {
            ConnectionSharing::Shared => 4,
            ConnectionSharing::ByTenant => 8,
        }
    }
}

/// Number of useful connections per slot of a database; at any time, some are in transit or idle in
/// a transaction. Statements sent on further connections queue in the database, where they cannot
/// be reordered, moved or cancelled, and every statement of a transaction queues there again.
const CONNECTIONS_PER_SLOT: usize = 8;

/// Subject for which nodes are ranked when one of them has to claim a record.
const CLAIM_SUBJECT: &str = "coordinator";

/// A node that may be chosen as a home node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Name of the node.
    pub node: String,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Bandwidth of its link in megabits per second; 0 if not known.
    pub bandwidth_mbps: u32,
}

/// Returns the number of connections that all nodes together should open to a database that accepts
/// `max_connections` and executes `slots` statements concurrently; `slots` is 0 if not known.
pub fn useful_connections(max_connections: usize, slots: usize) -> usize {
    match slots {
        0 => max_connections,
        slots => max_connections.min(slots.saturating_mul(CONNECTIONS_PER_SLOT)),
    }
}

/// Returns the number of home nodes of a database that accepts `max_connections`, in a fleet of
/// `nodes`.
pub fn home_count(max_connections: usize, nodes: usize, sharing: ConnectionSharing) -> usize {
    (max_connections / sharing.connections_per_home()).clamp(1, nodes.max(1))
}

/// Returns the nodes in the order in which they are chosen as home nodes of `database`.
pub fn rank_homes<'a>(
    database: &DatabaseName,
    zone: &ZoneName,
    nodes: &'a [HomeCandidate],
) -> Vec<&'a HomeCandidate> {
    choose_homes(database, zone, nodes, nodes.len())
}

/// Returns the first `count` nodes in the order in which they are chosen as home nodes of
/// `database`.
pub fn choose_homes<'a>(
    database: &DatabaseName,
    zone: &ZoneName,
    nodes: &'a [HomeCandidate],
    count: usize,
) -> Vec<&'a HomeCandidate> {
    let mut ranked: Vec<_> = nodes
        .iter()
        .map(|candidate| {
            let far = candidate.zone != *zone;
            let score = rendezvous_score(database.as_str(), &candidate.node);
            (far, Reverse(score), candidate)
        })
        .collect();
    let order = |left: &(bool, Reverse<u64>, &HomeCandidate),
                 right: &(bool, Reverse<u64>, &HomeCandidate)| {
        let ties = || left.2.node.cmp(&right.2.node);
        (left.0, left.1).cmp(&(right.0, right.1)).then_with(ties)
    };
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, order);
        ranked.truncate(count);
    }
    ranked.sort_unstable_by(order);
    ranked
        .into_iter()
        .map(|(_, _, candidate)| candidate)
        .collect()
}

/// Returns the rendezvous weight of `node` for the connections of `tenant`; the highest wins. A
/// tenant's connections are kept on that node, so that its next statement finds one open.
pub fn tenant_weight(tenant: &TenantName, node: &str) -> u64 {
    rendezvous_score(tenant.as_str(), node)
}

/// Returns the rendezvous weight of `node` for a choice of a few nodes for `subject`; the highest
/// wins.
pub fn choice_weight(subject: &str, node: &str) -> u64 {
    rendezvous_score(subject, node)
}

/// Returns the nodes in the order in which they claim a record or stand in for its holder.
pub fn claim_order(nodes: &[HomeCandidate]) -> Vec<&str> {
    let mut names: Vec<&str> = nodes.iter().map(|node| node.node.as_str()).collect();
    names.sort_by_cached_key(|name| (Reverse(rendezvous_score(CLAIM_SUBJECT, name)), *name));
    names
}

/// Returns the score of `node` for `subject` in rendezvous hashing; the highest wins.
pub(super) fn rendezvous_score(subject: &str, node: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// Time after which a starting node is taken to have caught up with the store: five times the 120
/// ms between its listing and its first watch.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(600);

/// Start-up progress of a node.
#[derive(Clone, Copy, Debug)]
pub struct StartupProgress {
    /// Whether it has known the store's current state since it started.
    pub caught_up: bool,
    /// Whether it has seen its own record in the membership.
    pub registered: bool,
    /// For how long it has had a configuration; `None` if it has none.
    pub configured_for: Option<Duration>,
}

impl StartupProgress {
    /// Returns whether the members known to the node may be taken for the whole fleet.
    ///
    /// A node that has just started may have read a listing that shows none or few of the other
    /// nodes, because they are starting at the same time. It would take itself for a home node of
    /// every database, and all nodes together would open more connections than the databases
    /// accept. Without a configuration there are no connections to open.
    pub fn membership_is_complete(self) -> bool {
        self.caught_up
            || self.registered
            || self
                .configured_for
                .is_none_or(|time| time >= CATCH_UP_TIMEOUT)
    }
}
