//! Leases on primaries whose promotion is not fenced. Of the three nodes, the first coordinates
//! and loses the store, the second takes over as coordinator and replaces a primary, and the
//! third only votes. Messages may be delayed arbitrarily or lost, so a node may be partitioned
//! or frozen at any time. The production state machines grant and hold the leases.

use std::time::Duration;

use hookpoint_coordination::serving::lease_grantor::{
    Electorate, LeaseGrantor, Predecessors, Withdrawal,
};
use hookpoint_coordination::serving::primary_lease::{
    Grantor, LeaseAnswer, LeaseRequest, PrimaryLease,
};
use hookpoint_state::{StoreEra, StoreRevision, Timestamp};

use super::explore::Model;

/// Number of nodes in the model.
const NODES: usize = 3;
/// Index of the first coordinator.
const FIRST: usize = 0;
/// Index of the node that takes over as coordinator.
const SECOND: usize = 1;
/// Store revisions of the first and the second coordinator's records.
const REVISIONS: [StoreRevision; 2] = [
    StoreRevision::new(StoreEra::new(0), 1),
    StoreRevision::new(StoreEra::new(0), 2),
];
/// Names of the nodes, under which they vote.
const NAMES: [&str; NODES] = ["first", "second", "third"];
/// Order in which the nodes substitute for a coordinator that does not answer.
const SUBSTITUTE_ORDER: [usize; NODES] = [0, 2, 1];
/// Time by which one `Tick` advances the clock.
const TICK: Duration = Duration::from_millis(500);
/// Maximum number of ticks; the clock stops after them.
const MAX_TICKS: u32 = 8;

/// Protection that is removed from the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A node acknowledges regardless of its votes, and the withdrawal does not wait for these
    /// to expire.
    AcknowledgeDespiteVotes,
    /// Acknowledgement by a majority suffices, regardless of leases that the remaining nodes
    /// may hold.
    MajoritySuffices,
    /// A lease request and its answer do not carry the announcement that their sender has received.
    NoAnnouncementsInVotes,
    /// The second coordinator does not wait for leases that the first may have granted.
    IgnorePredecessor,
}

/// Model of primary leases under a change of coordinator.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryLeaseModel {
    /// Protection that is removed, if any.
    pub mutation: Option<Mutation>,
    /// Whether the exploration starts long after the second coordinator took over, while the
    /// other nodes have lost the store and still address the first coordinator.
    pub taken_over: bool,
}

#[derive(Clone, Debug)]
struct Node {
    lease: PrimaryLease,
    grantor: LeaseGrantor,
    /// Whether the announcement that the primary is to be replaced has reached the node.
    informed: bool,
    /// Lease request in flight: the receiver, the request, and whether the sender was informed.
    request: Option<(usize, LeaseRequest, bool)>,
    /// Answer in flight, and whether the answering node was informed.
    answer: Option<(LeaseAnswer, bool)>,
}

/// State of the model.
#[derive(Clone, Debug)]
pub struct State {
    now: Timestamp,
    ticks: u32,
    nodes: [Node; NODES],
    withdrawal: Option<Withdrawal>,
    promotion_ordered: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The clock advances.
    Tick,
    /// The node sends a lease request, if one is due.
    SendRequest(usize),
    /// The node's request arrives and is answered.
    AnswerRequest(usize),
    /// The answer arrives at the node.
    ReceiveAnswer(usize),
    /// The store drops the first coordinator's record and the second coordinator claims it.
    Claim,
    /// The second coordinator announces that the primary is to be replaced.
    Announce,
    /// The announcement arrives at the node, and the node's answer at the coordinator.
    Inform(usize),
    /// The second coordinator orders the promotion.
    OrderPromotion,
}

fn electorate(now: Timestamp) -> Electorate {
    Electorate {
        voters: NODES,
        store_known_at: now,
    }
}

fn voters() -> Vec<String> {
    NAMES.iter().map(|name| (*name).to_owned()).collect()
}

