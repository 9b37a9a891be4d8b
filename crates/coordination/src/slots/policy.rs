//! Configuration of one database's slots by the bundle.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::bundle::TenantLimits;
use hookpoint_state::{Bundle, DatabaseName, TenantName};

/// Number of idle connections that a home node always keeps open.
const MINIMUM_IDLE: usize = 1;
/// How long a connection above the minimum stays idle before it is closed.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Slots, queue limits and tenant weights of one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotPolicy {
    /// Number of connections that the database accepts from the fleet.
    pub slots: usize,
    /// Maximum number of waiting requests.
    pub queue_limit: usize,
    /// Weights and limits of tenants. Tenants that are not listed have weight 1 and no
    /// limit.
    pub tenants: BTreeMap<TenantName, TenantLimits>,
    /// Number of idle connections kept open on the home node.
    pub minimum_idle: usize,
    /// How long further connections stay idle before they are closed.
    pub idle_time: Duration,
}

impl SlotPolicy {
    /// Returns the policy of `database` according to `bundle`; `None` if the bundle does
    /// not contain the database.
    pub fn from_bundle(bundle: &Bundle, database: &DatabaseName) -> Option<Self> {
        let entry = bundle.databases.get(database)?;
        Some(Self {
            slots: entry.slots as usize,
            queue_limit: bundle.limits.queue_per_database as usize,
            tenants: bundle.tenants.clone(),
            minimum_idle: MINIMUM_IDLE,
            idle_time: IDLE_TIME,
        })
    }

    /// Returns the weight of `tenant`, at least 1.
    pub fn weight(&self, tenant: &TenantName) -> u32 {
        self.tenants
            .get(tenant)
            .map_or(1, |limits| limits.weight.max(1))
    }

    /// Returns the maximum number of waiting requests of `tenant`, if limited.
    pub fn waiting_limit(&self, tenant: &TenantName) -> Option<u32> {
        self.tenants.get(tenant).and_then(|limits| limits.waiting)
    }
}
