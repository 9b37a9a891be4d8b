//! Rate limiting for databases that have just started and can take little load until they are warm.
//!
//! Across all nodes, a cold database receives no more than [`ColdStart::rate_milli`], within the
//! configured bounds. Nodes do not coordinate on the request path. Instead, only a few nodes, the
//! first of the database's home nodes (its *cold holders*), send requests to it, and each enforces
//! a fixed share of the allowed rate with its own token bucket, whichever other nodes are alive.
//! The shares are small enough that two sets of holders, as the two sides of a network partition
//! see them, stay within the bound together. A holder starts with an empty bucket.
//!
//! A node treats a database as cold for as long as its registration says so, measured on the node's
//! own monotonic clock from the receipt of the entry, and also while the database may have
//! restarted without having registered again.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{DatabaseName, Timestamp};
use serde::{Deserialize, Serialize};

use super::quota::{GrantLimit, MICROS, TokenAnswer, TokenBucket};

/// Number of nodes that send requests to a cold database. With two, the loss of one node or of its
/// network path to the database leaves half of the budget, and a second node that can report on the
/// state of a primary.
pub const COLD_HOLDERS: usize = 2;

/// Number of disjoint holder sets that may be active at once: one on each side of a network
/// partition.
const PARTITION_SIDES: u64 = 2;

/// Maximum delay between taking a token and sending the request: a connection is opened or handed
/// to the requesting node in between.
const MAX_SEND_DELAY: Duration = Duration::from_millis(200);

/// Minimum interval between two status queries that a holder sends on its own behalf.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// How long the next token is reserved for a status query that found none. The query is retried
/// within a tenth of a second; without the reservation, callers' requests would take every token as
/// it becomes available.
const QUERY_RESERVATION_TIME: Duration = Duration::from_millis(500);

/// Time within which a restart becomes visible in the store. The entry changes at once, or expires
/// after three heartbeats if the database cannot write to the store, and nodes receive the change
/// shortly afterwards.
const RESTART_DETECTION_TIME: Duration = Duration::from_millis(4_500);

/// Warm-up settings of a group's databases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a database is cold after it starts.
    pub duration: Duration,
    /// Requests per second that a cold database should receive from all nodes together, in
    /// thousandths.
    pub rate_milli: u64,
}

/// Tolerances within which the rate limit of a cold database is enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdStartBounds {
    /// By how much the requests in any one second may exceed the rate, in thousandths of the rate.
    pub overshoot_milli: u64,
    /// Number of requests by which they may exceed it in addition.
    pub slack: u64,
}

impl ColdStart {
    /// Returns how much a cold database may receive in any one second, in millionths of a request.
    pub fn allowed(self, bounds: ColdStartBounds) -> u64 {
        self.rate_milli
            .saturating_mul(bounds.overshoot_milli.saturating_add(1_000))
            .saturating_add(bounds.slack.saturating_mul(MICROS))
    }

    /// Returns the share of one holder. The share is such that rate x (one second + the sending
    /// time) plus a full bucket of one request stays within the bound.
    ///
    /// A bound of four requests per second or less cannot be divided in this way; a cold database
    /// then receives nothing.
    pub fn holder_share(self, bounds: ColdStartBounds) -> GrantLimit {
        let holders = u64::try_from(COLD_HOLDERS).unwrap_or(u64::MAX);
        let share = self.allowed(bounds) / (holders * PARTITION_SIDES);
        let sustained = share.saturating_sub(MICROS);
        let window = 1_000 + u64::try_from(MAX_SEND_DELAY.as_millis()).unwrap_or(u64::MAX);
        let configured = self.rate_milli.saturating_mul(1_000) / holders;
        GrantLimit {
            rate: (sustained.saturating_mul(1_000) / window).min(configured),
            burst: MICROS.min(share),
        }
    }
}

/// How a registration relates to what the node knew of the database before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationChange {
    /// The database was not known.
    First,
    /// The database is still in the same incarnation.
    SameIncarnation,
    /// The database has restarted: a new incarnation has begun.
    NewIncarnation,
    /// The entry had been removed and is back with the same start time.
    Returned,
    /// The entry had been removed and is back without a start time, so it is not known whether the
    /// database has restarted.
    ReturnedWithoutStart,
}

/// Further facts on which the decision whether a database is cold depends.
#[derive(Clone, Copy, Debug)]
pub struct ColdStartFacts {
    /// Time as of which the node knows the store's state.
    pub store_known_at: Timestamp,
    /// Whether the database is registered with a start time.
    pub has_start: bool,
}

/// Why a database is treated as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// Its registration says that it is cold.
    Registered,
    /// This node lost its connections to it, so it may have restarted.
    MayHaveRestarted,
}

impl ColdReason {
    /// Returns the reason's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ColdReason::Registered => "registered",
            ColdReason::MayHaveRestarted => "may_have_restarted",
        }
    }
}

