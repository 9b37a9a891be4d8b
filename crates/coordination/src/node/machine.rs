//! The state machine of one proxy node: membership in the fleet, home nodes of the databases
//! and leadership subscriptions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use hookpoint_state::{Bundle, DatabaseName, GroupName, NodeId, Timestamp};
use rand_chacha::ChaCha8Rng;

use super::event::{NodeAction, NodeEvent, PlatformMachine};
use super::message::{LeadershipUpdate, PeerMessage};
use super::subscriptions::LeadershipSubscriptions;
use crate::home::HomeTable;
use crate::membership::{
    MemberInfo, MemberState, Membership, MembershipAction, MembershipEvent, MembershipSettings,
};
use crate::rollout::WATCHERS_PER_ZONE;

/// Maximum number of groups accepted in one subscription message.
const MAXIMUM_SUBSCRIBED_GROUPS: usize = 256;

/// Node to which a request for a connection is routed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// This node serves the request.
    Here,
    /// Another node serves the request.
    Peer {
        /// Node that serves the request.
        node: NodeId,
        /// Address for links to the node.
        address: SocketAddr,
    },
}

/// Membership, home nodes and leadership subscriptions of one node.
#[derive(Clone, Debug)]
pub struct NodeMachine {
    membership: Membership,
    homes: HomeTable,
    subscriptions: LeadershipSubscriptions,
    groups: BTreeMap<GroupName, Vec<DatabaseName>>,
    leaving_machines: BTreeSet<SocketAddr>,
    scratch: Vec<MembershipAction>,
    zone_rank: Option<usize>,
}

impl NodeMachine {
    /// Creates the state machine of a node that knows no other members and has no bundle
    /// (configuration) yet.
    pub fn new(
        now: Timestamp,
        settings: MembershipSettings,
        own: MemberInfo,
        random: ChaCha8Rng,
    ) -> Self {
        let mut homes = HomeTable::new(own.node);
        homes.add(own.node, &own.zone, &own.region);
        Self {
            homes,
            membership: Membership::new(now, settings, own, random),
            subscriptions: LeadershipSubscriptions::default(),
            groups: BTreeMap::new(),
            leaving_machines: BTreeSet::new(),
            scratch: Vec::new(),
            zone_rank: None,
        }
    }

