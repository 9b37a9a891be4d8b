//! The configuration in force: routes, groups and limits under one version.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use hookpoint_state::{GroupName, RegionName};
use serde::{Deserialize, Serialize};

use super::cold_start::ColdStart;
use super::tenancy::Tenants;

/// What a route promises about the age of what is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Consistency {
    /// Every commit acknowledged before the read.
    Primary,
    /// Every commit acknowledged longer ago than the bound.
    BoundedStaleness(Duration),
    /// As bounded staleness, and every commit of the same session.
    ReadYourWrites(Duration),
}

/// One route: a database name that callers use, and how it is served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Group that serves the route.
    pub group: GroupName,
    /// Promise about reads.
    pub consistency: Consistency,
    /// Longest time for one statement.
    pub statement_timeout: Duration,
    /// Latency objective of a whole operation.
    pub target_latency: Duration,
    /// 0 is served first.
    pub priority: u8,
    /// Whether callers without a tenant's key may use it.
    pub open: bool,
    /// Regions that its statements may run in and pass through; empty if any may.
    pub allowed_regions: BTreeSet<RegionName>,
}

/// One replicated group as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Connections that one database accepts from all callers together.
    pub max_connections: usize,
    /// Replicas that have to hold a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// How its databases warm up after a start; none if they are warm at once.
    pub cold_start: Option<ColdStart>,
}

/// A whole configuration. Versions climb and never go back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version given by the operator.
    pub version: u64,
    /// Routes by the database name that callers use.
    pub routes: BTreeMap<String, Rc<Route>>,
    /// Groups by name.
    pub groups: BTreeMap<GroupName, Group>,
    /// Who may use routes that are not open, and how much.
    pub tenants: Tenants,
    /// How long an open transaction may rest before it may be ended.
    pub transaction_idle: Option<Duration>,
}

/// Holds the configuration in force and refuses older ones.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHolder {
    current: Option<Rc<Configuration>>,
}

impl ConfigurationHolder {
    /// Takes `offered` if it is newer than the one in force; says whether it did.
    pub fn offer(&mut self, offered: Configuration) -> bool {
        if self.version() >= Some(offered.version) {
            return false;
        }
        self.current = Some(Rc::new(offered));
        true
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<&Rc<Configuration>> {
        self.current.as_ref()
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.current
            .as_ref()
            .map(|configuration| configuration.version)
    }
}
