//! The state shared by all tasks of a node.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hookpoint_coordination::serving::coordinator::{ClaimDelay, CoordinatorView};
use hookpoint_coordination::serving::directory::{Database, Directory, StatedRole};
use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::group_use::GroupUse;
use hookpoint_coordination::serving::isolation::Isolation;
use hookpoint_coordination::serving::leadership::Leadership;
use hookpoint_coordination::serving::lease_grantor::LeaseGrantor;
use hookpoint_coordination::serving::primary_lease::PrimaryLease;
use hookpoint_coordination::serving::selection::Distance;
use hookpoint_coordination::serving::topology::{Configuration, ConfigurationHolder};
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_state::{
    DatabaseName, GroupName, RegionName, StoreEra, StoreRevision, Term, Timestamp, ZoneName,
};
use serde_json::Value;
use tokio::sync::Notify;

use crate::cold_databases::ColdDatabases;
use crate::counted_store::CountedStore;
use crate::counters::Counters;
use crate::events::EventLog;
use crate::feed::Feed;
use crate::homes::HomeViews;
use crate::link::Links;
use crate::monitored_groups::MonitoredGroups;
use crate::pool::Pool;
use crate::ports::{LeaseId, PromotionService, StateStore, WireProtocol};
use crate::reachability::Reachability;
use crate::settings::{ChangeableSettings, NodeSettings};
use crate::tokens::Tokens;
use crate::zone_evacuations::ZoneEvacuations;

/// How long an open transaction may be idle if the configuration sets no limit.
const DEFAULT_TRANSACTION_IDLE: Duration = Duration::from_secs(3);

/// The node's clock reading at startup: far enough from zero that earlier times can be
/// represented.
const START: Timestamp = Timestamp(60_000_000);

/// This node's contact with a group's primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When the primary last answered a request.
    pub last_answer_at: Timestamp,
    /// Since when the primary has not answered, or `None` if it answers.
    pub lost_since: Option<Timestamp>,
    /// Whether the primary's host refuses connections.
    pub refused: bool,
}

/// A promotion announcement as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedAnnouncement {
    /// Fencing token of the announced promotion.
    pub token: FencingToken,
    /// Store revision of the announcement's record.
    pub revision: StoreRevision,
}

/// This node's state for one group.
#[derive(Default)]
pub struct GroupState {
    /// Which database leads the group, as far as this node knows.
    pub leadership: Leadership,
    /// Contact with the known leader, or with the last one.
    pub contact: Contact,
    /// What this node needs the group for.
    pub group_use: GroupUse,
    /// The primary that a peer reported as lost (`None` if that peer knew no primary), and when.
    pub reported_lost: Option<(Option<DatabaseName>, Timestamp)>,
    /// When this node last reported that it lacks the primary.
    pub reported_at: Timestamp,
    /// When a peer was last asked for a sample of the primary.
    pub sample_asked_at: Timestamp,
    /// Number of times that a peer was asked for a sample.
    pub samples_asked: usize,
    /// Since when no database is known to lead, or `None` while one is.
    pub leaderless_since: Option<Timestamp>,
    /// The candidate of the newest known promotion, and when this node learnt of it.
    pub promoting: Option<(DatabaseName, Timestamp)>,
    /// Fencing token of that promotion's announcement. A later announcement has a higher token,
    /// whatever the store holds.
    pub announced: Option<FencingToken>,
    /// Store revision of that announcement; the default if there is none.
    pub announced_at: StoreRevision,
    /// The commits that are not acknowledged because of that promotion.
    pub withheld: WithheldCommits,
    /// Fencing token of the newest promotion whose candidate has proved since that it leads.
    pub took_effect: Option<FencingToken>,
    /// Newest term in the position of a primary.
    pub newest_term: Term,
    /// The group's announcement as last seen in the store, or `None` if the store has none.
    pub announcement_listed: Option<ListedAnnouncement>,
    /// Whether this node is currently replacing the group's primary.
    pub being_replaced: bool,
    /// Since when this node, as the coordinator, has wanted to move the primary.
    pub move_wanted_since: Option<Timestamp>,
    /// The database that last proved that it leads although another one was announced, and when
    /// the proof was requested.
    pub overruled_proof: Option<(DatabaseName, Timestamp)>,
    /// Token of the newest announcement up to which this node no longer acknowledges writes that
    /// the replaced primary answers.
    pub closed_up_to: Option<FencingToken>,
    /// Number of writes and commits that were sent and have not been answered.
    pub writes_in_flight: usize,
}

/// How long a report that a primary is lost stays valid. A node that lacks the primary repeats its
/// report more often than this.
const REPORT_VALIDITY: Duration = Duration::from_secs(1);

