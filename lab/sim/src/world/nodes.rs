//! A proxy's part in the fleet: membership, home assignment, and the distribution of terms and
//! bundles.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::home::HomeChange;
use hookpoint_coordination::membership::{Datagram, MemberState};
use hookpoint_coordination::node::{LeadershipUpdate, NodeAction, NodeEvent};
use hookpoint_coordination::rollout::{RolloutAction, RolloutEvent};
use hookpoint_coordination::slots::SlotEvent;
use hookpoint_coordination::status::{BackendStatus, Role};
use hookpoint_coordination::terms::{GroupMember, LeadershipChange, Proximity};
use hookpoint_state::bundle::{Bundle, Database, Group, ReadPreference};
use hookpoint_state::{BundleVersion, NodeId, Position, RegionName, ZoneName};
use rand::Rng as _;

use super::World;
use super::event::{Event, ProxyEvent, ProxyIndex};
use crate::platform::VersionStore;
use crate::report::Invariant;
use crate::settings::Mutation;

/// One-way latency to the platform.
const PLATFORM_LATENCY: Duration = Duration::from_millis(8);
/// Interval at which a watching proxy polls the platform's pointer.
const PLATFORM_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// One in this many datagrams is lost.
const DATAGRAM_LOSS_ONE_IN: u32 = 200;
/// Time within which a bundle must be in force on every proxy while no fault delays it.
const MAX_BUNDLE_DELAY: Duration = Duration::from_secs(4);

impl World {
    pub(crate) fn node_event(&mut self, proxy: ProxyIndex, event: NodeEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        self.proxies[proxy].machine.handle(now, event, &mut actions);
        self.node_actions(proxy, actions);
    }

    pub(crate) fn node_actions(&mut self, proxy: ProxyIndex, actions: Vec<NodeAction>) {
        for action in actions {
            match action {
                NodeAction::SendDatagram { to, datagram } => {
                    if let Some(target) = self.addresses.get(&to).copied() {
                        self.send_datagram(proxy, target, datagram);
                    }
                }
                NodeAction::SendPeer { to, message } => {
                    let from = self.proxies[proxy].node;
                    self.send_peer(proxy, to, ProxyEvent::Peer { from, message });
                }
                NodeAction::LeadershipLearned(leadership) => {
                    self.leadership_learned(proxy, &leadership)
                }
                NodeAction::MemberChanged { info, state } => {
                    self.member_changed(proxy, info.node, state);
                }
                NodeAction::PeerVersionSeen { node, version } => {
                    self.rollout_event(proxy, RolloutEvent::PeerVersion { node, version });
                }
                NodeAction::ZoneRankChanged(rank) => {
                    self.rollout_event(proxy, RolloutEvent::ZoneRank(rank));
                }
                NodeAction::RolloutReceived { from, message } => {
                    self.rollout_event(proxy, RolloutEvent::PeerMessage { from, message });
                }
                NodeAction::HomeChanged(change) => self.home_changed(proxy, &change),
            }
        }
        self.schedule_node_timer(proxy);
    }

    fn home_changed(&mut self, proxy: ProxyIndex, change: &HomeChange) {
        let names = &self.database_names;
        let Some(database) = names.iter().position(|name| *name == change.database) else {
            return;
        };
        if self.proxies[proxy].pools.contains_key(&database) {
            self.slot_event(proxy, database, SlotEvent::Home(change.is_home));
        }
    }

    fn schedule_node_timer(&mut self, proxy: ProxyIndex) {
        let wake = self.proxies[proxy].machine.next_wake().max(self.now());
        let scheduled = self.proxies[proxy].timer_at;
        if scheduled.is_none_or(|at| wake < at) {
            self.proxies[proxy].timer_at = Some(wake);
            let event = ProxyEvent::NodeTimer;
            self.schedule.at(wake, Event::Proxy { proxy, event });
        }
    }

    pub(crate) fn node_timer(&mut self, proxy: ProxyIndex) {
        self.proxies[proxy].timer_at = None;
        self.node_event(proxy, NodeEvent::Timer);
    }

    fn send_datagram(&mut self, from: ProxyIndex, to: ProxyIndex, datagram: Box<Datagram>) {
        let zones = (self.proxies[from].zone, self.proxies[to].zone);
        let lost = self.random.random_range(0..DATAGRAM_LOSS_ONE_IN) == 0;
        if lost || !self.network.zones_connected(zones.0, zones.1) {
            return;
        }
        let jitter = Duration::from_micros(self.random.random_range(0..1_000));
        let at = self.now() + self.network.latency(zones.0, zones.1) + jitter;
        let event = ProxyEvent::Datagram(datagram);
        self.schedule.at(at, Event::Proxy { proxy: to, event });
    }

