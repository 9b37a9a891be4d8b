//! Rollout of bundles with two nodes, two concurrent operators, a platform whose answers may be
//! stale or lost, and one node that may restart. The nodes run the production rollout machine.

use hookpoint_coordination::rollout::{
    RolloutAction, RolloutEvent, RolloutMachine, RolloutMessage,
};
use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::explore::Model;
use crate::platform::VersionStore;

/// Maximum number of messages in flight to one node; further messages are dropped.
const MAXIMUM_MESSAGES: usize = 2;

#[derive(Clone, Debug)]
struct Node {
    machine: RolloutMachine<VersionStore>,
    /// Highest version in force since the node's process started.
    highest: BundleVersion,
    regressed: bool,
    fetching: bool,
    messages: Vec<RolloutMessage>,
    restarted: bool,
}

/// An operator who has prepared a version and rolls it out.
#[derive(Clone, Debug)]
struct Operator {
    version: u64,
    read_version: Option<u64>,
    /// Number of times the rollout took effect.
    applied: u8,
    /// Final result as known to the operator: whether the rollout took effect.
    known_result: Option<bool>,
}

/// State of the model.
#[derive(Clone, Debug)]
pub struct State {
    now: Timestamp,
    nodes: [Node; 2],
    operators: [Operator; 2],
    /// History of the platform's pointer, the active version last, each with the operator who
    /// set it.
    pointers: Vec<(u64, Option<usize>)>,
}

/// A step of the model.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// An operator reads the pointer.
    Read(usize),
    /// An operator moves the pointer, provided that it is unchanged since the operator read it;
    /// the answer may be lost.
    RollOut {
        /// Index of the operator.
        operator: usize,
        /// Whether the platform's answer is lost.
        lost: bool,
    },
    /// A node receives a current or former pointer of the platform.
    Pointer {
        /// Index of the node.
        node: usize,
        /// Index in the history of pointers.
        pointer: usize,
    },
    /// A node's fetch returns the bundle of a current or former pointer, or fails.
    Fetched {
        /// Index of the node.
        node: usize,
        /// Index in the history of pointers; `None` if the fetch fails.
        pointer: Option<usize>,
    },
    /// A node receives the version that the other node has in force.
    PeerVersion(usize),
    /// A message from the other node arrives, or is lost.
    Message {
        /// Index of the receiving node.
        node: usize,
        /// Whether the message is lost.
        lost: bool,
    },
    /// A node's timer is due.
    Timer(usize),
    /// The first node's process is replaced by a new one.
    Restart,
}

/// Model of bundle rollouts.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolloutModel {
    /// Mutation: nodes accept older bundles as if they were newer.
    pub accept_older: bool,
    /// Mutation: an operator whose answer was lost rolls out again without reading the pointer.
    pub retry_without_reading: bool,
}

impl RolloutModel {
    fn node(&self, now: Timestamp, number: u64) -> Node {
        let random = ChaCha8Rng::seed_from_u64(number);
        let store = VersionStore::new(self.accept_older);
        Node {
            machine: RolloutMachine::new(now, store, random),
            highest: BundleVersion(0),
            regressed: false,
            fetching: false,
            messages: Vec::new(),
            restarted: false,
        }
    }

    fn roll_out(&self, state: &mut State, operator: usize, lost: bool) {
        let active = state.pointers.last().map_or(0, |(version, _)| *version);
        let own = &mut state.operators[operator];
        let moved = own.read_version == Some(active) && own.version > active
            || self.retry_without_reading && own.applied == 1;
        if moved {
            own.applied += 1;
            state.pointers.push((own.version, Some(operator)));
        }
        if !lost {
            own.known_result = Some(moved);
        } else if !self.retry_without_reading {
            // After a lost answer the operator reads which operator set the pointer.
            let mine = state
                .pointers
                .iter()
                .any(|(_, setter)| *setter == Some(operator));
            own.known_result = Some(mine);
        }
    }
}