impl GroupState {
    /// Returns whether a peer reported within [`REPORT_VALIDITY`] that it lacks the primary.
    pub(crate) fn was_reported(&self, now: Timestamp) -> bool {
        self.reported_lost
            .as_ref()
            .is_some_and(|(_, reported_at)| now.since(*reported_at) < REPORT_VALIDITY)
    }

    /// Returns whether the store lacks the newest announcement known to this node.
    pub(crate) fn announcement_is_lost(&self) -> bool {
        let listed = self.announcement_listed.map(|listed| listed.token);
        self.announced > listed
    }

    /// Returns the primary that a peer reported as lost within [`REPORT_VALIDITY`].
    pub(crate) fn reported_leader(&self, now: Timestamp) -> Option<&DatabaseName> {
        let (leader, _) = self.reported_lost.as_ref()?;
        leader.as_ref().filter(|_| self.was_reported(now))
    }
}

/// A member of the fleet, as its record in the store describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The member's zone.
    pub zone: ZoneName,
    /// Address for datagrams and links to the member.
    pub peer_address: SocketAddr,
    /// Bandwidth of the member's link in megabits per second; 0 if unknown.
    pub bandwidth_mbps: u32,
    /// When the member's record was removed, or `None` if the member is registered.
    pub gone_at: Option<Timestamp>,
}

/// Returns a number that identifies this process among all processes of the node.
fn new_process_number() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |elapsed| elapsed.as_nanos());
    u64::try_from(nanos).unwrap_or(u64::MAX) ^ u64::from(std::process::id()).rotate_left(48)
}

/// The shared state of a node.
pub struct Node {
    /// Settings as of the start of the node.
    pub settings: NodeSettings,
    /// The settings that can be reloaded, as currently in force.
    changeable: RefCell<Rc<ChangeableSettings>>,
    /// Codec of the messages exchanged with callers and databases.
    pub protocol: Rc<dyn WireProtocol>,
    /// The state store; its calls are counted.
    pub store: Rc<dyn StateStore>,
    /// The service that carries out promotions.
    pub promotions: Rc<dyn PromotionService>,
    /// The event log.
    pub events: EventLog,
    /// Counters and gauges exported as metrics.
    pub counters: Rc<Counters>,
    /// The configuration in force.
    pub configuration: RefCell<ConfigurationHolder>,
    /// When the first configuration came into force.
    pub(crate) configured_at: Cell<Option<Timestamp>>,
    /// Regions in which the primaries of groups should be, for groups that the configuration
    /// restricts.
    pub(crate) primary_regions: RefCell<BTreeMap<GroupName, BTreeSet<RegionName>>>,
    /// Whether a group is or was synchronous, so that writes depend on announced promotions.
    pub(crate) has_synchronous_groups: Cell<bool>,
    /// The registered databases.
    pub directory: RefCell<Directory>,
    /// Evacuations of zones and this node's progress with them.
    pub(crate) evacuations: ZoneEvacuations,
    /// The groups that this node currently monitors.
    pub(crate) monitored_groups: MonitoredGroups,
    /// State per group, created when it is first needed.
    pub groups: RefCell<BTreeMap<GroupName, GroupState>>,
    /// Members of the fleet by name, including this node.
    pub members: RefCell<BTreeMap<String, Member>>,
    /// Revision of this node's own member record as last seen in the store; `None` if absent.
    pub own_record_revision: Cell<Option<StoreRevision>>,
    /// The lease of this node's member record as last seen in the store, if the record's content
    /// is what this process would write. An earlier process may have written the record.
    pub lease_found: Cell<Option<LeaseId>>,
    /// What is known of the coordinator, which alone may order promotions.
    pub coordinator: RefCell<CoordinatorView>,
    /// Era of the newest listing of the store; `None` before the first listing.
    pub(crate) store_era: Cell<Option<StoreEra>>,
    /// How long a free coordinator record is not claimed in the present era of the store.
    pub(crate) claim_delay: Cell<ClaimDelay>,
    /// Store revision up to which this node knows all announced promotions.
    pub promotions_known_up_to: Cell<StoreRevision>,
    /// This node's lease on the use of primaries, needed where promotions are not fenced.
    pub primary_lease: RefCell<PrimaryLease>,
    /// Leases on primaries that this node has granted, as the coordinator or a substitute.
    pub grantor: RefCell<LeaseGrantor>,
    /// Store revision up to which the node that grants this node's lease knows all promotions.
    pub grantor_known_revision: Cell<StoreRevision>,
    /// When the store last answered.
    pub store_answered_at: Cell<Timestamp>,
    /// Lease of the coordinator record written by this node.
    pub coordinator_lease: Cell<Option<u64>>,
    /// Until when that lease is certain to be valid.
    pub coordinator_lease_valid_until: Cell<Timestamp>,
    /// Number of promotions ordered in this node's present tenure as coordinator; part of their
    /// fencing tokens.
    pub promotions_ordered: Cell<u64>,
    /// Whether the follower's last call reached the store.
    pub store_reachable: Cell<bool>,
    /// Since when this node has followed the store without a gap.
    pub store_steady_since: Cell<Timestamp>,
    /// When a shutdown was requested.
    pub stopping_since: Cell<Option<Timestamp>>,
    /// Number of open caller sessions.
    pub sessions: Cell<usize>,
    /// Number of this node's connections that peers currently use.
    pub connections_leased_to_peers: Cell<usize>,
    /// Notified when the known primary or the usable databases of a group change.
    pub leader_changed: Notify,
    /// Notified when the task that maintains the lease on primaries has something to do.
    pub lease_due: Notify,
    /// Notified when the configuration changes.
    pub configuration_changed: Notify,
    /// Notified when sessions must check whether to end: a shutdown was requested or advanced, or
    /// the node or a zone stopped serving.
    pub stop_advanced: Notify,
    /// Idle links to peers, and the peers that are not asked for connections at the moment.
    pub links: Links,
    /// Which peers respond, and which are due to be probed.
    pub reachability: Reachability,
    /// Whether this node is cut off from the fleet.
    pub(crate) isolation: Cell<Isolation>,
    /// Rate-limit tokens for tenants' operations.
    pub(crate) tokens: Tokens,
    /// When this node's member lease was last taken or renewed.
    pub(crate) lease_renewed_at: Cell<Timestamp>,
    /// When peers were last asked for the start of departures learnt of late.
    pub(crate) departures_asked_at: Cell<Timestamp>,
    /// The state store's changes as received and passed on.
    pub feed: Feed,
    /// Which nodes hold connections to the databases.
    pub(crate) homes: RefCell<HomeViews>,
    pub(crate) pools: RefCell<BTreeMap<DatabaseName, Rc<Pool>>>,
    /// Which databases are cold.
    pub(crate) cold: ColdDatabases,
    started: Instant,
}

