//! Which nodes hold connections to a database.
//!
//! A database takes a bounded number of connections from all nodes together. While the
//! fleet is small every node holds its share. In a larger fleet only a home set does, and
//! the other nodes lease connections from it. The set is chosen by rendezvous hashing,
//! nodes of the database's own zone first, so nodes with the same view of the membership
//! agree on it without a message.

use std::cmp::Reverse;
use std::hash::Hasher;
use std::time::Duration;

use hookpoint_state::{DatabaseName, TenantName, ZoneName};
use siphasher::sip::SipHasher13;

/// Whether any request may use any connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionSharing {
    /// All requests share them.
    Shared,
    /// Each is one tenant's.
    ByTenant,
}

impl ConnectionSharing {
    /// Connections that a home node should have at the least. Where each is one tenant's, fewer
    /// homes with more of them wait less for one: with 8 instead of 4 a fleet of 59 nodes and 72
    /// tenants earned 0.885 instead of 0.873 of its worth, the mean of five days of trouble.
    fn connections_per_home(self) -> usize {
        match self {
            ConnectionSharing::Shared => 4,
            ConnectionSharing::ByTenant => 8,
        }
    }
}

/// Connections worth having for each slot of a database: some are on their way or rest in
/// a transaction. What is sent on more of them waits in the database, where it cannot be
/// ordered, moved or given up, and each statement of a transaction waits there anew.
const CONNECTIONS_PER_SLOT: usize = 8;

/// What nodes are ranked for when one of them has to claim a record.
const CLAIM_SUBJECT: &str = "coordinator";

/// One node that may be home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeCandidate {
    /// Name of the node.
    pub node: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Bandwidth of its link, in megabits a second; 0 if that is not known.
    pub bandwidth_mbps: u32,
}

/// Connections that all nodes together should open to a database that takes
/// `max_connections` and works on `slots` statements at once; 0 if that is not known.
pub fn useful_connections(max_connections: usize, slots: usize) -> usize {
    match slots {
        0 => max_connections,
        slots => max_connections.min(slots * CONNECTIONS_PER_SLOT),
    }
}

/// Number of home nodes of a database that takes `max_connections`, in a fleet of `nodes`.
pub fn home_count(max_connections: usize, nodes: usize, sharing: ConnectionSharing) -> usize {
    (max_connections / sharing.connections_per_home()).clamp(1, nodes.max(1))
}

/// The nodes in the order in which they become home of `database`.
pub fn rank_homes<'a>(
    database: &DatabaseName,
    zone: &ZoneName,
    nodes: &'a [HomeCandidate],
) -> Vec<&'a HomeCandidate> {
    choose_homes(database, zone, nodes, nodes.len())
}

/// The first `count` of the nodes in the order in which they become home of `database`.
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

/// Weight of `node` for the connections of `tenant`: where the tenant's are kept, so that its
/// next statement finds one open. The highest wins.
pub fn tenant_weight(tenant: &TenantName, node: &str) -> u64 {
    rendezvous_score(tenant.as_str(), node)
}

/// Weight of `node` when `subject` chooses a few of many; the highest wins.
pub fn choice_weight(subject: &str, node: &str) -> u64 {
    rendezvous_score(subject, node)
}

/// The nodes in the order in which they claim one record or stand in for who holds it.
pub fn claim_order(nodes: &[HomeCandidate]) -> Vec<&str> {
    let mut names: Vec<&str> = nodes.iter().map(|node| node.node.as_str()).collect();
    names.sort_by_cached_key(|name| (Reverse(rendezvous_score(CLAIM_SUBJECT, name)), *name));
    names
}

/// Weight of `node` for `subject` in rendezvous hashing: the highest wins.
pub(super) fn rendezvous_score(subject: &str, node: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(subject.as_bytes());
    hasher.write_u8(0);
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// Time in which a node that starts catches up with the store, or goes on as if it had: five
/// times the 120 ms between its listing and its first watch.
const CATCHING_UP: Duration = Duration::from_millis(600);

/// How far a node that started has come.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Whether it has known the store's present state since.
    pub caught_up: bool,
    /// Whether it has seen its own record among the members.
    pub registered: bool,
    /// How long it has had a configuration; nothing if it has none.
    pub configured_for: Option<Duration>,
}

impl Start {
    /// Whether the members that the node knows may be taken for the fleet.
    ///
    /// A node that has just started may have read a listing that shows none or few of the
    /// others, as they start with it. It would take itself for home of every database, and
    /// all nodes together would open more connections than the databases can. Without a
    /// configuration there is nothing to open.
    pub fn knows_fleet(self) -> bool {
        self.caught_up
            || self.registered
            || self.configured_for.is_none_or(|time| time >= CATCHING_UP)
    }
}
