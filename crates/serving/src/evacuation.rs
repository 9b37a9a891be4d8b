//! Zones whose databases are to get nothing any more, as this node carries that out.
//!
//! From when a request is heard, statements go to a database of the zone only if it leads its
//! group. Once the request has been known for its limit, the zone's databases are shut: nothing
//! at all is sent to them, connections at rest are closed, and transactions that are still open
//! there are ended.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::evacuation::ZoneStanding;
use hookpoint_coordination::serving::feed::share_of;
use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp, ZoneName};

use crate::node::Node;
use crate::pool::Pool;
use crate::units::millis;
use crate::zone_evacuations::Progress;

/// Time after the end of an evacuation over which the nodes turn back to the zone one after
/// another: its databases may have lost what they held in memory, and all nodes at once would
/// ask for it at once.
const RETURN_TIME: Duration = Duration::from_secs(8);
/// Time that a statement may be on its way to a database: across regions, through another node,
/// and in the queue of a slow link.
const LAST_STATEMENT: Duration = Duration::from_millis(300);
/// Pause between two looks at what is still in use in a zone.
const LOOK: Duration = Duration::from_millis(200);
/// Pause between two lines on what is still in use in an evacuated zone.
const STILL_USED_TOLD: Duration = Duration::from_secs(5);

/// What of this node's is still in use in a zone.
struct Use {
    connections: usize,
    primaries: Vec<GroupName>,
}

impl Use {
    fn is_none(&self) -> bool {
        self.connections == 0 && self.primaries.is_empty()
    }
}

impl Node {
    /// What the databases of a zone may be used for at the moment.
    pub(crate) fn zone_standing(&self, zone: &ZoneName) -> ZoneStanding {
        let known = self.evacuations.known.borrow();
        if known.is_empty() {
            return ZoneStanding::Open;
        }
        let limit = self.changeable().evacuation_limit;
        let own_share = || share_of(&self.settings.name, RETURN_TIME);
        let return_time = self.evacuations.return_time.get_or_init(own_share);
        known.standing(zone, limit, *return_time, self.now())
    }

    /// The same for the zone of a database.
    pub(crate) fn zone_standing_of(&self, name: &DatabaseName) -> ZoneStanding {
        if self.evacuations.known.borrow().is_empty() {
            return ZoneStanding::Open;
        }
        let directory = self.directory.borrow();
        directory.get(name).map_or(ZoneStanding::Open, |listed| {
            self.zone_standing(&listed.database.zone)
        })
    }

    /// Whether nothing at all may be sent to a database.
    pub(crate) fn is_shut(&self, name: &DatabaseName) -> bool {
        self.zone_standing_of(name) == ZoneStanding::Evacuated
    }

    /// Whether nothing may be sent to any database of a group.
    pub(crate) fn all_shut(&self, group: &GroupName) -> bool {
        if self.evacuations.known.borrow().is_empty() {
            return false;
        }
        let directory = self.directory.borrow();
        let mut databases = directory.of_group(group);
        databases.all(|listed| self.zone_standing(&listed.database.zone) == ZoneStanding::Evacuated)
    }

    /// Whether statements may still be sent to a database. In a zone that is being evacuated
    /// only primaries get any, until they have handed over.
    pub fn may_serve(&self, name: &DatabaseName) -> bool {
        let directory = self.directory.borrow();
        let Some(listed) = directory.get(name) else {
            return false;
        };
        let zone_allows = match self.zone_standing(&listed.database.zone) {
            ZoneStanding::Open | ZoneStanding::Returning => true,
            ZoneStanding::Evacuating => self.leads(name),
            ZoneStanding::Evacuated => false,
        };
        zone_allows && self.takes_new_work(listed)
    }

    /// The primary known of a group, if it is shut.
    pub(crate) fn shut_leader(&self, group: &GroupName) -> Option<DatabaseName> {
        self.leader(group).filter(|leader| self.is_shut(leader))
    }

    /// What is known of evacuations: each zone, whether it is being evacuated, and the revision
    /// that says so.
    pub(crate) fn known_evacuations(&self) -> Vec<(ZoneName, bool, StoreRevision)> {
        let known = self.evacuations.known.borrow();
        known
            .known()
            .map(|(zone, requested, revision)| (zone.clone(), requested, revision))
            .collect()
    }

