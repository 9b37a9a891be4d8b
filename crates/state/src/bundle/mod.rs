//! The configuration bundle: groups, databases, routing preferences, limits and back
//! ends to drain, as one versioned document.

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

/// Version of a bundle. Preparing a bundle gives it a version above every earlier one;
/// the signature covers it, and the one in force never gives way to a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BundleVersion(pub u64);

/// The whole configuration that is in force on a proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// Version, set when the bundle is prepared; 0 in a document that is being written.
    #[serde(default)]
    pub version: BundleVersion,
    /// Free text for operators.
    #[serde(default)]
    pub description: String,
    /// Zones and the region each lies in.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Database groups by name.
    pub groups: BTreeMap<GroupName, Group>,
    /// Databases by name.
    pub databases: BTreeMap<DatabaseName, Database>,
    /// Limits and time budgets.
    #[serde(default)]
    pub limits: Limits,
    /// Weights of tenants in the fair queue; 1 where none is given.
    #[serde(default)]
    pub tenants: BTreeMap<TenantName, TenantLimits>,
    /// Databases that get no new work.
    #[serde(default)]
    pub drain: BTreeSet<DatabaseName>,
}

/// A replicated group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the database inside the servers, as told in the start-up message.
    pub database: String,
    /// User name towards the servers. Its password stands in the proxies' settings.
    pub user: String,
    /// Where reads may go.
    #[serde(default)]
    pub reads: ReadPreference,
    /// Shortest time in which the group replaces a silent primary, in milliseconds. An
    /// observation of the primary by a majority counts for less than this.
    #[serde(default = "default_election_timeout_ms")]
    pub election_timeout_ms: u64,
}

/// Where a group's reads may go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadPreference {
    /// A replica that is fresh enough, in the same zone before the same region before
    /// any; the primary when none is.
    #[default]
    Replica,
    /// Always the primary.
    Primary,
}

/// One database server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Database {
    /// Group it belongs to.
    pub group: GroupName,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Address as `ip:port`.
    pub address: String,
    /// Connections the whole fleet may hold to it.
    pub slots: u32,
}

/// Limits and time budgets; every field has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Longest wait for a connection or a primary, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for the evidence that a commit is held by a majority, in
    /// milliseconds.
    pub acknowledge_ms: u64,
    /// Longest queue for one database on its home node, in requests.
    pub queue_per_database: u32,
    /// Sessions one node accepts.
    pub sessions_per_node: u32,
    /// Largest message accepted from a caller, in bytes.
    pub message_bytes: u32,
    /// Longest time a transaction may sit idle while it holds a connection, in
    /// milliseconds.
    pub idle_transaction_ms: u64,
    /// Retries a tenant may spend per second, as a share of its requests in percent.
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
    /// [`Limits::wait_ms`] as a duration.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(self.wait_ms)
    }

    /// [`Limits::acknowledge_ms`] as a duration.
    pub fn acknowledge(&self) -> Duration {
        Duration::from_millis(self.acknowledge_ms)
    }
}

/// A tenant's share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantLimits {
    /// Weight in the fair queue, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests it may have waiting on one node; unlimited where none is given.
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
    /// The databases of `group`, in the order of their names.
    pub fn databases_of<'a>(
        &'a self,
        group: &'a GroupName,
    ) -> impl Iterator<Item = (&'a DatabaseName, &'a Database)> {
        self.databases
            .iter()
            .filter(move |(_, database)| &database.group == group)
    }

    /// The region of `zone`, if the bundle names it.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.zones.get(zone)
    }
}
