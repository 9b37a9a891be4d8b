//! Evacuation of zones: stops the use of a zone's databases on this node.
//!
//! As soon as a request is known, statements go to a database of the zone only if it leads its
//! group. Once the request has been known for the configured limit, the zone counts as evacuated:
//! nothing is sent to its databases any more, idle connections are closed, and transactions that
//! are still open there are ended.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::evacuation::ZoneAvailability;
use hookpoint_coordination::serving::feed::staggered_delay;
use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp, ZoneName};

use crate::node::Node;
use crate::pool::Pool;
use crate::units::millis;
use crate::zone_evacuations::Progress;

/// Time after the end of an evacuation over which the nodes resume use of the zone one after
/// another. The zone's databases may have lost their in-memory caches, and all nodes resuming at
/// the same moment would overload them.
const RETURN_SPREAD: Duration = Duration::from_secs(8);
/// Longest time that a statement may take to reach a database: across regions, through another
/// node, and in the queue of a slow link.
const STATEMENT_TRANSIT_LIMIT: Duration = Duration::from_millis(300);
/// Interval between two checks of what is still in use in a zone.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two log entries on what is still in use in an evacuated zone.
const IN_USE_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The resources in a zone that this node still uses.
struct ZoneUse {
    connections: usize,
    primaries: Vec<GroupName>,
}

impl ZoneUse {
    fn is_empty(&self) -> bool {
        self.connections == 0 && self.primaries.is_empty()
    }
}

impl Node {
    /// Returns what the databases of a zone may be used for at the moment.
    pub(crate) fn zone_availability(&self, zone: &ZoneName) -> ZoneAvailability {
        let known = self.evacuations.known.borrow();
        if known.is_empty() {
            return ZoneAvailability::Open;
        }
        let limit = self.changeable().evacuation_limit;
        let own_share = || staggered_delay(&self.settings.name, RETURN_SPREAD);
        let return_time = self.evacuations.return_time.get_or_init(own_share);
        known.availability(zone, limit, *return_time, self.now())
    }

    /// Returns the availability of a database's zone.
    pub(crate) fn zone_availability_of(&self, name: &DatabaseName) -> ZoneAvailability {
        if self.evacuations.known.borrow().is_empty() {
            return ZoneAvailability::Open;
        }
        let directory = self.directory.borrow();
        directory
            .get(name)
            .map_or(ZoneAvailability::Open, |listed| {
                self.zone_availability(&listed.database.zone)
            })
    }

    /// Returns whether nothing may be sent to a database because its zone is evacuated.
    pub(crate) fn is_in_evacuated_zone(&self, name: &DatabaseName) -> bool {
        self.zone_availability_of(name) == ZoneAvailability::Evacuated
    }

    /// Returns whether all databases of a group are in evacuated zones.
    pub(crate) fn all_in_evacuated_zones(&self, group: &GroupName) -> bool {
        if self.evacuations.known.borrow().is_empty() {
            return false;
        }
        let directory = self.directory.borrow();
        let mut databases = directory.of_group(group);
        databases.all(|listed| {
            self.zone_availability(&listed.database.zone) == ZoneAvailability::Evacuated
        })
    }

    /// Returns whether statements may still be sent to a database. In a zone under evacuation only
    /// primaries receive statements, until they have been moved.
    pub fn may_serve(&self, name: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        let Some(listed) = directory.get(name) else {
            return false;
        };
        let zone_allows = match self.zone_availability(&listed.database.zone) {
            ZoneAvailability::Open | ZoneAvailability::Returning => true,
            ZoneAvailability::Evacuating => self.leads(name),
            ZoneAvailability::Evacuated => false,
        };
        zone_allows && self.listed_accepts_new_work(listed)
    }

    /// Returns the known primary of a group if its zone is evacuated.
    pub(crate) fn evacuated_leader(&self, group: &GroupName) -> Option<DatabaseName> {
        self.leader(group)
            .filter(|leader| self.is_in_evacuated_zone(leader))
    }

