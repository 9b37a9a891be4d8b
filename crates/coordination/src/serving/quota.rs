//! Fleet-wide operation limits of tenants.
//!
//! A tenant's limit is divided evenly among a few nodes, its *token holders*. Each has a token
//! bucket with its share of the rate and of the burst. For each operation, the node that serves the
//! caller requests a token from the nearest holder, and from the others in turn if that one has
//! none or does not answer. A token is used within [`TOKEN_LIFE`] or not at all.
//!
//! The bound holds without agreement between the holders. A holder never grants more than its
//! share, whichever other nodes are alive, partitioned or suspended. A holder that starts begins
//! with no more than was refilled while its process was down, as the process before it may have
//! granted everything it had. A token that is lost in transit is never used. If a holder is down,
//! the tenant loses that holder's share.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{TenantName, Timestamp};
use serde::{Deserialize, Serialize};

/// Validity of a token, counted from when it was requested. The shorter it is, the more of the
/// allowed overshoot is left for bursts. It has to cover a request that is sent twice and answered
/// late (130 ms), and a node that is suspended for a tenth of a second because its share of the
/// processor is used up.
pub const TOKEN_LIFE: Duration = Duration::from_millis(400);

/// One part in this many of what is allowed in a window is never granted. It covers operations that
/// a database runs twice because the first answer was lost: one in fifty.
const HEADROOM_DIVISOR: u64 = 50;

/// An operation may wait for a token for this fraction (one part in this many) of its latency
/// objective. Unlike that of a queue, this wait is known beforehand, so an operation that would
/// wait for longer is rejected at once.
const TOKEN_WAIT_DIVISOR: u32 = 3;

/// Returns how long an operation may wait for a token after `elapsed` of its latency objective has
/// passed.
pub fn max_token_wait(target_latency: Duration, elapsed: Duration) -> Duration {
    (target_latency / TOKEN_WAIT_DIVISOR).saturating_sub(elapsed)
}

/// For this long, a new holder grants no more than its bucket's initial level: until the nodes that
/// still ask the previous holder have received the change, which takes a follower of the store well
/// under a second.
pub const TAKEOVER_PAUSE: Duration = Duration::from_millis(1_500);

/// Minimum burst of one holder, in operations. The operations of a small tenant are so uneven that
/// a holder with less would run out of tokens while others have some left.
const MIN_HOLDER_BURST: u64 = 4;

/// Minimum time between the last token of a process that ended and the first token of its
/// replacement: the platform starts it after half a second, and it has to read the membership. A
/// bucket starts with what would have been refilled in this time, so that callers that return after
/// a loss of all power need not wait for it.
pub const MIN_RESTART_TIME: Duration = Duration::from_millis(300);

/// Buckets count millionths of an operation, so that a rate in operations per second adds that many
/// units per microsecond.
pub(super) const MICROS: u64 = 1_000_000;

/// A tenant's limit as configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationLimit {
    /// Sustained rate, in thousandths of an operation per second.
    pub rate_milli: u64,
    /// Number of operations allowed at once in addition to the sustained rate.
    pub burst: u64,
}

/// Tolerances within which limits have to be enforced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaBounds {
    /// Length of the sliding window in which operations are counted.
    pub window: Duration,
    /// By how much a count may exceed the limit, in thousandths of the limit.
    pub overshoot_milli: u64,
    /// Number of operations by which it may exceed the limit in addition.
    pub slack: u64,
}

/// Rate and burst that all token holders of a tenant together, or one of them, may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantLimit {
    /// Refill rate, in millionths of an operation per second.
    pub rate: u64,
    /// Capacity of the bucket, in millionths of an operation.
    pub burst: u64,
}

/// Returns `left` x `right` / [`MICROS`], saturated.
fn mul_micros(left: u64, right: u64) -> u64 {
    u64::try_from(u128::from(left) * u128::from(right) / u128::from(MICROS)).unwrap_or(u64::MAX)
}

