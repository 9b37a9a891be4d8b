//! The hollow nodes and their network.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::membership::{Datagram, MemberInfo, MemberState, MembershipSettings};
use hookpoint_coordination::node::{NodeAction, NodeEvent, NodeMachine, PeerMessage};
use hookpoint_coordination::rollout::{
    RolloutAction, RolloutEvent, RolloutMachine, RolloutMessage,
};
use hookpoint_state::bundle::{Bundle, Database, Group, ReadPreference};
use hookpoint_state::{
    BundleVersion, DatabaseName, GroupName, NodeId, RegionName, Term, Timestamp, ZoneName,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::account::{Account, CHANGE_BYTES, datagram_bytes, message_bytes};
use super::settings::FleetSettings;
use crate::platform::{NumberStore, Platform};
use crate::schedule::Schedule;

/// One-way latencies.
const WITHIN_ZONE: Duration = Duration::from_micros(250);
const BETWEEN_ZONES: Duration = Duration::from_micros(1_500);
const BETWEEN_REGIONS: Duration = Duration::from_millis(20);
const TO_PLATFORM: Duration = Duration::from_millis(10);
/// Random addition to a latency, in microseconds; datagrams overtake each other.
const JITTER_MICROS: u64 = 800;
/// How long a silent watch of the platform is trusted.
const WATCH_PATIENCE: Duration = Duration::from_secs(30);
/// Requests that open the watches of the pointer and of the list of machines.
const REQUESTS_OF_A_WATCH: u64 = 4;
/// Requests that read the pointer and its bundle.
const REQUESTS_OF_A_FETCH: u64 = 2;

/// What happens to a node.
#[derive(Debug)]
pub(super) enum Event {
    Starts,
    Datagram(Box<Datagram>),
    Peer(NodeId, PeerMessage),
    Rollout(NodeId, RolloutMessage),
    PeerLost(NodeId),
    Timer,
    RolloutTimer,
    Pointer(BundleVersion),
    Fetched(Option<BundleVersion>),
    WatchRenewal,
}

/// A node.
pub(super) struct Hollow {
    pub(super) id: NodeId,
    pub(super) zone: usize,
    pub(super) machine: NodeMachine,
    rollout: RolloutMachine<NumberStore>,
    pub(super) started: bool,
    pub(super) dead: bool,
    pub(super) watching: bool,
    timer_at: Option<Timestamp>,
    rollout_timer_at: Option<Timestamp>,
    address: SocketAddr,
    /// When each bundle came into force.
    pub(super) installed: BTreeMap<BundleVersion, Timestamp>,
    /// When each term of a group became known.
    pub(super) learned: BTreeMap<(GroupName, Term), Timestamp>,
    /// Latest verdicts of death by node.
    pub(super) deaths: BTreeMap<NodeId, Timestamp>,
    /// Members it takes for dead now.
    pub(super) takes_for_dead: BTreeSet<NodeId>,
}

/// All nodes.
pub(super) struct Fleet {
    pub(super) settings: FleetSettings,
    pub(super) schedule: Schedule<(usize, Event)>,
    pub(super) random: ChaCha8Rng,
    pub(super) nodes: Vec<Hollow>,
    pub(super) accounts: Vec<Account>,
    addresses: BTreeMap<SocketAddr, usize>,
    indices: BTreeMap<NodeId, usize>,
    pub(super) platform: Platform,
    pub(super) platform_requests: u64,
    pub(super) bundle: Arc<Bundle>,
    pub(super) cut_zone: Option<usize>,
    /// Times at which a node last had to take another for alive again.
    pub(super) whole_at: Vec<Timestamp>,
    pub(super) events: u64,
}

impl Fleet {
    pub(super) fn new(settings: &FleetSettings) -> Self {
        let mut fleet = Self {
            settings: settings.clone(),
            schedule: Schedule::new(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            nodes: Vec::new(),
            accounts: vec![Account::default(); settings.nodes],
            addresses: BTreeMap::new(),
            indices: BTreeMap::new(),
            platform: Platform::default(),
            platform_requests: 0,
            bundle: Arc::new(bundle_of(settings)),
            cut_zone: None,
            whole_at: vec![Timestamp::default(); settings.nodes],
            events: 0,
        };
        for index in 0..settings.nodes {
            fleet.add_node(index);
        }
        fleet
    }

    fn add_node(&mut self, index: usize) {
        let zone = index % self.settings.zones;
        let address = address_of(index);
        let info = MemberInfo {
            node: NodeId(self.random.random()),
            zone: zone_name(zone),
            region: self.region_name(zone),
            address,
        };
        let id = info.node;
        let spread = self.settings.join_ms.max(1) * 1_000;
        let start = Timestamp(self.random.random_range(0..spread));
        let random = ChaCha8Rng::from_rng(&mut self.random);
        let machine = NodeMachine::new(start, MembershipSettings::default(), info, random);
        let random = ChaCha8Rng::from_rng(&mut self.random);
        let rollout = RolloutMachine::new(start, NumberStore::new(false), random);
        self.nodes.push(Hollow {
            id,
            zone,
            machine,
            rollout,
            started: false,
            dead: false,
            watching: false,
            timer_at: None,
            rollout_timer_at: None,
            address,
            installed: BTreeMap::new(),
            learned: BTreeMap::new(),
            deaths: BTreeMap::new(),
            takes_for_dead: BTreeSet::new(),
        });
        self.addresses.insert(address, index);
        self.indices.insert(id, index);
        self.schedule.at(start, (index, Event::Starts));
    }

    fn region_name(&self, zone: usize) -> RegionName {
        region_name(&self.settings, zone)
    }

    pub(super) fn now(&self) -> Timestamp {
        self.schedule.now()
    }

    /// Whether messages pass between two nodes.
    fn joined(&self, a: usize, b: usize) -> bool {
        let zones = (self.nodes[a].zone, self.nodes[b].zone);
        let apart = |zone| self.cut_zone == Some(zone);
        zones.0 == zones.1 || !(apart(zones.0) || apart(zones.1))
    }

    fn latency(&mut self, a: usize, b: usize) -> Duration {
        let zones = (self.nodes[a].zone, self.nodes[b].zone);
        let jitter = Duration::from_micros(self.random.random_range(0..JITTER_MICROS));
        let regions = self.settings.regions.max(1);
        let base = if zones.0 == zones.1 {
            WITHIN_ZONE
        } else if zones.0 % regions == zones.1 % regions {
            BETWEEN_ZONES
        } else {
            BETWEEN_REGIONS
        };
        base + jitter
    }

    /// Runs until `end`.
    pub(super) fn run_until(&mut self, end: Timestamp) {
        while let Some((node, event)) = self.schedule.next_before(end) {
            self.events += 1;
            if !self.nodes[node].dead {
                self.dispatch(node, event);
            }
        }
    }

    fn dispatch(&mut self, node: usize, event: Event) {
        match event {
            Event::Starts => self.start(node),
            Event::Datagram(datagram) => {
                if self.nodes[node].started {
                    self.accounts[node].received(datagram_bytes(&datagram));
                    self.feed(node, NodeEvent::Datagram(datagram));
                }
            }
            Event::Peer(from, message) => {
                self.accounts[node].received(message_bytes(&message));
                self.feed(node, NodeEvent::PeerMessage { from, message });
            }
            Event::Rollout(from, message) => {
                self.accounts[node].received(rollout_bytes(&message));
                self.feed_rollout(node, RolloutEvent::PeerMessage { from, message });
            }
            Event::PeerLost(peer) => {
                self.feed(node, NodeEvent::PeerLost(peer));
                self.feed_rollout(node, RolloutEvent::PeerGone(peer));
            }
            Event::Timer => {
                self.nodes[node].timer_at = None;
                self.feed(node, NodeEvent::Timer);
            }
            Event::RolloutTimer => {
                self.nodes[node].rollout_timer_at = None;
                self.feed_rollout(node, RolloutEvent::Timer);
            }
            Event::Pointer(version) => {
                self.feed_rollout(node, RolloutEvent::PlatformVersion(version));
            }
            Event::Fetched(version) => {
                let event = version.map_or(RolloutEvent::PlatformFailed, |version| {
                    RolloutEvent::PlatformChange(NumberStore::change(version))
                });
                self.feed_rollout(node, event);
            }
            Event::WatchRenewal => self.renew_watch(node),
        }
    }

    /// A node starts, knowing a few addresses.
    fn start(&mut self, node: usize) {
        self.nodes[node].started = true;
        let mut seeds = Vec::new();
        for _ in 0..5 {
            let seed = self.random.random_range(0..self.nodes.len());
            seeds.push(self.nodes[seed].address);
        }
        self.feed(node, NodeEvent::Seeds(seeds));
    }

    pub(super) fn feed(&mut self, node: usize, event: NodeEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        self.nodes[node].machine.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(node, action);
        }
        let wake = self.nodes[node].machine.next_wake().max(now);
        if self.nodes[node].timer_at.is_none_or(|at| wake < at) {
            self.nodes[node].timer_at = Some(wake);
            self.schedule.at(wake, (node, Event::Timer));
        }
    }

    fn carry_out(&mut self, node: usize, action: NodeAction) {
        let now = self.now();
        match action {
            NodeAction::SendDatagram { to, datagram } => self.send_datagram(node, to, datagram),
            NodeAction::SendPeer { to, message } => {
                self.accounts[node].sent(message_bytes(&message));
                let from = self.nodes[node].id;
                self.send_peer(node, to, Event::Peer(from, message));
            }
            NodeAction::LeadershipLearned(news) => {
                let learned = &mut self.nodes[node].learned;
                learned.entry((news.group, news.term)).or_insert(now);
            }
            NodeAction::MemberChanged { info, state } => {
                self.member_changed(node, info.node, state);
            }
            NodeAction::PeerVersionSeen {
                node: peer,
                version,
            } => {
                let event = RolloutEvent::PeerVersion {
                    node: peer,
                    version,
                };
                self.feed_rollout(node, event);
            }
            NodeAction::ZoneRankChanged(rank) => {
                self.feed_rollout(node, RolloutEvent::ZoneRank(rank));
            }
            NodeAction::RolloutReceived { from, message } => {
                self.feed_rollout(node, RolloutEvent::PeerMessage { from, message });
            }
            NodeAction::HomeChanged(_) => {}
        }
    }

    fn member_changed(&mut self, node: usize, member: NodeId, state: MemberState) {
        let now = self.now();
        if state == MemberState::Dead {
            self.nodes[node].deaths.insert(member, now);
            self.nodes[node].takes_for_dead.insert(member);
            self.feed_rollout(node, RolloutEvent::PeerGone(member));
        } else if self.nodes[node].takes_for_dead.remove(&member) {
            self.whole_at[node] = now;
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, datagram: Box<Datagram>) {
        self.accounts[from].sent(datagram_bytes(&datagram));
        let Some(target) = self.addresses.get(&to).copied() else {
            return;
        };
        let lost = self.random.random_range(0..1_000_000) < self.settings.loss_per_million;
        if lost || !self.joined(from, target) {
            return;
        }
        let at = self.now() + self.latency(from, target);
        self.schedule.at(at, (target, Event::Datagram(datagram)));
    }

    fn send_peer(&mut self, from: usize, to: NodeId, event: Event) {
        let Some(target) = self.indices.get(&to).copied() else {
            return;
        };
        let at = self.now() + self.latency(from, target);
        if self.nodes[target].dead || !self.joined(from, target) {
            self.schedule.at(at, (from, Event::PeerLost(to)));
        } else {
            self.schedule.at(at, (target, event));
        }
    }

    fn feed_rollout(&mut self, node: usize, event: RolloutEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        self.nodes[node].rollout.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out_rollout(node, action);
        }
        let Some(wake) = self.nodes[node].rollout.next_wake() else {
            return;
        };
        if self.nodes[node].rollout_timer_at.is_none_or(|at| wake < at) {
            self.nodes[node].rollout_timer_at = Some(wake);
            self.schedule.at(wake, (node, Event::RolloutTimer));
        }
    }

    fn carry_out_rollout(&mut self, node: usize, action: RolloutAction) {
        let now = self.now();
        match action {
            RolloutAction::WatchPlatform(watching) => {
                self.nodes[node].watching = watching;
                if watching {
                    self.renew_watch(node);
                }
            }
            RolloutAction::FetchFromPlatform => {
                let version = self.read_platform(node, REQUESTS_OF_A_FETCH);
                let event = Event::Fetched(version);
                self.schedule.at(now + TO_PLATFORM * 4, (node, event));
            }
            RolloutAction::SendPeer { to, message } => {
                self.accounts[node].sent(rollout_bytes(&message));
                let from = self.nodes[node].id;
                self.send_peer(node, to, Event::Rollout(from, message));
            }
            RolloutAction::Install(_) => self.install(node),
            // The model platform has no list of machines that databases could leave.
            RolloutAction::TellZone(_)
            | RolloutAction::DrainLeaving(_)
            | RolloutAction::Rejected { .. } => {}
        }
    }

    /// Opens the watches of a node anew.
    fn renew_watch(&mut self, node: usize) {
        if !self.nodes[node].watching {
            return;
        }
        let now = self.now();
        self.schedule
            .at(now + WATCH_PATIENCE, (node, Event::WatchRenewal));
        self.tell_pointer(node, REQUESTS_OF_A_WATCH);
    }

    /// Reads the platform, which stands outside of all zones.
    fn read_platform(&mut self, node: usize, requests: u64) -> Option<BundleVersion> {
        if self.cut_zone == Some(self.nodes[node].zone) {
            return None;
        }
        self.platform_requests += requests;
        self.platform.read(self.schedule.now())
    }

    fn tell_pointer(&mut self, node: usize, requests: u64) {
        let now = self.now();
        if let Some(version) = self.read_platform(node, requests) {
            let jitter = Duration::from_micros(self.random.random_range(0..JITTER_MICROS));
            let at = now + TO_PLATFORM + jitter;
            self.schedule.at(at, (node, Event::Pointer(version)));
        }
    }

    /// Rolls the next bundle; the watches bring word of it.
    pub(super) fn roll(&mut self) -> BundleVersion {
        let version = self.platform.roll();
        for node in 0..self.nodes.len() {
            if self.nodes[node].watching && !self.nodes[node].dead {
                self.tell_pointer(node, 0);
            }
        }
        version
    }

    fn install(&mut self, node: usize) {
        let now = self.now();
        let version = self.nodes[node].rollout.store().held();
        self.nodes[node].installed.entry(version).or_insert(now);
        let bundle = self.bundle_of_version(version);
        self.feed(node, NodeEvent::BundleInstalled(bundle));
    }
}

impl Fleet {
    /// The bundle of a version, shared by the nodes that install it one after the other.
    fn bundle_of_version(&mut self, version: BundleVersion) -> Arc<Bundle> {
        if self.bundle.version != version {
            let bundle = Bundle {
                version,
                ..(*self.bundle).clone()
            };
            self.bundle = Arc::new(bundle);
        }
        Arc::clone(&self.bundle)
    }
}

fn rollout_bytes(message: &RolloutMessage) -> u64 {
    let change = match message {
        RolloutMessage::Change(_) => CHANGE_BYTES,
        _ => 0,
    };
    message_bytes(message) + change
}

fn address_of(index: usize) -> SocketAddr {
    let host = Ipv4Addr::new(10, 0, (index / 250) as u8, (index % 250 + 1) as u8);
    SocketAddr::new(IpAddr::V4(host), 7_000)
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(format!("zone-{zone}"))
}

fn region_name(settings: &FleetSettings, zone: usize) -> RegionName {
    RegionName::new(format!("region-{}", zone % settings.regions.max(1)))
}

/// Name of the group with this number.
pub(super) fn group_name(group: usize) -> GroupName {
    GroupName::new(format!("group-{group:04}"))
}

/// Name of a database of a group.
pub(super) fn database_name(group: usize, member: usize) -> DatabaseName {
    DatabaseName::new(format!("group-{group:04}-{member}"))
}

fn bundle_of(settings: &FleetSettings) -> Bundle {
    let mut bundle = Bundle::default();
    for zone in 0..settings.zones {
        let region = region_name(settings, zone);
        bundle.zones.insert(zone_name(zone), region);
    }
    for group in 0..settings.databases / 3 {
        let value = Group {
            database: "data".to_owned(),
            user: "application".to_owned(),
            reads: ReadPreference::Replica,
            election_timeout_ms: 300,
        };
        bundle.groups.insert(group_name(group), value);
        for member in 0..3 {
            let value = Database {
                group: group_name(group),
                zone: zone_name((group + member) % settings.zones),
                address: format!("10.9.{}.{}:5432", group / 250, group % 250 + 1),
                slots: 5,
            };
            bundle.databases.insert(database_name(group, member), value);
        }
    }
    bundle
}
