//! A node's permission to use primaries where the promotion service does not fence the replaced
//! primary.
//!
//! Without fencing, a replaced primary continues to accept writes from any node that reaches it. A
//! node therefore uses primaries only under a lease, and a primary is replaced only when no lease
//! from before the announcement can be in force any more. A lease counts from when it was
//! requested, on the node's own monotonic clock.
//!
//! The coordinator grants leases. Every request is also a vote for the node to which it is sent:
//! for [`VOTE_DURATION`] the voter acknowledges no announcement of any other node. A coordinator
//! that has lost the state store may therefore continue while a majority votes for it, and while no
//! coordinator answers, a substitute coordinator may grant leases on the same basis. A substitute
//! cannot order promotions, so several of them do no harm.

use std::time::Duration;

use hookpoint_state::{StoreRevision, Timestamp};
use serde::{Deserialize, Serialize};

/// Duration of a lease, counted from when it was requested. It is longer than switching to a
/// substitute coordinator takes, so the loss of a coordinator fails no statement.
pub const LEASE_DURATION: Duration = Duration::from_millis(2_000);
/// Interval between two requests.
pub const RENEWAL_PERIOD: Duration = Duration::from_millis(350);
/// How long a vote binds the node that cast it.
pub const VOTE_DURATION: Duration = Duration::from_millis(1_000);
/// How long the node waits for an answer: more than the longest round trip.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of consecutive unanswered requests after which the next node is asked.
const FAILURES_BEFORE_NEXT: u32 = 2;
/// Number of answers without a grant after which another node is asked, as the answering node may
/// not be the one that the other nodes vote for.
const REFUSALS_BEFORE_SWITCH: u32 = 4;

/// A timestamp of one process's clock, together with the process's number, so that it is never
/// applied to another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessTime {
    /// Number of the process.
    #[serde(rename = "life")]
    pub process: u64,
    /// Time on its monotonic clock.
    pub time: Timestamp,
}

/// A request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Revision of the newest coordinator record that the requesting node knows.
    pub coordinator: StoreRevision,
    /// When the lease is requested, by the requesting node's clock.
    pub asked_at: ProcessTime,
    /// The timestamp in the last answer, echoed back; `None` if there is no answer yet.
    #[serde(rename = "told")]
    pub echoed_time: Option<ProcessTime>,
}

/// The answer to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Revision of the newest coordinator record that the answering node knows.
    pub coordinator: StoreRevision,
    /// Copied from the request.
    pub asked_at: ProcessTime,
    /// When the request was answered, by the answering node's clock.
    #[serde(rename = "told")]
    pub answered_at: ProcessTime,
    /// Whether the lease is granted. The timestamp is valid in either case.
    pub granted: bool,
}

/// The node from which a lease is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grantor {
    /// The coordinator.
    Coordinator,
    /// The substitute coordinator at this index in the order of substitutes.
    Substitute(usize),
}

/// The lease of one node, from the requesting side.
#[derive(Clone, Debug)]
pub struct PrimaryLease {
    process: u64,
    /// The newest coordinator known to this node.
    coordinator: StoreRevision,
    grantor: Grantor,
    /// When the request that still awaits an answer was sent.
    unanswered: Option<Timestamp>,
    /// Consecutive requests to the grantor that timed out.
    failures: u32,
    /// Consecutive answers of the grantor without a grant.
    refusals: u32,
    /// When the next request is due.
    next_at: Timestamp,
    last_request: Timestamp,
    /// Timestamp in the grantor's last answer, by the grantor's clock; the next request echoes it.
    time_to_echo: Option<ProcessTime>,
    /// When this node last voted for a node other than the current coordinator.
    other_vote_at: Timestamp,
    /// Start and end of the latest period throughout which a lease was in force.
    covered: Option<(Timestamp, Timestamp)>,
}

impl PrimaryLease {
    /// Creates the lease state of a process that starts now. The votes of an earlier process of the
    /// node are not known, so the node counts as having voted for another node until now.
    pub fn new(process: u64, now: Timestamp) -> Self {
        Self {
            process,
            coordinator: StoreRevision::default(),
            grantor: Grantor::Coordinator,
            unanswered: None,
            failures: 0,
            refusals: 0,
            next_at: now,
            last_request: Timestamp::default(),
            time_to_echo: None,
            other_vote_at: now,
            covered: None,
        }
    }

    /// Returns the revision of the newest coordinator record that this node knows.
    pub fn coordinator(&self) -> StoreRevision {
        self.coordinator
    }

