//! Databases that have just started and bear little load until they are warm.
//!
//! Over all nodes, a cold database gets no more than [`ColdStart::rate_milli`] allows within its
//! bounds. Nodes do not agree on that on the way of a request. Only a few nodes, its
//! *cold holders*, send to it, the first of its homes, and each keeps a fixed part of what is
//! allowed in a token bucket of its own, whoever else is alive. The parts are so small that two
//! sets of holders, as two sides of a split see them, stay within the bound together. A holder
//! begins with an empty bucket.
//!
//! A node takes a database for cold for as long as it registers that it is, by this node's steady
//! clock from when the entry was heard; and while it may have restarted without a word.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{DatabaseName, Timestamp};
use serde::{Deserialize, Serialize};

use super::quota::{GrantLimit, MICROS, TokenAnswer, TokenBucket};

/// Nodes that send to a cold database: one more than one, so that the loss of one, or of its way
/// to the database, leaves half of the budget and another to testify about a primary.
pub const COLD_HOLDERS: usize = 2;

/// Sets of holders that may be at work at once: two sides of a split.
const VIEWS: u64 = 2;

/// Time from a token to the request that is sent for it: a connection is opened, or handed to
/// the node that asked for it.
const SENDING_TIME: Duration = Duration::from_millis(200);

/// Pause between two questions of a holder's own.
const QUESTION_PAUSE: Duration = Duration::from_secs(1);

/// How long the next token is kept for a question that had none: it is asked again within a
/// tenth of a second, while callers would take each token as it comes.
const QUESTION_GOES_FIRST: Duration = Duration::from_millis(500);

/// Time within which a restart shows in the store: the entry changes at once, or lapses after
/// three heartbeats if the database cannot write there, and nodes hear of it a moment later.
const RESTART_SHOWS: Duration = Duration::from_millis(4_500);

/// How the databases of a group warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a database is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold database should get from the whole fleet, in thousandths.
    pub rate_milli: u64,
}

/// How exactly the rate of a cold database is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdStartBounds {
    /// Part of the rate by which the requests of any second may exceed it, in thousandths.
    pub overshoot_milli: u64,
    /// Requests by which they may do so besides.
    pub slack: u64,
}

impl ColdStart {
    /// Millionths of a request that a cold database may get in any second.
    pub fn allowed(self, bounds: ColdStartBounds) -> u64 {
        self.rate_milli
            .saturating_mul(1_000 + bounds.overshoot_milli)
            .saturating_add(bounds.slack.saturating_mul(MICROS))
    }

    /// The part of one holder: rate x (a second and the sending time) and a full bucket of one
    /// request stay within it.
    ///
    /// A bound of four requests a second or less cannot be divided so: a cold database then gets
    /// nothing.
    pub fn part(self, bounds: ColdStartBounds) -> GrantLimit {
        let holders = u64::try_from(COLD_HOLDERS).unwrap_or(u64::MAX);
        let part = self.allowed(bounds) / (holders * VIEWS);
        let sustained = part.saturating_sub(MICROS);
        let window = 1_000 + u64::try_from(SENDING_TIME.as_millis()).unwrap_or(u64::MAX);
        let configured = self.rate_milli.saturating_mul(1_000) / holders;
        GrantLimit {
            rate: (sustained.saturating_mul(1_000) / window).min(configured),
            burst: MICROS.min(part),
        }
    }
}

/// What a registration is to what a node knew of its database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing was known of it.
    First,
    /// The same life goes on.
    SameLife,
    /// Another life has begun.
    NewLife,
    /// The entry was gone and is back, and tells the same start.
    Returned,
    /// The entry was gone and is back, and does not tell whether the same life goes on.
    ReturnedUntold,
}

/// What else a node knows when it judges whether a database is cold.
#[derive(Clone, Copy, Debug)]
pub struct Circumstances {
    /// When the store told of the state that the node knows.
    pub news_at: Timestamp,
    /// Whether the database is registered and tells its start.
    pub told_start: bool,
}

/// Why a database counts as cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// It registers that it is.
    Registered,
    /// It may have restarted: this node lost its connections.
    MayHaveRestarted,
}

impl ColdReason {
    /// For logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ColdReason::Registered => "registered",
            ColdReason::MayHaveRestarted => "may_have_restarted",
        }
    }
}

/// What a node knows of one database's warmth, and its part of the budget.
#[derive(Clone, Debug, Default)]
pub struct Warmth {
    cold_until: Timestamp,
    /// When this node last found that the database may have restarted.
    doubted_at: Option<Timestamp>,
    bucket: Option<TokenBucket>,
    /// When this node last asked something of its own.
    asked_at: Option<Timestamp>,
    /// Until when the next token is kept for a question.
    question_until: Timestamp,
}

