//! Admission to a bounded queue, with fair shares for tenants under overload.

#[cfg(test)]
mod tests;

use hookpoint_state::Refusal;

/// Fill level of a queue, in percent, below which tenants are not held to their shares.
/// From it on the queue counts as overloaded, and each tenant is limited to its weighted
/// share.
pub const OVERLOAD_PERCENT: usize = 50;

/// State of a queue at the moment a request asks to wait in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueState {
    /// Number of waiting requests.
    pub length: usize,
    /// Maximum number of waiting requests.
    pub capacity: usize,
    /// Number of waiting requests of the asking tenant.
    pub tenant_length: usize,
    /// Maximum number of waiting requests of the tenant, if the bundle sets one.
    pub tenant_capacity: Option<u32>,
    /// Weight of the asking tenant.
    pub tenant_weight: u32,
    /// Sum of the weights of all tenants with waiting requests, including the asking
    /// tenant.
    pub total_weight: u64,
}

impl QueueState {
    /// Checks whether another request of the tenant may wait.
    ///
    /// # Errors
    /// Returns [`Refusal::QueueFull`] or [`Refusal::TenantLimit`]; in both cases the
    /// request did not run.
    pub fn admit(&self) -> Result<(), Refusal> {
        let at_own_limit = self
            .tenant_capacity
            .is_some_and(|capacity| self.tenant_length >= capacity as usize);
        if at_own_limit {
            return Err(Refusal::TenantLimit);
        }
        if self.length >= self.capacity {
            return Err(Refusal::QueueFull);
        }
        if self.overloaded() && self.tenant_length >= self.fair_share() {
            return Err(Refusal::TenantLimit);
        }
        Ok(())
    }

    fn overloaded(&self) -> bool {
        self.length.saturating_mul(100) >= self.capacity.saturating_mul(OVERLOAD_PERCENT)
    }

    /// Returns the tenant's weighted share of the queue, at least one request.
    fn fair_share(&self) -> usize {
        let weight = u64::from(self.tenant_weight);
        let share = (self.capacity as u64).saturating_mul(weight) / self.total_weight.max(1);
        usize::try_from(share).unwrap_or(usize::MAX).max(1)
    }
}
