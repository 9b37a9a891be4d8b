//! Members and what is said of them.

use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::{BundleVersion, NodeId, RegionName, Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

/// What never changes in the life of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The node.
    pub node: NodeId,
    /// Zone it runs in.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Address that peers send datagrams and open links to.
    pub address: SocketAddr,
}

/// State of a member. At one incarnation a later state overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers, and takes new work.
    Alive,
    /// Did not answer lately and may still refute that.
    Suspect,
    /// Takes no new work but still finishes and forwards what it has.
    Leaving,
    /// Gone.
    Dead,
}

impl MemberState {
    /// Whether the member may be given duties.
    pub fn takes_work(self) -> bool {
        self == MemberState::Alive
    }

    /// Name for people.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        }
    }
}

/// A claim about a member, as it travels between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub node: NodeId,
    /// Incarnation of the member that the claim is about.
    pub incarnation: u32,
    /// Claimed state.
    pub state: MemberState,
    /// Zone, region and address; left out where the receiver is expected to have them.
    pub info: Option<Arc<MemberInfo>>,
}

/// Upper bound of a claim's encoded size without [`MemberUpdate::info`], in bytes.
const BARE_UPDATE_BYTES: usize = 17;
/// Upper bound of the encoded size of an address and the framing of names, in bytes.
const INFO_OVERHEAD_BYTES: usize = 40;

impl MemberUpdate {
    /// Upper bound of its encoded size in bytes.
    pub fn encoded_bound(&self) -> usize {
        let info = self.info.as_ref().map_or(0, |info| {
            INFO_OVERHEAD_BYTES + info.zone.as_str().len() + info.region.as_str().len()
        });
        BARE_UPDATE_BYTES + info
    }
}

/// What this node holds of a member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Zone, region and address.
    pub info: Arc<MemberInfo>,
    /// Highest incarnation heard of.
    pub incarnation: u32,
    /// State at that incarnation.
    pub state: MemberState,
    /// Set when the state is this node's own verdict, reached while it heard from
    /// nobody. It is never passed on, and any sign of life overrides it.
    pub private: bool,
    /// Version of the bundle it was last heard to have in force.
    pub bundle: BundleVersion,
    /// When the state last changed here.
    pub changed_at: Timestamp,
    /// Whether it stands in its probe ring.
    pub(super) in_ring: bool,
}

impl Member {
    /// Whether a claim of `state` at `incarnation` overrides what is held.
    pub fn overridden_by(&self, incarnation: u32, state: MemberState) -> bool {
        if self.private && incarnation == self.incarnation && state != MemberState::Suspect {
            return state != self.state;
        }
        (incarnation, state) > (self.incarnation, self.state)
    }

    /// The claim that passes this on.
    pub fn update(&self, with_info: bool) -> MemberUpdate {
        MemberUpdate {
            node: self.info.node,
            incarnation: self.incarnation,
            state: self.state,
            info: with_info.then(|| self.info.clone()),
        }
    }
}
