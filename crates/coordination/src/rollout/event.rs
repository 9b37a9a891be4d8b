//! What a rollout machine is told and what it asks for.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use hookpoint_state::{BundleVersion, NodeId};

use super::leaving::LeavingList;
use super::message::RolloutMessage;
use super::store::ChangeError;

/// What happens to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEvent {
    /// Place of this node among the members of its zone that take work, from 0 in the
    /// order of their identifiers. The first few watch the platform.
    ZoneRank(usize),
    /// The platform's pointer names this version. An older one than in force is the
    /// answer of a platform that has lost its memory, and changes nothing.
    PlatformVersion(BundleVersion),
    /// The platform's bundle, as an encoded change. Answers
    /// [`RolloutAction::FetchFromPlatform`].
    PlatformChange(Bytes),
    /// The platform's bundle could not be had. Answers
    /// [`RolloutAction::FetchFromPlatform`].
    PlatformFailed,
    /// The platform's list of machines says that these databases are leaving.
    PlatformLeaving(LeavingList),
    /// A member was heard to have this version in force.
    PeerVersion {
        /// The member.
        node: NodeId,
        /// The version.
        version: BundleVersion,
    },
    /// A member is gone, or a message to it could not be delivered.
    PeerGone(NodeId),
    /// A message from another node, proved to come from it.
    PeerMessage {
        /// The sender.
        from: NodeId,
        /// The message.
        message: RolloutMessage,
    },
    /// The time of [`super::RolloutMachine::next_wake`] has come.
    Timer,
}

/// What a node asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Begin or end to watch the platform's pointer.
    WatchPlatform(bool),
    /// Read the pointer and its bundle from the platform, once.
    FetchFromPlatform,
    /// Send a message to another node.
    SendPeer {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: RolloutMessage,
    },
    /// Send a message to all other members of this node's zone.
    TellZone(RolloutMessage),
    /// Drain the databases at these addresses, and no others on account of the list of
    /// machines.
    DrainLeaving(BTreeSet<SocketAddr>),
    /// The store holds a newer bundle: put it in force and tell the members.
    Install(BundleVersion),
    /// A change was not accepted.
    Rejected {
        /// Where it came from.
        source: ChangeSource,
        /// Why.
        error: ChangeError,
    },
}

/// Where a change came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// The platform.
    Platform,
    /// Another node.
    Peer(NodeId),
}
