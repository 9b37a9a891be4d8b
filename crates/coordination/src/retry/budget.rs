//! Retry budgets: retries are limited to a share of the requests, so that callers
//! affected by a fault do not amplify it.

use std::collections::BTreeMap;

use hookpoint_state::TenantName;

/// Cost of one retry, in hundredths of a retry, which is the unit of [`RetryBudget`].
const RETRY_COST: u32 = 100;
/// Retries available to a tenant that has not sent any requests yet.
const INITIAL_RETRIES: u32 = 10;
/// Maximum number of retries that a tenant can accumulate.
const MAXIMUM_RETRIES: u32 = 100;
/// Maximum number of tenants whose budgets are kept.
const MAXIMUM_TENANTS: usize = 4_096;

/// Token bucket of one tenant, in hundredths of a retry. Each request adds `percent`
/// hundredths; each retry takes one hundred.
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
    /// Counts the first attempt of a request, which adds `percent` hundredths of a
    /// retry.
    pub fn record_request(&mut self, percent: u32) {
        let filled = self.hundredths.saturating_add(percent);
        self.hundredths = filled.min(MAXIMUM_RETRIES * RETRY_COST);
    }

    /// Takes one retry from the budget. Returns false if less than one is left.
    pub fn try_take(&mut self) -> bool {
        let Some(rest) = self.hundredths.checked_sub(RETRY_COST) else {
            return false;
        };
        self.hundredths = rest;
        true
    }
}

/// Budgets of a node's tenants, in bounded number.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    tenants: BTreeMap<TenantName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates an empty set of budgets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the budget of `tenant`. When the maximum number of tenants is reached, a
    /// new tenant evicts the one with the lowest name, which starts over with a fresh
    /// budget.
    pub fn for_tenant(&mut self, tenant: &TenantName) -> &mut RetryBudget {
        if self.tenants.len() >= MAXIMUM_TENANTS && !self.tenants.contains_key(tenant) {
            self.tenants.pop_first();
        }
        self.tenants.entry(tenant.clone()).or_default()
    }

    /// Returns the number of tenants whose budgets are kept.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no budget is kept.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
