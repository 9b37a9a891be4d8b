//! Simulated network in virtual time that drives the membership state machines of
//! several nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_coordination::membership::{
    Datagram, MemberInfo, MemberState, Membership, MembershipAction, MembershipEvent,
    MembershipSettings,
};
use hookpoint_state::{BundleVersion, NodeId, RegionName, Timestamp, ZoneName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A scheduled event.
enum ScheduledEvent {
    BundleInstalled(NodeId, BundleVersion),
    Arrival(SocketAddr, Box<Datagram>),
    Timer(NodeId),
}

/// One node and observations of its behaviour.
pub struct Node {
    pub membership: Membership,
    pub zone: usize,
    pub bytes_sent: u64,
    pub deaths: Vec<(Timestamp, NodeId)>,
    paused_until: Timestamp,
    timer: Timestamp,
}

/// The simulated network and all its nodes.
pub struct Network {
    pub now: Timestamp,
    pub nodes: BTreeMap<NodeId, Node>,
    /// One datagram in this many is lost; 0 means no losses.
    pub loss_one_in: u32,
    /// Whether nodes pull the bundle of a newer version that another member reports.
    pub pulls_bundles: bool,
    /// Pairs of zones that are partitioned from each other, lower zone first.
    pub partitions: BTreeSet<(usize, usize)>,
    zones_per_region: usize,
    addresses: BTreeMap<SocketAddr, NodeId>,
    queue: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    sequence: u64,
    random: ChaCha8Rng,
    settings: MembershipSettings,
}

/// How long a node takes to pull a bundle from another.
const PULL_TIME: Duration = Duration::from_millis(60);
/// Bytes that sealing, IP and UDP headers add to a datagram.
const ENVELOPE_BYTES: u64 = 73;

impl Network {
    pub fn new(seed: u64, zones_per_region: usize) -> Self {
        Self {
            now: Timestamp::from_millis(1_000),
            nodes: BTreeMap::new(),
            loss_one_in: 0,
            pulls_bundles: false,
            partitions: BTreeSet::new(),
            zones_per_region,
            addresses: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            settings: MembershipSettings::default(),
        }
    }

    pub fn address(index: u16) -> SocketAddr {
        SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7_000))
    }

    /// Starts a process at the address of `index`. It replaces a process that ran there
    /// before.
    pub fn start(&mut self, index: u16, zone: usize, seeds: &[u16]) -> NodeId {
        let node = NodeId(self.random.random());
        let address = Self::address(index);
        if let Some(earlier) = self.addresses.insert(address, node) {
            self.nodes.remove(&earlier);
        }
        let info = MemberInfo {
            node,
            zone: ZoneName::new(format!("zone-{zone}")),
            region: RegionName::new(format!("region-{}", zone / self.zones_per_region)),
            address,
        };
        let random = ChaCha8Rng::seed_from_u64(self.random.random());
        let membership = Membership::new(self.now, self.settings.clone(), info, random);
        self.nodes.insert(
            node,
            Node {
                membership,
                zone,
                bytes_sent: 0,
                deaths: Vec::new(),
                paused_until: Timestamp::default(),
                timer: Timestamp(u64::MAX),
            },
        );
        let seeds = seeds.iter().map(|seed| Self::address(*seed)).collect();
        self.handle(node, MembershipEvent::Seeds(seeds));
        node
    }

    /// Removes a node without notice.
    pub fn kill(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    /// Suspends a node for a while; its events are delivered afterwards.
    pub fn pause(&mut self, node: NodeId, time: Duration) {
        let until = self.now + time;
        self.nodes
            .get_mut(&node)
            .expect("the node runs")
            .paused_until = until;
    }

    pub fn handle(&mut self, id: NodeId, event: MembershipEvent) {
        let mut actions = Vec::new();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.membership.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                MembershipAction::Send { to, datagram } => self.send(id, to, datagram),
                MembershipAction::MemberChanged { info, state } => {
                    if state == MemberState::Dead
                        && let Some(node) = self.nodes.get_mut(&id)
                    {
                        node.deaths.push((self.now, info.node));
                    }
                }
                MembershipAction::VersionSeen { version, .. } => {
                    if self.pulls_bundles && version > self.nodes[&id].membership.bundle() {
                        self.push(
                            self.now + PULL_TIME,
                            ScheduledEvent::BundleInstalled(id, version),
                        );
                    }
                }
            }
        }
        let wake = self.nodes[&id].membership.next_wake().max(self.now);
        if wake != self.nodes[&id].timer {
            self.nodes.get_mut(&id).expect("the node runs").timer = wake;
            self.push(wake, ScheduledEvent::Timer(id));
        }
    }

    fn push(&mut self, at: Timestamp, due: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), due);
    }

    fn send(&mut self, from: NodeId, to: SocketAddr, datagram: Box<Datagram>) {
        let bytes = postcard::to_stdvec(&datagram).expect("datagrams are encodable");
        assert!(
            bytes.len() as u64 + ENVELOPE_BYTES - 28 <= 1_400,
            "{} bytes",
            bytes.len()
        );
        let sender = self.nodes.get_mut(&from).expect("the sender runs");
        sender.bytes_sent += bytes.len() as u64 + ENVELOPE_BYTES;
        let zone = sender.zone;
        if self.loss_one_in > 0 && self.random.random_ratio(1, self.loss_one_in) {
            return;
        }
        let Some(target) = self.addresses.get(&to).and_then(|id| self.nodes.get(id)) else {
            return;
        };
        let pair = (zone.min(target.zone), zone.max(target.zone));
        if self.partitions.contains(&pair) {
            return;
        }
        let latency = match (
            pair.0 == pair.1,
            pair.0 / self.zones_per_region == pair.1 / self.zones_per_region,
        ) {
            (true, _) => 300,
            (false, true) => 1_500,
            (false, false) => 20_000,
        };
        let jitter = self.random.random_range(0..latency / 2);
        let at = self.now + Duration::from_micros(latency + jitter);
        self.push(at, ScheduledEvent::Arrival(to, datagram));
    }

    /// Runs the network for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > end {
                break;
            }
            let due = entry.remove();
            self.now = self.now.max(at);
            self.deliver(due);
        }
        self.now = end;
    }

    fn deliver(&mut self, due: ScheduledEvent) {
        let id = match &due {
            ScheduledEvent::Arrival(to, _) => self.addresses.get(to).copied(),
            ScheduledEvent::Timer(id) | ScheduledEvent::BundleInstalled(id, _) => Some(*id),
        };
        let Some(node) = id.and_then(|id| self.nodes.get(&id)) else {
            return;
        };
        if node.paused_until > self.now {
            let until = node.paused_until;
            self.push(until, due);
            return;
        }
        let Some(id) = id else { return };
        match due {
            ScheduledEvent::Arrival(_, datagram) => {
                self.handle(id, MembershipEvent::Datagram(datagram))
            }
            ScheduledEvent::BundleInstalled(_, version) => {
                self.handle(id, MembershipEvent::BundleInForce(version));
            }
            ScheduledEvent::Timer(_) => {
                if node.timer == self.now || node.membership.next_wake() <= self.now {
                    self.handle(id, MembershipEvent::Timer);
                }
            }
        }
    }

    /// Returns whether every node considers exactly the other running nodes alive.
    pub fn agrees(&self) -> bool {
        self.nodes.iter().all(|(id, node)| {
            let seen: BTreeSet<NodeId> = node
                .membership
                .members()
                .filter(|member| member.state == MemberState::Alive)
                .map(|member| member.info.node)
                .collect();
            seen.len() + 1 == self.nodes.len()
                && self
                    .nodes
                    .keys()
                    .all(|other| other == id || seen.contains(other))
        })
    }

    /// Runs in steps until [`Network::agrees`]. Returns the time it took, or `None` if
    /// it took longer than `limit`.
    pub fn run_until_agreed(&mut self, limit: Duration) -> Option<Duration> {
        const STEP: Duration = Duration::from_millis(250);
        let mut passed = Duration::ZERO;
        while !self.agrees() {
            if passed >= limit {
                return None;
            }
            self.run(STEP);
            passed += STEP;
        }
        Some(passed)
    }

    /// Returns the state of node `of` according to node `by`.
    pub fn state(&self, by: NodeId, of: NodeId) -> Option<MemberState> {
        self.nodes[&by]
            .membership
            .member(of)
            .map(|member| member.state)
    }

    /// Returns how often a running node was declared dead.
    pub fn false_deaths(&self) -> usize {
        self.nodes
            .values()
            .flat_map(|node| &node.deaths)
            .filter(|(_, dead)| self.nodes.contains_key(dead))
            .count()
    }

    /// Returns the mean and the maximum over all nodes of the bytes sent per second
    /// since the last call, which was `time` ago.
    pub fn take_rates(&mut self, time: Duration) -> (f64, f64) {
        let count = self.nodes.len() as f64;
        let mut sum = 0.0;
        let mut maximum: f64 = 0.0;
        for node in self.nodes.values_mut() {
            let rate = std::mem::take(&mut node.bytes_sent) as f64 / time.as_secs_f64();
            sum += rate;
            maximum = maximum.max(rate);
        }
        (sum / count, maximum)
    }
}
