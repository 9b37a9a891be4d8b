//! Sharing of query rounds between concurrent callers.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::Timestamp;

/// Limits on concurrent rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoundPolicy {
    /// The next round may start once the latest one has been running for this long.
    pub overlap_delay: Duration,
    /// Maximum number of concurrent rounds.
    pub maximum: usize,
}

/// Number of a round, assigned by [`Rounds`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RoundNumber(pub u64);

/// Number of a caller that waits for a result, assigned by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaiterNumber(pub u64);

/// Input of [`Rounds`], sent by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundEvent {
    /// A caller requests the result of a round that starts at or after this time.
    Requested(WaiterNumber),
    /// A round has finished.
    Finished(RoundNumber),
    /// The time returned by [`Rounds::next_timer`] has been reached.
    Timer,
}

/// Output of [`Rounds`], to be carried out by the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoundAction {
    /// Start a round now.
    Start(RoundNumber),
    /// Deliver the result of the round that has just finished to these callers.
    Answer(Vec<WaiterNumber>),
}

#[derive(Clone, Debug)]
struct Round {
    started: Timestamp,
    waiters: Vec<WaiterNumber>,
}

/// Rounds of the same queries. A caller receives only the result of a round that started
/// after its call; callers that arrive while a round is running share the next one.
#[derive(Clone, Debug)]
pub struct Rounds {
    policy: RoundPolicy,
    rounds: BTreeMap<RoundNumber, Round>,
    pending: Vec<WaiterNumber>,
    next: u64,
}

impl Rounds {
    /// Creates a table without running rounds.
    pub fn new(policy: RoundPolicy) -> Self {
        Self {
            policy,
            rounds: BTreeMap::new(),
            pending: Vec::new(),
            next: 0,
        }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: RoundEvent, actions: &mut Vec<RoundAction>) {
        match event {
            RoundEvent::Requested(waiter) => self.pending.push(waiter),
            RoundEvent::Finished(number) => {
                if let Some(round) = self.rounds.remove(&number) {
                    actions.push(RoundAction::Answer(round.waiters));
                }
            }
            RoundEvent::Timer => {}
        }
        if !self.pending.is_empty() && self.may_start(now) {
            actions.push(RoundAction::Start(self.start(now)));
        }
    }

    /// Returns when [`RoundEvent::Timer`] is due; `None` if no timer is needed.
    pub fn next_timer(&self) -> Option<Timestamp> {
        if self.pending.is_empty() || self.rounds.len() >= self.policy.maximum {
            return None;
        }
        Some(self.latest_start()? + self.policy.overlap_delay)
    }

    /// Returns whether no round is running and no caller waits.
    pub fn is_idle(&self) -> bool {
        self.rounds.is_empty() && self.pending.is_empty()
    }

    fn latest_start(&self) -> Option<Timestamp> {
        self.rounds.values().map(|round| round.started).max()
    }

    fn may_start(&self, now: Timestamp) -> bool {
        let latest_is_recent = self
            .latest_start()
            .is_some_and(|start| now < start + self.policy.overlap_delay);
        !latest_is_recent && self.rounds.len() < self.policy.maximum
    }

    fn start(&mut self, now: Timestamp) -> RoundNumber {
        let number = RoundNumber(self.next);
        self.next += 1;
        let waiters = std::mem::take(&mut self.pending);
        let round = Round {
            started: now,
            waiters,
        };
        self.rounds.insert(number, round);
        number
    }
}
