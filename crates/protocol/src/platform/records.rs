//! What hookpoint keeps in the key-value service, as JSON values.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::bundle::{BundleDigest, BundleSignature, SignedBundle};
use hookpoint_state::{Bundle, BundleVersion};
use serde::{Deserialize, Serialize};

/// Key of the pointer to the bundle in force.
pub const ACTIVE_KEY: &str = "/hookpoint/active";
/// Key of the counter of versions.
pub const VERSION_COUNTER_KEY: &str = "/hookpoint/versions";
/// Prefix of the keys of bundles, by version.
pub const BUNDLE_PREFIX: &str = "/hookpoint/bundles/";
/// Prefix of the keys of past and present pointers, by version.
pub const HISTORY_PREFIX: &str = "/hookpoint/history/";
/// Prefix of the list of machines.
pub const MACHINE_PREFIX: &str = "machines/";

/// Key of the bundle of this version.
pub fn bundle_key(version: BundleVersion) -> String {
    format!("{BUNDLE_PREFIX}{:020}", version.0)
}

/// Key of the pointer that put this version in force.
pub fn history_key(version: BundleVersion) -> String {
    format!("{HISTORY_PREFIX}{:020}", version.0)
}

/// Identifier of one attempt to change something, drawn at random. Whoever lost the
/// answer finds out by it whether the change took effect.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(String);

impl AttemptId {
    /// The identifier with these random bits.
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

/// Who did something, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Operator's name.
    pub by: String,
    /// Milliseconds since 1970-01-01 UTC, by the operator's clock. For people only.
    pub at_ms: u64,
    /// The attempt.
    pub attempt: AttemptId,
}

/// A prepared bundle with its approvals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// The bundle, its version included.
    pub bundle: Arc<Bundle>,
    /// Digest of the bundle.
    pub digest: BundleDigest,
    /// Who prepared it.
    pub prepared: Stamp,
    /// Its approvals.
    #[serde(default)]
    pub signatures: Vec<BundleSignature>,
}

impl BundleRecord {
    /// The bundle with its approvals.
    pub fn signed(&self) -> SignedBundle {
        SignedBundle {
            bundle: Arc::clone(&self.bundle),
            signatures: self.signatures.clone(),
        }
    }
}

/// The pointer to the bundle in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivePointer {
    /// Version in force.
    pub version: BundleVersion,
    /// Digest of that bundle.
    pub digest: BundleDigest,
    /// Version that was in force before; 0 for the first.
    pub previous: BundleVersion,
    /// Who rolled it.
    pub rolled: Stamp,
}

/// The counter of versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounter {
    /// Highest version that was ever given out.
    pub highest: BundleVersion,
}

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine runs.
    Live,
    /// The machine will be taken away.
    Leaving,
}

/// One entry of the list of machines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name of the node.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Where the node listens for its peers; of a database, its own address.
    pub peer_address: SocketAddr,
    /// Whether it stays.
    pub state: MachineState,
}

impl MachineRecord {
    /// Key of the entry.
    pub fn key(&self) -> String {
        format!("{MACHINE_PREFIX}{}/{}", self.zone, self.node)
    }
}
