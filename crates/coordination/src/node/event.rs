//! Input events and output actions of a node machine.

use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::{Bundle, BundleVersion, GroupName, NodeId};

use super::message::{LeadershipUpdate, PeerMessage};
use crate::home::HomeChange;
use crate::membership::{Datagram, MemberInfo, MemberState};
use crate::rollout::RolloutMessage;

/// A machine in the platform's list. The list may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformMachine {
    /// Peer address of the proxy on the machine.
    pub address: SocketAddr,
    /// Whether the machine is about to leave.
    pub leaving: bool,
}

/// Input event of a node machine.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// Configured addresses at which nodes may be found.
    Seeds(Vec<SocketAddr>),
    /// A datagram that was authenticated as coming from the fleet.
    Datagram(Box<Datagram>),
    /// A message from another node over a link.
    PeerMessage {
        /// Sender, as authenticated by the link.
        from: NodeId,
        /// Message received.
        message: PeerMessage,
    },
    /// A link to a node broke or could not be established.
    PeerLost(NodeId),
    /// The time returned by [`super::NodeMachine::next_wake`] has been reached.
    Timer,
    /// The platform's list of machines.
    PlatformMachines(Vec<PlatformMachine>),
    /// A bundle came into force on this node.
    BundleInstalled(Arc<Bundle>),
    /// This node observed a change in the leadership of a group.
    LeadershipObserved(LeadershipUpdate),
    /// A session of this node used a group.
    GroupUsed(GroupName),
    /// An operator asks which nodes do not have this version in force.
    VersionsRequested(BundleVersion),
    /// This node is to stop: it becomes home of no further databases and hands over
    /// those it has.
    StopRequested,
}

/// Output action of a node machine. Actions marked as being for the rollout machine, and
/// members that die or leave, must be passed on to [`crate::rollout::RolloutMachine`],
/// which is driven beside this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeAction {
    /// Send a datagram.
    SendDatagram {
        /// Destination address.
        to: SocketAddr,
        /// Datagram to send.
        datagram: Box<Datagram>,
    },
    /// Send a message over the link to a node; establish the link if there is none.
    SendPeer {
        /// Node to send to.
        to: NodeId,
        /// Message to send.
        message: PeerMessage,
    },
    /// This node became, or ceased to be, the home of a database.
    HomeChanged(HomeChange),
    /// Another node reported newer leadership of a group than this node knew.
    LeadershipLearned(LeadershipUpdate),
    /// A member was added or its state changed.
    MemberChanged {
        /// Member that was added or whose state changed.
        info: Arc<MemberInfo>,
        /// New state of the member.
        state: MemberState,
    },
    /// Number of members of this node's zone that accept new work and have lower
    /// identifiers, counted up to [`crate::rollout::WATCHERS_PER_ZONE`]. For the rollout
    /// machine.
    ZoneRankChanged(usize),
    /// A message for the rollout machine.
    RolloutReceived {
        /// Node that sent the message.
        from: NodeId,
        /// Message for the rollout machine.
        message: RolloutMessage,
    },
    /// A member reported the version of its bundle in force. For the rollout machine.
    PeerVersionSeen {
        /// Member that reported the version.
        node: NodeId,
        /// Version of its bundle.
        version: BundleVersion,
    },
}
