//! Admission to a bounded queue: who may still wait when many do.

#[cfg(test)]
mod tests;

use hookpoint_state::Refusal;

/// Share of a queue, in percent, up to which every tenant may wait freely. Above it the
/// queue counts as overloaded and each tenant is held to its weighted share.
pub const OVERLOAD_PERCENT: usize = 50;

/// State of a queue at the moment a request asks to wait in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueState {
    /// Requests that wait.
    pub length: usize,
    /// Requests that may wait at most.
    pub capacity: usize,
    /// Requests of the asking tenant that wait.
    pub tenant_length: usize,
    /// The tenant's own limit, if the bundle gives one.
    pub tenant_capacity: Option<u32>,
    /// Weight of the asking tenant.
    pub tenant_weight: u32,
    /// Sum of the weights of all tenants that wait, the asking one included.
    pub total_weight: u64,
}

impl QueueState {
    /// Whether another request of the tenant may wait.
    ///
    /// # Errors
    /// [`Refusal::QueueFull`] or [`Refusal::TenantLimit`]; the request did not run.
    pub fn admit(&self) -> Result<(), Refusal> {
        let over_own = self
            .tenant_capacity
            .is_some_and(|capacity| self.tenant_length >= capacity as usize);
        if over_own {
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

    /// The tenant's part of the queue by weight, at least one place.
    fn fair_share(&self) -> usize {
        let weight = u64::from(self.tenant_weight);
        let share = (self.capacity as u64).saturating_mul(weight) / self.total_weight.max(1);
        usize::try_from(share).unwrap_or(usize::MAX).max(1)
    }
}