impl Node {
    /// Creates a node without any knowledge of the fleet.
    pub fn new(
        settings: NodeSettings,
        protocol: Rc<dyn WireProtocol>,
        store: Rc<dyn StateStore>,
        promotions: Rc<dyn PromotionService>,
        events: EventLog,
    ) -> Rc<Self> {
        let process_number = new_process_number();
        let counters = Rc::new(Counters::default());
        Rc::new(Self {
            changeable: RefCell::new(Rc::new(settings.changeable.clone())),
            protocol,
            store: Rc::new(CountedStore::new(store, Rc::clone(&counters))),
            promotions,
            events,
            counters,
            configuration: RefCell::default(),
            configured_at: Cell::default(),
            primary_regions: RefCell::default(),
            has_synchronous_groups: Cell::default(),
            directory: RefCell::default(),
            evacuations: ZoneEvacuations::default(),
            monitored_groups: MonitoredGroups::default(),
            groups: RefCell::default(),
            members: RefCell::default(),
            own_record_revision: Cell::default(),
            lease_found: Cell::new(None),
            coordinator: RefCell::default(),
            store_era: Cell::default(),
            claim_delay: Cell::default(),
            promotions_known_up_to: Cell::default(),
            primary_lease: RefCell::new(PrimaryLease::new(process_number, START)),
            grantor: RefCell::new(LeaseGrantor::new(process_number)),
            grantor_known_revision: Cell::default(),
            store_answered_at: Cell::default(),
            coordinator_lease: Cell::new(None),
            coordinator_lease_valid_until: Cell::default(),
            promotions_ordered: Cell::new(0),
            // Nothing can be read yet when the whole fleet starts for the first time, but each
            // node can register.
            store_reachable: Cell::new(settings.first_start),
            store_steady_since: Cell::default(),
            stopping_since: Cell::new(None),
            sessions: Cell::new(0),
            connections_leased_to_peers: Cell::new(0),
            leader_changed: Notify::new(),
            lease_due: Notify::new(),
            configuration_changed: Notify::new(),
            stop_advanced: Notify::new(),
            links: Links::default(),
            reachability: Reachability::default(),
            isolation: Cell::default(),
            tokens: Tokens::default(),
            lease_renewed_at: Cell::new(START),
            departures_asked_at: Cell::default(),
            feed: Feed::default(),
            homes: RefCell::default(),
            pools: RefCell::default(),
            cold: ColdDatabases::default(),
            settings,
            started: Instant::now(),
        })
    }

