//! Messages between rollout machines, and the encoded change they carry.

use super::leaving::LeavingList;
use bytes::Bytes;
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{BundleDelta, SignedBundle};
use serde::{Deserialize, Serialize};

/// Maximum size of an encoded change, in bytes.
pub const MAXIMUM_CHANGE_BYTES: usize = 8 * 1024 * 1024;

/// A message between the rollout machines of two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutMessage {
    /// Asks for the change since a version; version 0 asks for the whole bundle.
    Pull {
        /// Version that the sender has in force.
        have: BundleVersion,
    },
    /// Answers a pull with an encoded [`Change`].
    Change(Bytes),
    /// Answers a pull: too many pulls are being answered; ask another node.
    Busy,
    /// Answers a pull: no newer version is in force on this node.
    NothingNewer,
    /// Databases whose machines are leaving, sent by a watcher or with a first bundle.
    Leaving(LeavingList),
}

/// A change that leads to a newer version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The whole bundle, for a node that has no bundle or one that is too old.
    Full(SignedBundle),
    /// The difference from the version that the receiver has.
    Delta(Box<BundleDelta>),
}

impl Change {
    /// Returns the encoded change.
    pub fn encode(&self) -> Bytes {
        // Encoding does not fail: every type in a change is encodable, and the output is
        // memory.
        Bytes::from(postcard::to_stdvec(self).unwrap_or_default())
    }
}
