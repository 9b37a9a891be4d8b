//! A tenant's operation limit divided between two token holders. Each holder may be killed,
//! restarted or never asked (as if partitioned or frozen), granted tokens may be used as late as
//! allowed, and the limit changes. The production token buckets grant the tokens.

use std::time::Duration;

use hookpoint_coordination::serving::quota::{
    GrantLimit, MIN_RESTART_TIME, OperationLimit, QuotaBounds, TOKEN_LIFE, TokenAnswer, TokenBucket,
};
use hookpoint_state::Timestamp;

use super::explore::Model;

/// Number of token holders in the model.
const HOLDERS: usize = 2;
/// Time by which one `Tick` advances the clock: half of a token's lifetime.
const TICK: Duration = Duration::from_millis(200);
/// Maximum number of ticks; the clock stops after them.
const MAX_TICKS: u32 = 12;
/// Maximum number of granted, unused tokens.
const MAX_TOKENS: usize = 6;
/// The window in which operations are counted, and the allowed excess over the limit.
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(1),
    overshoot_milli: 100,
    slack: 1,
};
/// The limit in force at first and the limit after a change of configuration.
const LIMITS: [OperationLimit; 2] = [
    OperationLimit {
        rate_milli: 2_000,
        burst: 2,
    },
    OperationLimit {
        rate_milli: 1_000,
        burst: 1,
    },
];
/// Creation time of buckets that are full when the exploration starts.
const FULL_BUCKET_CREATED: Timestamp = Timestamp(1_000_000);
/// Time at which the exploration starts.
const START_TIME: Timestamp = Timestamp(60_000_000);

/// Protection that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Each holder grants the whole limit instead of its share.
    WholeLimitPerHolder,
    /// Tokens never expire.
    TokensNeverExpire,
    /// A new process starts with a full bucket.
    NewBucketFull,
}

/// Model of a divided operation limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaModel {
    /// Protection that is removed, if any.
    pub mutation: Option<Mutation>,
}

/// State of the model.
#[derive(Clone, Debug)]
pub struct State {
    now: Timestamp,
    ticks: u32,
    /// Index in [`LIMITS`] of the limit in force.
    limit: usize,
    /// Time of the change of limit, which happens once at most.
    changed_at: Option<Timestamp>,
    /// Bucket of each holder; `Err` holds the time since which the holder is down.
    holders: [Result<TokenBucket, Timestamp>; HOLDERS],
    /// Expiry times of the granted, unused tokens.
    tokens: Vec<Timestamp>,
    /// Times at which operations ran, within the last window.
    ran: Vec<Timestamp>,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The clock advances.
    Tick,
    /// A node requests a token from a holder.
    RequestToken(usize),
    /// All granted tokens are used.
    UseTokens,
    /// A holder's process ends.
    Kill(usize),
    /// The process that replaces a killed holder starts.
    Start(usize),
    /// The operator changes the limit.
    ChangeLimit,
}

impl QuotaModel {
    fn holder_share(&self, limit: usize) -> GrantLimit {
        let whole = BOUNDS.grant_limit(LIMITS[limit]);
        match self.mutation {
            Some(Mutation::WholeLimitPerHolder) => whole,
            _ => whole.share(HOLDERS),
        }
    }

    fn new_bucket(&self, limit: usize, now: Timestamp) -> TokenBucket {
        let from = match self.mutation {
            Some(Mutation::NewBucketFull) => FULL_BUCKET_CREATED,
            _ => now,
        };
        TokenBucket::new(self.holder_share(limit), from)
    }

    fn request_token(&self, state: &mut State, holder: usize) {
        let share = self.holder_share(state.limit);
        let now = state.now;
        let Ok(bucket) = &mut state.holders[holder] else {
            return;
        };
        bucket.set_limit(now, share);
        if let TokenAnswer::Granted { .. } = bucket.take(now, Duration::ZERO) {
            state.tokens.push(now + TOKEN_LIFE);
        }
    }
}

impl State {
    /// Returns the number of operations that may run in the last window under the larger of the
    /// limits that were in force in it.
    fn allowed(&self) -> u64 {
        let recent = |changed: Timestamp| self.now.since(changed) < BOUNDS.window + TOKEN_LIFE;
        let both = self.changed_at.is_some_and(recent);
        let limit = if both { 0 } else { self.limit };
        let OperationLimit { rate_milli, burst } = LIMITS[limit];
        let limit_milli = rate_milli * BOUNDS.window.as_secs() + burst * 1_000;
        limit_milli * (1_000 + BOUNDS.overshoot_milli) / 1_000_000 + BOUNDS.slack
    }

    fn recent_operations(&self) -> u64 {
        let recent = self
            .ran
            .iter()
            .filter(|moment| self.now.since(**moment) <= BOUNDS.window);
        u64::try_from(recent.count()).unwrap_or(u64::MAX)
    }
}

impl Model for QuotaModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let full = TokenBucket::new(self.holder_share(0), FULL_BUCKET_CREATED);
        State {
            now: START_TIME,
            ticks: 0,
            limit: 0,
            changed_at: None,
            holders: [Ok(full); HOLDERS],
            tokens: Vec::new(),
            ran: Vec::new(),
        }
    }

    fn key(&self, state: &State) -> String {
        format!("{state:?}")
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.ticks < MAX_TICKS {
            steps.push(Step::Tick);
        }
        if !state.tokens.is_empty() {
            steps.push(Step::UseTokens);
        }
        if state.changed_at.is_none() {
            steps.push(Step::ChangeLimit);
        }
        for (holder, bucket) in state.holders.iter().enumerate() {
            match bucket {
                Ok(_) => {
                    steps.push(Step::Kill(holder));
                    if state.tokens.len() < MAX_TOKENS {
                        steps.push(Step::RequestToken(holder));
                    }
                }
                Err(since) if state.now.since(*since) >= MIN_RESTART_TIME => {
                    steps.push(Step::Start(holder));
                }
                Err(_) => {}
            }
        }
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::Tick => {
                state.ticks += 1;
                state.now = state.now + TICK;
                let now = state.now;
                if self.mutation != Some(Mutation::TokensNeverExpire) {
                    state.tokens.retain(|until| now <= *until);
                }
                state
                    .ran
                    .retain(|moment| now.since(*moment) <= BOUNDS.window);
            }
            Step::RequestToken(holder) => self.request_token(state, holder),
            Step::UseTokens => {
                let used = state.tokens.drain(..).count();
                state.ran.extend(std::iter::repeat_n(state.now, used));
            }
            Step::Kill(holder) => state.holders[holder] = Err(state.now),
            Step::Start(holder) => {
                state.holders[holder] = Ok(self.new_bucket(state.limit, state.now));
            }
            Step::ChangeLimit => {
                state.limit = 1 - state.limit;
                state.changed_at = Some(state.now);
            }
        }
    }

    fn violation(&self, state: &State) -> Option<String> {
        let (ran, allowed) = (state.recent_operations(), state.allowed());
        (ran > allowed).then(|| format!("{ran} operations in a window that allows {allowed}"))
    }
}