    /// Returns the time on the monotonic clock; never zero.
    pub fn now(&self) -> Timestamp {
        START + self.started.elapsed()
    }

    /// Returns the clock reading at startup.
    pub(crate) fn started_at(&self) -> Timestamp {
        START
    }

    /// Returns the reloadable settings in force.
    pub fn changeable(&self) -> Rc<ChangeableSettings> {
        Rc::clone(&self.changeable.borrow())
    }

    /// Replaces the reloadable settings. Returns whether they differ from those in force before.
    pub fn change_settings(&self, changed: ChangeableSettings) -> bool {
        let differs = **self.changeable.borrow() != changed;
        *self.changeable.borrow_mut() = Rc::new(changed);
        differs
    }

    /// Writes an event to the event log.
    pub fn log(&self, event: &'static str, fields: &[(&str, Value)]) {
        self.events.write(self.now(), event, fields);
    }

    /// Returns the configuration in force, or `None` before the first.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().current().cloned()
    }

    /// Returns the groups of the configuration in force.
    pub fn configured_groups(&self) -> Vec<GroupName> {
        self.configuration()
            .map(|configuration| configuration.groups.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns whether this node's information about keys is recent enough to admit callers.
    pub(crate) fn accepts_keys(&self) -> bool {
        let age = self.now().since(self.feed.known_at());
        self.changeable().revocation.accepts(age)
    }

    /// Returns the version of the configuration in force.
    pub fn configuration_version(&self) -> Option<u64> {
        self.configuration.borrow().version()
    }

    /// Returns how long an open transaction may be idle.
    pub fn transaction_idle(&self) -> Duration {
        self.configuration()
            .and_then(|configuration| configuration.transaction_idle)
            .unwrap_or(DEFAULT_TRANSACTION_IDLE)
    }

    /// Puts a configuration in force if it is newer than the present one.
    pub fn take_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        if self.configuration.borrow_mut().offer(configuration) {
            if let Some(taken) = self.configuration() {
                self.compute_primary_regions(&taken);
                self.note_synchronous_groups(&taken);
            }
            if self.configured_at.get().is_none() {
                self.configured_at.set(Some(self.now()));
            }
            self.log("configuration_in_force", &[("version", version.into())]);
            self.counters.set("configuration_version", version);
            self.homes.borrow_mut().forget_views();
            self.configuration_changed.notify_waiters();
        }
    }

    /// Returns whether the node can serve callers. A node that has lost its lease on primaries is
    /// cut off from the other nodes, which can serve its callers better.
    pub fn is_ready(&self) -> bool {
        self.stopping_since.get().is_none()
            && self.lease_lapsed_since().is_none()
            && self.isolated_since().is_none()
            && self.can_count_operations()
            && self.not_counted_since().is_none()
            && self.configuration().is_some()
            && self.directory.borrow().iter().next().is_some()
    }

    /// Returns a registered database.
    pub fn database(&self, name: &DatabaseName) -> Option<Database> {
        let directory = self.directory.borrow();
        directory.get(name).map(|listed| listed.database.clone())
    }

    /// Returns the distance from this node to databases in `zone`.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        if *zone == self.settings.zone {
            return Distance::SameZone;
        }
        let changeable = self.changeable();
        let regions = &changeable.regions;
        match (regions.get(zone), regions.get(&self.settings.zone)) {
            (Some(there), Some(here)) if there == here => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }

    /// Runs `change` on the state of a group, creating the state if there is none.
    pub fn with_group<T>(&self, group: &GroupName, change: impl FnOnce(&mut GroupState) -> T) -> T {
        let mut groups = self.groups.borrow_mut();
        match groups.get_mut(group) {
            Some(state) => change(state),
            None => change(groups.entry(group.clone()).or_default()),
        }
    }

    /// Returns the database known to lead a group.
    pub fn leader(&self, group: &GroupName) -> Option<DatabaseName> {
        self.with_group(group, |state| state.leadership.leader().cloned())
    }

    /// Returns whether a database is known to lead its group.
    pub fn leads(&self, name: &DatabaseName) -> bool {
        self.database(name)
            .is_some_and(|database| self.leader(&database.group).as_ref() == Some(name))
    }

    /// Returns the databases of a group: first those that state that they lead, then the others.
    pub fn by_stated_role(&self, group: &GroupName) -> Vec<DatabaseName> {
        let directory = self.directory.borrow();
        let mut databases: Vec<&Database> = directory
            .of_group(group)
            .map(|listed| &listed.database)
            .collect();
        databases.sort_by_key(|database| database.role != StatedRole::Primary);
        databases
            .into_iter()
            .map(|database| database.name.clone())
            .collect()
    }
}
