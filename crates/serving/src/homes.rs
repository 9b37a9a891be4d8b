//! Determines which nodes hold connections to a database.
//!
//! The result is computed when a database is needed, and cached until its inputs change: a node
//! becomes or ceases to be a home, or the database's zone or the configured number of connections
//! changes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::failover::ObserverCounts;
use hookpoint_coordination::serving::fleet::{Fleet, becomes_home};
use hookpoint_coordination::serving::homes::{
    ConnectionSharing, HomeCandidate, StartupProgress, home_count, rank_homes, tenant_weight,
    useful_connections,
};
use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::token_holders::choose_token_holders;
use hookpoint_state::{DatabaseName, TenantName, Timestamp, ZoneName};

use crate::node::{Member, Node};
use crate::records::MemberRecord;

/// Maximum number of connections that a node opens to one database before it knows its peers.
const CAP_WITHOUT_MEMBERS: usize = 3;
/// How long a node whose record was removed still counts for the division of connections.
pub(crate) const MEMBER_RETENTION: Duration = Duration::from_millis(3_500);

/// Name and address of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the node.
    pub name: String,
    /// Address for datagrams and links to the node.
    pub address: SocketAddr,
}

/// The nodes that hold connections to one database.
struct HomeView {
    /// Maximum number of connections that this node may hold.
    cap: usize,
    /// The other holders, in order of preference.
    holders: Rc<[Peer]>,
    /// All homes of the database, including this node if it is one.
    homes: Vec<HomeCandidate>,
    /// Zone of the database.
    zone: ZoneName,
}

/// The nodes that count for the division of connections, and the views computed from them.
#[derive(Default)]
pub(crate) struct HomeViews {
    fleet: Fleet,
    /// Nodes whose records were removed, ordered by the time at which they cease to count.
    leaving: BTreeSet<(Timestamp, String)>,
    /// Cached list of the registered nodes.
    registered: Option<Rc<Vec<HomeCandidate>>>,
    views: BTreeMap<DatabaseName, Rc<HomeView>>,
    /// Cached holders of tenants' tokens.
    token_views: BTreeMap<TenantName, Rc<[Peer]>>,
}

impl HomeViews {
    /// Discards all views after a change of the configuration.
    pub(crate) fn forget_views(&mut self) {
        self.views.clear();
        self.token_views.clear();
    }

    /// Discards the view of a database that is new or was registered in another place.
    pub(crate) fn forget_view(&mut self, database: &DatabaseName) {
        self.views.remove(database);
    }

    fn join(&mut self, node: HomeCandidate) {
        let nodes = self.fleet.len();
        self.views.retain(|database, view| {
            // While every node is a home, the database may accept one more home.
            view.homes.len() < nodes && !becomes_home(database, &view.zone, &view.homes, &node)
        });
        self.token_views.clear();
        self.fleet.join(node);
    }

    fn leave(&mut self, name: &str) {
        if self.fleet.leave(name) {
            let is_home = |view: &HomeView| view.homes.iter().any(|home| home.node == name);
            self.views.retain(|_, view| !is_home(view));
            self.token_views.clear();
        }
    }

    /// Removes the nodes that no longer count. Returns whether there were any.
    fn expire(&mut self, now: Timestamp) -> bool {
        let mut expired = false;
        while let Some((until, _)) = self.leaving.first()
            && *until <= now
        {
            if let Some((_, name)) = self.leaving.pop_first() {
                self.leave(&name);
                expired = true;
            }
        }
        expired
    }
}

impl Member {
    /// Creates a member from its record in the store.
    pub(crate) fn registered(record: MemberRecord) -> Self {
        Self {
            zone: record.zone,
            peer_address: record.peer_address,
            bandwidth_mbps: record.bandwidth_mbps,
            gone_at: None,
        }
    }