    /// Processes an event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: NodeEvent, actions: &mut Vec<NodeAction>) {
        match event {
            NodeEvent::Seeds(seeds) => {
                self.update_membership(now, MembershipEvent::Seeds(seeds), actions)
            }
            NodeEvent::Datagram(datagram) => {
                self.update_membership(now, MembershipEvent::Datagram(datagram), actions);
            }
            NodeEvent::PeerMessage { from, message } => {
                self.handle_message(now, from, message, actions);
            }
            NodeEvent::PeerLost(node) => {
                self.update_membership(now, MembershipEvent::ProbeNow(node), actions)
            }
            NodeEvent::Timer => self.run_timers(now, actions),
            NodeEvent::PlatformMachines(machines) => {
                self.set_machines(now, machines, actions);
            }
            NodeEvent::BundleInstalled(bundle) => self.configure(now, &bundle, actions),
            NodeEvent::LeadershipObserved(update) => {
                self.propagate_leadership(now, None, &update, actions)
            }
            NodeEvent::GroupUsed(group) => self.record_use(now, &group, None, actions),
            NodeEvent::VersionsRequested(version) => {
                self.update_membership(now, MembershipEvent::RefreshVersions(version), actions);
            }
            NodeEvent::StopRequested => self.stop(now, actions),
        }
        self.update_zone_rank(actions);
    }

    fn update_zone_rank(&mut self, actions: &mut Vec<NodeAction>) {
        let rank = self.zone_rank();
        if self.zone_rank != Some(rank) {
            self.zone_rank = Some(rank);
            actions.push(NodeAction::ZoneRankChanged(rank));
        }
    }

    /// Returns the number of members of this node's zone that accept new work and have
    /// lower identifiers, counted up to [`WATCHERS_PER_ZONE`].
    pub fn zone_rank(&self) -> usize {
        let zone = &self.membership.own().zone;
        self.homes.rank_in(zone, WATCHERS_PER_ZONE)
    }

    /// Returns when [`NodeEvent::Timer`] is due.
    pub fn next_wake(&self) -> Timestamp {
        let renewal = self.subscriptions.next_deadline();
        renewal
            .into_iter()
            .fold(self.membership.next_wake(), Timestamp::min)
    }

    /// Returns this node's view of the membership.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns whether this node is the home of `database`.
    pub fn is_home(&self, database: &DatabaseName) -> bool {
        self.homes.is_home(database)
    }

    /// Returns the databases that this node is the home of.
    pub fn own_databases(&self) -> impl Iterator<Item = &DatabaseName> {
        self.homes.own_databases()
    }

    /// Returns where a session's request for a connection to `database` goes first;
    /// `None` if the database has no home or the home's address is unknown. Records that
    /// the group is used.
    pub fn route(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        database: &DatabaseName,
        actions: &mut Vec<NodeAction>,
    ) -> Option<Route> {
        let home = self.homes.home_of(database);
        self.record_use(now, group, home, actions);
        self.route_to(home?)
    }

    /// Returns where the request goes when the nodes in `failed` could not serve it: the
    /// next candidate in the order of rendezvous scores, finally this node itself.
    /// `None` if the database is not configured.
    pub fn route_after(&self, database: &DatabaseName, failed: &[NodeId]) -> Option<Route> {
        if !self.homes.is_configured(database) {
            return None;
        }
        let candidates = self.homes.candidates_by_score(database, failed.len() + 1);
        let next = candidates.into_iter().find(|node| !failed.contains(node));
        next.and_then(|node| self.route_to(node))
            .or(Some(Route::Here))
    }

    fn route_to(&self, node: NodeId) -> Option<Route> {
        if node == self.membership.own().node {
            return Some(Route::Here);
        }
        let address = self.address_of(node)?;
        Some(Route::Peer { node, address })
    }

    /// Returns the address of a member.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        self.membership
            .member(node)
            .map(|member| member.info.address)
    }

    fn update_membership(
        &mut self,
        now: Timestamp,
        event: MembershipEvent,
        actions: &mut Vec<NodeAction>,
    ) {
        let mut caused = std::mem::take(&mut self.scratch);
        self.membership.handle(now, event, &mut caused);
        for action in caused.drain(..) {
            match action {
                MembershipAction::Send { to, datagram } => {
                    actions.push(NodeAction::SendDatagram { to, datagram });
                }
                MembershipAction::MemberChanged { info, state } => {
                    self.member_changed(now, info, state, actions);
                }
                MembershipAction::VersionSeen { node, version } => {
                    actions.push(NodeAction::PeerVersionSeen { node, version });
                }
            }
        }
        self.scratch = caused;
    }

    fn member_changed(
        &mut self,
        now: Timestamp,
        info: Arc<MemberInfo>,
        state: MemberState,
        actions: &mut Vec<NodeAction>,
    ) {
        self.update_candidate(&info, state, actions);
        if !state.is_available() {
            for group in self.subscriptions.subscribed_to(info.node) {
                self.renew(now, &group, actions);
            }
        }
        actions.push(NodeAction::MemberChanged { info, state });
    }

    /// Adds the node to the candidates for the home of a database if it takes work and its
    /// machine is not leaving; removes it otherwise.
    fn update_candidate(
        &mut self,
        info: &MemberInfo,
        state: MemberState,
        actions: &mut Vec<NodeAction>,
    ) {
        let can_be_home = state.is_available() && !self.leaving_machines.contains(&info.address);
        let changes = if can_be_home {
            self.homes.add(info.node, &info.zone, &info.region)
        } else {
            self.homes.remove(info.node)
        };
        actions.extend(changes.into_iter().map(NodeAction::HomeChanged));
    }

    fn set_machines(
        &mut self,
        now: Timestamp,
        machines: Vec<PlatformMachine>,
        actions: &mut Vec<NodeAction>,
    ) {
        let leaving = machines.iter().filter(|machine| machine.leaving);
        self.leaving_machines = leaving.map(|machine| machine.address).collect();
        let staying = machines.iter().filter(|machine| !machine.leaving);
        let addresses = staying.map(|machine| machine.address).collect();
        self.update_membership(now, MembershipEvent::Hints(addresses), actions);
        self.update_candidates(actions);
    }

    /// Updates which nodes, including this one, are candidates for the home of a database,
    /// from the state of every member.
    fn update_candidates(&mut self, actions: &mut Vec<NodeAction>) {
        let others = self.membership.members();
        let mut states: Vec<(Arc<MemberInfo>, MemberState)> = others
            .map(|member| (member.info.clone(), member.state))
            .collect();
        let own_state = if self.membership.is_leaving() {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        states.push((self.membership.own().clone(), own_state));
        for (info, state) in states {
            self.update_candidate(&info, state, actions);
        }
    }

    fn configure(&mut self, now: Timestamp, bundle: &Bundle, actions: &mut Vec<NodeAction>) {
        self.groups.clear();
        for (name, database) in &bundle.databases {
            let members = self.groups.entry(database.group.clone()).or_default();
            members.push(name.clone());
        }
        let groups = &self.groups;
        self.subscriptions
            .retain(|group| groups.contains_key(group));
        let databases = bundle
            .databases
            .iter()
            .map(|(name, database)| (name, &database.zone, bundle.region_of(&database.zone)));
        let changes = self.homes.configure(databases);
        actions.extend(changes.into_iter().map(NodeAction::HomeChanged));
        self.update_membership(now, MembershipEvent::BundleInForce(bundle.version), actions);
    }

    fn run_timers(&mut self, now: Timestamp, actions: &mut Vec<NodeAction>) {
        self.update_membership(now, MembershipEvent::Timer, actions);
        while let Some(group) = self.subscriptions.due(now) {
            self.renew(now, &group, actions);
        }
    }

    fn stop(&mut self, now: Timestamp, actions: &mut Vec<NodeAction>) {
        self.update_membership(now, MembershipEvent::Leave, actions);
        let own = self.membership.own().clone();
        self.update_candidate(&own, MemberState::Leaving, actions);
    }

    /// Returns whether this node is the home of any of the group's databases.
    fn is_home_in(&self, group: &GroupName) -> bool {
        let databases = self.groups.get(group).map_or(&[][..], Vec::as_slice);
        databases
            .iter()
            .any(|database| self.homes.is_home(database))
    }

    fn homes_of_group(&mut self, group: &GroupName) -> BTreeSet<NodeId> {
        let own = self.membership.own().node;
        let databases = self.groups.get(group).map_or(&[][..], Vec::as_slice);
        let homes = databases
            .iter()
            .filter_map(|database| self.homes.home_of(database));
        homes.filter(|home| *home != own).collect()
    }

    fn record_use(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        home: Option<NodeId>,
        actions: &mut Vec<NodeAction>,
    ) {
        if !self.groups.contains_key(group) {
            return;
        }
        let own = self.membership.own().node;
        let home = home.filter(|home| *home != own);
        if self.subscriptions.record_use(now, group, home) {
            self.renew(now, group, actions);
        }
    }

    fn renew(&mut self, now: Timestamp, group: &GroupName, actions: &mut Vec<NodeAction>) {
        let homes = self.homes_of_group(group);
        let known = self.subscriptions.renew(now, group, homes.clone());
        for to in homes {
            let message = PeerMessage::Subscribe(vec![known.clone()]);
            actions.push(NodeAction::SendPeer { to, message });
        }
    }

    fn handle_message(
        &mut self,
        now: Timestamp,
        from: NodeId,
        message: PeerMessage,
        actions: &mut Vec<NodeAction>,
    ) {
        match message {
            PeerMessage::LeadershipChange(update) => {
                self.handle_leadership(now, from, &update, actions);
            }
            PeerMessage::Rollout(message) => {
                actions.push(NodeAction::RolloutReceived { from, message });
            }
            PeerMessage::Subscribe(groups) => {
                for update in groups.iter().take(MAXIMUM_SUBSCRIBED_GROUPS) {
                    self.handle_subscription(now, from, update, actions);
                }
            }
        }
    }

    fn handle_subscription(
        &mut self,
        now: Timestamp,
        from: NodeId,
        update: &LeadershipUpdate,
        actions: &mut Vec<NodeAction>,
    ) {
        if !self.groups.contains_key(&update.group) {
            return;
        }
        self.subscriptions.subscribe(now, &update.group, from);
        self.handle_leadership(now, from, update, actions);
        let known = self.subscriptions.known(&update.group);
        if known.is_newer_than(update) {
            let message = PeerMessage::LeadershipChange(known);
            actions.push(NodeAction::SendPeer { to: from, message });
        }
    }

    fn handle_leadership(
        &mut self,
        now: Timestamp,
        from: NodeId,
        update: &LeadershipUpdate,
        actions: &mut Vec<NodeAction>,
    ) {
        let known = self.subscriptions.known(&update.group);
        if !self.groups.contains_key(&update.group) || !update.is_newer_than(&known) {
            return;
        }
        actions.push(NodeAction::LeadershipLearned(update.clone()));
        self.propagate_leadership(now, Some(from), update, actions);
    }

    /// Propagates a leadership update to the homes of the group's databases and, on a
    /// home, to the subscribers.
    fn propagate_leadership(
        &mut self,
        now: Timestamp,
        from: Option<NodeId>,
        update: &LeadershipUpdate,
        actions: &mut Vec<NodeAction>,
    ) {
        if !self.groups.contains_key(&update.group) || !self.subscriptions.record(update) {
            return;
        }
        let mut receivers = BTreeSet::new();
        if from.is_none() || self.is_home_in(&update.group) {
            receivers = self.homes_of_group(&update.group);
        }
        receivers.extend(self.subscriptions.subscribers(now, &update.group));
        for to in receivers.into_iter().filter(|to| Some(*to) != from) {
            let message = PeerMessage::LeadershipChange(update.clone());
            actions.push(NodeAction::SendPeer { to, message });
        }
    }
}
