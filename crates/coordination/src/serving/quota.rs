//! How much each tenant may ask for, counted over the whole fleet.
//!
//! A tenant's limit is divided evenly among a few nodes, its *token holders*. Each holds a
//! token bucket with its part of the rate and of the burst. The node that serves a caller asks
//! the nearest holder for a token for each operation, and the others in turn if that one is
//! dry or does not answer. A token is used within [`TOKEN_LIFE`] or not at all.
//!
//! The bound holds without agreement: a holder never grants more than its part, whoever else
//! is alive, cut off or frozen; one that starts begins with no more than came back while its
//! process was away, as the process before it may have granted all it had; a token that is lost
//! on its way is never used.
//! What a tenant loses by a holder that is away is that holder's part.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{TenantName, Timestamp};
use serde::{Deserialize, Serialize};

/// How long after it was asked for a token may be used. The shorter, the more of the allowed
/// overshoot is left for bursts; it has to cover a question that is sent twice and answered late
/// (130 ms), and a node whose share of the processor is used up for a tenth of a second.
pub const TOKEN_LIFE: Duration = Duration::from_millis(400);

/// Part of what is allowed in a window that is never granted, for operations that a database
/// runs twice, as the first answer was lost: one in fifty.
const HEADROOM_DIVISOR: u64 = 50;

/// Part of an operation's latency objective that it may wait for a token that is on its way.
/// Unlike a queue that wait is known beforehand: who would wait for longer is refused at once.
const PATIENCE_DIVISOR: u32 = 3;

/// How long an operation may wait for a token that has passed `elapsed` of its objective.
pub fn token_patience(target_latency: Duration, elapsed: Duration) -> Duration {
    (target_latency / PATIENCE_DIVISOR).saturating_sub(elapsed)
}

/// A new holder grants no more than its bucket begins with for this long: until the nodes that still ask the one before
/// it have heard of the change, which takes a follower of the store well under a second.
pub const TAKEOVER_PAUSE: Duration = Duration::from_millis(1_500);

/// Least burst of one holder, in operations: a small tenant's operations come so unevenly that
/// a holder with less is dry while others are not.
const LEAST_BURST_OF_HOLDER: u64 = 4;

/// Least time from the last token of a process that ended to the first one of the process that
/// replaces it: the platform starts it after half a second, and it has to read who the others
/// are. A bucket begins with what would have come back meanwhile, so that callers who return
/// after a loss of all power need not wait for it.
pub const LEAST_RESTART: Duration = Duration::from_millis(300);

/// Buckets are kept in millionths of an operation: a rate in operations a second adds itself
/// each microsecond.
pub(super) const MICROS: u64 = 1_000_000;

/// A tenant's limit as configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationLimit {
    /// Sustained operations, in thousandths of an operation a second.
    pub rate_milli: u64,
    /// Operations at once beyond that.
    pub burst: u64,
}

/// How exactly limits have to be kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaBounds {
    /// Length of the sliding window in which operations are counted.
    pub window: Duration,
    /// By how much a count may exceed the limit, in thousandths of it.
    pub overshoot_milli: u64,
    /// By how many operations it may do so besides.
    pub slack: u64,
}

/// What all token holders of a tenant together may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantLimit {
    /// Millionths of an operation that come back in a second.
    pub rate: u64,
    /// Millionths of an operation that a full bucket holds.
    pub burst: u64,
}

fn product(left: u64, right: u64) -> u64 {
    u64::try_from(u128::from(left) * u128::from(right) / u128::from(MICROS)).unwrap_or(u64::MAX)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl QuotaBounds {
    /// Millionths of an operation that may run in any window.
    fn allowed(&self, limit: OperationLimit) -> u64 {
        let rate = limit.rate_milli.saturating_mul(1_000);
        let owed = product(rate, micros(self.window)).saturating_add(limit.burst * MICROS);
        let over = u128::from(owed) * u128::from(self.overshoot_milli) / 1_000;
        owed.saturating_add(u64::try_from(over).unwrap_or(u64::MAX))
            .saturating_add(self.slack * MICROS)
    }

    /// What may be granted so that no window holds more than is allowed.
    ///
    /// Tokens used in one window were granted in a span that is longer by [`TOKEN_LIFE`], and
    /// buckets may have been full at its start: rate x (window + life) + burst stays within
    /// what is allowed. The rate is the configured one if anything is left for a burst then.
    pub fn grant_limit(&self, limit: OperationLimit) -> GrantLimit {
        let allowed = self.allowed(limit);
        let grantable = allowed - allowed / HEADROOM_DIVISOR;
        let span = micros(self.window + TOKEN_LIFE);
        let rate = limit.rate_milli.saturating_mul(1_000);
        let sustained = product(rate, span);
        if grantable >= sustained + MICROS {
            let burst = grantable - sustained;
            return GrantLimit { rate, burst };
        }
        let burst = MICROS.min(grantable);
        let left = u128::from(grantable - burst) * u128::from(MICROS) / u128::from(span.max(1));
        GrantLimit {
            rate: u64::try_from(left).unwrap_or(u64::MAX),
            burst,
        }
    }
}

impl GrantLimit {
    /// Holders that the limit can be divided among, `wanted` at the most: each needs a burst.
    pub fn holders(&self, wanted: usize) -> usize {
        let most = self.burst / (LEAST_BURST_OF_HOLDER * MICROS);
        usize::try_from(most)
            .unwrap_or(usize::MAX)
            .clamp(1, wanted.max(1))
    }

    /// The part of one of `holders`.
    pub fn part(self, holders: usize) -> Self {
        let holders = u64::try_from(holders.max(1)).unwrap_or(u64::MAX);
        Self {
            rate: self.rate / holders,
            burst: self.burst / holders,
        }
    }
}

/// The answer to who asks for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenAnswer {
    /// It may be used after this time, and for [`TOKEN_LIFE`] from then on.
    Granted {
        /// In microseconds.
        after_us: u64,
    },
    /// The tenant is over its limit; a token would come back after this time.
    Dry {
        /// In microseconds.
        retry_after_us: u64,
    },
    /// The asked node does not hold tokens of this tenant.
    NotHeld,
}

