//! Leases on primaries where promotions are not fenced, with three nodes: one that
//! coordinates and loses the store, one that takes over and replaces a primary, and one
//! more voter. Messages between them are delayed at will or lost, so a node may be cut off
//! or frozen at any moment. What grants and holds leases are the shipped machines.

use std::time::Duration;

use hookpoint_coordination::serving::lease_grantor::{
    Electorate, LeaseGrantor, Predecessors, Withdrawal,
};
use hookpoint_coordination::serving::primary_lease::{
    Grantor, LeaseAnswer, LeaseRequest, PrimaryLease,
};
use hookpoint_state::{StoreEra, StoreRevision, Timestamp};

use super::explore::Model;

/// Nodes of the model.
const NODES: usize = 3;
/// The node that coordinates first.
const FIRST: usize = 0;
/// The node that takes over.
const SECOND: usize = 1;
/// Revisions of their records.
const REVISIONS: [StoreRevision; 2] = [
    StoreRevision::new(StoreEra::new(0), 1),
    StoreRevision::new(StoreEra::new(0), 2),
];
/// Names of the nodes as voters.
const NAMES: [&str; NODES] = ["first", "second", "third"];
/// Order in which the nodes stand in.
const STAND_INS: [usize; NODES] = [0, 2, 1];
/// How far one step moves the time.
const TICK: Duration = Duration::from_millis(500);
/// Ticks after which the time stands still.
const MOST_TICKS: u32 = 8;

/// A protection that is taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// An acknowledgement does not wait for votes to run out.
    VotesDoNotBind,
    /// A majority's acknowledgement is enough, whatever leases the others may hold.
    NoWaiting,
    /// A vote does not carry what the voter knows of announcements.
    VotesTellNothing,
    /// The second coordinator does not wait for what the first may have granted.
    NoPredecessor,
}

/// The model.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrimaryLeaseModel {
    /// What is taken out, if anything.
    pub mutation: Option<Mutation>,
    /// Whether the second coordinator took over long ago, and the others, who have lost
    /// the store, have asked the first one lately.
    pub taken_over: bool,
}

#[derive(Clone, Debug)]
struct Node {
    lease: PrimaryLease,
    grantor: LeaseGrantor,
    /// Whether it knows that the primary is to be replaced.
    informed: bool,
    /// A request on its way: to whom, and whether the sender was informed.
    request: Option<(usize, LeaseRequest, bool)>,
    /// An answer on its way, and whether who answered was informed.
    answer: Option<(LeaseAnswer, bool)>,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
    now: Timestamp,
    ticks: u32,
    nodes: [Node; NODES],
    withdrawal: Option<Withdrawal>,
    ordered: bool,
}

/// A step of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Tick,
    /// The node asks for a lease, if a request is due.
    Ask(usize),
    /// Its request arrives and is answered.
    Serve(usize),
    /// The answer arrives.
    Take(usize),
    /// The store takes the first coordinator's record away and the second one claims it.
    Claim,
    /// The second coordinator announces that the primary is to be replaced.
    Announce,
    /// The announcement arrives at the node, and its answer at the coordinator.
    Inform(usize),
    /// The second coordinator orders the promotion.
    Order,
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
    fn is(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn ask(&self, state: &mut State, node: usize) {
        let now = state.now;
        let own = &mut state.nodes[node];
        if let Some((grantor, request)) = own.lease.request(now) {
            let to = match grantor {
                Grantor::Coordinator if own.lease.coordinator() == REVISIONS[1] => SECOND,
                Grantor::Coordinator => FIRST,
                Grantor::StandIn(place) => STAND_INS[place % NODES],
            };
            own.request = Some((to, request, own.informed));
        }
    }

    fn serve(&self, state: &mut State, node: usize) {
        let now = state.now;
        let Some((to, request, informed)) = state.nodes[node].request.take() else {
            return;
        };
        let asked = &mut state.nodes[to];
        if !self.is(Mutation::VotesTellNothing) {
            asked.informed |= informed;
        }
        asked.lease.follow(request.coordinator, now);
        let coordinator = asked.lease.coordinator();
        let answer = asked
            .grantor
            .answer(NAMES[node], &request, coordinator, electorate(now), now);
        let informed = asked.informed;
        state.nodes[node].answer = Some((answer, informed));
    }

    fn take(&self, state: &mut State, node: usize) {
        let now = state.now;
        let own = &mut state.nodes[node];
        if let Some((answer, informed)) = own.answer.take() {
            own.informed |= informed;
            own.lease.take(&answer, now);
        }
    }

    fn claim(&self, state: &mut State) {
        let claimed_at = if self.is(Mutation::NoPredecessor) {
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
        let unbound = self.is(Mutation::VotesDoNotBind);
        let voted = own.lease.voted_for_others(now) && !unbound;
        if (acknowledges || unbound)
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
        let enough = self.is(Mutation::NoWaiting) && acknowledged > NODES / 2;
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
            let life = number as u64 + 1;
            let mut lease = PrimaryLease::new(life, started);
            lease.follow(REVISIONS[0], started);
            Node {
                lease,
                grantor: LeaseGrantor::new(life),
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
            ordered: false,
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

    /// The second coordinator's own leases play no part, so it does not ask.
    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.ticks < MOST_TICKS {
            steps.push(Step::Tick);
        }
        for (node, own) in state.nodes.iter().enumerate() {
            let may_ask = node != SECOND && own.lease.clone().request(state.now).is_some();
            steps.extend(may_ask.then_some(Step::Ask(node)));
            steps.extend(own.request.is_some().then_some(Step::Serve(node)));
            steps.extend(own.answer.is_some().then_some(Step::Take(node)));
        }
        let claimed = state.nodes[SECOND].lease.coordinator() == REVISIONS[1];
        if !claimed {
            steps.push(Step::Claim);
        } else if state.withdrawal.is_none() {
            steps.push(Step::Announce);
        } else if !state.ordered {
            steps.extend((0..NODES).map(Step::Inform));
            steps.extend(self.may_order(state).then_some(Step::Order));
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
            Step::Ask(node) => self.ask(state, node),
            Step::Serve(node) => self.serve(state, node),
            Step::Take(node) => self.take(state, node),
            Step::Claim => self.claim(state),
            Step::Announce => {
                state.nodes[SECOND].informed = true;
                state.withdrawal = state.nodes[SECOND].grantor.withdraw();
            }
            Step::Inform(node) => self.inform(state, node),
            Step::Order => state.ordered = true,
        }
    }

    fn broken(&self, state: &State) -> Option<String> {
        let uses = |node: &Node| node.lease.covers(state.now) && !node.informed;
        let node = state
            .nodes
            .iter()
            .position(uses)
            .filter(|_| state.ordered)?;
        Some(format!("the {} node uses a replaced primary", NAMES[node]))
    }
}
