//! Input events and output actions of a rollout machine.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use hookpoint_state::{BundleVersion, NodeId};

use super::leaving::LeavingList;
use super::message::RolloutMessage;
use super::store::ChangeError;

/// Input event of a rollout machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEvent {
    /// Number of members of this node's zone that accept new work and have lower
    /// identifiers. Nodes of the lowest ranks watch the platform.
    ZoneRank(usize),
    /// The platform's pointer names this version. A version older than the one in force
    /// means that the platform has lost data, and is ignored.
    PlatformVersion(BundleVersion),
    /// The platform's bundle, as an encoded change. Answers
    /// [`RolloutAction::FetchFromPlatform`].
    PlatformChange(Bytes),
    /// The platform's bundle could not be fetched. Answers
    /// [`RolloutAction::FetchFromPlatform`].
    PlatformFailed,
    /// The platform's list of machines names these databases as leaving.
    PlatformLeaving(LeavingList),
    /// A member reported that it has this version in force.
    PeerVersion {
        /// Member that reported the version.
        node: NodeId,
        /// Version that the member has in force.
        version: BundleVersion,
    },
    /// A member died or left, or a message to it could not be delivered.
    PeerLost(NodeId),
    /// A message from another node, whose origin was authenticated.
    PeerMessage {
        /// Node that sent the message.
        from: NodeId,
        /// Message received.
        message: RolloutMessage,
    },
    /// The time returned by [`super::RolloutMachine::next_wake`] has been reached.
    Timer,
}

/// Output action of a rollout machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Start (`true`) or stop (`false`) watching the platform's pointer.
    WatchPlatform(bool),
    /// Read the pointer and its bundle from the platform once.
    FetchFromPlatform,
    /// Send a message to another node.
    SendPeer {
        /// Node to send to.
        to: NodeId,
        /// Message to send.
        message: RolloutMessage,
    },
    /// Send a message to all other members of this node's zone.
    BroadcastToZone(RolloutMessage),
    /// Drain the databases at these addresses. Replaces the previous set of databases
    /// drained because of the list of machines.
    DrainDatabases(BTreeSet<SocketAddr>),
    /// The store holds a newer bundle: put it in force and announce its version to the
    /// members.
    Install(BundleVersion),
    /// A change was rejected.
    Rejected {
        /// Origin of the change.
        source: ChangeSource,
        /// Reason for the rejection.
        error: ChangeError,
    },
}

/// Origin of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The change was fetched from the platform.
    Platform,
    /// The change was pulled from another node.
    Peer(NodeId),
}
