//! The simulated world of the request path: databases, proxies, clients, platform and network.

mod client;
mod connection;
mod databases;
mod event;
mod evidence;
mod fault_injection;
mod lease;
mod nodes;
mod pool;
mod proxy;
mod session;
mod session_lease;
mod verify;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::explain::ExplainRing;
use hookpoint_coordination::membership::{MemberInfo, MembershipSettings};
use hookpoint_coordination::node::{NodeEvent, NodeMachine};
use hookpoint_coordination::rollout::{RolloutEvent, RolloutMachine};
use hookpoint_coordination::terms::TermTable;
use hookpoint_state::{
    Bundle, BundleVersion, DatabaseName, GroupName, NodeId, RegionName, Timestamp, ZoneName,
};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::database::Database;
use crate::database::log::Entry;
use crate::faults::Fault;
use crate::network::Network;
use crate::platform::{Platform, VersionStore};
use crate::report::{Counts, Invariant};
use crate::schedule::Schedule;
use crate::settings::{Mutation, SimSettings};
use crate::trace::Trace;

use client::Client;
use connection::{Connection, Lease};
use event::{
    ClientMessage, ConnectionNumber, Event, LeaseNumber, ProxyEvent, ProxyIndex, SessionNumber,
};
use proxy::{Proxy, Session};

/// Number of decisions kept for the report of a failure.
const EXPLAIN_ENTRIES: usize = 60;
/// Time at which the clients start to send requests, in milliseconds.
const LOAD_START_MS: u64 = 1_200;
/// Time without new load or faults at the end of a run, by the end of which every request
/// must have ended.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Interval between bundles, in milliseconds.
const ROLLOUT_INTERVAL_MS: u64 = 1_700;
/// Port on which a proxy receives datagrams from its peers.
const PEER_PORT: u16 = 7_000;

struct GroupState {
    name: GroupName,
    members: Vec<usize>,
}

/// State of a whole run.
pub(crate) struct World {
    settings: SimSettings,
    schedule: Schedule<Event>,
    random: ChaCha8Rng,
    trace: Trace,
    network: Network,
    platform: Platform,
    databases: Vec<Database>,
    database_names: Vec<DatabaseName>,
    groups: Vec<GroupState>,
    proxies: Vec<Proxy>,
    /// Current proxy of each place in the fleet. A proxy that dies or stops is replaced in its
    /// place by a new process.
    places: Vec<ProxyIndex>,
    addresses: BTreeMap<SocketAddr, ProxyIndex>,
    nodes: BTreeMap<NodeId, ProxyIndex>,
    sessions: BTreeMap<SessionNumber, Session>,
    leases: BTreeMap<LeaseNumber, Lease>,
    connections: BTreeMap<ConnectionNumber, Connection>,
    queries: BTreeMap<u64, SessionNumber>,
    clients: Vec<Client>,
    bundles: Vec<Arc<Bundle>>,
    draining: BTreeSet<usize>,
    faults: Vec<Fault>,
    fault_targets: Vec<Option<usize>>,
    /// Time until which a fault may delay the delivery of bundles.
    bundles_delayed_until: Timestamp,
    load_end: Timestamp,
    checker: Checker,
    counts: Counts,
    explain: ExplainRing,
    session_count: u64,
    lease_count: u64,
    connection_count: u64,
    query_count: u64,
    attempt_count: u64,
}

/// Result of a run.
pub(crate) struct RunResult {
    pub(crate) trace: u64,
    pub(crate) counts: Counts,
    pub(crate) violations: Vec<crate::report::Violation>,
    pub(crate) decisions: Vec<String>,
}

