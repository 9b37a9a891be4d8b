//! The state that all tasks of a node share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hookpoint_coordination::serving::coordinator::{ClaimDelay, CoordinatorView};
use hookpoint_coordination::serving::directory::{Database, Directory, StatedRole};
use hookpoint_coordination::serving::fencing::FencingToken;
use hookpoint_coordination::serving::interest::Interest;
use hookpoint_coordination::serving::isolation::Isolation;
use hookpoint_coordination::serving::leadership::Leadership;
use hookpoint_coordination::serving::lease_grantor::LeaseGrantor;
use hookpoint_coordination::serving::primary_lease::PrimaryLease;
use hookpoint_coordination::serving::selection::Distance;
use hookpoint_coordination::serving::topology::{Configuration, ConfigurationHolder};
use hookpoint_state::{
    DatabaseName, GroupName, RegionName, StoreEra, StoreRevision, Timestamp, ZoneName,
};
use serde_json::Value;
use tokio::sync::Notify;

use crate::attention::Attention;
use crate::cold_databases::ColdDatabases;
use crate::counted_store::CountedStore;
use crate::counters::Counters;
use crate::events::EventLog;
use crate::feed::Feed;
use crate::homes::HomeViews;
use crate::link::Links;
use crate::pool::Pool;
use crate::ports::{LeaseId, PromotionService, StateStore, WireProtocol};
use crate::reachability::Reachability;
use crate::settings::{ChangeableSettings, NodeSettings};
use crate::tokens::Tokens;
use crate::zone_evacuations::ZoneEvacuations;

/// Rest of a transaction that is allowed where the configuration tells none.
const DEFAULT_TRANSACTION_IDLE: Duration = Duration::from_secs(3);

/// A node's clock at its start: far enough from zero for times before it.
const START: Timestamp = Timestamp(60_000_000);

/// How this node sees a group's primary.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    /// When it last answered anything.
    pub last_heard: Timestamp,
    /// Since when it has not answered.
    pub lost_since: Option<Timestamp>,
    /// Whether its host refuses connections.
    pub refused: bool,
}

/// An announcement of a promotion as the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedAnnouncement {
    /// Its token.
    pub token: FencingToken,
    /// Revision of the record.
    pub revision: StoreRevision,
}

/// What is known of one group.
#[derive(Default)]
pub struct GroupState {
    /// The belief about its primary.
    pub leadership: Leadership,
    /// Contact with the database believed to lead, or that led last.
    pub contact: Contact,
    /// What the group is needed for on this node.
    pub interest: Interest,
    /// The primary that a peer reported as lost, none if it knew none, and when.
    pub reported_lost: Option<(Option<DatabaseName>, Timestamp)>,
    /// When this node last reported that it lacks the primary.
    pub reported_at: Timestamp,
    /// When a peer was last asked for a sample.
    pub sample_asked_at: Timestamp,
    /// How often one was.
    pub samples_asked: usize,
    /// Since when nobody is known to lead.
    pub leaderless_since: Option<Timestamp>,
    /// Database that a promotion was ordered for, and when that was learnt.
    pub promoting: Option<(DatabaseName, Timestamp)>,
    /// Token of that promotion's announcement. A later announcement has a higher one, whatever
    /// the store holds.
    pub announced: Option<FencingToken>,
    /// Revision at which it was announced; the default if there is none.
    pub announced_at: StoreRevision,
    /// The record of announcements as last seen in the store.
    pub announcement_listed: Option<ListedAnnouncement>,
    /// Whether this node is busy replacing its primary.
    pub being_replaced: bool,
    /// Since when this node, as the coordinator, has wanted to move its primary.
    pub move_wanted_since: Option<Timestamp>,
    /// The database that last proved to lead though another one was announced, and when
    /// it was asked.
    pub overruled_proof: Option<(DatabaseName, Timestamp)>,
    /// Token of the newest announcement that this node has acknowledged.
    pub closed_up_to: Option<FencingToken>,
    /// Writes and commits that are sent and not answered.
    pub writes_in_flight: usize,
}

/// A report that a primary is lost counts for this long; who lacks the primary repeats it
/// sooner.
const REPORT_MEMORY: Duration = Duration::from_secs(1);

impl GroupState {
    /// Whether a peer lately reported that it lacks the primary.
    pub(crate) fn was_reported(&self, now: Timestamp) -> bool {
        self.reported_lost
            .as_ref()
            .is_some_and(|(_, reported_at)| now.since(*reported_at) < REPORT_MEMORY)
    }

    /// Whether the store does not hold the newest announcement that is known here.
    pub(crate) fn announcement_is_lost(&self) -> bool {
        let listed = self.announcement_listed.map(|listed| listed.token);
        self.announced > listed
    }

    /// The primary that a peer lately reported as lost.
    pub(crate) fn reported_leader(&self, now: Timestamp) -> Option<&DatabaseName> {
        let (leader, _) = self.reported_lost.as_ref()?;
        leader.as_ref().filter(|_| self.was_reported(now))
    }
}