fn saturating_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl QuotaBounds {
    /// Returns how many millionths of an operation may run in any window.
    fn allowed(&self, limit: OperationLimit) -> u64 {
        let rate = limit.rate_milli.saturating_mul(1_000);
        let owed = mul_micros(rate, saturating_micros(self.window))
            .saturating_add(limit.burst.saturating_mul(MICROS));
        let over = u128::from(owed) * u128::from(self.overshoot_milli) / 1_000;
        owed.saturating_add(u64::try_from(over).unwrap_or(u64::MAX))
            .saturating_add(self.slack.saturating_mul(MICROS))
    }

    /// Returns what may be granted so that no window exceeds what is allowed.
    ///
    /// Tokens used within one window were granted within a span that is longer by [`TOKEN_LIFE`],
    /// and buckets may have been full at its start. So rate x (window + token life) + burst has to
    /// stay within what is allowed. The rate is the configured one if that leaves anything for a
    /// burst.
    pub fn grant_limit(&self, limit: OperationLimit) -> GrantLimit {
        let allowed = self.allowed(limit);
        let grantable = allowed - allowed / HEADROOM_DIVISOR;
        let span = saturating_micros(self.window.saturating_add(TOKEN_LIFE));
        let rate = limit.rate_milli.saturating_mul(1_000);
        let sustained = mul_micros(rate, span);
        if grantable >= sustained.saturating_add(MICROS) {
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
    /// Returns the number of holders among which the limit can be divided, at most `wanted`: each
    /// needs a minimum burst.
    pub fn holders(&self, wanted: usize) -> usize {
        let most = self.burst / (MIN_HOLDER_BURST * MICROS);
        usize::try_from(most)
            .unwrap_or(usize::MAX)
            .clamp(1, wanted.max(1))
    }

    /// Returns the share of one of `holders` holders.
    pub fn share(self, holders: usize) -> Self {
        let holders = u64::try_from(holders.max(1)).unwrap_or(u64::MAX);
        Self {
            rate: self.rate / holders,
            burst: self.burst / holders,
        }
    }
}

/// The answer to a token request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TokenAnswer {
    /// The token may be used after this time, and for [`TOKEN_LIFE`] from then on.
    Granted {
        /// Delay in microseconds.
        after_us: u64,
    },
    /// The tenant is over its limit; a token would be available after this time.
    #[serde(rename = "Dry")]
    Exhausted {
        /// Delay in microseconds; `u64::MAX` if the rate is 0 or the delay overflows.
        retry_after_us: u64,
    },
    /// The node does not hold tokens of this tenant.
    NotHeld,
}

/// One holder's token bucket of one tenant. A token that will be available soon may be granted
/// ahead of time, to be used once it is available; the level is then negative.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    limit: GrantLimit,
    /// Tokens left, in millionths of an operation.
    level: i128,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// Creates the bucket of a process that started, or took over as a holder, at `from`.
    pub fn new(limit: GrantLimit, from: Timestamp) -> Self {
        let refilled = mul_micros(limit.rate, saturating_micros(MIN_RESTART_TIME)).min(limit.burst);
        Self {
            limit,
            level: i128::from(refilled),
            updated_at: from,
        }
    }

    /// Creates an empty bucket.
    pub fn empty(limit: GrantLimit, now: Timestamp) -> Self {
        Self {
            limit,
            level: 0,
            updated_at: now,
        }
    }

    /// Takes tokens whether or not they are available; the level may become negative.
    pub fn charge(&mut self, now: Timestamp, tokens: u32) {
        self.refill(now);
        self.level -= i128::from(u64::from(tokens) * MICROS);
    }

    /// Applies `limit` if it differs from the current one.
    pub fn update_limit(&mut self, now: Timestamp, limit: GrantLimit) {
        if self.limit != limit {
            self.set_limit(now, limit);
        }
    }

    /// Applies a changed limit; tokens in excess of the new burst are dropped.
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
        let gained = mul_micros(self.limit.rate, saturating_micros(elapsed));
        let full = i128::from(self.limit.burst);
        if self.level < full {
            self.level = (self.level + i128::from(gained)).min(full);
        }
        self.updated_at = now;
    }

    /// Takes one token if it is available within `max_wait`.
    pub fn take(&mut self, now: Timestamp, max_wait: Duration) -> TokenAnswer {
        self.refill(now);
        let missing = i128::from(MICROS) - self.level;
        let Ok(missing) = u64::try_from(missing.max(0)) else {
            return TokenAnswer::Exhausted {
                retry_after_us: u64::MAX,
            };
        };
        let until_filled = saturating_micros(self.updated_at.since(now));
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
        if wait > saturating_micros(max_wait) {
            return TokenAnswer::Exhausted {
                retry_after_us: wait,
            };
        }
        self.level -= i128::from(MICROS);
        TokenAnswer::Granted { after_us: wait }
    }
}

/// The token buckets of one holder, by tenant.
#[derive(Debug, Default)]
pub struct TokenHolder {
    buckets: BTreeMap<TenantName, TokenBucket>,
}

impl TokenHolder {
    /// Takes one token of `tenant`; `limit` is this holder's share.
    ///
    /// A new bucket is refilled from `from` on.
    pub fn take(
        &mut self,
        tenant: &TenantName,
        limit: GrantLimit,
        from: Timestamp,
        now: Timestamp,
        max_wait: Duration,
    ) -> TokenAnswer {
        let bucket = self
            .buckets
            .entry(tenant.clone())
            .or_insert_with(|| TokenBucket::new(limit, from));
        bucket.update_limit(now, limit);
        bucket.take(now, max_wait)
    }

    /// Drops the bucket of a tenant whose tokens are now held by another node.
    pub fn forget(&mut self, tenant: &TenantName) {
        self.buckets.remove(tenant);
    }
}
