//! The roll-out of bundles with two nodes, two operators who race, a platform that gives
//! old answers and loses some, and one node that may start anew. The nodes are the
//! shipped rollout machines.

use hookpoint_coordination::rollout::{
    RolloutAction, RolloutEvent, RolloutMachine, RolloutMessage,
};
use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::explore::Model;
use crate::platform::NumberStore;

/// Messages on the way to one node at most.
const MAXIMUM_MESSAGES: usize = 2;

#[derive(Clone, Debug)]
struct Node {
    machine: RolloutMachine<NumberStore>,
    /// The highest version it has had in force in this life.
    highest: BundleVersion,
    fell_back: bool,
    fetching: bool,
    messages: Vec<RolloutMessage>,
    restarted: bool,
}

/// An operator who prepared a version and wants to roll it.
#[derive(Clone, Debug)]
struct Operator {
    version: u64,
    seen: Option<u64>,
    /// How often the roll took effect.
    applied: u8,
    /// What the operator believes in the end.
    believes: Option<bool>,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
    now: Timestamp,
    nodes: [Node; 2],
    operators: [Operator; 2],
    /// Pointers the platform has had, the active one last, with the operator that set it.
    pointers: Vec<(u64, Option<usize>)>,
}

/// A step of the model.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// An operator reads the pointer.
    Read(usize),
    /// An operator moves the pointer if it is still as seen; the answer may be lost.
    Roll {
        /// The operator.
        operator: usize,
        /// Whether the answer is lost.
        lost: bool,
    },
    /// A node is told a pointer that the platform has had, perhaps an old one.
    Pointer {
        /// The node.
        node: usize,
        /// Index of the pointer.
        pointer: usize,
    },
    /// A node's fetch is answered, perhaps with an old bundle, or fails.
    Fetched {
        /// The node.
        node: usize,
        /// Index of the pointer, if it does not fail.
        pointer: Option<usize>,
    },
    /// A node hears which version the other has in force.
    Hear(usize),
    /// A message from the other node arrives, or is lost.
    Message {
        /// The receiver.
        node: usize,
        /// Whether it is lost.
        lost: bool,
    },
    /// A node's timer is due.
    Timer(usize),
    /// The first node's process is replaced.
    Restart,
}

/// The model.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolloutModel {
    /// Mutation: nodes take older bundles for newer ones.
    pub forgetful: bool,
    /// Mutation: an operator whose answer was lost rolls again without reading back.
    pub careless: bool,
}

impl RolloutModel {
    fn node(&self, now: Timestamp, number: u64) -> Node {
        let random = ChaCha8Rng::seed_from_u64(number);
        let store = NumberStore::new(self.forgetful);
        Node {
            machine: RolloutMachine::new(now, store, random),
            highest: BundleVersion(0),
            fell_back: false,
            fetching: false,
            messages: Vec::new(),
            restarted: false,
        }
    }

    fn roll(&self, state: &mut State, operator: usize, lost: bool) {
        let active = state.pointers.last().map_or(0, |(version, _)| *version);
        let own = &mut state.operators[operator];
        let moved =
            own.seen == Some(active) && own.version > active || self.careless && own.applied == 1;
        if moved {
            own.applied += 1;
            state.pointers.push((own.version, Some(operator)));
        }
        if !lost {
            own.believes = Some(moved);
        } else if !self.careless {
            // The answer is lost: the operator reads back who set the pointer.
            let mine = state
                .pointers
                .iter()
                .any(|(_, setter)| *setter == Some(operator));
            own.believes = Some(mine);
        }
    }
}

fn feed(state: &mut State, node: usize, event: RolloutEvent) {
    let mut actions = Vec::new();
    state.nodes[node]
        .machine
        .handle(state.now, event, &mut actions);
    for action in actions {
        match action {
            RolloutAction::FetchFromPlatform => state.nodes[node].fetching = true,
            RolloutAction::SendPeer { message, .. } => {
                let inbox = &mut state.nodes[1 - node].messages;
                if inbox.len() < MAXIMUM_MESSAGES {
                    inbox.push(message);
                }
            }
            RolloutAction::Install(_) => {
                let own = &mut state.nodes[node];
                let held = own.machine.store().held();
                own.fell_back |= held <= own.highest;
                own.highest = own.highest.max(held);
            }
            _ => {}
        }
    }
}

