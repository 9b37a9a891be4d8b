//! Promotions in a group of three databases whose commits are acknowledged once one replica holds
//! them. Two coordinators replace the primary; the first may be frozen at any moment and continue
//! later. Orders may be carried out at any later time and take effect some time after that, and
//! replicas receive commits at any time. The production functions choose the candidates and
//! determine which commits are withheld.
//!
//! An announcement reaches all nodes in one step, because leases on primaries, which ensure that no
//! node acknowledges commits without knowing it, have a model of their own.

use std::collections::VecDeque;

use hookpoint_coordination::serving::failover::{ReplicaState, choose_candidate};
use hookpoint_coordination::serving::handover::Drawbacks;
use hookpoint_coordination::serving::withheld_commits::{
    PreviousPromotion, PromotionHistory, WithheldCommits,
};
use hookpoint_state::{DatabaseName, Lsn, Position, Term};

use super::explore::Model;

/// Number of databases.
const DATABASES: usize = 3;
/// Number of coordinators.
const COORDINATORS: usize = 2;
/// Maximum number of commits.
const MAX_COMMITS: u8 = 3;
/// Maximum number of announcements.
const MAX_ANNOUNCEMENTS: u64 = 4;
/// Number of replicas that have to hold a commit.
const SYNC_REPLICAS: u32 = 1;
/// The term in which the exploration starts.
const FIRST_TERM: Term = Term(1);

/// Protection that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Nodes acknowledge every commit that a primary answers.
    WithholdNothing,
    /// The replicas are compared before the announcement and not again.
    CompareBeforeAnnouncement,
    /// A coordinator ignores orders that were given before.
    IgnorePreviousOrders,
    /// Writes are permitted again before earlier orders have settled.
    ConfirmAtOnce,
    /// The present primary continues although the order was sent.
    RevertAfterOrder,
}

/// Model of promotions in a synchronous group.
#[derive(Clone, Copy, Debug, Default)]
pub struct SynchronousPromotionModel {
    /// Protection that is removed, if any.
    pub mutation: Option<Mutation>,
}

/// A commit in a log, and the term in which it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Commit {
    number: u8,
    term: Term,
}

/// The announcement that the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Announcement {
    candidate: usize,
    token: u64,
    withheld: WithheldCommits,
}

/// A promotion request on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Order {
    candidate: usize,
    token: u64,
}

/// What a coordinator has done for its current promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Idle,
    /// The candidate was chosen by a first comparison.
    Chosen(usize),
    /// Announced; `only_order`: no earlier order can take effect.
    Announced {
        order: Order,
        only_order: bool,
    },
    /// The candidate holds every acknowledged commit.
    Verified {
        order: Order,
        only_order: bool,
    },
    Sent {
        order: Order,
        answered: bool,
    },
}

/// State of the model.
#[derive(Clone, Debug)]
pub struct State {
    /// Commits that each database has received.
    logs: [Vec<Commit>; DATABASES],
    primary: usize,
    term: Term,
    commits: u8,
    acknowledged: Vec<u8>,
    announcement: Option<Announcement>,
    announcements: u64,
    /// The coordinator by the store; the other one may not know yet.
    holder: usize,
    progress: [Progress; COORDINATORS],
    /// Requests that have not been carried out.
    orders: Vec<Order>,
    /// Highest token that the promotion service has seen.
    seen_token: u64,
    /// Candidates of accepted promotions that have not taken effect.
    accepted: VecDeque<usize>,
    /// Acknowledged commit that a promoted database lacks.
    lost: Option<u8>,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The primary makes a commit that one replica receives, and answers it.
    Commit {
        /// The replica that receives it.
        replica: usize,
    },
    /// A replica receives everything that the primary holds.
    Replicate(usize),
    /// The coordinator chooses a candidate.
    Choose(usize),
    /// The coordinator announces the promotion of its candidate.
    Announce,
    /// A coordinator compares the replicas again and finds that its candidate may be promoted.
    Verify(usize),
    /// A coordinator sends its order.
    Send(usize),
    /// The promotion service carries out a request.
    CarryOut(usize),
    /// The oldest accepted promotion takes effect.
    TakeEffect,
    /// A coordinator lets the present primary continue.
    Revert(usize),
    /// A coordinator permits writes at a primary whose promotion has settled.
    Confirm(usize),
    /// The second coordinator takes over.
    TakeOver,
}

fn name(database: usize) -> DatabaseName {
    DatabaseName::new(format!("database-{database}"))
}

