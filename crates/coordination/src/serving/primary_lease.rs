//! A node's leave to use primaries where the promotion service does not fence.
//!
//! There a replaced primary goes on taking writes from whoever reaches it. So a node uses
//! primaries only under a lease, and a primary is replaced only when no lease from before
//! the announcement can be in force any more. A lease counts from when it was asked for,
//! on the node's own steady clock.
//!
//! The coordinator grants leases. Every request is also a vote for whom it is sent to:
//! for [`VOTE_TIME`] the voter acknowledges no announcement of anybody else. So a
//! coordinator that has lost the state store may go on while a majority votes for it, and
//! while no coordinator answers a stand-in may grant on the same ground. A stand-in cannot
//! order promotions, so several of them do no harm.

use std::time::Duration;

use hookpoint_state::{StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};

/// How long a lease lasts, from when it was asked for. Longer than it takes to turn to a
/// stand-in, so that the loss of a coordinator costs no statement.
pub const GRANT_TIME: Duration = Duration::from_millis(2_000);
/// Pause between two requests.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(350);
/// How long a vote binds the node that gave it.
pub const VOTE_TIME: Duration = Duration::from_millis(1_000);
/// How long an answer is awaited: over the longest round trip.
const ANSWER_TIME: Duration = Duration::from_millis(250);
/// Unanswered requests in a row after which the next node is asked.
const FAILURES_BEFORE_NEXT: u32 = 2;
/// Answers without a grant after which somebody else is asked: who answers may not be the
/// one that the others vote for.
const REFUSALS_BEFORE_TURN: u32 = 4;

/// Tells the time of one process: no other process is meant by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessTime {
    /// Number of the process.
    pub life: u64,
    /// Its steady clock.
    pub time: Timestamp,
}

/// A request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Revision of the newest coordinator's record that the node knows.
    pub coordinator: StoreRevision,
    /// When it is asked for, by the node's clock.
    pub asked_at: ProcessTime,
    /// The time that the last answer told, if there was one.
    pub told: Option<ProcessTime>,
}

/// The answer to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Revision of the newest coordinator's record that the answering node knows.
    pub coordinator: StoreRevision,
    /// As in the request.
    pub asked_at: ProcessTime,
    /// When it was answered, by the clock of who answers.
    pub told: ProcessTime,
    /// Whether the lease is granted; if not, the answer still tells the time.
    pub granted: bool,
}

/// Whom to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grantor {
    /// The coordinator.
    Coordinator,
    /// The node at this place in the order of stand-ins.
    StandIn(usize),
}

/// One node's side of its lease.
#[derive(Clone, Debug)]
pub struct PrimaryLease {
    life: u64,
    /// The newest coordinator that this node knows of.
    coordinator: StoreRevision,
    grantor: Grantor,
    unanswered: Option<Timestamp>,
    failures: u32,
    refusals: u32,
    next_at: Timestamp,
    last_request: Timestamp,
    told: Option<ProcessTime>,
    /// When somebody else than the present coordinator was last voted for.
    other_vote: Timestamp,
    /// From when until when leases have covered every moment.
    covered: Option<(Timestamp, Timestamp)>,
}

impl PrimaryLease {
    /// The lease of a process that starts now. What an earlier process of the node voted
    /// is not known, so it counts as having voted up to now.
    pub fn new(life: u64, now: Timestamp) -> Self {
        Self {
            life,
            coordinator: StoreRevision::default(),
            grantor: Grantor::Coordinator,
            unanswered: None,
            failures: 0,
            refusals: 0,
            next_at: now,
            last_request: Timestamp::default(),
            told: None,
            other_vote: now,
            covered: None,
        }
    }

    /// Revision of the newest coordinator's record that this node knows of.
    pub fn coordinator(&self) -> StoreRevision {
        self.coordinator
    }

    /// Takes notice of a coordinator; one that is not newer is passed over.
    pub fn follow(&mut self, coordinator: StoreRevision, now: Timestamp) {
        if coordinator <= self.coordinator {
            return;
        }
        self.other_vote = self.other_vote.max(self.last_request);
        self.coordinator = coordinator;
        self.turn_to(Grantor::Coordinator, now);
    }