fn node_event(state: &mut State, node: usize, event: RolloutEvent) {
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
                let held = own.machine.store().actual_version();
                own.regressed |= held <= own.highest;
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
            read_version: None,
            applied: 0,
            known_result: None,
        };
        let mut state = State {
            now,
            nodes: [self.node(now, 1), self.node(now, 2)],
            operators: [operator(2), operator(3)],
            pointers: vec![(1, None)],
        };
        node_event(&mut state, 0, RolloutEvent::ZoneRank(0));
        node_event(&mut state, 1, RolloutEvent::ZoneRank(1));
        state
    }

    /// Omits times and the state of the random generators: they only determine when a timer
    /// fires, and in this model a timer may fire at any step.
    fn key(&self, state: &State) -> String {
        let text = format!("{:?}{:?}{:?}", state.nodes, state.operators, state.pointers);
        without_numbers_after(&without_numbers_after(&text, "Timestamp("), "index: ")
    }

    fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        for (operator, own) in state.operators.iter().enumerate() {
            let open = own.known_result.is_none();
            steps.extend((open && own.read_version.is_none()).then_some(Step::Read(operator)));
            if open && own.read_version.is_some() && own.applied < 2 {
                let roll_out = |lost| Step::RollOut { operator, lost };
                steps.extend([roll_out(false), roll_out(true)]);
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
            let other = state.nodes[1 - node].machine.store().actual_version();
            steps.extend((other.0 > 0).then_some(Step::PeerVersion(node)));
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
                state.operators[operator].read_version = active;
            }
            Step::RollOut { operator, lost } => self.roll_out(state, operator, lost),
            Step::Pointer { node, pointer } => {
                let version = BundleVersion(state.pointers[pointer].0);
                node_event(state, node, RolloutEvent::PlatformVersion(version));
            }
            Step::Fetched { node, pointer } => {
                state.nodes[node].fetching = false;
                let event = match pointer {
                    Some(pointer) => {
                        let version = BundleVersion(state.pointers[pointer].0);
                        RolloutEvent::PlatformChange(VersionStore::encode_change(version))
                    }
                    None => RolloutEvent::PlatformFailed,
                };
                node_event(state, node, event);
            }
            Step::PeerVersion(node) => {
                let version = state.nodes[1 - node].machine.store().actual_version();
                let other = NodeId(1 - node as u64);
                node_event(
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
                    node_event(state, node, RolloutEvent::PeerMessage { from, message });
                }
            }
            Step::Timer(node) => {
                let wake = state.nodes[node].machine.next_wake();
                state.now = state.now.max(wake.unwrap_or(state.now));
                node_event(state, node, RolloutEvent::Timer);
            }
            Step::Restart => {
                state.nodes[0] = Node {
                    restarted: true,
                    ..self.node(state.now, 3)
                };
                node_event(state, 0, RolloutEvent::ZoneRank(0));
            }
        }
    }

    fn violation(&self, state: &State) -> Option<String> {
        if state.nodes.iter().any(|node| node.regressed) {
            return Some("a node put a version in force that was not newer".to_owned());
        }
        for operator in &state.operators {
            if operator.applied > 1 {
                return Some(format!("version {} was rolled out twice", operator.version));
            }
            let wrong = operator
                .known_result
                .is_some_and(|done| done != (operator.applied == 1));
            if wrong {
                return Some(format!("{operator:?} received a wrong result"));
            }
        }
        let versions = state.pointers.iter().map(|(version, _)| *version);
        let versions: Vec<u64> = versions.collect();
        (!versions.is_sorted())
            .then(|| format!("the pointer returned to an older version: {versions:?}"))
    }
}

/// Returns `text` without the digits that directly follow each occurrence of `mark`.
fn without_numbers_after(text: &str, mark: &str) -> String {
    let mut parts = text.split(mark);
    let mut result = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        result.push_str(mark);
        result.push_str(part.trim_start_matches(|c: char| c.is_ascii_digit()));
    }
    result
}
