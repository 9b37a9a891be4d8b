//! Messages between nodes, and the encoded change they carry.

use super::leaving::LeavingList;
use bytes::Bytes;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{BundleDelta, SignedBundle};
use serde::{Deserialize, Serialize};

/// Largest encoded change accepted, in bytes.
pub const MAXIMUM_CHANGE_BYTES: usize = 8 * 1024 * 1024;

/// Between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// Asks for the change since a version; version 0 asks for the whole bundle.
    Pull {
        /// Version the sender has in force.
        have: BundleVersion,
    },
    /// Answers a pull with an encoded [`Change`].
    Change(Bytes),
    /// Answers a pull: too many others are being served, ask another node.
    Busy,
    /// Answers a pull: nothing newer is in force here.
    NothingNewer,
    /// Databases whose machines are leaving, from a watcher or with a first bundle.
    Leaving(LeavingList),
}

/// What brings a node to a newer version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The whole bundle, for a node that has none or a very old one.
    Full(SignedBundle),
    /// What changed since the version that the receiver has.
    Delta(Box<BundleDelta>),
}

impl Change {
    /// The encoded change.
    pub fn encode(&self) -> Bytes {
        // Every type in a change has an encoding, and memory is the only sink.
        Bytes::from(postcard::to_stdvec(self).unwrap_or_default())
    }
}