impl Model for RolloutModel {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let now = Timestamp(1);
        let operator = |version| Operator {
            version,
            seen: None,
            applied: 0,
            believes: None,
        };
        let mut state = State {
            now,
            nodes: [self.node(now, 1), self.node(now, 2)],
            operators: [operator(2), operator(3)],
            pointers: vec![(1, None)],
        };
        feed(&mut state, 0, RolloutEvent::ZoneRank(0));
        feed(&mut state, 1, RolloutEvent::ZoneRank(1));
        state
    }

    /// Times and the state of the random generators are left out: they only choose when
    /// a timer fires, and a timer may fire at any step here.
    fn key(&self, state: &State) -> String {
        let text = format!("{:?}{:?}{:?}", state.nodes, state.operators, state.pointers);
        without_numbers_after(&without_numbers_after(&text, "Timestamp("), "index: ")
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        for (operator, own) in state.operators.iter().enumerate() {
            let open = own.believes.is_none();
            steps.extend((open && own.seen.is_none()).then_some(Step::Read(operator)));
            if open && own.seen.is_some() && own.applied < 2 {
                let roll = |lost| Step::Roll { operator, lost };
                steps.extend([roll(false), roll(true)]);
            }
        }
        for (node, own) in state.nodes.iter().enumerate() {
            for pointer in 0..state.pointers.len() {
                steps.push(Step::Pointer { node, pointer });
                let pointer = Some(pointer);
                steps.extend(own.fetching.then_some(Step::Fetched { node, pointer }));
            }
            let pointer = None;
            steps.extend(own.fetching.then_some(Step::Fetched { node, pointer }));
            let other = state.nodes[1 - node].machine.store().held();
            steps.extend((other.0 > 0).then_some(Step::Hear(node)));
            if !own.messages.is_empty() {
                let message = |lost| Step::Message { node, lost };
                steps.extend([message(false), message(true)]);
            }
            let timer = own.machine.next_wake().is_some();
            steps.extend(timer.then_some(Step::Timer(node)));
        }
        steps.extend((!state.nodes[0].restarted).then_some(Step::Restart));
        steps
    }

    fn apply(&self, state: &mut State, step: &Step) {
        match *step {
            Step::Read(operator) => {
                let active = state.pointers.last().map(|(version, _)| *version);
                state.operators[operator].seen = active;
            }
            Step::Roll { operator, lost } => self.roll(state, operator, lost),
            Step::Pointer { node, pointer } => {
                let version = BundleVersion(state.pointers[pointer].0);
                feed(state, node, RolloutEvent::PlatformVersion(version));
            }
            Step::Fetched { node, pointer } => {
                state.nodes[node].fetching = false;
                let event = match pointer {
                    Some(pointer) => {
                        let version = BundleVersion(state.pointers[pointer].0);
                        RolloutEvent::PlatformChange(NumberStore::change(version))
                    }
                    None => RolloutEvent::PlatformFailed,
                };
                feed(state, node, event);
            }
            Step::Hear(node) => {
                let version = state.nodes[1 - node].machine.store().held();
                let other = NodeId(1 - node as u64);
                feed(
                    state,
                    node,
                    RolloutEvent::PeerVersion {
                        node: other,
                        version,
                    },
                );
            }
            Step::Message { node, lost } => {
                let message = state.nodes[node].messages.remove(0);
                let from = NodeId(1 - node as u64);
                if !lost {
                    feed(state, node, RolloutEvent::PeerMessage { from, message });
                }
            }
            Step::Timer(node) => {
                let wake = state.nodes[node].machine.next_wake();
                state.now = state.now.max(wake.unwrap_or(state.now));
                feed(state, node, RolloutEvent::Timer);
            }
            Step::Restart => {
                state.nodes[0] = Node {
                    restarted: true,
                    ..self.node(state.now, 3)
                };
                feed(state, 0, RolloutEvent::ZoneRank(0));
            }
        }
    }

    fn broken(&self, state: &State) -> Option<String> {
        if state.nodes.iter().any(|node| node.fell_back) {
            return Some("a node put a version in force that was not newer".to_owned());
        }
        for operator in &state.operators {
            if operator.applied > 1 {
                return Some(format!("version {} was rolled twice", operator.version));
            }
            let wrong = operator
                .believes
                .is_some_and(|done| done != (operator.applied == 1));
            if wrong {
                return Some(format!("{operator:?} was told wrongly"));
            }
        }
        let versions = state.pointers.iter().map(|(version, _)| *version);
        let versions: Vec<u64> = versions.collect();
        (!versions.is_sorted()).then(|| format!("the pointer went back: {versions:?}"))
    }
}

/// `text` with the digits behind each `mark` left out.
fn without_numbers_after(text: &str, mark: &str) -> String {
    let mut parts = text.split(mark);
    let mut result = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        result.push_str(mark);
        result.push_str(part.trim_start_matches(|c: char| c.is_ascii_digit()));
    }
    result
}