/// One holder's tokens of one tenant. A token that comes back soon may be given ahead of
/// time, to be used when it has come back: then the level is below zero.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: GrantLimit,
    /// Millionths of an operation.
    level: i128,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// A bucket of a process that started, or takes over, at `from`.
    pub fn new(limit: GrantLimit, from: Timestamp) -> Self {
        let returned = product(limit.rate, micros(LEAST_RESTART)).min(limit.burst);
        Self {
            limit,
            level: i128::from(returned),
            updated_at: from,
        }
    }

    /// A bucket that holds nothing yet.
    pub fn empty(limit: GrantLimit, now: Timestamp) -> Self {
        Self {
            limit,
            level: 0,
            updated_at: now,
        }
    }

    /// Takes tokens whether they are there or not; the level may fall below zero.
    pub fn charge(&mut self, now: Timestamp, tokens: u32) {
        self.refill(now);
        self.level -= i128::from(u64::from(tokens) * MICROS);
    }

    /// Takes over the limit if it has changed.
    pub fn keep_limit(&mut self, now: Timestamp, limit: GrantLimit) {
        if self.limit != limit {
            self.set_limit(now, limit);
        }
    }

    /// Takes over a changed limit; what is more than the new burst is lost.
    pub fn set_limit(&mut self, now: Timestamp, limit: GrantLimit) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(i128::from(limit.burst));
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at);
        if elapsed.is_zero() {
            return;
        }
        let gained = product(self.limit.rate, micros(elapsed));
        let full = i128::from(self.limit.burst);
        if self.level < full {
            self.level = (self.level + i128::from(gained)).min(full);
        }
        self.updated_at = now;
    }

    /// Takes one token if it is there within `patience`.
    pub fn take(&mut self, now: Timestamp, patience: Duration) -> TokenAnswer {
        self.refill(now);
        let missing = i128::from(MICROS) - self.level;
        let Ok(missing) = u64::try_from(missing.max(0)) else {
            return TokenAnswer::Dry {
                retry_after_us: u64::MAX,
            };
        };
        let until_filled = micros(self.updated_at.since(now));
        let wait = match missing {
            0 => 0,
            _ if self.limit.rate == 0 => u64::MAX,
            _ => {
                let wait = u128::from(missing) * u128::from(MICROS) / u128::from(self.limit.rate);
                u64::try_from(wait)
                    .unwrap_or(u64::MAX)
                    .saturating_add(until_filled + 1)
            }
        };
        if wait > micros(patience) {
            return TokenAnswer::Dry {
                retry_after_us: wait,
            };
        }
        self.level -= i128::from(MICROS);
        TokenAnswer::Granted { after_us: wait }
    }
}

/// The buckets of one holder.
#[derive(Debug, Default)]
pub struct TokenHolder {
    buckets: BTreeMap<TenantName, TokenBucket>,
}

impl TokenHolder {
    /// Takes one token of `tenant`, of which this holder's part is `limit`.
    ///
    /// A bucket that is new fills from `from` on.
    pub fn take(
        &mut self,
        tenant: &TenantName,
        limit: GrantLimit,
        from: Timestamp,
        now: Timestamp,
        patience: Duration,
    ) -> TokenAnswer {
        let bucket = self
            .buckets
            .entry(tenant.clone())
            .or_insert_with(|| TokenBucket::new(limit, from));
        bucket.keep_limit(now, limit);
        bucket.take(now, patience)
    }

    /// Forgets a tenant: its tokens are held elsewhere now.
    pub fn forget(&mut self, tenant: &TenantName) {
        self.buckets.remove(tenant);
    }
}