    fn send_peer(&mut self, from: ProxyIndex, node: NodeId, event: ProxyEvent) {
        let Some(to) = self.proxy_of(node) else {
            return;
        };
        let zones = (self.proxies[from].zone, self.proxies[to].zone);
        let latency = self.network.latency(zones.0, zones.1);
        let now = self.now();
        if self.proxies[to].up && self.network.zones_connected(zones.0, zones.1) {
            self.schedule
                .at(now + latency, Event::Proxy { proxy: to, event });
        } else {
            let event = ProxyEvent::PeerLost { node };
            self.schedule
                .at(now + latency * 2, Event::Proxy { proxy: from, event });
        }
    }

    /// Notifies the machines of a proxy that its link to a node broke.
    pub(crate) fn peer_lost(&mut self, proxy: ProxyIndex, node: NodeId) {
        self.node_event(proxy, NodeEvent::PeerLost(node));
        self.rollout_event(proxy, RolloutEvent::PeerLost(node));
    }

    fn member_changed(&mut self, proxy: ProxyIndex, node: NodeId, state: MemberState) {
        if state == MemberState::Dead {
            self.rollout_event(proxy, RolloutEvent::PeerLost(node));
        }
    }

    /// Returns the proxy's rank among the members of its zone that accept work.
    pub(crate) fn zone_rank(&self, proxy: ProxyIndex) -> usize {
        self.proxies[proxy].machine.zone_rank()
    }

    pub(crate) fn leadership_observed(&mut self, proxy: ProxyIndex, change: LeadershipChange) {
        let view = self.proxies[proxy].terms.view(&change.group);
        let position = view
            .and_then(|view| view.primary())
            .map(|primary| primary.position);
        let leadership = LeadershipUpdate {
            group: change.group,
            term: change.term,
            primary: change.primary,
            position: position.unwrap_or(Position {
                term: change.term,
                ..Position::default()
            }),
        };
        self.node_event(proxy, NodeEvent::LeadershipObserved(leadership));
    }

    fn leadership_learned(&mut self, proxy: ProxyIndex, leadership: &LeadershipUpdate) {
        let Some(group) = self
            .groups
            .iter()
            .position(|group| group.name == leadership.group)
        else {
            return;
        };
        if self.proxies[proxy]
            .terms
            .raise_term(&leadership.group, leadership.term)
        {
            self.view_changed(proxy);
        }
        let names = &self.database_names;
        let primary = leadership.primary.as_ref();
        let database = primary.and_then(|primary| names.iter().position(|name| name == primary));
        if let Some(database) = database {
            let status = BackendStatus {
                role: Role::Primary,
                term: leadership.term,
                position: leadership.position.lsn,
                flushed: Vec::new(),
            };
            self.observe(proxy, group, database, &status);
        }
    }

    pub(crate) fn rollout_event(&mut self, proxy: ProxyIndex, event: RolloutEvent) {
        let now = self.now();
        let mut actions = Vec::new();
        self.proxies[proxy].rollout.handle(now, event, &mut actions);
        for action in actions {
            self.rollout_action(proxy, action);
        }
        let Some(wake) = self.proxies[proxy].rollout.next_wake() else {
            return;
        };
        let scheduled = self.proxies[proxy].rollout_timer_at;
        if scheduled.is_none_or(|at| wake < at) {
            self.proxies[proxy].rollout_timer_at = Some(wake);
            let event = ProxyEvent::RolloutTimer;
            self.schedule.at(wake, Event::Proxy { proxy, event });
        }
    }

    pub(crate) fn rollout_timer(&mut self, proxy: ProxyIndex) {
        self.proxies[proxy].rollout_timer_at = None;
        self.rollout_event(proxy, RolloutEvent::Timer);
    }

    fn rollout_action(&mut self, proxy: ProxyIndex, action: RolloutAction) {
        let now = self.now();
        match action {
            RolloutAction::WatchPlatform(watching) => {
                let before = std::mem::replace(&mut self.proxies[proxy].watching, watching);
                if watching && !before {
                    let event = ProxyEvent::PlatformPoll;
                    self.schedule.at(now, Event::Proxy { proxy, event });
                }
            }
            RolloutAction::FetchFromPlatform => {
                let version = self.platform.read(now);
                let event = ProxyEvent::PlatformFetched { version };
                self.schedule
                    .at(now + PLATFORM_LATENCY * 2, Event::Proxy { proxy, event });
            }
            RolloutAction::SendPeer { to, message } => {
                let from = self.proxies[proxy].node;
                self.send_peer(proxy, to, ProxyEvent::RolloutPeer { from, message });
            }
            RolloutAction::Install(_) => self.install(proxy),
            // The simulated platform keeps no list of machines from which a database could be
            // removed.
            RolloutAction::BroadcastToZone(_) | RolloutAction::DrainDatabases(_) => {}
            RolloutAction::Rejected { .. } => {}
        }
    }

    pub(crate) fn platform_poll(&mut self, proxy: ProxyIndex) {
        if !self.proxies[proxy].watching {
            return;
        }
        let now = self.now();
        let event = ProxyEvent::PlatformPoll;
        self.schedule
            .at(now + PLATFORM_POLL_INTERVAL, Event::Proxy { proxy, event });
        self.send_pointer(proxy);
    }

