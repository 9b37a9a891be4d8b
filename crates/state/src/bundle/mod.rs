//! The configuration bundle: groups, databases, routing preferences, limits and back
//! ends to drain, in one versioned document.

mod delta;
mod digest;
mod parse;
mod signature;
#[cfg(test)]
mod tests;
mod validate;

pub use delta::{BundleDelta, DeltaError, MapDelta, SetDelta};
pub use digest::{BundleDigest, ParseDigestError};
pub use parse::{BundleProblem, BundleProblems, parse_bundle};
pub use signature::{
    BundleSignature, KeyError, KeyId, OperatorKey, SignatureError, SignedBundle, TrustedKeys,
};
pub use validate::BundleReason;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::names::{DatabaseName, GroupName, RegionName, TenantName, ZoneName};

/// Version of a bundle. Preparing a bundle assigns it a version above all earlier ones.
/// The signature covers the version, and the bundle in force is never replaced by one of
/// a lower version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

/// The configuration in force on a proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version, assigned when the bundle is prepared; 0 in a document that is still
    /// being written.
    #[serde(default)]
    pub version: BundleVersion,
    /// Free text for operators.
    #[serde(default)]
    pub description: String,
    /// Zones, with the region of each.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Database groups by name.
    pub groups: BTreeMap<GroupName, Group>,
    /// Databases by name.
    pub databases: BTreeMap<DatabaseName, Database>,
    /// Limits and time budgets.
    #[serde(default)]
    pub limits: Limits,
    /// Weights and limits of tenants in the fair queue. A tenant that is not listed has
    /// weight 1 and no limit.
    #[serde(default)]
    pub tenants: BTreeMap<TenantName, TenantLimits>,
    /// Databases that are being drained: they receive no new requests.
    #[serde(default)]
    pub drain: BTreeSet<DatabaseName>,
}

/// A replicated database group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the database on the servers, sent in the start-up message.
    pub database: String,
    /// User name for connections to the servers. Its password is in the proxies'
    /// settings.
    pub user: String,
    /// Databases that reads are routed to.
    #[serde(default)]
    pub reads: ReadPreference,
    /// Minimum time in which the group replaces an unresponsive primary, in
    /// milliseconds. An observation of the primary by a majority is valid for less than
    /// this.
    #[serde(default = "default_election_timeout_ms")]
    pub election_timeout_ms: u64,
}

/// Databases that a group's reads are routed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadPreference {
    /// A replica that is fresh enough, preferring the same zone, then the same region;
    /// the primary when there is none.
    #[default]
    Replica,
    /// Always the primary.
    Primary,
}

/// One database server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Group that the database belongs to.
    pub group: GroupName,
    /// Zone that the database runs in.
    pub zone: ZoneName,
    /// Address as `ip:port`.
    pub address: String,
    /// Maximum number of connections that the nodes of the fleet together open to this
    /// database.
    pub slots: u32,
}

/// Limits and time budgets; every field has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum wait for a connection or a primary, in milliseconds.
    pub wait_ms: u64,
    /// Maximum wait until a majority of the group is known to have flushed a commit, in
    /// milliseconds.
    pub acknowledge_ms: u64,
    /// Maximum number of requests that wait for a connection to one database on its home
    /// node, which is the node that holds the fleet's connections to the database.
    pub queue_per_database: u32,
    /// Maximum number of sessions per node.
    pub sessions_per_node: u32,
    /// Maximum size of a message from a caller, in bytes.
    pub message_bytes: u32,
    /// Maximum time for which a transaction may be idle while it holds a connection, in
    /// milliseconds.
    pub idle_transaction_ms: u64,
    /// Retries that a tenant earns with its requests, as a percentage of their number.
    pub retry_percent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            wait_ms: 10_000,
            acknowledge_ms: 5_000,
            queue_per_database: 1_000,
            sessions_per_node: 10_000,
            message_bytes: 64 * 1024 * 1024,
            idle_transaction_ms: 60_000,
            retry_percent: 20,
        }
    }
}

impl Limits {
    /// Returns [`Limits::wait_ms`] as a duration.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }

    /// Returns [`Limits::acknowledge_ms`] as a duration.
    pub fn acknowledge(&self) -> Duration {
        Duration::from_millis(self.acknowledge_ms)
    }
}

/// Weight and limits of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Weight in the fair queue, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of the tenant's waiting requests in one queue; unlimited if
    /// `None`.
    #[serde(default)]
    pub waiting: Option<u32>,
}

fn default_weight() -> u32 {
    1
}

fn default_election_timeout_ms() -> u64 {
    300
}

impl Bundle {
    /// Returns the databases of `group`, ordered by name.
    pub fn databases_of<'a>(
        &'a self,
        group: &'a GroupName,
    ) -> impl Iterator<Item = (&'a DatabaseName, &'a Database)> {
        self.databases
            .iter()
            .filter(move |(_, database)| &database.group == group)
    }

    /// Returns the region of `zone`; `None` if the zone is not in the bundle.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.zones.get(zone)
    }
}