    /// How long the request for a zone has been known, if it is in force.
    pub(crate) fn evacuation_age(&self, zone: &ZoneName) -> Option<Duration> {
        self.evacuations.known.borrow().age(zone, self.now())
    }

    /// Takes a request, or its end, unless what is known is as new.
    pub(crate) fn take_evacuation(
        &self,
        zone: &ZoneName,
        requested: bool,
        revision: StoreRevision,
    ) {
        let since = self.evacuation_heard_at();
        let mut known = self.evacuations.known.borrow_mut();
        let changed = known.take(zone, requested, revision, since);
        drop(known);
        if changed {
            self.note_evacuation(zone, requested, revision);
        }
    }

    /// Takes the requests of a complete listing read at `revision`; those that it lacks have
    /// ended.
    pub(crate) fn take_evacuations(
        &self,
        listed: &[(ZoneName, StoreRevision)],
        revision: StoreRevision,
    ) {
        let since = self.evacuation_heard_at();
        let mut known = self.evacuations.known.borrow_mut();
        let changed = known.replace(listed, revision, since);
        drop(known);
        for zone in changed {
            let requested = listed.iter().any(|(present, _)| *present == zone);
            self.note_evacuation(&zone, requested, revision);
        }
    }

    /// Ends the requests that the store lost as it came back from a copy and that nobody wrote
    /// again.
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

    /// From when the time of a request counts that is heard now. It is at most as old as the
    /// news before, and one that took longer to be heard than it should has less time left. One
    /// that a starting node finds may be of any age, and the node has nothing open there that
    /// would need time to end.
    fn evacuation_heard_at(&self) -> Timestamp {
        let hearing = self.hearing();
        let limit = self.changeable().evacuation_limit;
        let in_time = limit.saturating_sub(LAST_STATEMENT);
        hearing.at.min(hearing.not_before + in_time)
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

    /// Notes that a caller's transaction was ended because its database is shut.
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

/// Closes what is open in evacuated zones and not in use, has the rest end, and tells how far
/// that is. To be called every moment.
pub(crate) fn clear_zones(node: &Rc<Node>) {
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
    let shut = node.zone_standing(zone) == ZoneStanding::Evacuated;
    let pools = pools_in(node, zone);
    for pool in &pools {
        if shut || !node.leads(pool.database()) {
            let closed = pool.close_idle();
            node.note_connections_closed(zone, closed);
        }
        if shut {
            pool.dismiss_waiters();
        }
    }
    let connections = pools.iter().map(|pool| pool.in_use()).sum();
    if shut && connections > 0 {
        // Sessions that rest inside a transaction find that it has to end.
        node.stop_advanced.notify_waiters();
    }
    if look_is_due(node, zone) {
        let primaries = primaries_in(node, zone);
        let used = Use {
            connections,
            primaries,
        };
        tell(node, zone, shut, &used);
    }
}

fn look_is_due(node: &Rc<Node>, zone: &ZoneName) -> bool {
    let now = node.now();
    let mut all = node.evacuations.progress.borrow_mut();
    let progress = all.entry(zone.clone()).or_default();
    let due = now.since(progress.looked_at) >= LOOK;
    if due {
        progress.looked_at = now;
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

/// Groups whose primary, as far as this node knows, is in the zone.
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

/// Logs once that this node uses nothing of the zone any more, or, while the zone is shut, now
/// and then what it still uses.
fn tell(node: &Rc<Node>, zone: &ZoneName, shut: bool, used: &Use) {
    let now = node.now();
    let age = node.evacuation_age(zone).map(millis);
    let mut all = node.evacuations.progress.borrow_mut();
    let progress = all.entry(zone.clone()).or_default();
    if used.is_none() && !progress.told_empty {
        progress.told_empty = true;
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
    let told_lately = progress
        .told_used_at
        .is_some_and(|told_at| now.since(told_at) < STILL_USED_TOLD);
    if !shut || used.is_none() || told_lately {
        return;
    }
    progress.told_used_at = Some(now);
    progress.told_empty = false;
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