    fn send_pointer(&mut self, proxy: ProxyIndex) {
        let now = self.now();
        if let Some(version) = self.platform.read(now) {
            let event = ProxyEvent::PlatformPointer { version };
            self.schedule
                .at(now + PLATFORM_LATENCY * 2, Event::Proxy { proxy, event });
        }
    }

    pub(crate) fn platform_fetched(&mut self, proxy: ProxyIndex, version: Option<BundleVersion>) {
        let event = match version {
            Some(version) => RolloutEvent::PlatformChange(VersionStore::encode_change(version)),
            None => RolloutEvent::PlatformFailed,
        };
        self.rollout_event(proxy, event);
    }

    /// Puts the bundle version held by the proxy's store in force.
    fn install(&mut self, proxy: ProxyIndex) {
        let now = self.now();
        let version = self.proxies[proxy].rollout.store().actual_version();
        let Some(bundle) = version
            .0
            .checked_sub(1)
            .and_then(|index| self.bundles.get(index as usize))
        else {
            return;
        };
        let bundle = Arc::clone(bundle);
        self.checker.bundle_installed(now, proxy, version);
        self.configure_terms(proxy, &bundle);
        self.proxies[proxy].bundle = (*bundle).clone();
        self.node_event(proxy, NodeEvent::BundleInstalled(bundle));
        self.view_changed(proxy);
        self.reconfigure_pools(proxy);
    }

    fn configure_terms(&mut self, proxy: ProxyIndex, bundle: &Bundle) {
        let ignored = self.settings.mutated(Mutation::IgnoreDrain);
        let zone = self.proxies[proxy].zone;
        for group in &self.groups {
            let members = group.members.iter().map(|id| GroupMember {
                name: self.database_names[*id].clone(),
                proximity: if self.databases[*id].zone == zone {
                    Proximity::SameZone
                } else {
                    Proximity::Remote
                },
                draining: !ignored && bundle.drain.contains(&self.database_names[*id]),
            });
            let members: Vec<GroupMember> = members.collect();
            let terms = &mut self.proxies[proxy].terms;
            terms.configure(&group.name, ReadPreference::Replica, members);
        }
    }

    /// Returns whether the proxy's bundle marks a database as draining.
    pub(crate) fn is_draining(&self, proxy: ProxyIndex, database: usize) -> bool {
        let ignored = self.settings.mutated(Mutation::IgnoreDrain);
        let drain = &self.proxies[proxy].bundle.drain;
        !ignored && drain.contains(&self.database_names[database])
    }

    /// Rolls out a new bundle with the current drain marks.
    pub(crate) fn roll_out_bundle(&mut self) {
        let now = self.now();
        let version = self.platform.advance();
        let bundle = self.make_bundle(version);
        self.bundles.push(Arc::new(bundle));
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].watching && self.proxies[proxy].up {
                self.send_pointer(proxy);
            }
        }
        let due = Event::BundleDue {
            version,
            rolled_out_at: now,
        };
        self.schedule.at(now + MAX_BUNDLE_DELAY, due);
    }

    fn make_bundle(&self, version: BundleVersion) -> Bundle {
        let zones = self.settings.deployment.zones();
        let mut bundle = Bundle {
            version,
            ..Bundle::default()
        };
        for (zone, region) in zones {
            bundle
                .zones
                .insert(ZoneName::new(zone), RegionName::new(region));
        }
        for group in &self.groups {
            let value = Group {
                database: group.name.as_str().to_owned(),
                user: "application".to_owned(),
                reads: ReadPreference::Replica,
                election_timeout_ms: 300,
            };
            bundle.groups.insert(group.name.clone(), value);
        }
        for database in &self.databases {
            let value = Database {
                group: self.group_name(database.group),
                zone: ZoneName::new(zones[database.zone].0),
                address: format!("10.9.0.{}:5432", database.id + 1),
                slots: database.slots as u32,
            };
            bundle.databases.insert(database.name.clone(), value);
        }
        let drained = self
            .draining
            .iter()
            .map(|id| self.database_names[*id].clone());
        bundle.drain = drained.collect::<BTreeSet<_>>();
        bundle
    }

    /// Checks that a bundle is in force when its allowed time has passed, unless a fault may
    /// have delayed it.
    pub(crate) fn bundle_due(
        &mut self,
        version: BundleVersion,
        rolled_out_at: hookpoint_state::Timestamp,
    ) {
        if self.bundles_delayed_until + MAX_BUNDLE_DELAY / 4 < rolled_out_at {
            self.check_bundle(version);
        }
    }

    /// Checks that every proxy that is running and not stopping has `version` or a newer one in
    /// force.
    pub(crate) fn check_bundle(&mut self, version: BundleVersion) {
        let now = self.now();
        let behind = self.proxies.iter().find(|proxy| {
            proxy.is_responsive(now) && !proxy.stopping && proxy.bundle.version < version
        });
        if let Some(proxy) = behind {
            let held = proxy.bundle.version;
            let detail = format!("proxy {} has {held:?} and not {version:?}", proxy.node);
            self.checker
                .add_violation(now, Invariant::BundleInForce, detail);
        }
    }
}
