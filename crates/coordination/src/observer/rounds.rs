//! Sharing of rounds of queries between concurrent callers.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

/// How many rounds run at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundPolicy {
    /// A round under way for longer than this does not hold the next one back.
    pub patience: Duration,
    /// Rounds under way at the same time.
    pub maximum: usize,
}

/// A round, numbered by the rounds' table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoundNumber(pub u64);

/// A caller that waits for a result, numbered by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterNumber(pub u64);

/// What the driver tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundEvent {
    /// A caller wants the result of a round that starts from now on.
    Called(WaiterNumber),
    /// A round is over.
    Finished(RoundNumber),
    /// The time of [`Rounds::next_timer`] has come.
    Timer,
}

/// What the driver is asked to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundAction {
    /// Start a round now.
    Start(RoundNumber),
    /// Tell these callers the result of the round that has just finished.
    Answer(Vec<WaiterNumber>),
}

#[derive(Clone, Debug)]
struct Round {
    started: Timestamp,
    waiters: Vec<WaiterNumber>,
}

/// Rounds of the same queries. A caller is answered only by a round that started after
/// its call; callers that come while a round is under way share the next.
#[derive(Clone, Debug)]
pub struct Rounds {
    policy: RoundPolicy,
    rounds: BTreeMap<RoundNumber, Round>,
    gathered: Vec<WaiterNumber>,
    next: u64,
}

impl Rounds {
    /// No round is under way.
    pub fn new(policy: RoundPolicy) -> Self {
        Self {
            policy,
            rounds: BTreeMap::new(),
            gathered: Vec::new(),
            next: 0,
        }
    }

    /// Takes an event and appends the actions it causes to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: RoundEvent, actions: &mut Vec<RoundAction>) {
        match event {
            RoundEvent::Called(waiter) => self.gathered.push(waiter),
            RoundEvent::Finished(number) => {
                if let Some(round) = self.rounds.remove(&number) {
                    actions.push(RoundAction::Answer(round.waiters));
                }
            }
            RoundEvent::Timer => {}
        }
        if !self.gathered.is_empty() && self.may_start(now) {
            actions.push(RoundAction::Start(self.start(now)));
        }
    }

    /// When [`RoundEvent::Timer`] is due, if ever.
    pub fn next_timer(&self) -> Option<Timestamp> {
        if self.gathered.is_empty() || self.rounds.len() >= self.policy.maximum {
            return None;
        }
        Some(self.latest_start()? + self.policy.patience)
    }

    /// Whether nobody waits.
    pub fn is_idle(&self) -> bool {
        self.rounds.is_empty() && self.gathered.is_empty()
    }

    fn latest_start(&self) -> Option<Timestamp> {
        self.rounds.values().map(|round| round.started).max()
    }

    fn may_start(&self, now: Timestamp) -> bool {
        let patient = self
            .latest_start()
            .is_some_and(|start| now < start + self.policy.patience);
        !patient && self.rounds.len() < self.policy.maximum
    }

    fn start(&mut self, now: Timestamp) -> RoundNumber {
        let number = RoundNumber(self.next);
        self.next += 1;
        let waiters = std::mem::take(&mut self.gathered);
        let round = Round {
            started: now,
            waiters,
        };
        self.rounds.insert(number, round);
        number
    }
}
