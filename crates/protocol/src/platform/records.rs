//! Records that hookpoint stores in the key-value service as JSON values, and their keys.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::bundle::{BundleDigest, BundleSignature, SignedBundle};
use hookpoint_state::{Bundle, BundleVersion};
use serde::{Deserialize, Serialize};

/// Key of the pointer to the active bundle.
pub const ACTIVE_KEY: &str = "/hookpoint/active";
/// Key of the counter of bundle versions.
pub const VERSION_COUNTER_KEY: &str = "/hookpoint/versions";
/// Prefix of the keys of bundles, followed by the version.
pub const BUNDLE_PREFIX: &str = "/hookpoint/bundles/";
/// Prefix of the keys of past and present pointers, followed by the version.
pub const HISTORY_PREFIX: &str = "/hookpoint/history/";
/// Prefix of the keys of the machine list.
pub const MACHINE_PREFIX: &str = "machines/";

/// Returns the key of the bundle with this version.
pub fn bundle_key(version: BundleVersion) -> String {
    format!("{BUNDLE_PREFIX}{:020}", version.0)
}

/// Returns the key of the pointer that activated this version.
pub fn history_key(version: BundleVersion) -> String {
    format!("{HISTORY_PREFIX}{:020}", version.0)
}

/// Random identifier of one attempt to change a record. When the response to a change is
/// lost, the identifier in the store shows whether the change took effect.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(String);

impl AttemptId {
    /// Creates an identifier from random bits.
    pub fn new(bits: u128) -> Self {
        Self(format!("{bits:032x}"))
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "AttemptId({})", self.0)
    }
}

/// Records by whom, when and in which attempt a change was made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeStamp {
    /// Name of the operator.
    pub by: String,
    /// Milliseconds since 1970-01-01 UTC by the clock of the operator's machine. For display
    /// only.
    pub at_ms: u64,
    /// Identifier of the attempt that made the change.
    pub attempt: AttemptId,
}

/// A prepared bundle with its approvals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// The bundle, including its version.
    pub bundle: Arc<Bundle>,
    /// Digest of the bundle.
    pub digest: BundleDigest,
    /// By whom and when the bundle was prepared.
    pub prepared: ChangeStamp,
    /// Signatures of the operators who approved the bundle.
    #[serde(default)]
    pub signatures: Vec<BundleSignature>,
}

impl BundleRecord {
    /// Returns the bundle with its approvals.
    pub fn signed(&self) -> SignedBundle {
        SignedBundle {
            bundle: Arc::clone(&self.bundle),
            signatures: self.signatures.clone(),
        }
    }
}

/// The pointer to the active bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivePointer {
    /// Version of the active bundle.
    pub version: BundleVersion,
    /// Digest of the active bundle.
    pub digest: BundleDigest,
    /// Version that was active before; 0 for the first activation.
    pub previous: BundleVersion,
    /// By whom and when the bundle was activated.
    pub rolled: ChangeStamp,
}

/// The counter of bundle versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounter {
    /// Highest version that was ever assigned.
    pub highest: BundleVersion,
}

/// State of a machine in the machine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine stays in service.
    Live,
    /// The machine will be removed.
    Leaving,
}

/// One entry of the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name of the node.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Address at which the node accepts connections of its peers; for a database, the address
    /// of the database.
    pub peer_address: SocketAddr,
    /// Whether the machine stays in service or will be removed.
    pub state: MachineState,
}

impl MachineRecord {
    /// Returns the key of the entry.
    pub fn key(&self) -> String {
        format!("{MACHINE_PREFIX}{}/{}", self.zone, self.node)
    }
}