impl Warmth {
    /// Takes a registration that says for how much longer the database is cold.
    pub fn hear(&mut self, heard: Heard, cold_for: Duration, now: Timestamp) {
        let until = now + cold_for;
        match heard {
            Heard::First | Heard::Returned => self.cold_until = until,
            Heard::SameLife => self.cold_until = self.cold_until.min(until),
            Heard::NewLife => {
                self.cold_until = until;
                self.doubted_at = None;
                self.bucket = None;
            }
            Heard::ReturnedUntold => {
                self.cold_until = until;
                self.doubted_at = Some(now);
            }
        }
    }

    /// Notes that the database may have restarted.
    pub fn doubt(&mut self, now: Timestamp) {
        self.doubted_at = Some(now);
    }

    /// Why the database counts as cold, if it does.
    pub fn cold_reason(
        &self,
        start: ColdStart,
        known: Circumstances,
        now: Timestamp,
    ) -> Option<ColdReason> {
        if now < self.cold_until {
            return Some(ColdReason::Registered);
        }
        let doubted_at = self.doubted_at?;
        let stands = known.told_start && known.news_at >= doubted_at + RESTART_SHOWS;
        let open = now < doubted_at + start.duration && !stands;
        open.then_some(ColdReason::MayHaveRestarted)
    }

    /// How much longer the database says that it is cold.
    pub fn cold_for(&self, now: Timestamp) -> Duration {
        self.cold_until.since(now)
    }

    /// Takes a token for a caller's request; else the time after which there is one.
    pub fn admit(&mut self, part: GrantLimit, now: Timestamp) -> Result<(), Duration> {
        if now < self.question_until {
            return Err(self.question_until.since(now));
        }
        self.take(part, now)
    }

    fn take(&mut self, part: GrantLimit, now: Timestamp) -> Result<(), Duration> {
        match self.bucket(part, now).take(now, Duration::ZERO) {
            TokenAnswer::Granted { .. } => Ok(()),
            TokenAnswer::Dry { retry_after_us } => Err(Duration::from_micros(retry_after_us)),
            TokenAnswer::NotHeld => Err(Duration::MAX),
        }
    }

    /// Takes a token for a question of this node's own, which is asked once in a while. If
    /// there is none, the next one is kept for it.
    pub fn admit_question(&mut self, part: GrantLimit, now: Timestamp) -> Result<(), Duration> {
        let since = self.asked_at.map(|asked_at| now.since(asked_at));
        if let Some(since) = since.filter(|since| *since < QUESTION_PAUSE) {
            return Err(QUESTION_PAUSE - since);
        }
        let taken = self.take(part, now);
        if taken.is_ok() {
            self.asked_at = Some(now);
            self.question_until = now;
        } else if now >= self.question_until + QUESTION_PAUSE {
            self.question_until = now + QUESTION_GOES_FIRST;
        }
        taken
    }

    /// Counts requests that are sent in any case; the bucket may fall into debt.
    pub fn charge(&mut self, part: GrantLimit, requests: u32, now: Timestamp) {
        self.bucket(part, now).charge(now, requests);
    }

    /// Drops this node's part: it is no holder, was not awake, or the database is warm.
    pub fn empty_bucket(&mut self) {
        self.bucket = None;
    }

    fn bucket(&mut self, part: GrantLimit, now: Timestamp) -> &mut TokenBucket {
        let bucket = self
            .bucket
            .get_or_insert_with(|| TokenBucket::empty(part, now));
        bucket.keep_limit(now, part);
        bucket
    }
}

/// The warmth of all databases that a node knows.
#[derive(Clone, Debug, Default)]
pub struct ColdStarts {
    databases: BTreeMap<DatabaseName, Warmth>,
}

impl ColdStarts {
    /// One database's.
    pub fn get(&self, name: &DatabaseName) -> Option<&Warmth> {
        self.databases.get(name)
    }

    /// One database's, to change it.
    pub fn entry(&mut self, name: &DatabaseName) -> &mut Warmth {
        self.databases.entry(name.clone()).or_default()
    }

    /// Drops databases that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(&DatabaseName) -> bool) {
        self.databases.retain(|name, _| is_listed(name));
    }

    /// Empties all buckets.
    pub fn empty_buckets(&mut self) {
        self.databases.values_mut().for_each(Warmth::empty_bucket);
    }
}
