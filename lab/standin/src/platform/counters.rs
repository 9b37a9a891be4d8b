//! Request counters of the service.

use parking_lot::Mutex;
use std::collections::BTreeMap;

/// Kind of a request, determined by its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// `/v3/kv/range`.
    Range,
    /// `/v3/kv/put`.
    Put,
    /// `/v3/kv/deleterange`.
    DeleteRange,
    /// `/v3/kv/txn`.
    Txn,
    /// `/v3/kv/compaction`.
    Compaction,
    /// `/v3/lease/grant`.
    LeaseGrant,
    /// `/v3/lease/keepalive`.
    LeaseKeepAlive,
    /// `/v3/lease/revoke`.
    LeaseRevoke,
    /// `/v3/lease/timetolive`.
    LeaseTimeToLive,
    /// `/v3/watch`.
    Watch,
}

/// A snapshot of the counters.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformCounters {
    /// Requests received, by kind, including rejected ones.
    pub requests: BTreeMap<RequestKind, u64>,
    /// Requests rejected by the rate limit.
    pub rate_limited: u64,
    /// Requests received during an outage.
    pub received_during_outage: u64,
    /// Responses dropped after their request took effect.
    pub responses_dropped: u64,
    /// Watches currently open.
    pub watches_open: u64,
}

impl PlatformCounters {
    /// Returns the number of requests of all kinds.
    pub fn total(&self) -> u64 {
        self.requests.values().sum()
    }

    /// Returns the number of requests of one kind.
    pub fn of(&self, kind: RequestKind) -> u64 {
        self.requests.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the number of requests that were rejected by the rate limit or
    /// received during an outage.
    pub fn rejected(&self) -> u64 {
        self.rate_limited + self.received_during_outage
    }
}

/// The live counters.
#[derive(Debug, Default)]
pub(super) struct Counters(Mutex<PlatformCounters>);

impl Counters {
    /// Updates the counters under their lock.
    pub(super) fn update(&self, change: impl FnOnce(&mut PlatformCounters)) {
        change(&mut self.0.lock());
    }

    /// Counts a request.
    pub(super) fn request(&self, kind: RequestKind) {
        self.update(|counters| *counters.requests.entry(kind).or_default() += 1);
    }

    /// Returns a snapshot of the counters.
    pub(super) fn read(&self) -> PlatformCounters {
        self.0.lock().clone()
    }
}