/// A live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its zone.
    pub zone: ZoneName,
    /// Address for its datagrams.
    pub peer_address: SocketAddr,
    /// Bandwidth of its link, in megabits a second; 0 if that is not known.
    pub bandwidth_mbps: u32,
    /// When its entry went away.
    pub gone_at: Option<Timestamp>,
}

/// A number that no earlier process of this node had.
fn new_life() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.map_or(0, |elapsed| elapsed.as_nanos());
    u64::try_from(nanos).unwrap_or(u64::MAX) ^ u64::from(std::process::id()).rotate_left(48)
}

/// The shared state of a node.
pub struct Node {
    /// Settings as of the start.
    pub settings: NodeSettings,
    /// Those that may have changed since.
    changeable: RefCell<Rc<ChangeableSettings>>,
    /// Spelling of messages.
    pub protocol: Rc<dyn WireProtocol>,
    /// State store.
    pub store: Rc<dyn StateStore>,
    /// Promotions.
    pub promotions: Rc<dyn PromotionService>,
    /// Log.
    pub events: EventLog,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Configuration in force.
    pub configuration: RefCell<ConfigurationHolder>,
    /// When the first configuration was taken.
    pub(crate) configured_at: Cell<Option<Timestamp>>,
    /// Regions in which the primaries of groups should be, where the configuration cares.
    pub(crate) primary_regions: RefCell<BTreeMap<GroupName, BTreeSet<RegionName>>>,
    /// Databases.
    pub directory: RefCell<Directory>,
    /// Zones that the operator evacuates.
    pub(crate) evacuations: ZoneEvacuations,
    /// Groups that are looked after.
    pub(crate) attention: Attention,
    /// Groups.
    pub groups: RefCell<BTreeMap<GroupName, GroupState>>,
    /// Peers, this node included.
    pub members: RefCell<BTreeMap<String, Member>>,
    /// Revision of this node's own member record as last seen in the store; none if absent.
    pub own_record_revision: Cell<Option<StoreRevision>>,
    /// The lease that this node's member record goes with as last seen in the store, if the
    /// record, maybe an earlier process's, says what this process's would.
    pub lease_found: Cell<Option<LeaseId>>,
    /// Who may order promotions.
    pub coordinator: RefCell<CoordinatorView>,
    /// Era of the newest listing of the store; none before the first.
    pub(crate) store_era: Cell<Option<StoreEra>>,
    /// How long a free record is left alone in the present era of the store.
    pub(crate) claim_delay: Cell<ClaimDelay>,
    /// Up to which revision of the store all promotions are known.
    pub promotions_known: Cell<StoreRevision>,
    /// Leave to use primaries, where promotions are not fenced.
    pub primary_lease: RefCell<PrimaryLease>,
    /// What this node has granted, as the coordinator or a stand-in.
    pub grantor: RefCell<LeaseGrantor>,
    /// Up to which revision of the store the one asked for the lease knows all promotions.
    pub grantor_knows: Cell<StoreRevision>,
    /// When the store last answered.
    pub store_heard_at: Cell<Timestamp>,
    /// Lease that this node's record as the coordinator goes with.
    pub coordinator_lease: Cell<Option<u64>>,
    /// Until when that lease surely holds.
    pub coordinator_until: Cell<Timestamp>,
    /// Promotions that this node has ordered in its present tenure, which are part of their tokens.
    pub promotions_ordered: Cell<u64>,
    /// Whether the store was reachable at the last call of the follower.
    pub store_reachable: Cell<bool>,
    /// Since when the store has been followed without a gap.
    pub store_steady_since: Cell<Timestamp>,
    /// When a stop was asked for.
    pub stopping_since: Cell<Option<Timestamp>>,
    /// Sessions that are open.
    pub sessions: Cell<usize>,
    /// Connections that peers use at the moment.
    pub lent: Cell<usize>,
    /// Wakes all who wait for a change of a primary.
    pub leader_changed: Notify,
    /// Wakes the task that keeps the lease on primaries: something is due.
    pub lease_due: Notify,
    /// Wakes all who wait for configuration.
    pub configuration_changed: Notify,
    /// Wakes sessions when a stop is asked for or advances.
    pub stop_advanced: Notify,
    /// Links to peers.
    pub links: Links,
    /// Which peers answer.
    pub reachability: Reachability,
    /// Whether this node is cut off from the fleet.
    pub(crate) isolation: Cell<Isolation>,
    /// Tokens for tenants' operations.
    pub(crate) tokens: Tokens,
    /// When this node's lease was last taken or renewed.
    pub(crate) lease_renewed_at: Cell<Timestamp>,
    /// When peers were last asked since when databases leave.
    pub(crate) departures_asked_at: Cell<Timestamp>,
    /// Changes of the store.
    pub feed: Feed,
    /// Who holds connections to the databases.
    pub(crate) homes: RefCell<HomeViews>,
    pub(crate) pools: RefCell<BTreeMap<DatabaseName, Rc<Pool>>>,
    /// How warm the databases are.
    pub(crate) cold: ColdDatabases,
    started: Instant,
}

