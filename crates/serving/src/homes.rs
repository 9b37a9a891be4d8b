//! Which nodes hold connections to a database, as this node works it out.
//!
//! Working it out ranks the whole fleet for each database, so the result is kept until
//! what it was worked out from changes: the live nodes, the database's zone, or the
//! configured number of connections.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::failover::Witnesses;
use hookpoint_coordination::serving::homes::{
    ConnectionSharing, HomeCandidate, Start, choose_homes, home_count, rank_homes, tenant_weight,
    useful_connections,
};
use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::token_holders::choose_token_holders;
use hookpoint_state::{DatabaseName, TenantName, Timestamp, ZoneName};

use crate::node::{Member, Node};
use crate::records::MemberRecord;

/// Connections of one database that one node opens at the most before it knows its peers.
const CAP_WITHOUT_MEMBERS: usize = 3;
/// How long a node that no longer registers still counts for the division of connections.
pub(crate) const MEMBER_MEMORY: Duration = Duration::from_millis(3_500);

/// Another node and where it is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Address for its datagrams and links.
    pub address: SocketAddr,
}

/// Who holds connections to one database.
struct HomeView {
    /// Connections that this node may hold.
    cap: usize,
    /// The other holders, the preferred first.
    holders: Rc<[Peer]>,
}

/// What was worked out so far.
#[derive(Default)]
pub(crate) struct HomeViews {
    /// The live nodes, until one of them no longer counts.
    candidates: Option<(Rc<Vec<HomeCandidate>>, Timestamp)>,
    views: BTreeMap<DatabaseName, Rc<HomeView>>,
    /// Who holds tenants' tokens.
    token_views: BTreeMap<TenantName, Rc<[Peer]>>,
}

impl HomeViews {
    /// Members changed: nothing holds any more.
    pub(crate) fn forget_all(&mut self) {
        *self = Self::default();
    }

    /// The configuration changed.
    pub(crate) fn forget_views(&mut self) {
        self.views.clear();
        self.token_views.clear();
    }

    /// The database was registered elsewhere, or is new.
    pub(crate) fn forget_view(&mut self, database: &DatabaseName) {
        self.views.remove(database);
    }
}

impl Member {
    /// A member whose record is in the store.
    pub(crate) fn registered(record: MemberRecord) -> Self {
        Self {
            zone: record.zone,
            peer_address: record.peer_address,
            bandwidth_mbps: record.bandwidth_mbps,
            gone_at: None,
        }
    }

    /// The record of the member called `name`.
    pub(crate) fn record(&self, name: &str) -> MemberRecord {
        MemberRecord {
            node: name.to_owned(),
            zone: self.zone.clone(),
            peer_address: self.peer_address,
            bandwidth_mbps: self.bandwidth_mbps,
        }
    }

    /// When it no longer counts, if it is not registered.
    fn counts_until(&self) -> Option<Timestamp> {
        self.gone_at.map(|gone| gone + MEMBER_MEMORY)
    }
}

impl Node {
    /// Nodes that share the connections of the databases.
    pub fn live_members(&self) -> usize {
        self.home_candidates().len()
    }

    /// Connections that this node may have open to a database; 0 if it is not home.
    pub fn connection_cap(&self, name: &DatabaseName) -> usize {
        if !self.knows_fleet() {
            let cold = self.is_cold(name);
            return if cold { 0 } else { CAP_WITHOUT_MEMBERS };
        }
        self.home_view(name).cap
    }

    /// The other nodes that hold connections to a database, the preferred first.
    pub fn holders(&self, name: &DatabaseName) -> Rc<[Peer]> {
        if !self.knows_fleet() {
            return Rc::default();
        }
        Rc::clone(&self.home_view(name).holders)
    }

    /// The other nodes that hold connections to a database and may carry what is placed so,
    /// those first that keep the principal's.
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

    /// The other nodes that hold connections to a database and may carry what is placed so.
    fn carriers(&self, name: &DatabaseName, placement: &Placement) -> Rc<[Peer]> {
        let holders = self.holders(name);
        if !placement.is_restricted() {
            return holders;
        }
        let carriers = holders
            .iter()
            .filter(|holder| self.may_carry(holder, placement));
        carriers.cloned().collect()
    }