impl World {
    /// Creates a world at time zero, with its proxies started and its first events scheduled.
    pub(crate) fn new(settings: &SimSettings, seed: u64, faults: Vec<Fault>) -> Self {
        let mut world = Self {
            settings: settings.clone(),
            schedule: Schedule::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            trace: Trace::new(),
            network: Network::new(settings.deployment),
            platform: Platform::default(),
            databases: Vec::new(),
            database_names: Vec::new(),
            groups: Vec::new(),
            proxies: Vec::new(),
            places: Vec::new(),
            addresses: BTreeMap::new(),
            nodes: BTreeMap::new(),
            sessions: BTreeMap::new(),
            leases: BTreeMap::new(),
            connections: BTreeMap::new(),
            queries: BTreeMap::new(),
            clients: Vec::new(),
            bundles: Vec::new(),
            draining: BTreeSet::new(),
            fault_targets: vec![None; faults.len()],
            faults,
            bundles_delayed_until: Timestamp::default(),
            load_end: Timestamp::from_millis(LOAD_START_MS + settings.load_ms),
            checker: Checker::default(),
            counts: Counts::default(),
            explain: ExplainRing::new(EXPLAIN_ENTRIES),
            session_count: 0,
            lease_count: 0,
            connection_count: 0,
            query_count: 0,
            attempt_count: 0,
        };
        world.create_databases();
        world.roll_out_bundle();
        for place in 0..settings.proxies_per_zone * 3 {
            world.places.push(0);
            world.start_proxy(place);
        }
        world.create_clients();
        world.schedule_initial_events();
        world
    }

    fn create_databases(&mut self) {
        for group in 0..self.settings.groups {
            let mut members = Vec::new();
            for zone in 0..3 {
                let id = self.databases.len();
                let name = format!("group{group}-db{zone}");
                let slots = self.settings.deployment.slots();
                let database = Database::new(id, &name, group, zone, slots);
                self.database_names.push(database.name.clone());
                self.databases.push(database);
                members.push(id);
                let at = Timestamp(u64::from(self.random.random_range(0..25_000_u32)));
                self.schedule.at(at, Event::DatabaseTick(id));
            }
            let name = GroupName::new(format!("group{group}"));
            self.groups.push(GroupState { name, members });
        }
    }

    fn create_clients(&mut self) {
        let total = self.settings.sessions_per_group * self.settings.groups;
        for number in 0..total {
            let group = number % self.settings.groups;
            let place = number % self.places.len();
            let zone = place % 3;
            self.clients.push(Client::new(group, zone, place));
            let delay = self.random.random_range(0..self.settings.think_ms.max(1));
            let at = Timestamp::from_millis(LOAD_START_MS + delay);
            let event = Event::ClientTimer {
                client: number,
                session: 0,
            };
            self.schedule.at(at, event);
        }
    }

    fn schedule_initial_events(&mut self) {
        for index in 0..self.faults.len() {
            let at = Timestamp::from_millis(self.faults[index].at_ms);
            self.schedule.at(at, Event::FaultStarts(index));
        }
        let at = Timestamp::from_millis(ROLLOUT_INTERVAL_MS);
        self.schedule.at(at, Event::RollOutBundle);
    }

    /// Starts a new proxy process in `place`.
    fn start_proxy(&mut self, place: usize) {
        let now = self.now();
        let index = self.proxies.len();
        let zone = place % 3;
        let (zone_name, region) = self.settings.deployment.zones()[zone];
        let host = Ipv4Addr::new(10, zone as u8, (place / 250) as u8, (place % 250 + 1) as u8);
        let address = SocketAddr::new(IpAddr::V4(host), PEER_PORT);
        let info = MemberInfo {
            node: NodeId(self.random.random()),
            zone: ZoneName::new(zone_name),
            region: RegionName::new(region),
            address,
        };
        let node = info.node;
        let node_random = ChaCha8Rng::from_rng(&mut self.random);
        let rollout_random = ChaCha8Rng::from_rng(&mut self.random);
        let settings = MembershipSettings::default();
        let accept_older = self.settings.mutated(Mutation::AcceptOlderBundle);
        let proxy = Proxy {
            node,
            address,
            zone,
            up: true,
            stopping: false,
            paused_until: Timestamp::default(),
            machine: NodeMachine::new(now, settings, info, node_random),
            timer_at: None,
            rollout: RolloutMachine::new(now, VersionStore::new(accept_older), rollout_random),
            rollout_timer_at: None,
            watching: false,
            terms: TermTable::new(),
            bundle: Bundle::default(),
            sessions: BTreeSet::new(),
            pools: BTreeMap::new(),
            answered_at: BTreeMap::new(),
        };
        self.proxies.push(proxy);
        self.places[place] = index;
        self.addresses.insert(address, index);
        self.nodes.insert(node, index);
        let seeds = self
            .addresses
            .keys()
            .copied()
            .filter(|other| *other != address);
        let seeds = seeds.collect();
        self.node_event(index, NodeEvent::Seeds(seeds));
        let rank = self.zone_rank(index);
        self.rollout_event(index, RolloutEvent::ZoneRank(rank));
        let event = ProxyEvent::Observe;
        self.schedule.at(
            now,
            Event::Proxy {
                proxy: index,
                event,
            },
        );
    }

