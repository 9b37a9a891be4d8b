//! What the bundle says about one database's slots.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::bundle::TenantLimits;
use hookpoint_state::{Bundle, DatabaseName, TenantName};

/// Idle connections a home node keeps whatever happens.
const MINIMUM_IDLE: usize = 1;
/// How long a connection above the minimum stays idle before it is closed.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Slots, limits and weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotPolicy {
    /// Connections the database accepts from the fleet.
    pub slots: usize,
    /// Requests that may wait.
    pub queue_limit: usize,
    /// Weights and limits of tenants; weight 1 where none is given.
    pub tenants: BTreeMap<TenantName, TenantLimits>,
    /// Idle connections kept open on the home node.
    pub minimum_idle: usize,
    /// How long others stay idle.
    pub idle_time: Duration,
}

impl SlotPolicy {
    /// The policy of `database` by `bundle`, if the bundle names it.
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

    /// Weight of `tenant`, at least 1.
    pub fn weight(&self, tenant: &TenantName) -> u32 {
        self.tenants
            .get(tenant)
            .map_or(1, |limits| limits.weight.max(1))
    }

    /// Most requests of `tenant` that may wait, if limited.
    pub fn waiting_limit(&self, tenant: &TenantName) -> Option<u32> {
        self.tenants.get(tenant).and_then(|limits| limits.waiting)
    }
}
