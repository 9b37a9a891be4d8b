//! The configuration in force: versioned routes, groups and limits.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use hookpoint_state::{GroupName, RegionName};
use serde::{Deserialize, Serialize};

use super::cold_start::ColdStart;
use super::tenancy::Tenants;

/// Guarantee of a route about the freshness of reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// A read sees every commit acknowledged before it.
    Primary,
    /// A read sees every commit acknowledged longer ago than the bound.
    BoundedStaleness(Duration),
    /// As bounded staleness, and a read also sees every commit of the same session.
    ReadYourWrites(Duration),
}

/// A database name that callers use, and how it is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Group that serves the route.
    pub group: GroupName,
    /// Guarantee about the freshness of reads.
    pub consistency: Consistency,
    /// Maximum duration of one statement.
    pub statement_timeout: Duration,
    /// Latency objective of a whole operation.
    pub target_latency: Duration,
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Whether callers without a tenant's key may use the route.
    #[serde(rename = "open")]
    pub allows_anonymous: bool,
    /// Regions in which its statements may run and through which they may pass; empty if any may be
    /// used.
    pub allowed_regions: BTreeSet<RegionName>,
}

/// A replicated group as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Number of connections that one database accepts from all callers together.
    pub max_connections: usize,
    /// Number of replicas that have to hold a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// How its databases warm up after a start; `None` if they are warm at once.
    pub cold_start: Option<ColdStart>,
}

/// A whole configuration. Versions only increase.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version assigned by the operator.
    pub version: u64,
    /// Routes by the database name that callers use.
    pub routes: BTreeMap<String, Rc<Route>>,
    /// Groups by name.
    pub groups: BTreeMap<GroupName, Group>,
    /// Tenants that may use routes that are not open, and their limits.
    pub tenants: Tenants,
    /// How long an open transaction may be idle before it may be ended.
    pub transaction_idle: Option<Duration>,
}

/// Holds the configuration in force and rejects older ones.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHolder {
    current: Option<Rc<Configuration>>,
}

impl ConfigurationHolder {
    /// Replaces the configuration in force by `offered` if that is newer. Returns whether it did.
    pub fn offer(&mut self, offered: Configuration) -> bool {
        if self.version() >= Some(offered.version) {
            return false;
        }
        self.current = Some(Rc::new(offered));
        true
    }

    /// Returns the configuration in force, if there is one.
    pub fn current(&self) -> Option<&Rc<Configuration>> {
        self.current.as_ref()
    }

    /// Returns the version in force, if there is one.
    pub fn version(&self) -> Option<u64> {
        self.current
            .as_ref()
            .map(|configuration| configuration.version)
    }
}
