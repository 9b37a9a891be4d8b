//! Members and claims about them.

use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::{BundleVersion, NodeId, RegionName, Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

/// Immutable properties of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Identifier of the node.
    pub node: NodeId,
    /// Zone that the node runs in.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Address that peers send datagrams and open links to.
    pub address: SocketAddr,
}

/// State of a member. Within one incarnation a later state overrides an earlier one, in
/// the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Responsive; accepts new work.
    Alive,
    /// Did not answer a probe; may still refute the suspicion.
    Suspect,
    /// Accepts no new work, but still finishes and forwards the work it has.
    Leaving,
    /// Failed or stopped.
    Dead,
}

impl MemberState {
    /// Returns whether the member accepts new work, such as becoming the home of a
    /// database.
    pub fn is_available(self) -> bool {
        self == MemberState::Alive
    }

    /// Returns the state's name as shown in logs and status output.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        }
    }
}

/// A claim about a member, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Member that the claim is about.
    pub node: NodeId,
    /// Incarnation of the member that the claim refers to.
    pub incarnation: u32,
    /// State that the member is claimed to have at that incarnation.
    pub state: MemberState,
    /// Zone, region and address; omitted where the receiver is expected to know them.
    pub info: Option<Arc<MemberInfo>>,
}

/// Upper bound of a claim's encoded size without [`MemberUpdate::info`], in bytes.
const BARE_UPDATE_BYTES: usize = 17;
/// Upper bound of the encoded size of an address and the framing of names, in bytes.
const INFO_OVERHEAD_BYTES: usize = 40;

impl MemberUpdate {
    /// Returns an upper bound of the encoded size, in bytes.
    pub fn encoded_bound(&self) -> usize {
        let info = self.info.as_ref().map_or(0, |info| {
            INFO_OVERHEAD_BYTES + info.zone.as_str().len() + info.region.as_str().len()
        });
        BARE_UPDATE_BYTES + info
    }
}

/// State of a member as known to this node.
#[derive(Clone, Debug)]
pub struct Member {
    /// Zone, region and address.
    pub info: Arc<MemberInfo>,
    /// Highest incarnation of the member known to this node.
    pub incarnation: u32,
    /// State at that incarnation.
    pub state: MemberState,
    /// Set when the state is this node's own verdict, made while it was isolated. Such a
    /// state is not sent to other nodes, and any evidence that the member is alive
    /// overrides it.
    pub local_only: bool,
    /// Version of the bundle that the member last reported to have in force.
    pub bundle: BundleVersion,
    /// When this node last changed the state.
    pub changed_at: Timestamp,
    /// Whether the member is in its probe ring.
    pub(super) in_ring: bool,
}

impl Member {
    /// Returns whether a claim of `state` at `incarnation` overrides the known state.
    pub fn overridden_by(&self, incarnation: u32, state: MemberState) -> bool {
        if self.local_only && incarnation == self.incarnation && state != MemberState::Suspect {
            return state != self.state;
        }
        (incarnation, state) > (self.incarnation, self.state)
    }

    /// Returns the claim that describes this state, with zone, region and address if
    /// `with_info` is set.
    pub fn update(&self, with_info: bool) -> MemberUpdate {
        MemberUpdate {
            node: self.info.node,
            incarnation: self.incarnation,
            state: self.state,
            info: with_info.then(|| self.info.clone()),
        }
    }
}
