//! Counts of what the service was asked.

use parking_lot::Mutex;
use std::collections::BTreeMap;

/// Kind of a request, by its path.
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

/// A reading of the counts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlatformCounters {
    /// Requests that arrived, by kind, refused ones included.
    pub requests: BTreeMap<RequestKind, u64>,
    /// Requests refused at the rate limit.
    pub rate_limited: u64,
    /// Requests that met an outage.
    pub met_outage: u64,
    /// Answers lost after their request took effect.
    pub answers_lost: u64,
    /// Watches open now.
    pub watches_open: u64,
}

impl PlatformCounters {
    /// Requests of all kinds.
    pub fn total(&self) -> u64 {
        self.requests.values().sum()
    }

    /// Requests of one kind.
    pub fn of(&self, kind: RequestKind) -> u64 {
        self.requests.get(&kind).copied().unwrap_or(0)
    }

    /// Requests that were refused at the rate limit or met an outage.
    pub fn rejected(&self) -> u64 {
        self.rate_limited + self.met_outage
    }
}

/// The counts as they are kept.
#[derive(Debug, Default)]
pub(super) struct Counters(Mutex<PlatformCounters>);

impl Counters {
    /// Changes the counts.
    pub(super) fn update(&self, change: impl FnOnce(&mut PlatformCounters)) {
        change(&mut self.0.lock());
    }

    /// Counts a request.
    pub(super) fn request(&self, kind: RequestKind) {
        self.update(|counters| *counters.requests.entry(kind).or_default() += 1);
    }

    /// Reads the counts.
    pub(super) fn read(&self) -> PlatformCounters {
        self.0.lock().clone()
    }
}
