//! Status of the fleet as one node reports it to operators.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use hookpoint_coordination::membership::{Member, MemberInfo, MemberState};
use hookpoint_state::{BundleVersion, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// Status of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Identifier of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: RegionName,
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Membership state of the node.
    pub state: MemberState,
    /// Bundle version that the node last reported to have in force.
    pub bundle: BundleVersion,
}

impl MemberStatus {
    /// Creates the status of a member with the given state and bundle.
    pub(super) fn new(info: &MemberInfo, state: MemberState, bundle: BundleVersion) -> Self {
        Self {
            node: info.node,
            zone: info.zone.clone(),
            region: info.region.clone(),
            address: info.address,
            state,
            bundle,
        }
    }

    pub(super) fn of(member: &Member) -> Self {
        Self::new(&member.info, member.state, member.bundle)
    }
}

/// The fleet as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The node that reports this view.
    pub own: MemberStatus,
    /// The other nodes, including dead ones that are still remembered.
    pub members: Vec<MemberStatus>,
    /// Number of open links.
    pub links: usize,
    /// Number of leases that use links, in both directions.
    pub streams: usize,
    /// Number of databases that the node is the home of.
    pub homes: usize,
    /// Counters since the start.
    pub counters: FleetCounters,
}

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCounters {
    /// Datagrams accepted by the socket for sending.
    pub datagrams_sent: u64,
    /// Bytes of datagrams sent, without IP and UDP headers.
    pub datagram_bytes_sent: u64,
    /// Received datagrams that were authentic, well-formed and not replayed.
    pub datagrams_received: u64,
    /// Datagrams dropped because they were not authentic, malformed or replayed.
    pub datagrams_dropped: u64,
    /// Records sent over links; a record combines the frames that waited together.
    pub link_records_sent: u64,
    /// Bytes of link records sent, without IP and TCP headers; includes forwarded
    /// requests.
    pub link_bytes_sent: u64,
    /// Links rejected because of a wrong key or a protocol violation.
    pub links_refused: u64,
    /// Leases forwarded to other nodes.
    pub leases_forwarded: u64,
    /// Leases served to other nodes.
    pub leases_served: u64,
}

#[derive(Debug, Default)]
pub(super) struct Counters {
    pub datagrams_sent: AtomicU64,
    pub datagram_bytes_sent: AtomicU64,
    pub datagrams_received: AtomicU64,
    pub datagrams_dropped: AtomicU64,
    pub link_records_sent: AtomicU64,
    pub link_bytes_sent: AtomicU64,
    pub links_refused: AtomicU64,
    pub leases_forwarded: AtomicU64,
    pub leases_served: AtomicU64,
}

pub(super) fn count(counter: &AtomicU64, amount: u64) {
    counter.fetch_add(amount, Ordering::Relaxed);
}

impl Counters {
    pub fn read(&self) -> FleetCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        FleetCounters {
            datagrams_sent: read(&self.datagrams_sent),
            datagram_bytes_sent: read(&self.datagram_bytes_sent),
            datagrams_received: read(&self.datagrams_received),
            datagrams_dropped: read(&self.datagrams_dropped),
            link_records_sent: read(&self.link_records_sent),
            link_bytes_sent: read(&self.link_bytes_sent),
            links_refused: read(&self.links_refused),
            leases_forwarded: read(&self.leases_forwarded),
            leases_served: read(&self.leases_served),
        }
    }
}