    /// Returns the known evacuations: each zone, whether its evacuation is requested, and the
    /// store revision of that state.
    pub(crate) fn known_evacuations(&self) -> Vec<(ZoneName, bool, StoreRevision)> {
        let known = self.evacuations.known.borrow();
        known
            .known()
            .map(|(zone, requested, revision)| (zone.clone(), requested, revision))
            .collect()
    }

    /// Returns for how long the request for a zone has been known, if it is in force.
    pub(crate) fn evacuation_age(&self, zone: &ZoneName) -> Option<Duration> {
        self.evacuations.known.borrow().age(zone, self.now())
    }

    /// Applies a request or the end of one, unless the known state is as new.
    pub(crate) fn apply_evacuation(
        &self,
        zone: &ZoneName,
        requested: bool,
        revision: StoreRevision,
    ) {
        let since = self.evacuation_counted_from();
        let mut known = self.evacuations.known.borrow_mut();
        let changed = known.apply(zone, requested, revision, since);
        drop(known);
        if changed {
            self.note_evacuation(zone, requested, revision);
        }
    }

    /// Applies the requests of a complete listing read at `revision`; requests that it lacks have
    /// ended.
    pub(crate) fn apply_evacuation_listing(
        &self,
        listed: &[(ZoneName, StoreRevision)],
        revision: StoreRevision,
    ) {
        let since = self.evacuation_counted_from();
        let mut known = self.evacuations.known.borrow_mut();
        let changed = known.replace(listed, revision, since);
        drop(known);
        for zone in changed {
            let requested = listed.iter().any(|(present, _)| *present == zone);
            self.note_evacuation(&zone, requested, revision);
        }
    }

    /// Ends the requests that the store lost when it was restored from a copy and that have not
    /// been written again.
    fn end_unlisted_evacuations(&self) {
        let revision = self.feed.revision();
        let now = self.now();
        let ended = self
            .evacuations
            .known
            .borrow_mut()
            .end_unlisted(revision, now);
        for zone in ended {
            self.note_evacuation(&zone, false, revision);
        }
    }

    /// Returns the moment from which the time of a request that is learnt now counts. The request
    /// is at most as old as the previously applied state of the store, and one that took longer
    /// than it should to arrive has less time left. A request found by a starting node may be of
    /// any age, and such a node has no open work in the zone that needs time to end.
    fn evacuation_counted_from(&self) -> Timestamp {
        let times = self.learned_times();
        let limit = self.changeable().evacuation_limit;
        let in_time = limit.saturating_sub(STATEMENT_TRANSIT_LIMIT);
        times.at.min(times.not_before + in_time)
    }

    fn note_evacuation(&self, zone: &ZoneName, requested: bool, revision: StoreRevision) {
        let mut progress = self.evacuations.progress.borrow_mut();
        progress.insert(zone.clone(), Progress::default());
        drop(progress);
        let zones = self.evacuations.known.borrow().requested().count();
        let zones = u64::try_from(zones).unwrap_or(u64::MAX);
        self.counters.set("zones_evacuated", zones);
        self.log(
            "evacuation_changed",
            &[
                ("zone", zone.as_str().into()),
                ("requested", requested.into()),
                ("revision", revision.to_string().into()),
            ],
        );
        self.leader_changed.notify_waiters();
    }

    /// Records that a caller's transaction was ended because its database's zone is evacuated.
    pub(crate) fn note_transaction_evacuated(&self, name: &DatabaseName) {
        self.counters.count("transactions_ended", "evacuated");
        if let Some(database) = self.database(name) {
            let mut progress = self.evacuations.progress.borrow_mut();
            progress
                .entry(database.zone)
                .or_default()
                .transactions_ended += 1;
        }
    }

    fn note_connections_closed(&self, zone: &ZoneName, closed: usize) {
        let closed = u64::try_from(closed).unwrap_or(u64::MAX);
        let mut progress = self.evacuations.progress.borrow_mut();
        progress.entry(zone.clone()).or_default().connections_closed += closed;
    }
}

