//! Datagrams between members, before they are sealed by `protocol::peer`.

use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::{BundleVersion, NodeId};
use serde::{Deserialize, Serialize};

use super::member::{MemberInfo, MemberUpdate};

/// Sender's state, included in every datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Identifier of the sender.
    pub node: NodeId,
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Whether the sender is leaving the fleet.
    pub leaving: bool,
    /// Version of the bundle that the sender has in force.
    pub bundle: BundleVersion,
    /// Digest of the sender's member table; see [`super::Membership::digest`].
    pub digest: u64,
    /// Zone, region and address of the sender; included where the receiver may not know
    /// them.
    pub info: Option<Arc<MemberInfo>>,
}

/// A datagram. A datagram without a receiver, or with a receiver other than this node,
/// does not change the receiving node's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// State of the sender.
    pub sender: Sender,
    /// Intended receiver; `None` in a [`DatagramBody::Hello`].
    pub receiver: Option<NodeId>,
    /// Kind of the datagram, with the payload of that kind.
    pub body: DatagramBody,
    /// Piggybacked claims about members.
    pub updates: Vec<MemberUpdate>,
}

/// Kind of a datagram, with its payload besides the piggybacked claims.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DatagramBody {
    /// Asks the node at an address to introduce itself.
    Hello,
    /// Answers a `Hello`.
    Welcome,
    /// Asks for an [`DatagramBody::Ack`].
    Ping {
        /// Number of the probe, assigned by its sender.
        probe: u32,
    },
    /// Answers a `Ping`.
    Ack {
        /// Number of the probe.
        probe: u32,
    },
    /// Reports that the sender, and not the node named in a `Ping`, uses the address
    /// that the `Ping` was sent to.
    NotHere {
        /// Node named in the `Ping`.
        target: NodeId,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    PingRequest {
        /// Number of the sender's probe.
        probe: u32,
        /// Node that the receiver is to probe.
        target: NodeId,
        /// Address of that node.
        address: SocketAddr,
    },
    /// `target` answered a probe made on the receiver's behalf.
    IndirectAck {
        /// Number of the receiver's probe.
        probe: u32,
    },
    /// Has no payload of its own; carries only [`Datagram::updates`].
    Gossip,
    /// Asks for zone, region and address of these members.
    Lookup {
        /// Members to look up.
        nodes: Vec<NodeId>,
    },
    /// Asks for the parts of the table that differ from the sender's.
    SyncStart {
        /// Digests of the parts of the sender's table.
        digests: Vec<u64>,
        /// Whether the pages should include zone, region and address of each member.
        with_info: bool,
    },
    /// Asks for the next page: the members after `after`, in the order of their
    /// identifiers.
    SyncRequest {
        /// Requested parts, one bit each.
        parts: u64,
        /// Last member of the previous page; `None` for the first page.
        after: Option<NodeId>,
        /// Whether the page should include zone, region and address of each member.
        with_info: bool,
    },
    /// A page of members, carried in the datagram's updates.
    SyncPage {
        /// Parts that the page is taken from, one bit each.
        parts: u64,
        /// Member after which the page starts, copied from the request.
        after: Option<NodeId>,
        /// Last member of the page; `None` when no members follow.
        next: Option<NodeId>,
    },
}
