//! What an operator sees of the fleet from one node.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use hookpoint_coordination::membership::{Member, MemberInfo, MemberState};
use hookpoint_state::{BundleVersion, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its state.
    pub state: MemberState,
    /// Version of the bundle it was last heard to have in force.
    pub bundle: BundleVersion,
}

impl MemberStatus {
    /// Status of a member of that state and bundle.
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
    /// The node that answers.
    pub own: MemberStatus,
    /// The others, remembered dead ones included.
    pub members: Vec<MemberStatus>,
    /// Open links.
    pub links: usize,
    /// Leases that flow over links, in both directions.
    pub streams: usize,
    /// Databases this node is home of.
    pub homes: usize,
    /// What was sent and received since the start.
    pub counters: FleetCounters,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCounters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes of them, without IP and UDP headers.
    pub datagram_bytes_sent: u64,
    /// Datagrams accepted.
    pub datagrams_received: u64,
    /// Datagrams dropped as not authentic, malformed or repeated.
    pub datagrams_dropped: u64,
    /// Records sent over links; one holds the frames that waited together.
    pub link_records_sent: u64,
    /// Bytes of them, without IP and TCP headers; those of forwarded requests included.
    pub link_bytes_sent: u64,
    /// Links refused for a wrong key or a broken protocol.
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