    /// Returns the record of this member, whose name is `name`.
    pub(crate) fn record(&self, name: &str) -> MemberRecord {
        MemberRecord {
            node: name.to_owned(),
            zone: self.zone.clone(),
            peer_address: self.peer_address,
            bandwidth_mbps: self.bandwidth_mbps,
        }
    }

    /// Returns whether `other` has the same record content as this member; `gone_at` is ignored.
    fn has_same_record_as(&self, other: &Self) -> bool {
        let gone_at = other.gone_at;
        *other
            == Self {
                gone_at,
                ..self.clone()
            }
    }

    /// Returns this member as a candidate for a home.
    fn candidate(&self, name: &str) -> HomeCandidate {
        HomeCandidate {
            node: name.to_owned(),
            zone: self.zone.clone(),
            bandwidth_mbps: self.bandwidth_mbps,
        }
    }

    /// Returns when the member ceases to count, or `None` if it is registered.
    fn counts_until(&self) -> Option<Timestamp> {
        self.gone_at.map(|gone| gone + MEMBER_RETENTION)
    }
}

impl Node {
    /// Records that a node is registered. Nothing changes if it was registered before, or if its
    /// record was missing only for a moment.
    pub(crate) fn register_member(&self, record: MemberRecord) {
        let name = record.node.clone();
        let member = Member::registered(record);
        let candidate = member.candidate(&name);
        let mut members = self.members.borrow_mut();
        let before = members.insert(name.clone(), member.clone());
        drop(members);
        let mut homes = self.homes.borrow_mut();
        if before.as_ref() == Some(&member) {
            return;
        }
        homes.registered = None;
        let counts_until = before.as_ref().and_then(Member::counts_until);
        if let Some(until) = counts_until {
            homes.leaving.remove(&(until, name.clone()));
        }
        let still_counts = counts_until.is_none_or(|until| self.now() < until);
        let returned = before.is_some_and(|before| before.has_same_record_as(&member));
        if returned && still_counts {
            return;
        }
        homes.leave(&name);
        homes.join(candidate);
    }

    /// Records that a node's record was removed. The node continues to count for
    /// [`MEMBER_RETENTION`].
    pub(crate) fn note_member_gone(&self, name: &str) {
        let now = self.now();
        let mut members = self.members.borrow_mut();
        let Some(member) = members.get_mut(name) else {
            return;
        };
        if member.gone_at.is_none() {
            member.gone_at = Some(now);
            let mut homes = self.homes.borrow_mut();
            homes.registered = None;
            homes
                .leaving
                .insert((now + MEMBER_RETENTION, name.to_owned()));
        }
    }

    /// Removes the nodes that no longer count.
    pub(crate) fn expire_members(&self) {
        let now = self.now();
        if self.homes.borrow_mut().expire(now) {
            self.tokens.note_member_left(now);
        }
    }

    /// Returns the number of nodes that share the connections to the databases.
    pub fn live_members(&self) -> usize {
        self.expire_members();
        self.homes.borrow().fleet.len()
    }

    /// Returns how many connections this node may have open to a database; 0 if it is not a home
    /// of it.
    pub fn connection_cap(&self, name: &DatabaseName) -> usize {
        if !self.membership_is_complete() {
            let cold = self.is_cold(name);
            return if cold { 0 } else { CAP_WITHOUT_MEMBERS };
        }
        self.home_view(name).cap
    }

    /// Returns the other nodes that hold connections to a database, in order of preference.
    pub fn holders(&self, name: &DatabaseName) -> Rc<[Peer]> {
        if !self.membership_is_complete() {
            return Rc::default();
        }
        Rc::clone(&self.home_view(name).holders)
    }

    /// Returns the other nodes that hold connections to a database and may carry statements of
    /// this placement. Nodes that keep the principal's connections come first.
    pub(crate) fn holders_for(
        &self,
        name: &DatabaseName,
        principal: &Principal,
        placement: &Placement,
    ) -> Rc<[Peer]> {
        let holders = self.carriers(name, placement);
        let Some(tenant) = principal.tenant() else {
            return holders;
        };
        let mut ranked = holders.to_vec();
        ranked.sort_by_cached_key(|holder| Reverse(tenant_weight(tenant, &holder.name)));
        ranked.into()
    }