impl Node {
    /// A node that knows nothing yet.
    pub fn new(
        settings: NodeSettings,
        protocol: Rc<dyn WireProtocol>,
        store: Rc<dyn StateStore>,
        promotions: Rc<dyn PromotionService>,
        events: EventLog,
    ) -> Rc<Self> {
        let life = new_life();
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
            directory: RefCell::default(),
            evacuations: ZoneEvacuations::default(),
            attention: Attention::default(),
            groups: RefCell::default(),
            members: RefCell::default(),
            own_record_revision: Cell::default(),
            lease_found: Cell::new(None),
            coordinator: RefCell::default(),
            store_era: Cell::default(),
            claim_delay: Cell::default(),
            promotions_known: Cell::default(),
            primary_lease: RefCell::new(PrimaryLease::new(life, START)),
            grantor: RefCell::new(LeaseGrantor::new(life)),
            grantor_knows: Cell::default(),
            store_heard_at: Cell::default(),
            coordinator_lease: Cell::new(None),
            coordinator_until: Cell::default(),
            promotions_ordered: Cell::new(0),
            // Nothing can be read yet when the whole fleet starts, but each node can register.
            store_reachable: Cell::new(settings.first_start),
            store_steady_since: Cell::default(),
            stopping_since: Cell::new(None),
            sessions: Cell::new(0),
            lent: Cell::new(0),
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

    /// Time since the start, on the steady clock; never zero.
    pub fn now(&self) -> Timestamp {
        START + self.started.elapsed()
    }

    /// The clock at the start.
    pub(crate) fn started_at(&self) -> Timestamp {
        START
    }

    /// The settings in force that may change while the node runs.
    pub fn changeable(&self) -> Rc<ChangeableSettings> {
        Rc::clone(&self.changeable.borrow())
    }

    /// Takes over changed settings. Says whether they differ from those in force.
    pub fn change_settings(&self, changed: ChangeableSettings) -> bool {
        let differs = **self.changeable.borrow() != changed;
        *self.changeable.borrow_mut() = Rc::new(changed);
        differs
    }

    /// Logs an event.
    pub fn log(&self, event: &'static str, fields: &[(&str, Value)]) {
        self.events.write(self.now(), event, fields);
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().current().cloned()
    }

    /// Groups of the configuration in force.
    pub fn configured_groups(&self) -> Vec<GroupName> {
        self.configuration()
            .map(|configuration| configuration.groups.keys().cloned().collect())
            .unwrap_or_default()
    }

    /// Whether what this node knows of keys is young enough to let callers pass.
    pub(crate) fn keys_pass(&self) -> bool {
        let age = self.now().since(self.feed.news_at());
        self.changeable().revocation.accepts(age)
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> Option<u64> {
        self.configuration.borrow().version()
    }

    /// How long an open transaction may rest.
    pub fn transaction_idle(&self) -> Duration {
        self.configuration()
            .and_then(|configuration| configuration.transaction_idle)
            .unwrap_or(DEFAULT_TRANSACTION_IDLE)
    }

    /// Takes a configuration if it is newer than the one in force.
    pub fn take_configuration(&self, configuration: Configuration) {
        let version = configuration.version;
        if self.configuration.borrow_mut().offer(configuration) {
            if let Some(taken) = self.configuration() {
                self.place_primaries(&taken);
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

    /// Whether the node can serve callers. One that has lost its lease on primaries is cut
    /// off from the others, who serve its callers better.
    pub fn is_ready(&self) -> bool {
        self.stopping_since.get().is_none()
            && self.lease_lapsed_since().is_none()
            && self.isolated_since().is_none()
            && self.can_count()
            && self.uncounted_since().is_none()
            && self.configuration().is_some()
            && self.directory.borrow().iter().next().is_some()
    }

    /// A listed database.
    pub fn database(&self, name: &DatabaseName) -> Option<Database> {
        let directory = self.directory.borrow();
        directory.get(name).map(|listed| listed.database.clone())
    }

    /// How far a database is.
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

    /// Runs `change` on the state of a group.
    pub fn with_group<T>(&self, group: &GroupName, change: impl FnOnce(&mut GroupState) -> T) -> T {
        let mut groups = self.groups.borrow_mut();
        match groups.get_mut(group) {
            Some(state) => change(state),
            None => change(groups.entry(group.clone()).or_default()),
        }
    }

    /// The database believed to lead a group.
    pub fn leader(&self, group: &GroupName) -> Option<DatabaseName> {
        self.with_group(group, |state| state.leadership.leader().cloned())
    }

    /// Whether a database is believed to lead its group.
    pub fn leads(&self, name: &DatabaseName) -> bool {
        self.database(name)
            .is_some_and(|database| self.leader(&database.group).as_ref() == Some(name))
    }

    /// Databases of a group that state that they lead, then the others.
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
