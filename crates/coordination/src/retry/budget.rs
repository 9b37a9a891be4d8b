//! Retry budgets: retries are a bounded share of requests, so that a fault is not
//! multiplied by those who suffer from it.

use std::collections::BTreeMap;

use hookpoint_state::TenantName;

/// Cost of one retry, in hundredths of a request.
const RETRY_COST: u32 = 100;
/// Retries a tenant that has sent little may still make.
const INITIAL_RETRIES: u32 = 10;
/// Retries a tenant may save up.
const MAXIMUM_RETRIES: u32 = 100;
/// Tenants whose budgets are kept.
const MAXIMUM_TENANTS: usize = 4_096;

/// One tenant's token bucket. Each request adds `percent` hundredths; each retry takes
/// a whole one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            hundredths: INITIAL_RETRIES * RETRY_COST,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn requested(&mut self, percent: u32) {
        let filled = self.hundredths.saturating_add(percent);
        self.hundredths = filled.min(MAXIMUM_RETRIES * RETRY_COST);
    }

    /// Takes a retry if there is one.
    pub fn take(&mut self) -> bool {
        let Some(rest) = self.hundredths.checked_sub(RETRY_COST) else {
            return false;
        };
        self.hundredths = rest;
        true
    }
}

/// Budgets of all tenants of a node; the number kept is bounded.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    tenants: BTreeMap<TenantName, RetryBudget>,
}

impl RetryBudgets {
    /// No tenant has asked for anything yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The budget of `tenant`. When too many tenants are known, the one of the lowest
    /// name other than `tenant` is forgotten and starts anew.
    pub fn of(&mut self, tenant: &TenantName) -> &mut RetryBudget {
        if self.tenants.len() >= MAXIMUM_TENANTS && !self.tenants.contains_key(tenant) {
            self.tenants.pop_first();
        }
        self.tenants.entry(tenant.clone()).or_default()
    }

    /// How many tenants are known.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is known.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