    /// Returns the other nodes that hold connections to a database and may carry statements of
    /// this placement.
    fn carriers(&self, name: &DatabaseName, placement: &Placement) -> Rc<[Peer]> {
        let holders = self.holders(name);
        if !placement.is_restricted() {
            return holders;
        }
        let carriers = holders
            .iter()
            .filter(|holder| self.may_receive_statement(holder, placement));
        carriers.cloned().collect()
    }

    /// Returns whether this node, a home of the database, keeps the principal's connections for
    /// statements of this placement. A node that may not carry the statements of other nodes keeps
    /// connections only for its own callers, and only while no node that may carry them responds.
    pub(crate) fn keeps_connections_of(
        &self,
        name: &DatabaseName,
        principal: &Principal,
        placement: &Placement,
    ) -> bool {
        let Some(tenant) = principal.tenant() else {
            return true;
        };
        let own = tenant_weight(tenant, &self.settings.name);
        let may_keep = self.may_relay_statement(placement);
        let now = self.now();
        let carriers = self.carriers(name, placement);
        let mut others = carriers
            .iter()
            .filter(|holder| !self.reachability.is_silent(holder, now));
        others.all(|other| may_keep && tenant_weight(tenant, &other.name) < own)
    }

    /// Returns whether the members known to this node can be assumed to be the whole fleet. Until
    /// then it opens only connections that requests are waiting for.
    pub(crate) fn membership_is_complete(&self) -> bool {
        let configured_at = self.configured_at.get();
        let start = StartupProgress {
            caught_up: self.feed.has_caught_up(),
            registered: self.own_record_revision.get().is_some(),
            configured_for: configured_at.map(|since| self.now().since(since)),
        };
        start.membership_is_complete()
    }

    /// Returns the address of one of the holders, selected by `number`, or `None` if there are
    /// none.
    pub fn holder_by_number(&self, name: &DatabaseName, number: usize) -> Option<SocketAddr> {
        let view = self.home_view(name);
        let index = number.checked_rem(view.holders.len())?;
        Some(view.holders[index].address)
    }

    /// Returns the number of live nodes, and of those that hold connections to `leader`.
    pub fn observer_counts(&self, leader: Option<&DatabaseName>) -> ObserverCounts {
        let members = self.live_members();
        let holders = leader.map_or(members, |leader| {
            let view = self.home_view(leader);
            view.holders.len() + usize::from(view.cap > 0)
        });
        ObserverCounts { members, holders }
    }

    /// Returns the nodes that are currently registered.
    pub fn registered_nodes(&self) -> Rc<Vec<HomeCandidate>> {
        if let Some(known) = &self.homes.borrow().registered {
            return Rc::clone(known);
        }
        let members = self.members.borrow();
        let registered = members
            .iter()
            .filter(|(_, member)| member.gone_at.is_none())
            .map(|(name, member)| member.candidate(name));
        let found = Rc::new(registered.collect());
        self.homes.borrow_mut().registered = Some(Rc::clone(&found));
        found
    }

    /// Returns whether a member is not known to be silent. A silent member is probed from time to
    /// time.
    pub(crate) fn is_responsive(&self, name: &str) -> bool {
        self.peer(name)
            .is_none_or(|peer| self.reachability.may_ask(&peer, self.now()))
    }

    /// Returns the address of a member, or `None` if there is no member of this name.
    pub(crate) fn peer(&self, name: &str) -> Option<Peer> {
        let members = self.members.borrow();
        let address = members.get(name)?.peer_address;
        Some(Peer {
            name: name.to_owned(),
            address,
        })
    }

    /// Returns this node as a candidate for a home.
    pub(crate) fn as_candidate(&self) -> HomeCandidate {
        HomeCandidate {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            bandwidth_mbps: self.settings.bandwidth_mbps,
        }
    }

