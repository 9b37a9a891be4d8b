//! A tenant's limit divided between two token holders, each of which may be killed, started
//! again or never asked (cut off, frozen), while whoever asked uses its tokens as late as may
//! be, and the limit changes. What grants are the shipped machines.

use std::time::Duration;

use hookpoint_coordination::serving::quota::{
    GrantLimit, MIN_RESTART_TIME, OperationLimit, QuotaBounds, TOKEN_LIFE, TokenAnswer, TokenBucket,
};
use hookpoint_state::Timestamp;

use super::explore::Model;

/// Holders of the model.
const HOLDERS: usize = 2;
/// How far one step moves the time: half of a token's life.
const TICK: Duration = Duration::from_millis(200);
/// Ticks after which the time stands still.
const MOST_TICKS: u32 = 12;
/// Tokens in hand at the most.
const MOST_TOKENS: usize = 6;
/// The window, and what may run in it beyond the limit.
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(1),
    overshoot_milli: 100,
    slack: 1,
};
/// The limits that the configuration changes between.
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
/// Long before the exploration, so that buckets are full.
const FILLING_SINCE: Timestamp = Timestamp(1_000_000);
/// When the exploration begins.
const BEGIN: Timestamp = Timestamp(60_000_000);

/// A protection that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Each holder grants the whole limit.
    Undivided,
    /// A token may be used at any time.
    TokensStay,
    /// A process begins with a full bucket.
    BeginsFull,
}

/// The model.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaModel {
    /// What is taken out, if anything.
    pub mutation: Option<Mutation>,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
    now: Timestamp,
    ticks: u32,
    /// The limit in force, and the other one if it was in the last window.
    limit: usize,
    changed_at: Option<Timestamp>,
    /// The buckets; a holder that is down has none, but a time since when.
    holders: [Result<TokenBucket, Timestamp>; HOLDERS],
    /// Until when each token in hand may be used.
    tokens: Vec<Timestamp>,
    /// When operations ran.
    ran: Vec<Timestamp>,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Tick,
    /// Somebody asks a holder for a token.
    Ask(usize),
    /// The tokens in hand are used.
    Use,
    /// A holder's process ends.
    Kill(usize),
    /// The process that replaces it begins.
    Start(usize),
    /// The operator changes the limit.
    Change,
}

impl QuotaModel {
    fn part(&self, limit: usize) -> GrantLimit {
        let whole = BOUNDS.grant_limit(LIMITS[limit]);
        match self.mutation {
            Some(Mutation::Undivided) => whole,
            _ => whole.part(HOLDERS),
        }
    }

    fn bucket_of_new_process(&self, limit: usize, now: Timestamp) -> TokenBucket {
        let from = match self.mutation {
            Some(Mutation::BeginsFull) => FILLING_SINCE,
            _ => now,
        };
        TokenBucket::new(self.part(limit), from)
    }

    fn ask(&self, state: &mut State, holder: usize) {
        let part = self.part(state.limit);
        let now = state.now;
        let Ok(bucket) = &mut state.holders[holder] else {
            return;
        };
        bucket.set_limit(now, part);
        if let TokenAnswer::Granted { .. } = bucket.take(now, Duration::ZERO) {
            state.tokens.push(now + TOKEN_LIFE);
        }
    }
}

impl State {
    /// Operations that may run in a window under the larger limit that was in force in it.
    fn allowed(&self) -> u64 {
        let lately = |changed: Timestamp| self.now.since(changed) < BOUNDS.window + TOKEN_LIFE;
        let both = self.changed_at.is_some_and(lately);
        let limit = if both { 0 } else { self.limit };
        let OperationLimit { rate_milli, burst } = LIMITS[limit];
        let owed = rate_milli * BOUNDS.window.as_secs() + burst * 1_000;
        owed * (1_000 + BOUNDS.overshoot_milli) / 1_000_000 + BOUNDS.slack
    }

    fn ran_lately(&self) -> u64 {
        let lately = self
            .ran
            .iter()
            .filter(|moment| self.now.since(**moment) <= BOUNDS.window);
        u64::try_from(lately.count()).unwrap_or(u64::MAX)
    }
}

impl Model for QuotaModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let full = TokenBucket::new(self.part(0), FILLING_SINCE);
        State {
            now: BEGIN,
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
        if state.ticks < MOST_TICKS {
            steps.push(Step::Tick);
        }
        if !state.tokens.is_empty() {
            steps.push(Step::Use);
        }
        if state.changed_at.is_none() {
            steps.push(Step::Change);
        }
        for (holder, bucket) in state.holders.iter().enumerate() {
            match bucket {
                Ok(_) => {
                    steps.push(Step::Kill(holder));
                    if state.tokens.len() < MOST_TOKENS {
                        steps.push(Step::Ask(holder));
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
                if self.mutation != Some(Mutation::TokensStay) {
                    state.tokens.retain(|until| now <= *until);
                }
                state
                    .ran
                    .retain(|moment| now.since(*moment) <= BOUNDS.window);
            }
            Step::Ask(holder) => self.ask(state, holder),
            Step::Use => {
                let used = state.tokens.drain(..).count();
                state.ran.extend(std::iter::repeat_n(state.now, used));
            }
            Step::Kill(holder) => state.holders[holder] = Err(state.now),
            Step::Start(holder) => {
                state.holders[holder] = Ok(self.bucket_of_new_process(state.limit, state.now));
            }
            Step::Change => {
                state.limit = 1 - state.limit;
                state.changed_at = Some(state.now);
            }
        }
    }

    fn broken(&self, state: &State) -> Option<String> {
        let (ran, allowed) = (state.ran_lately(), state.allowed());
        (ran > allowed).then(|| format!("{ran} operations in a window that allows {allowed}"))
    }
}