    /// Applies a newly known coordinator; one that is not newer is ignored.
    pub fn follow(&mut self, coordinator: StoreRevision, now: Timestamp) {
        if coordinator <= self.coordinator {
            return;
        }
        self.other_vote_at = self.other_vote_at.max(self.last_request);
        self.coordinator = coordinator;
        self.switch_to(Grantor::Coordinator, now);
    }

    fn switch_to(&mut self, grantor: Grantor, now: Timestamp) {
        self.grantor = grantor;
        self.unanswered = None;
        self.failures = 0;
        self.refusals = 0;
        self.time_to_echo = None;
        self.next_at = now;
    }

    /// Returns the next request and the node to send it to, if a request is due.
    pub fn request(&mut self, now: Timestamp) -> Option<(Grantor, LeaseRequest)> {
        self.note_timeout(now);
        if self.unanswered.is_some() || now < self.next_at {
            return None;
        }
        self.unanswered = Some(now);
        self.last_request = now;
        if self.grantor != Grantor::Coordinator {
            self.other_vote_at = now;
        }
        let request = LeaseRequest {
            coordinator: self.coordinator,
            asked_at: ProcessTime {
                process: self.process,
                time: now,
            },
            echoed_time: self.time_to_echo,
        };
        Some((self.grantor, request))
    }

    fn note_timeout(&mut self, now: Timestamp) {
        let timed_out = |asked_at: Timestamp| now.since(asked_at) >= ANSWER_TIMEOUT;
        if !self.unanswered.is_some_and(timed_out) {
            return;
        }
        self.unanswered = None;
        self.next_at = now;
        self.failures += 1;
        if self.failures >= FAILURES_BEFORE_NEXT {
            let next = match self.grantor {
                Grantor::Coordinator => 0,
                Grantor::Substitute(index) => index + 1,
            };
            self.switch_to(Grantor::Substitute(next), now);
        }
    }

    /// Applies an answer. Returns whether it answers the newest request.
    pub fn take(&mut self, answer: &LeaseAnswer, now: Timestamp) -> bool {
        if answer.asked_at.process != self.process {
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
        let first = self.time_to_echo.replace(answer.answered_at).is_none();
        if answer.granted || !first {
            self.next_at = answer.asked_at.time + RENEWAL_PERIOD;
        }
        // The request before the first answer echoed no timestamp and was no vote, so an answer
        // without a grant is no refusal then.
        self.note_answer(answer.granted || first, now);
        true
    }

    /// Counts consecutive refusals, and switches to another grantor after too many.
    fn note_answer(&mut self, accepted: bool, now: Timestamp) {
        if accepted {
            self.refusals = 0;
            return;
        }
        self.refusals += 1;
        if self.refusals >= REFUSALS_BEFORE_SWITCH {
            let other = match self.grantor {
                Grantor::Coordinator => Grantor::Substitute(0),
                Grantor::Substitute(_) => Grantor::Coordinator,
            };
            self.switch_to(other, now);
        }
    }

    fn extend(&mut self, asked_at: Timestamp) {
        let until = asked_at + LEASE_DURATION;
        self.covered = match self.covered {
            Some((from, before)) if from <= asked_at && asked_at <= before => {
                Some((from, before.max(until)))
            }
            Some(covered) if asked_at < covered.0 => Some(covered),
            _ => Some((asked_at, until)),
        };
    }

    /// Returns whether a lease is known to have been in force at `moment`.
    pub fn covers(&self, moment: Timestamp) -> bool {
        self.covered
            .is_some_and(|(from, until)| from <= moment && moment < until)
    }

    /// Returns since when no lease has been in force; `None` while one is, or before the first.
    pub fn lapsed_since(&self, now: Timestamp) -> Option<Timestamp> {
        let (_, until) = self.covered?;
        (until <= now).then_some(until)
    }

    /// Returns whether an announcement of `coordinator` may be acknowledged now, that is, whether
    /// no vote for another node binds this node. From now on earlier coordinators are ignored, and
    /// the current coordinator, which is reachable, is asked again instead of a substitute.
    pub fn acknowledge(&mut self, coordinator: StoreRevision, now: Timestamp) -> bool {
        self.follow(coordinator, now);
        if coordinator == self.coordinator && self.grantor != Grantor::Coordinator {
            self.switch_to(Grantor::Coordinator, now);
        }
        coordinator == self.coordinator && now.since(self.other_vote_at) >= VOTE_DURATION
    }

    /// Returns whether a lease may be in force that another node granted based on this node's vote.
    pub fn voted_for_others(&self, now: Timestamp) -> bool {
        now.since(self.other_vote_at) < VOTE_DURATION + LEASE_DURATION
    }
}