    /// Returns the addresses of all other known nodes.
    pub fn other_members(&self) -> Vec<SocketAddr> {
        self.members
            .borrow()
            .iter()
            .filter(|(name, _)| **name != self.settings.name)
            .map(|(_, member)| member.peer_address)
            .collect()
    }

    fn home_view(&self, name: &DatabaseName) -> Rc<HomeView> {
        self.expire_members();
        if let Some(view) = self.homes.borrow().views.get(name) {
            return Rc::clone(view);
        }
        let view = Rc::new(self.compute_homes(name));
        let mut homes = self.homes.borrow_mut();
        homes.views.insert(name.clone(), Rc::clone(&view));
        view
    }

    /// Returns up to `count` nodes, possibly including this one, that hold the tokens of a tenant,
    /// in order of distance.
    pub(crate) fn token_holders(&self, tenant: &TenantName, count: usize) -> Rc<[Peer]> {
        self.expire_members();
        if let Some(known) = self.homes.borrow().token_views.get(tenant) {
            return Rc::clone(known);
        }
        let candidates: Vec<HomeCandidate> = self.homes.borrow().fleet.iter().cloned().collect();
        let regions = &self.changeable().regions;
        let region = |zone: &ZoneName| regions.get(zone).cloned();
        let mut chosen = choose_token_holders(tenant, &candidates, region, count);
        chosen.sort_by_key(|holder| self.distance(&holder.zone));
        let holders: Rc<[Peer]> = chosen
            .into_iter()
            .filter_map(|holder| self.peer(&holder.node))
            .collect();
        let mut homes = self.homes.borrow_mut();
        let kept = Rc::clone(&holders);
        homes.token_views.insert(tenant.clone(), kept);
        holders
    }

    /// Computes whether this node is a home of a database, and which other nodes are.
    ///
    /// Among nodes at the same distance, the order of the others differs from node to node, so
    /// that borrowed connections spread over the holders.
    fn compute_homes(&self, name: &DatabaseName) -> HomeView {
        let limit = self.max_connections_of(name);
        let fleet = &self.homes.borrow().fleet;
        let Some(database) = self.database(name).filter(|_| !fleet.is_empty()) else {
            return HomeView {
                cap: CAP_WITHOUT_MEMBERS.min(limit),
                holders: Rc::default(),
                homes: Vec::new(),
                zone: self.settings.zone.clone(),
            };
        };
        let limit = useful_connections(limit, database.slots);
        let count = home_count(limit, fleet.len(), self.connection_sharing());
        let count = self
            .cold_holders(name)
            .map_or(count, |limit| limit.min(count));
        let homes = fleet.choose_homes(name, &database.zone, count);
        let is_home = homes.iter().any(|home| home.node == self.settings.name);
        let own = DatabaseName::new(&self.settings.name);
        let holders = rank_homes(&own, &database.zone, &homes)
            .into_iter()
            .filter(|home| home.node != self.settings.name)
            .filter_map(|home| self.peer(&home.node))
            .collect();
        let share = (limit / count).max(1);
        HomeView {
            cap: if is_home { share } else { 0 },
            holders,
            homes,
            zone: database.zone,
        }
    }

    fn connection_sharing(&self) -> ConnectionSharing {
        let configuration = self.configuration();
        let has_keys = configuration.is_some_and(|known| !known.tenants.keys.is_empty());
        if has_keys {
            ConnectionSharing::ByTenant
        } else {
            ConnectionSharing::Shared
        }
    }

    /// Returns the total number of connections that a database accepts from all nodes together.
    fn max_connections_of(&self, name: &DatabaseName) -> usize {
        let configuration = self.configuration();
        let group = self.database(name).map(|database| database.group);
        configuration
            .zip(group)
            .and_then(|(configuration, group)| configuration.groups.get(&group).cloned())
            .map_or(CAP_WITHOUT_MEMBERS, |group| group.max_connections)
    }
}