impl SynchronousPromotionModel {
    fn removes(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn history(&self, state: &State) -> PromotionHistory {
        let received = state.logs.iter().flatten().map(|commit| commit.term);
        let previous = state.announcement.map(|announced| PreviousPromotion {
            candidate: name(announced.candidate),
            withheld: announced.withheld,
            took_effect: announced.candidate == state.primary,
        });
        PromotionHistory {
            previous: previous.filter(|_| !self.removes(Mutation::IgnorePreviousOrders)),
            newest_term: received.max().unwrap_or(FIRST_TERM),
        }
    }

    /// Returns whether a comparison of the replicas permits the promotion of `candidate`.
    fn may_be_promoted(state: &State, candidate: usize) -> bool {
        if candidate == state.primary {
            return true;
        }
        let replicas: Vec<ReplicaState> = (0..DATABASES)
            .filter(|database| *database != state.primary)
            .map(|database| ReplicaState {
                name: name(database),
                received: Position {
                    term: FIRST_TERM,
                    lsn: Lsn(state.logs[database].len() as u64),
                },
                drawbacks: Drawbacks::default(),
                preferred: database == candidate,
            })
            .collect();
        choose_candidate(&replicas, replicas.len(), SYNC_REPLICAS) == Ok(name(candidate))
    }

    fn commit(&self, state: &mut State, replica: usize) {
        let commit = Commit {
            number: state.commits,
            term: state.term,
        };
        state.commits += 1;
        state.logs[state.primary].push(commit);
        state.logs[replica] = state.logs[state.primary].clone();
        let announced = state.announcement;
        let withheld = announced.map_or(WithheldCommits::None, |announced| announced.withheld);
        if !withheld.include(Some(commit.term)) || self.removes(Mutation::WithholdNothing) {
            state.acknowledged.push(commit.number);
        }
    }

    fn announce(&self, state: &mut State) {
        let Progress::Chosen(candidate) = state.progress[state.holder] else {
            return;
        };
        let history = self.history(state);
        let order = Order {
            candidate,
            token: state.announcements + 1,
        };
        let only_order = history.is_settled();
        let withheld = history.withheld_by(&name(candidate));
        Self::write_announcement(state, candidate, withheld);
        state.progress[state.holder] = if self.removes(Mutation::CompareBeforeAnnouncement) {
            Progress::Verified { order, only_order }
        } else {
            Progress::Announced { order, only_order }
        };
    }

    fn write_announcement(state: &mut State, candidate: usize, withheld: WithheldCommits) {
        state.announcements += 1;
        state.announcement = Some(Announcement {
            candidate,
            token: state.announcements,
            withheld,
        });
    }

    fn carry_out(state: &mut State, index: usize) {
        let order = state.orders.remove(index);
        for progress in &mut state.progress {
            if let Progress::Sent {
                order: sent,
                answered,
            } = progress
                && *sent == order
            {
                *answered = true;
            }
        }
        if order.token >= state.seen_token {
            state.seen_token = order.token;
            state.accepted.push_back(order.candidate);
        }
    }

    fn take_effect(state: &mut State) {
        let Some(candidate) = state.accepted.pop_front() else {
            return;
        };
        if candidate == state.primary {
            return;
        }
        let log = state.logs[candidate].clone();
        let holds = |number: &u8| log.iter().any(|commit| commit.number == *number);
        state.lost = state
            .acknowledged
            .iter()
            .find(|number| !holds(number))
            .copied();
        for other in &mut state.logs {
            other.truncate(log.len());
        }
        state.primary = candidate;
        state.term = Term(state.term.0 + 1);
    }

    /// Returns the commits withheld after the coordinator lets the present primary continue, or
    /// `None` if it may not.
    fn withheld_after_revert(&self, state: &State, coordinator: usize) -> Option<WithheldCommits> {
        let announced = state.announcement?;
        let (order, only_order) = match state.progress[coordinator] {
            Progress::Announced { order, only_order }
            | Progress::Verified { order, only_order } => (order, only_order),
            Progress::Sent { order, .. } => (order, self.removes(Mutation::RevertAfterOrder)),
            Progress::Idle | Progress::Chosen(_) => return None,
        };
        let WithheldCommits::UpTo(ended) = announced.withheld else {
            return None;
        };
        (only_order && announced.token == order.token)
            .then(|| WithheldCommits::after_settling(ended))
    }

    fn may_confirm(&self, state: &State, coordinator: usize) -> bool {
        let Some(announced) = state.announcement else {
            return false;
        };
        let Progress::Sent { order, answered } = state.progress[coordinator] else {
            return false;
        };
        let settled = answered && state.accepted.is_empty();
        announced.token == order.token
            && announced.withheld == WithheldCommits::All
            && announced.candidate == state.primary
            && (settled || self.removes(Mutation::ConfirmAtOnce))
    }

    /// Returns the steps towards the next announcement.
    fn announcement_steps(state: &State) -> Vec<Step> {
        if state.announcements >= MAX_ANNOUNCEMENTS {
            return Vec::new();
        }
        match state.progress[state.holder] {
            Progress::Chosen(_) => return vec![Step::Announce],
            Progress::Announced { .. } | Progress::Verified { .. } => return Vec::new(),
            Progress::Idle | Progress::Sent { .. } => {}
        }
        let pending_leader = state.announcement.is_some_and(|announced| {
            announced.withheld == WithheldCommits::All && announced.candidate == state.primary
        });
        (0..DATABASES)
            .filter(|candidate| (*candidate == state.primary) == pending_leader)
            .filter(|candidate| Self::may_be_promoted(state, *candidate))
            .map(Step::Choose)
            .collect()
    }

    fn coordinator_steps(&self, state: &State, coordinator: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        match state.progress[coordinator] {
            Progress::Announced { order, .. } if Self::may_be_promoted(state, order.candidate) => {
                steps.push(Step::Verify(coordinator));
            }
            Progress::Verified { .. } => steps.push(Step::Send(coordinator)),
            _ => {}
        }
        let holds = state.holder == coordinator;
        if holds && self.withheld_after_revert(state, coordinator).is_some() {
            steps.push(Step::Revert(coordinator));
        }
        if holds && self.may_confirm(state, coordinator) {
            steps.push(Step::Confirm(coordinator));
        }
        steps
    }
}

impl Model for SynchronousPromotionModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            logs: [const { Vec::new() }; DATABASES],
            primary: 0,
            term: FIRST_TERM,
            commits: 0,
            acknowledged: Vec::new(),
            announcement: None,
            announcements: 0,
            holder: 0,
            progress: [Progress::Idle; COORDINATORS],
            orders: Vec::new(),
            seen_token: 0,
            accepted: VecDeque::new(),
            lost: None,
        }
    }

    fn key(&self, state: &State) -> String {
        format!("{state:?}")
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        for database in (0..DATABASES).filter(|database| *database != state.primary) {
            if state.commits < MAX_COMMITS {
                steps.push(Step::Commit { replica: database });
            }
            if state.logs[database].len() < state.logs[state.primary].len() {
                steps.push(Step::Replicate(database));
            }
        }
        steps.extend(Self::announcement_steps(state));
        for coordinator in 0..COORDINATORS {
            steps.extend(self.coordinator_steps(state, coordinator));
        }
        steps.extend((0..state.orders.len()).map(Step::CarryOut));
        if !state.accepted.is_empty() {
            steps.push(Step::TakeEffect);
        }
        if state.holder == 0 {
            steps.push(Step::TakeOver);
        }
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::Commit { replica } => self.commit(state, replica),
            Step::Replicate(database) => {
                state.logs[database] = state.logs[state.primary].clone();
            }
            Step::Choose(candidate) => {
                state.progress[state.holder] = Progress::Chosen(candidate);
            }
            Step::Announce => self.announce(state),
            Step::Verify(coordinator) => {
                if let Progress::Announced { order, only_order } = state.progress[coordinator] {
                    state.progress[coordinator] = Progress::Verified { order, only_order };
                }
            }
            Step::Send(coordinator) => {
                if let Progress::Verified { order, .. } = state.progress[coordinator] {
                    state.orders.push(order);
                    state.progress[coordinator] = Progress::Sent {
                        order,
                        answered: false,
                    };
                }
            }
            Step::CarryOut(index) => Self::carry_out(state, index),
            Step::TakeEffect => Self::take_effect(state),
            Step::Revert(coordinator) => {
                if let Some(withheld) = self.withheld_after_revert(state, coordinator) {
                    Self::write_announcement(state, state.primary, withheld);
                    state.progress[coordinator] = Progress::Idle;
                }
            }
            Step::Confirm(coordinator) => {
                let withheld = WithheldCommits::after_settling(state.term);
                Self::write_announcement(state, state.primary, withheld);
                state.progress[coordinator] = Progress::Idle;
            }
            Step::TakeOver => state.holder = 1,
        }
    }

    fn violation(&self, state: &State) -> Option<String> {
        let number = state.lost?;
        Some(format!("a promoted database lacks commit {number}"))
    }
}