    fn now(&self) -> Timestamp {
        self.schedule.now()
    }

    fn proxy_of(&self, node: NodeId) -> Option<ProxyIndex> {
        self.nodes.get(&node).copied()
    }

    /// Runs until the settle time after the load and the last fault has passed, then makes the
    /// final checks.
    pub(crate) fn run(mut self) -> RunResult {
        let fault_ends = self.faults.iter().map(|fault| fault.at_ms + fault.lasts_ms);
        let last = Timestamp::from_millis(fault_ends.max().unwrap_or(0)).max(self.load_end);
        let end = last + SETTLE_TIME;
        while let Some(event) = self.schedule.next_before(end) {
            self.counts.events += 1;
            self.trace.number(self.schedule.now().0);
            self.dispatch(event);
        }
        self.finish(end);
        RunResult {
            trace: self.trace.digest(),
            counts: self.counts,
            decisions: self
                .explain
                .entries(None)
                .map(|entry| format!("{entry:?}"))
                .collect(),
            violations: self.checker.violations,
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::DatabaseTick(id) => self.database_tick(id),
            Event::Replication { from, to, message } => self.replication(from, to, message),
            Event::ConnectionCommands(number) => self.connection_commands(number),
            Event::ConnectionAnswers(number) => self.connection_answers(number),
            Event::LeaseCommands(number) => self.lease_commands(number),
            Event::LeaseReplies(number) => self.lease_replies(number),
            Event::Proxy { proxy, event } => self.proxy_event(proxy, event),
            Event::ControlQuery {
                proxy,
                database,
                query,
            } => self.control_query(proxy, database, query),
            Event::ClientTimer { client, session } => self.client_timer(client, session),
            Event::ClientReceives {
                client,
                session,
                message,
            } => self.client_receives(client, session, message),
            Event::RollOutBundle => self.roll_out_periodically(),
            Event::BundleDue {
                version,
                rolled_out_at,
            } => self.bundle_due(version, rolled_out_at),
            Event::FaultStarts(index) => self.fault_starts(index),
            Event::FaultEnds(index) => self.fault_ends(index),
        }
    }

    fn roll_out_periodically(&mut self) {
        let now = self.now();
        if now < self.load_end {
            self.roll_out_bundle();
            let pause = Duration::from_millis(ROLLOUT_INTERVAL_MS);
            self.schedule.at(now + pause, Event::RollOutBundle);
        }
    }

