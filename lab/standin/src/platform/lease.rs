//! Leases and the keys bound to them.

use super::error::ApiError;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Maximum time to live that the service grants, in seconds.
const MAX_TTL_SECONDS: i64 = 9_000_000_000;

#[derive(Debug)]
struct Lease {
    ttl_seconds: i64,
    deadline: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// State of one lease at a point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseState {
    /// Time to live that was granted, in seconds.
    pub granted_ttl_seconds: i64,
    /// Seconds until the lease expires, rounded down.
    pub remaining_seconds: i64,
    /// Keys bound to the lease, in order.
    pub keys: Vec<Vec<u8>>,
}

/// All active leases.
#[derive(Debug)]
pub struct LeaseTable {
    leases: BTreeMap<i64, Lease>,
    next_identifier: i64,
    min_ttl_seconds: i64,
}

impl LeaseTable {
    /// Creates an empty table that raises every time to live to at least
    /// `min_ttl_seconds`.
    pub fn new(min_ttl_seconds: i64) -> Self {
        Self {
            leases: BTreeMap::new(),
            next_identifier: 7_587_000_000_000_000_001,
            min_ttl_seconds,
        }
    }

    /// Grants a lease; `identifier` 0 lets the table choose one. Returns the
    /// identifier and the granted time to live in seconds.
    pub fn grant(
        &mut self,
        identifier: i64,
        ttl_seconds: i64,
        now: Instant,
    ) -> Result<(i64, i64), ApiError> {
        if ttl_seconds > MAX_TTL_SECONDS {
            return Err(ApiError::LeaseTtlTooLarge);
        }
        if self.leases.contains_key(&identifier) {
            return Err(ApiError::LeaseExists);
        }
        let identifier = self.choose_identifier(identifier);
        let ttl_seconds = ttl_seconds.max(self.min_ttl_seconds);
        let lease = Lease {
            ttl_seconds,
            deadline: now + duration(ttl_seconds),
            keys: BTreeSet::new(),
        };
        self.leases.insert(identifier, lease);
        Ok((identifier, ttl_seconds))
    }

    fn choose_identifier(&mut self, requested: i64) -> i64 {
        if requested != 0 {
            return requested;
        }
        while self.leases.contains_key(&self.next_identifier) {
            self.next_identifier += 1;
        }
        self.next_identifier += 1;
        self.next_identifier - 1
    }

    /// Renews a lease and returns its time to live in seconds, or `None` when it
    /// does not exist.
    pub fn keep_alive(&mut self, identifier: i64, now: Instant) -> Option<i64> {
        let lease = self.leases.get_mut(&identifier)?;
        lease.deadline = now + duration(lease.ttl_seconds);
        Some(lease.ttl_seconds)
    }

    /// Removes a lease and returns the keys bound to it.
    pub fn remove(&mut self, identifier: i64) -> Option<BTreeSet<Vec<u8>>> {
        self.leases.remove(&identifier).map(|lease| lease.keys)
    }

    /// Returns whether a lease is active.
    pub fn contains(&self, identifier: i64) -> bool {
        self.leases.contains_key(&identifier)
    }

    /// Returns the identifiers of all active leases.
    pub fn identifiers(&self) -> Vec<i64> {
        self.leases.keys().copied().collect()
    }

    /// Returns the identifiers of the leases past their deadline.
    pub fn expired(&self, now: Instant) -> Vec<i64> {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now);
        expired.map(|(identifier, _)| *identifier).collect()
    }

    /// Returns the state of a lease, or `None` when it does not exist.
    pub fn state(&self, identifier: i64, now: Instant) -> Option<LeaseState> {
        let lease = self.leases.get(&identifier)?;
        let left = lease.deadline.saturating_duration_since(now).as_secs();
        Some(LeaseState {
            granted_ttl_seconds: lease.ttl_seconds,
            remaining_seconds: i64::try_from(left).unwrap_or(i64::MAX),
            keys: lease.keys.iter().cloned().collect(),
        })
    }

    /// Moves a key from one lease to another; 0 means no lease.
    pub fn rebind(&mut self, key: &[u8], from: i64, to: i64) {
        if let Some(lease) = self.leases.get_mut(&from) {
            lease.keys.remove(key);
        }
        if let Some(lease) = self.leases.get_mut(&to) {
            lease.keys.insert(key.to_vec());
        }
    }

    /// Rebuilds the bindings of keys to leases after the store was restored to an
    /// older revision.
    pub fn rebuild<'a>(&mut self, bindings: impl Iterator<Item = (&'a [u8], i64)>) {
        for lease in self.leases.values_mut() {
            lease.keys.clear();
        }
        for (key, identifier) in bindings {
            self.rebind(key, 0, identifier);
        }
    }
}

fn duration(seconds: i64) -> Duration {
    Duration::from_secs(seconds.max(0).unsigned_abs())
}