/// Closes idle connections in zones under evacuation, ends the remaining use once a zone is
/// evacuated, and logs the progress. Called periodically.
pub(crate) fn clear_evacuated_zones(node: &Rc<Node>) {
    node.end_unlisted_evacuations();
    let zones: Vec<ZoneName> = {
        let known = node.evacuations.known.borrow();
        known.requested().map(|(zone, _)| zone.clone()).collect()
    };
    for zone in zones {
        clear_zone(node, &zone);
    }
}

fn clear_zone(node: &Rc<Node>, zone: &ZoneName) {
    let evacuated = node.zone_availability(zone) == ZoneAvailability::Evacuated;
    let pools = pools_in(node, zone);
    for pool in &pools {
        if evacuated || !node.leads(pool.database()) {
            let closed = pool.close_idle();
            node.note_connections_closed(zone, closed);
        }
        if evacuated {
            pool.fail_waiters();
        }
    }
    let connections = pools.iter().map(|pool| pool.in_use()).sum();
    if evacuated && connections > 0 {
        // Wakes sessions that are idle in a transaction, so that they end it.
        node.stop_advanced.notify_waiters();
    }
    if check_is_due(node, zone) {
        let primaries = primaries_in(node, zone);
        let used = ZoneUse {
            connections,
            primaries,
        };
        log_progress(node, zone, evacuated, &used);
    }
}

fn check_is_due(node: &Rc<Node>, zone: &ZoneName) -> bool {
    let now = node.now();
    let mut all = node.evacuations.progress.borrow_mut();
    let progress = all.entry(zone.clone()).or_default();
    let due = now.since(progress.checked_at) >= CHECK_INTERVAL;
    if due {
        progress.checked_at = now;
    }
    due
}

fn pools_in(node: &Rc<Node>, zone: &ZoneName) -> Vec<Rc<Pool>> {
    let directory = node.directory.borrow();
    let in_zone = |pool: &Rc<Pool>| {
        let listed = directory.get(pool.database());
        listed.is_some_and(|listed| listed.database.zone == *zone)
    };
    node.pools().into_iter().filter(in_zone).collect()
}

/// Returns the groups whose known primary is in the zone.
fn primaries_in(node: &Rc<Node>, zone: &ZoneName) -> Vec<GroupName> {
    let directory = node.directory.borrow();
    let in_zone = |group: &GroupName| {
        let leader = node.leader(group);
        let listed = leader.and_then(|leader| directory.get(&leader));
        listed.is_some_and(|listed| listed.database.zone == *zone)
    };
    let groups = node.configured_groups();
    groups.into_iter().filter(in_zone).collect()
}

/// Logs once that this node uses nothing in the zone any more, or, while the zone counts as
/// evacuated, periodically what it still uses.
fn log_progress(node: &Rc<Node>, zone: &ZoneName, evacuated: bool, used: &ZoneUse) {
    let now = node.now();
    let age = node.evacuation_age(zone).map(millis);
    let mut all = node.evacuations.progress.borrow_mut();
    let progress = all.entry(zone.clone()).or_default();
    if used.is_empty() && !progress.empty_logged {
        progress.empty_logged = true;
        let fields = [
            ("zone", zone.as_str().into()),
            ("age_ms", age.into()),
            ("connections_closed", progress.connections_closed.into()),
            ("transactions_ended", progress.transactions_ended.into()),
        ];
        drop(all);
        node.log("zone_emptied", &fields);
        return;
    }
    let logged_lately = progress
        .in_use_logged_at
        .is_some_and(|logged_at| now.since(logged_at) < IN_USE_LOG_INTERVAL);
    if !evacuated || used.is_empty() || logged_lately {
        return;
    }
    progress.in_use_logged_at = Some(now);
    progress.empty_logged = false;
    drop(all);
    let primaries: Vec<&str> = used.primaries.iter().map(GroupName::as_str).collect();
    node.log(
        "zone_in_use",
        &[
            ("zone", zone.as_str().into()),
            ("age_ms", age.into()),
            ("connections", used.connections.into()),
            ("primaries", primaries.into()),
        ],
    );
}
