//! A simulated network of rollout machines in virtual time, whose stores hold only
//! version numbers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::rollout::{
    BundleStore, ChangeError, LeavingList, RolloutAction, RolloutEvent, RolloutMachine,
    RolloutMessage,
};

/// Stores only a version number; an encoded change is that number.
#[derive(Clone, Debug, Default)]
pub struct NumberStore(u64);

impl BundleStore for NumberStore {
    fn version(&self) -> BundleVersion {
        BundleVersion(self.0)
    }

    fn change_since(&self, have: BundleVersion) -> Option<Bytes> {
        (have.0 < self.0).then(|| Bytes::copy_from_slice(&self.0.to_be_bytes()))
    }

    fn apply(&mut self, change: &[u8]) -> Result<Option<BundleVersion>, ChangeError> {
        let number = change.try_into().map_err(|_| ChangeError::Malformed)?;
        let number = u64::from_be_bytes(number);
        if number <= self.0 {
            return Ok(None);
        }
        self.0 = number;
        Ok(Some(BundleVersion(number)))
    }
}

/// Faults of the simulated network.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Percentage of the messages between nodes that are lost.
    pub loss: u32,
    /// Whether the platform answers.
    pub platform: bool,
}

enum Delivery {
    Event(NodeId, RolloutEvent),
    Timer(NodeId),
}

/// The simulated network.
pub struct Network {
    pub nodes: BTreeMap<NodeId, RolloutMachine<NumberStore>>,
    pub faults: Faults,
    pub fetches: usize,
    pub busy: usize,
    pub drained: BTreeMap<NodeId, BTreeSet<SocketAddr>>,
    platform_version: u64,
    now: Timestamp,
    random: ChaCha8Rng,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
}

impl Network {
    /// Creates a network of `count` nodes in one zone.
    pub fn new(count: u64, seed: u64, faults: Faults) -> Self {
        let mut network = Self {
            nodes: BTreeMap::new(),
            faults,
            fetches: 0,
            busy: 0,
            drained: BTreeMap::new(),
            platform_version: 0,
            now: Timestamp(0),
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for number in 1..=count {
            network.start(NodeId(number));
        }
        network
    }

    /// Starts or restarts a node, without a bundle.
    pub fn start(&mut self, node: NodeId) {
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let machine = RolloutMachine::new(self.now, NumberStore::default(), random);
        self.nodes.insert(node, machine);
        let rank = self.nodes.range(..node).count();
        self.handle(node, RolloutEvent::ZoneRank(rank));
        let held: Vec<(NodeId, BundleVersion)> = self
            .nodes
            .iter()
            .map(|(other, machine)| (*other, machine.store().version()))
            .collect();
        for (other, version) in held {
            let event = RolloutEvent::PeerVersion {
                node: other,
                version,
            };
            self.handle(node, event);
        }
    }

    /// Rolls a version on the platform and notifies the watchers.
    pub fn roll(&mut self, version: u64) {
        self.platform_version = version;
        if !self.faults.platform {
            return;
        }
        let nodes: Vec<NodeId> = self.nodes.keys().copied().collect();
        for node in nodes {
            if self.nodes[&node].is_watching() {
                self.handle(node, RolloutEvent::PlatformVersion(BundleVersion(version)));
            }
        }
    }

    /// Makes the platform's list of machines name these databases as leaving, and
    /// notifies the watchers.
    pub fn leave(&mut self, revision: u64, addresses: &BTreeSet<SocketAddr>) {
        let nodes: Vec<NodeId> = self.nodes.keys().copied().collect();
        for node in nodes {
            if self.nodes[&node].is_watching() {
                let addresses = addresses.clone();
                let list = LeavingList {
                    revision,
                    addresses,
                };
                self.handle(node, RolloutEvent::PlatformLeaving(list));
            }
        }
    }

    /// Runs the network for `duration`.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let delivery = entry.remove();
            self.now = self.now.max(at);
            match delivery {
                Delivery::Event(node, event) => self.handle(node, event),
                Delivery::Timer(node) => {
                    let due = self.nodes[&node].next_wake();
                    if due.is_some_and(|due| due <= self.now) {
                        self.handle(node, RolloutEvent::Timer);
                    }
                }
            }
        }
        self.now = end;
    }

    /// Returns the lowest and the highest version in force.
    pub fn versions(&self) -> (u64, u64) {
        let versions = || self.nodes.values().map(|machine| machine.store().0);
        (versions().min().unwrap_or(0), versions().max().unwrap_or(0))
    }

    fn handle(&mut self, node: NodeId, event: RolloutEvent) {
        let Some(machine) = self.nodes.get_mut(&node) else {
            return;
        };
        let mut actions = Vec::new();
        machine.handle(self.now, event, &mut actions);
        let wake = machine.next_wake();
        for action in actions {
            self.perform(node, action);
        }
        if let Some(at) = wake {
            self.enqueue(at, Delivery::Timer(node));
        }
    }

    fn perform(&mut self, node: NodeId, action: RolloutAction) {
        match action {
            RolloutAction::FetchFromPlatform => {
                self.fetches += 1;
                let event = if self.faults.platform && self.platform_version > 0 {
                    let change = self.platform_version.to_be_bytes();
                    RolloutEvent::PlatformChange(Bytes::copy_from_slice(&change))
                } else {
                    RolloutEvent::PlatformFailed
                };
                self.enqueue_after(20, Delivery::Event(node, event));
            }
            RolloutAction::SendPeer { to, message } => self.send(node, to, message),
            RolloutAction::Install(version) => self.announce(node, version),
            RolloutAction::BroadcastToZone(message) => {
                let others: Vec<NodeId> = self.nodes.keys().copied().collect();
                for other in others.into_iter().filter(|other| *other != node) {
                    self.send(node, other, message.clone());
                }
            }
            RolloutAction::DrainDatabases(addresses) => {
                self.drained.insert(node, addresses);
            }
            RolloutAction::WatchPlatform(true) if self.faults.platform => {
                let version = BundleVersion(self.platform_version);
                let event = RolloutEvent::PlatformVersion(version);
                self.enqueue_after(10, Delivery::Event(node, event));
            }
            RolloutAction::WatchPlatform(_) | RolloutAction::Rejected { .. } => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: RolloutMessage) {
        self.busy += usize::from(message == RolloutMessage::Busy);
        if self.random.random_range(0..100) >= self.faults.loss {
            let event = RolloutEvent::PeerMessage { from, message };
            self.enqueue_after(5, Delivery::Event(to, event));
        }
    }

    /// Reports the version to every node at a random time within the next 300 ms.
    fn announce(&mut self, node: NodeId, version: BundleVersion) {
        let others: Vec<NodeId> = self.nodes.keys().copied().collect();
        for other in others {
            let delay = self.random.random_range(0..300);
            let event = RolloutEvent::PeerVersion { node, version };
            self.enqueue_after(delay, Delivery::Event(other, event));
        }
    }

    fn enqueue_after(&mut self, millis: u64, delivery: Delivery) {
        self.enqueue(self.now + Duration::from_millis(millis), delivery);
    }

    fn enqueue(&mut self, at: Timestamp, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), delivery);
    }
}