    fn proxy_event(&mut self, proxy: ProxyIndex, event: ProxyEvent) {
        let now = self.now();
        if !self.proxies[proxy].up {
            return self.refuse_connection(proxy, &event);
        }
        if self.proxies[proxy].is_paused(now) {
            let at = self.proxies[proxy].paused_until;
            return self.schedule.at(at, Event::Proxy { proxy, event });
        }
        match event {
            ProxyEvent::NodeTimer => self.node_timer(proxy),
            ProxyEvent::Datagram(datagram) => {
                self.node_event(proxy, NodeEvent::Datagram(datagram));
            }
            ProxyEvent::Peer { from, message } => {
                self.node_event(proxy, NodeEvent::PeerMessage { from, message });
            }
            ProxyEvent::RolloutPeer { from, message } => {
                self.rollout_event(proxy, RolloutEvent::PeerMessage { from, message });
            }
            ProxyEvent::RolloutTimer => self.rollout_timer(proxy),
            ProxyEvent::PlatformPoll => self.platform_poll(proxy),
            ProxyEvent::PlatformPointer { version } => {
                self.rollout_event(proxy, RolloutEvent::PlatformVersion(version));
            }
            ProxyEvent::PlatformFetched { version } => self.platform_fetched(proxy, version),
            ProxyEvent::PeerLost { node } => self.peer_lost(proxy, node),
            ProxyEvent::Observe => {
                self.observe_all(proxy);
                self.exit_if_idle(proxy);
            }
            ProxyEvent::ControlAnswer {
                database,
                query,
                status,
            } => self.control_answer(proxy, database, query, status),
            ProxyEvent::VerifyTimeout { session, query } => {
                self.verify_timeout(session, query);
            }
            ProxyEvent::RequestTimer { session, request } => self.request_timer(session, request),
            ProxyEvent::ProbeDue { session, request } => self.probe_due(session, request),
            ProxyEvent::EvidenceDue {
                session,
                query,
                database,
            } => self.evidence_due(proxy, session, query, database),
            ProxyEvent::EvidenceTimeout { session, query } => {
                self.evidence_timeout(session, query);
            }
            ProxyEvent::SessionOpens {
                client,
                session,
                token,
            } => self.session_opens(proxy, client, session, token),
            ProxyEvent::UnitArrives { session, call } => self.unit_arrives(session, call),
            ProxyEvent::ClientGone { session } => self.drop_session(session),
            ProxyEvent::SlotTimer { database } => self.slot_timer(proxy, database),
        }
    }

    /// Reports a broken connection to a client that connects to a dead proxy; other events on a
    /// dead proxy have no effect.
    fn refuse_connection(&mut self, proxy: ProxyIndex, event: &ProxyEvent) {
        if let ProxyEvent::SessionOpens {
            client, session, ..
        } = event
        {
            let at = self.now() + self.client_latency(*client, proxy);
            let event = Event::ClientReceives {
                client: *client,
                session: *session,
                message: ClientMessage::ConnectionBroken,
            };
            self.schedule.at(at, event);
        }
    }

    fn describe_unfinished(
        &self,
        client: usize,
        attempt: crate::database::unit::AttemptId,
    ) -> String {
        let number = self.clients[client].session.map_or(0, |(number, _)| number);
        let session = self.sessions.get(&number);
        let lease = session.and_then(|session| session.lease);
        format!(
            "request of client {client} has not ended, {attempt:?}: expected {:?}, lease {:?}, machine {:?}",
            session.map(|session| &session.expected),
            lease.and_then(|lease| self.leases.get(&lease)),
            session.map(|session| &session.machine),
        )
    }

    /// Makes the checks that are possible only at the end of a run.
    fn finish(&mut self, end: Timestamp) {
        let version = BundleVersion(self.bundles.len() as u64);
        self.check_bundle(version);
        for client in 0..self.clients.len() {
            if let Some(request) = &self.clients[client].request {
                let detail = self.describe_unfinished(client, request.attempt);
                self.checker.add_violation(end, Invariant::Progress, detail);
            }
        }
        for group in 0..self.groups.len() {
            let Some(primary) = self.primary_of(group) else {
                let detail = format!("group {group} has no primary at the end of the run");
                self.checker.add_violation(end, Invariant::Progress, detail);
                continue;
            };
            let clients = self.clients.iter().enumerate();
            let clients = clients.filter(|(_, client)| client.group == group);
            let clients: BTreeSet<usize> = clients.map(|(index, _)| index).collect();
            let entries = self.databases[primary].log.entries().iter();
            let entries: Vec<&Entry> = entries.map(|entry| &**entry).collect();
            self.checker.check_final_log(end, &clients, &entries);
        }
    }
}