impl PrimaryLeaseModel {
    fn removes(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn send_request(&self, state: &mut State, node: usize) {
        let now = state.now;
        let own = &mut state.nodes[node];
        if let Some((grantor, request)) = own.lease.request(now) {
            let to = match grantor {
                Grantor::Coordinator if own.lease.coordinator() == REVISIONS[1] => SECOND,
                Grantor::Coordinator => FIRST,
                Grantor::Substitute(index) => SUBSTITUTE_ORDER[index % NODES],
            };
            own.request = Some((to, request, own.informed));
        }
    }

    fn answer_request(&self, state: &mut State, node: usize) {
        let now = state.now;
        let Some((to, request, informed)) = state.nodes[node].request.take() else {
            return;
        };
        let receiver = &mut state.nodes[to];
        if !self.removes(Mutation::NoAnnouncementsInVotes) {
            receiver.informed |= informed;
        }
        receiver.lease.follow(request.coordinator, now);
        let coordinator = receiver.lease.coordinator();
        let answer =
            receiver
                .grantor
                .answer(NAMES[node], &request, coordinator, electorate(now), now);
        let informed = receiver.informed;
        state.nodes[node].answer = Some((answer, informed));
    }

    fn receive_answer(&self, state: &mut State, node: usize) {
        let now = state.now;
        let own = &mut state.nodes[node];
        if let Some((answer, informed)) = own.answer.take() {
            own.informed |= informed;
            own.lease.take(&answer, now);
        }
    }

    fn claim(&self, state: &mut State) {
        let claimed_at = if self.removes(Mutation::IgnorePredecessor) {
            Timestamp::default()
        } else {
            state.now
        };
        let second = &mut state.nodes[SECOND];
        second.lease.follow(REVISIONS[1], state.now);
        second
            .grantor
            .begin_coordinating(REVISIONS[1], claimed_at, Predecessors::Listed);
        second.grantor.note_renewed(state.now);
    }

    fn inform(&self, state: &mut State, node: usize) {
        let now = state.now;
        let own = &mut state.nodes[node];
        own.informed = true;
        let acknowledges = own.lease.acknowledge(REVISIONS[1], now);
        let ignores_votes = self.removes(Mutation::AcknowledgeDespiteVotes);
        let voted = own.lease.voted_for_others(now) && !ignores_votes;
        if (acknowledges || ignores_votes)
            && let Some(withdrawal) = &mut state.withdrawal
        {
            withdrawal.acknowledge(NAMES[node], voted);
        }
    }

    fn may_order(&self, state: &State) -> bool {
        let Some(mut withdrawal) = state.withdrawal.clone() else {
            return false;
        };
        let acknowledged = NODES - withdrawal.missing(&voters()).len();
        let enough = self.removes(Mutation::MajoritySuffices) && acknowledged > NODES / 2;
        enough || withdrawal.is_complete(&voters(), state.now)
    }
}

impl Model for PrimaryLeaseModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let started = Timestamp::from_millis(60_000);
        let now = Timestamp::from_millis(120_000);
        let node = |number: usize| {
            let incarnation = number as u64 + 1;
            let mut lease = PrimaryLease::new(incarnation, started);
            lease.follow(REVISIONS[0], started);
            Node {
                lease,
                grantor: LeaseGrantor::new(incarnation),
                informed: false,
                request: None,
                answer: None,
            }
        };
        let mut nodes = [node(0), node(1), node(2)];
        nodes[FIRST]
            .grantor
            .begin_coordinating(REVISIONS[0], started, Predecessors::Listed);
        if !self.taken_over {
            nodes[FIRST].grantor.note_renewed(now);
        }
        let mut state = State {
            now,
            ticks: 0,
            nodes,
            withdrawal: None,
            promotion_ordered: false,
        };
        if self.taken_over {
            let second = &mut state.nodes[SECOND];
            second.lease.follow(REVISIONS[1], started);
            second
                .grantor
                .begin_coordinating(REVISIONS[1], started, Predecessors::Listed);
            second.grantor.note_renewed(now);
        }
        state
    }

    fn key(&self, state: &State) -> String {
        format!("{state:?}")
    }

    /// Returns the possible steps. The second coordinator requests no leases, since its own are
    /// irrelevant to the invariant.
    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.ticks < MAX_TICKS {
            steps.push(Step::Tick);
        }
        for (node, own) in state.nodes.iter().enumerate() {
            let may_request = node != SECOND && own.lease.clone().request(state.now).is_some();
            steps.extend(may_request.then_some(Step::SendRequest(node)));
            steps.extend(own.request.is_some().then_some(Step::AnswerRequest(node)));
            steps.extend(own.answer.is_some().then_some(Step::ReceiveAnswer(node)));
        }
        let claimed = state.nodes[SECOND].lease.coordinator() == REVISIONS[1];
        if !claimed {
            steps.push(Step::Claim);
        } else if state.withdrawal.is_none() {
            steps.push(Step::Announce);
        } else if !state.promotion_ordered {
            steps.extend((0..NODES).map(Step::Inform));
            steps.extend(self.may_order(state).then_some(Step::OrderPromotion));
        }
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::Tick => {
                state.now = state.now + TICK;
                state.ticks += 1;
                state.nodes[SECOND].grantor.note_renewed(state.now);
            }
            Step::SendRequest(node) => self.send_request(state, node),
            Step::AnswerRequest(node) => self.answer_request(state, node),
            Step::ReceiveAnswer(node) => self.receive_answer(state, node),
            Step::Claim => self.claim(state),
            Step::Announce => {
                state.nodes[SECOND].informed = true;
                state.withdrawal = state.nodes[SECOND].grantor.withdraw();
            }
            Step::Inform(node) => self.inform(state, node),
            Step::OrderPromotion => state.promotion_ordered = true,
        }
    }

    fn violation(&self, state: &State) -> Option<String> {
        let uses = |node: &Node| node.lease.covers(state.now) && !node.informed;
        let node = state
            .nodes
            .iter()
            .position(uses)
            .filter(|_| state.promotion_ordered)?;
        Some(format!("the {} node uses a replaced primary", NAMES[node]))
    }
}