/// The warm-up state of one database as this node knows it, and this node's share of the request
/// budget.
#[derive(Clone, Debug, Default)]
pub struct WarmUpState {
    cold_until: Timestamp,
    /// When this node last found that the database may have restarted.
    restart_suspected_at: Option<Timestamp>,
    bucket: Option<TokenBucket>,
    /// When this node last sent a status query of its own.
    queried_at: Option<Timestamp>,
    /// Until when the next token is reserved for a status query.
    reserved_until: Timestamp,
}

impl WarmUpState {
    /// Applies a registration which states that the database is cold for another `cold_for`.
    pub fn apply_registration(
        &mut self,
        change: RegistrationChange,
        cold_for: Duration,
        now: Timestamp,
    ) {
        let until = now + cold_for;
        match change {
            RegistrationChange::First | RegistrationChange::Returned => self.cold_until = until,
            RegistrationChange::SameIncarnation => self.cold_until = self.cold_until.min(until),
            RegistrationChange::NewIncarnation => {
                self.cold_until = until;
                self.restart_suspected_at = None;
                self.bucket = None;
            }
            RegistrationChange::ReturnedWithoutStart => {
                self.cold_until = until;
                self.restart_suspected_at = Some(now);
            }
        }
    }

    /// Records that the database may have restarted.
    pub fn suspect_restart(&mut self, now: Timestamp) {
        self.restart_suspected_at = Some(now);
    }

    /// Returns why the database is treated as cold, or `None` if it is not cold.
    pub fn cold_reason(
        &self,
        start: ColdStart,
        known: ColdStartFacts,
        now: Timestamp,
    ) -> Option<ColdReason> {
        if now < self.cold_until {
            return Some(ColdReason::Registered);
        }
        let restart_suspected_at = self.restart_suspected_at?;
        let confirmed_since = known.has_start
            && known.store_known_at >= restart_suspected_at + RESTART_DETECTION_TIME;
        let still_suspected = now < restart_suspected_at + start.duration && !confirmed_since;
        still_suspected.then_some(ColdReason::MayHaveRestarted)
    }

    /// Returns for how much longer the database is cold according to its registration.
    pub fn cold_for(&self, now: Timestamp) -> Duration {
        self.cold_until.since(now)
    }

    /// Takes a token for a caller's request. If none is available, returns the time until one is.
    pub fn admit(&mut self, share: GrantLimit, now: Timestamp) -> Result<(), Duration> {
        if now < self.reserved_until {
            return Err(self.reserved_until.since(now));
        }
        self.take(share, now)
    }

    fn take(&mut self, share: GrantLimit, now: Timestamp) -> Result<(), Duration> {
        match self.bucket(share, now).take(now, Duration::ZERO) {
            TokenAnswer::Granted { .. } => Ok(()),
            TokenAnswer::Exhausted { retry_after_us } => Err(Duration::from_micros(retry_after_us)),
            TokenAnswer::NotHeld => Err(Duration::MAX),
        }
    }

    /// Takes a token for a status query of this node's own; such queries are rate-limited. If no
    /// token is available, the next one is reserved for the query.
    pub fn admit_query(&mut self, share: GrantLimit, now: Timestamp) -> Result<(), Duration> {
        let since = self.queried_at.map(|queried_at| now.since(queried_at));
        if let Some(since) = since.filter(|since| *since < QUERY_INTERVAL) {
            return Err(QUERY_INTERVAL - since);
        }
        let taken = self.take(share, now);
        if taken.is_ok() {
            self.queried_at = Some(now);
            self.reserved_until = now;
        } else if now >= self.reserved_until + QUERY_INTERVAL {
            self.reserved_until = now + QUERY_RESERVATION_TIME;
        }
        taken
    }

    /// Charges requests that are sent regardless of the budget; the bucket's level may become
    /// negative.
    pub fn charge(&mut self, share: GrantLimit, requests: u32, now: Timestamp) {
        self.bucket(share, now).charge(now, requests);
    }

    /// Drops this node's share, because the node is not a holder, was suspended, or the database is
    /// warm.
    pub fn empty_bucket(&mut self) {
        self.bucket = None;
    }

    fn bucket(&mut self, share: GrantLimit, now: Timestamp) -> &mut TokenBucket {
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::empty(share, now));
        bucket.update_limit(now, share);
        bucket
    }
}

/// The warm-up states of all databases that the node knows.
#[derive(Clone, Debug, Default)]
pub struct WarmUpStates {
    databases: BTreeMap<DatabaseName, WarmUpState>,
}

impl WarmUpStates {
    /// Returns the state of one database, if it is known.
    pub fn get(&self, name: &DatabaseName) -> Option<&WarmUpState> {
        self.databases.get(name)
    }

    /// Returns the state of one database for modification, and creates it if it is not known.
    pub fn entry(&mut self, name: &DatabaseName) -> &mut WarmUpState {
        self.databases.entry(name.clone()).or_default()
    }

    /// Removes databases that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&DatabaseName) -> bool) {
        self.databases.retain(|name, _| is_listed(name));
    }

    /// Drops this node's share for every database.
    pub fn empty_buckets(&mut self) {
        self.databases
            .values_mut()
            .for_each(WarmUpState::empty_bucket);
    }
}