    fn turn_to(&mut self, grantor: Grantor, now: Timestamp) {
        self.grantor = grantor;
        self.unanswered = None;
        self.failures = 0;
        self.refusals = 0;
        self.told = None;
        self.next_at = now;
    }

    /// The next request and whom it goes to, if one is due.
    pub fn request(&mut self, now: Timestamp) -> Option<(Grantor, LeaseRequest)> {
        self.note_silence(now);
        if self.unanswered.is_some() || now < self.next_at {
            return None;
        }
        self.unanswered = Some(now);
        self.last_request = now;
        if self.grantor != Grantor::Coordinator {
            self.other_vote = now;
        }
        let request = LeaseRequest {
            coordinator: self.coordinator,
            asked_at: ProcessTime {
                life: self.life,
                time: now,
            },
            told: self.told,
        };
        Some((self.grantor, request))
    }

    fn note_silence(&mut self, now: Timestamp) {
        let silent = |asked_at: Timestamp| now.since(asked_at) >= ANSWER_TIME;
        if !self.unanswered.is_some_and(silent) {
            return;
        }
        self.unanswered = None;
        self.next_at = now;
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_NEXT {
            let next = match self.grantor {
                Grantor::Coordinator => 0,
                Grantor::StandIn(place) => place + 1,
            };
            self.turn_to(Grantor::StandIn(next), now);
        }
    }

    /// Takes an answer. Says whether it is that to the newest request.
    pub fn take(&mut self, answer: &LeaseAnswer, now: Timestamp) -> bool {
        if answer.asked_at.life != self.life {
            return false;
        }
        if answer.coordinator != self.coordinator {
            self.follow(answer.coordinator, now);
            return false;
        }
        if answer.granted {
            self.extend(answer.asked_at.time);
        }
        if self.unanswered != Some(answer.asked_at.time) {
            return false;
        }
        self.unanswered = None;
        self.failures = 0;
        let first = self.told.replace(answer.told).is_none();
        if answer.granted || !first {
            self.next_at = answer.asked_at.time + RENEWAL_PERIOD;
        }
        self.note_refusal(answer.granted || first, now);
        true
    }

    fn note_refusal(&mut self, good: bool, now: Timestamp) {
        if good {
            self.refusals = 0;
            return;
        }
        self.refusals += 1;
        if self.refusals >= REFUSALS_BEFORE_TURN {
            let other = match self.grantor {
                Grantor::Coordinator => Grantor::StandIn(0),
                Grantor::StandIn(_) => Grantor::Coordinator,
            };
            self.turn_to(other, now);
        }
    }

    fn extend(&mut self, asked_at: Timestamp) {
        let until = asked_at + GRANT_TIME;
        self.covered = match self.covered {
            Some((from, before)) if from <= asked_at && asked_at <= before => {
                Some((from, before.max(until)))
            }
            Some(covered) if asked_at < covered.0 => Some(covered),
            _ => Some((asked_at, until)),
        };
    }

    /// Whether a lease was in force at a moment, as far as is known.
    pub fn covers(&self, moment: Timestamp) -> bool {
        self.covered
            .is_some_and(|(from, until)| from <= moment && moment < until)
    }

    /// Since when no lease has been in force; nothing while one is, or before the first.
    pub fn lapsed_since(&self, now: Timestamp) -> Option<Timestamp> {
        let (_, until) = self.covered?;
        (until <= now).then_some(until)
    }

    /// Whether an announcement of a coordinator may be acknowledged now: no vote for
    /// anybody else may bind this node. From now on no earlier coordinator is listened to,
    /// and the present one, who can be heard, is asked again instead of a stand-in.
    pub fn acknowledge(&mut self, coordinator: StoreRevision, now: Timestamp) -> bool {
        self.follow(coordinator, now);
        if coordinator == self.coordinator && self.grantor != Grantor::Coordinator {
            self.turn_to(Grantor::Coordinator, now);
        }
        coordinator == self.coordinator && now.since(self.other_vote) >= VOTE_TIME
    }

    /// Whether a lease may be in force that somebody else granted by this node's vote.
    pub fn voted_for_others(&self, now: Timestamp) -> bool {
        now.since(self.other_vote) < VOTE_TIME + GRANT_TIME
    }
}