    /// Whether this node keeps the principal's connections to a database, of which it is home,
    /// for statements placed so. One that may not carry those of other nodes keeps them only
    /// for its own callers, and while none that may answers.
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
        let may_keep = self.is_carrier(placement);
        let now = self.now();
        let carriers = self.carriers(name, placement);
        let mut others = carriers
            .iter()
            .filter(|holder| !self.reachability.is_silent(holder, now));
        others.all(|other| may_keep && tenant_weight(tenant, &other.name) < own)
    }

    /// Whether the members that this node knows may be taken for the fleet. Until then it
    /// opens just what requests wait for.
    pub(crate) fn knows_fleet(&self) -> bool {
        let configured_at = self.configured_at.get();
        let start = Start {
            caught_up: self.feed.has_caught_up(),
            registered: self.own_record_revision.get() > 0,
            configured_for: configured_at.map(|since| self.now().since(since)),
        };
        start.knows_fleet()
    }

    /// One of those, another one with each number; none if there are none.
    pub fn some_holder(&self, name: &DatabaseName, number: usize) -> Option<SocketAddr> {
        let view = self.home_view(name);
        let index = number.checked_rem(view.holders.len())?;
        Some(view.holders[index].address)
    }

    /// Live nodes, and those of them that hold connections to `leader`.
    pub fn witnesses(&self, leader: Option<&DatabaseName>) -> Witnesses {
        let members = self.live_members();
        let holders = leader.map_or(members, |leader| {
            let view = self.home_view(leader);
            view.holders.len() + usize::from(view.cap > 0)
        });
        Witnesses { members, holders }
    }

    /// The nodes that are registered at this moment.
    pub fn registered_nodes(&self) -> Vec<HomeCandidate> {
        let members = self.members.borrow();
        candidates(
            members
                .iter()
                .filter(|(_, member)| member.gone_at.is_none()),
        )
    }

    /// Whether a member is not known to be silent. One that is gets probed now and then.
    pub(crate) fn answers(&self, name: &str) -> bool {
        self.peer(name)
            .is_none_or(|peer| self.reachability.may_ask(&peer, self.now()))
    }

    /// A member as one to ask; nothing if none is called so.
    pub(crate) fn peer(&self, name: &str) -> Option<Peer> {
        let members = self.members.borrow();
        let address = members.get(name)?.peer_address;
        Some(Peer {
            name: name.to_owned(),
            address,
        })
    }

    /// This node as a candidate.
    pub(crate) fn as_candidate(&self) -> HomeCandidate {
        HomeCandidate {
            node: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            bandwidth_mbps: self.settings.bandwidth_mbps,
        }
    }

    /// Addresses of all other nodes that are known.
    pub fn other_members(&self) -> Vec<SocketAddr> {
        self.members
            .borrow()
            .iter()
            .filter(|(name, _)| **name != self.settings.name)
            .map(|(_, member)| member.peer_address)
            .collect()
    }

    pub(crate) fn home_candidates(&self) -> Rc<Vec<HomeCandidate>> {
        let now = self.now();
        let mut homes = self.homes.borrow_mut();
        if let Some((known, until)) = &homes.candidates
            && now < *until
        {
            return Rc::clone(known);
        }
        let members = self.members.borrow();
        let counts = |member: &Member| member.counts_until().is_none_or(|until| now < until);
        let live = members.iter().filter(|(_, member)| counts(member));
        let found = Rc::new(candidates(live));
        self.tokens.note_members(&found, now);
        let until = members
            .values()
            .filter_map(Member::counts_until)
            .filter(|until| now < *until)
            .min()
            .unwrap_or(Timestamp(u64::MAX));
        homes.forget_views();
        homes.candidates = Some((Rc::clone(&found), until));
        found
    }

    fn home_view(&self, name: &DatabaseName) -> Rc<HomeView> {
        let candidates = self.home_candidates();
        if let Some(view) = self.homes.borrow().views.get(name) {
            return Rc::clone(view);
        }
        let view = Rc::new(self.work_out_homes(name, &candidates));
        let mut homes = self.homes.borrow_mut();
        homes.views.insert(name.clone(), Rc::clone(&view));
        view
    }

    /// The nodes, this one maybe among them, that hold the tokens of a tenant, the nearest
    /// first; `count` at the most.
    pub(crate) fn token_holders(&self, tenant: &TenantName, count: usize) -> Rc<[Peer]> {
        let candidates = self.home_candidates();
        if let Some(known) = self.homes.borrow().token_views.get(tenant) {
            return Rc::clone(known);
        }
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

    /// Whether this node is home of a database, and which others are.
    ///
    /// The order of the others differs from node to node among those of one distance, so
    /// that leases spread over the holders.
    fn work_out_homes(&self, name: &DatabaseName, candidates: &[HomeCandidate]) -> HomeView {
        let most = self.most_connections(name);
        let Some(database) = self.database(name).filter(|_| !candidates.is_empty()) else {
            return HomeView {
                cap: CAP_WITHOUT_MEMBERS.min(most),
                holders: Rc::default(),
            };
        };
        let most = useful_connections(most, database.slots);
        let count = home_count(most, candidates.len(), self.connection_sharing());
        let count = self
            .cold_holders(name)
            .map_or(count, |most| most.min(count));
        let homes: Vec<HomeCandidate> = choose_homes(name, &database.zone, candidates, count)
            .into_iter()
            .cloned()
            .collect();
        let is_home = homes.iter().any(|home| home.node == self.settings.name);
        let own = DatabaseName::new(&self.settings.name);
        let holders = rank_homes(&own, &database.zone, &homes)
            .into_iter()
            .filter(|home| home.node != self.settings.name)
            .filter_map(|home| self.peer(&home.node))
            .collect();
        HomeView {
            cap: if is_home { (most / count).max(1) } else { 0 },
            holders,
        }
    }

    fn connection_sharing(&self) -> ConnectionSharing {
        let configuration = self.configuration();
        let keyed = configuration.is_some_and(|known| !known.tenants.keys.is_empty());
        if keyed {
            ConnectionSharing::ByTenant
        } else {
            ConnectionSharing::Shared
        }
    }

    /// Connections that a database takes from all nodes together.
    fn most_connections(&self, name: &DatabaseName) -> usize {
        let configuration = self.configuration();
        let group = self.database(name).map(|database| database.group);
        configuration
            .zip(group)
            .and_then(|(configuration, group)| configuration.groups.get(&group).cloned())
            .map_or(CAP_WITHOUT_MEMBERS, |group| group.max_connections)
    }
}

fn candidates<'a>(members: impl Iterator<Item = (&'a String, &'a Member)>) -> Vec<HomeCandidate> {
    members
        .map(|(name, member)| HomeCandidate {
            node: name.clone(),
            zone: member.zone.clone(),
            bandwidth_mbps: member.bandwidth_mbps,
        })
        .collect()
}
