//! Follows the state store: applies changes of the configuration, the databases and the nodes' own
//! records.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::coordinator::CoordinatorRecord;
use hookpoint_coordination::serving::directory::Database;
use hookpoint_coordination::serving::store_freshness::{WatchAnswer, watch_timeout};
use hookpoint_state::{DatabaseName, StoreRevision, Timestamp, ZoneName};
use tokio::time::{sleep, timeout};

use crate::coordinator_record;
use crate::departures;
use crate::feed::{self, Followed};
use crate::node::{ListedAnnouncement, Node};
use crate::ports::{
    ChangeSubject, LeaseId, ReadFreshness, StoreChange, StoreChanges, StoreError, StoreRecord,
};
use crate::primary_lease::Announcement;
use crate::records::{
    MemberRecord, PROMOTION_PREFIX, PromotionRecord, decode, decode_promotion, is_coordinator_key,
    member_name, settled_era,
};
use crate::registration;
use crate::snapshot;
use crate::start;

/// Pause after a watch that returned changes, so that changes of the next moment arrive together.
const GATHER_PAUSE: Duration = Duration::from_millis(40);
/// The same pause if only members joined or left: many do so at once, and nothing waits for it.
const MEMBER_GATHER_PAUSE: Duration = Duration::from_millis(250);
/// How long a node without any information waits for the store before it asks its peers.
const ASK_PEERS_AFTER: Duration = Duration::from_millis(250);
/// Pause after the first failed call; doubles with each further failure.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Upper bound of that pause for a node that others follow, or that has no configuration yet.
const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Upper bound of that pause for a node that receives changes from other nodes once they reach the
/// store.
const MAX_PAUSE_FOLLOWING: Duration = Duration::from_millis(1_200);
/// Number of consecutive failures after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 8;
/// Databases that have been missing for this long are removed from the directory.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Pause of a starting node without upstreams before it watches the store. The nodes that start
/// with it register meanwhile, so one watch reports all of them.
const START_GATHER_PAUSE: Duration = Duration::from_millis(120);

/// Follows the store until the node shuts down.
pub async fn follow(node: Rc<Node>) {
    loop {
        let starts = node.configuration().is_none();
        let Some(mut revision) = load_listing(&node).await else {
            sleep(retry_pause(&node)).await;
            continue;
        };
        if starts && feed::is_region_watcher(&node) {
            sleep(START_GATHER_PAUSE).await;
        }
        while let Some(next) = follow_once(&node, revision).await {
            revision = next;
        }
    }
}

/// Applies a complete listing: from a peer, if this node is starting and others are starting or
/// running, or else from the store. Returns the revision to continue from.
async fn load_listing(node: &Rc<Node>) -> Option<StoreRevision> {
    if node.configuration().is_none()
        && let Some(everything) = start::load_from_peers(node).await
    {
        note_reachable(node, true, "peer");
        node.counters.count("store_followed", "peer_at_start");
        return Some(apply_listing(node, everything, true));
    }
    read_listing(node, listing_freshness(node)).await
}

/// Returns how long to wait after a failed call to the store. An outage affects all nodes at once,
/// and refused calls cost as much as others.
fn retry_pause(node: &Rc<Node>) -> Duration {
    let failures = node.feed.failures().saturating_sub(1).min(MAX_DOUBLINGS);
    let waits_for_others = node.configuration().is_some() && !feed::is_region_watcher(node);
    let longest = if waits_for_others {
        MAX_PAUSE_FOLLOWING
    } else {
        MAX_PAUSE
    };
    (RETRY_PAUSE * (1 << failures)).min(longest)
}

/// Reads and applies a complete listing. Returns its revision, or `None` if the store did not
/// answer.
async fn read_listing(node: &Rc<Node>, freshness: ReadFreshness) -> Option<StoreRevision> {
    let asked_at = node.now();
    match read_or_ask_peers(node, freshness).await {
        Ok(all) => {
            note_reachable(node, true, "read");
            node.feed.note_answered();
            node.store_steady_since.set(node.now());
            note_era(node, &all);
            let present = freshness == ReadFreshness::Current;
            if present {
                node.feed.note_store_report(asked_at, asked_at);
            }
            Some(apply_listing(node, all, present))
        }
        Err(error) => {
            note_store_error(node, &error);
            snapshot::fetch(node).await;
            None
        }
    }
}

/// Applies a complete listing of the store in its present state or an older one. Returns the
/// revision to continue from.
fn apply_listing(node: &Rc<Node>, all: StoreChanges, present: bool) -> StoreRevision {
    let revision = all.revision;
    let known = node.feed.revision();
    if revision.era() < known.era() {
        node.counters.count("store_followed", "earlier_era");
        return known;
    }
    note_era(node, &all);
    node.log(
        "store_listed",
        &[
            ("revision", revision.to_string().into()),
            ("known", known.to_string().into()),
            ("present", present.into()),
        ],
    );
    if present {
        node.own_record_revision.set(None);
    }
    node.feed.record_listing(&all);
    export_position(node, revision);
    apply_all(node, all);
    node.note_promotions_known(revision);
    revision
}

/// Records the era of a listing that is about to be applied. A store that was restored from a copy
/// lacks the most recent writes; a record missing from it proves nothing until those have been
/// written again.
fn note_era(node: &Rc<Node>, all: &StoreChanges) {
    let listed = all.revision;
    let known_era = node.store_era.get();
    if known_era.is_some_and(|known| known >= listed.era()) {
        return;
    }
    coordinator_record::note_era(node, listed.era());
    node.store_era.set(Some(listed.era()));
    let fleet_is_new = known_era.is_none() && node.settings.first_start;
    if !fleet_is_new {
        node.feed.note_era(node.now());
    }
    if marks_era_settled(all) {
        coordinator_record::note_settled_era(node, listed.era());
    }
    if known_era.is_none() {
        return;
    }
    node.store_steady_since.set(node.now());
    node.counters.count("store_followed", "restored");
    node.log(
        "store_restored",
        &[
            ("revision", listed.to_string().into()),
            ("known", node.feed.revision().to_string().into()),
        ],
    );
}

/// Returns whether a listing states that its era has settled.
fn marks_era_settled(all: &StoreChanges) -> bool {
    all.changes.iter().any(|change| match &change.record {
        StoreRecord::Fleet { key, .. } => settled_era(key) == Some(all.revision.era()),
        _ => false,
    })
}

fn export_position(node: &Rc<Node>, revision: StoreRevision) {
    let (era, number) = revision.parts();
    node.counters.set("store_era", era.number());
    node.counters.set("store_revision", number);
}

/// Returns the freshness required of a listing. A starting node accepts one that may be old and
/// catches up from its revision: it has made no commitments yet that an older configuration could
/// break.
fn listing_freshness(node: &Rc<Node>) -> ReadFreshness {
    if node.configuration().is_none() {
        ReadFreshness::Stale
    } else {
        ReadFreshness::Current
    }
}

/// Reads the store. If that takes long, a node without any information asks its peers while the
/// read continues.
async fn read_or_ask_peers(
    node: &Rc<Node>,
    freshness: ReadFreshness,
) -> Result<StoreChanges, StoreError> {
    let mut reading = node.store.read_all(freshness);
    if node.configuration().is_none() {
        if let Ok(outcome) = timeout(ASK_PEERS_AFTER, &mut reading).await {
            return outcome;
        }
        tokio::select! {
            outcome = &mut reading => return outcome,
            () = snapshot::fetch(node) => {}
        }
    }
    reading.await
}

/// Performs one step of following the store, through an upstream or by a watch of this node's own.
/// Returns the revision to continue from, or `None` if everything must be read again.
async fn follow_once(node: &Rc<Node>, revision: StoreRevision) -> Option<StoreRevision> {
    if feed::watches_store(node) {
        return watch_once(node, revision).await;
    }
    let followed = feed::follow_upstream(node, revision).await;
    if let Some(next) = apply_followed(node, followed, revision) {
        return Some(next);
    }
    if feed::should_try_store(node) {
        return watch_once(node, revision).await;
    }
    pause_search(node).await;
    Some(revision)
}

/// Applies the result of asking the upstreams. Returns the revision to continue from, or `None` if
/// no upstream reported anything newer.
fn apply_followed(
    node: &Rc<Node>,
    followed: Followed,
    revision: StoreRevision,
) -> Option<StoreRevision> {
    match followed {
        Followed::Changes(changes) => {
            note_reachable(node, true, "peer");
            Some(apply_changes(node, changes, revision))
        }
        Followed::Listing(all) => {
            note_reachable(node, true, "peer");
            node.counters.count("store_followed", "peer_everything");
            Some(apply_listing(node, all, true))
        }
        Followed::Nothing => None,
    }
}

/// Pauses before upstreams that reported nothing newer are asked again.
async fn pause_search(node: &Rc<Node>) {
    if !feed::is_fresh(node) {
        note_reachable(node, false, "no upstream reaches the store");
    }
    sleep(node.feed.search_pause(node.now())).await;
}

/// Applies changes and makes them available to followers. Returns the revision to continue from.
fn apply_changes(node: &Rc<Node>, changes: StoreChanges, revision: StoreRevision) -> StoreRevision {
    let next = changes.revision.max(revision);
    for change in changes.changes {
        node.feed.record(&change);
        apply(node, change);
    }
    node.feed.advance(next);
    export_position(node, next);
    node.note_promotions_known(next);
    housekeeping(node);
    next
}

/// Performs one watch. Returns the revision to continue from, or `None` if everything must be read
/// again.
async fn watch_once(node: &Rc<Node>, revision: StoreRevision) -> Option<StoreRevision> {
    let wait = feed::watch_wait(node);
    let asked_at = node.now();
    let mut watch = node.store.watch(revision, wait);
    let outcome = match timeout(watch_timeout(wait), &mut watch).await {
        Ok(outcome) => outcome,
        Err(_) => match await_late_watch(node, watch, revision).await {
            LateWatch::Answered(outcome) => outcome,
            LateWatch::NotNeeded { next } => return Some(next),
        },
    };
    match outcome {
        Ok(changes) => Some(apply_watch_answer(node, changes, revision, asked_at, wait).await),
        Err(StoreError::Compacted) => None,
        Err(error) => {
            note_store_error(node, &error);
            sleep(pause_after_failed_watch(node)).await;
            matches!(error, StoreError::NoAnswer(_) | StoreError::Refused(_)).then_some(revision)
        }
    }
}

/// Returns how long to wait after a failed watch before upstreams are asked again.
fn pause_after_failed_watch(node: &Rc<Node>) -> Duration {
    if feed::is_region_watcher(node) {
        retry_pause(node)
    } else {
        node.feed.search_pause(node.now())
    }
}

/// The result of a watch whose answer was overdue.
enum LateWatch {
    /// The watch was answered after all, or it failed.
    Answered(Result<StoreChanges, StoreError>),
    /// An upstream reported newer changes first.
    NotNeeded {
        /// The revision to continue from.
        next: StoreRevision,
    },
}

/// Follows upstreams while the answer to a watch is overdue. The store may be unresponsive, or a
/// large answer may be in transit; abandoning the watch would only cause the answer to be
/// requested again.
async fn await_late_watch(
    node: &Rc<Node>,
    watch: impl Future<Output = Result<StoreChanges, StoreError>>,
    revision: StoreRevision,
) -> LateWatch {
    node.counters.count("store_followed", "store_late");
    node.feed.note_rejected(node.now());
    let following = async {
        loop {
            let followed = feed::follow_upstream(node, revision).await;
            if let Some(next) = apply_followed(node, followed, revision) {
                return next;
            }
            pause_search(node).await;
        }
    };
    tokio::select! {
        outcome = watch => LateWatch::Answered(outcome),
        next = following => LateWatch::NotNeeded { next },
    }
}

/// Applies the answer to a watch that was sent at `asked_at` with the wait time `wait`. Returns
/// the revision to continue from.
async fn apply_watch_answer(
    node: &Rc<Node>,
    changes: StoreChanges,
    revision: StoreRevision,
    asked_at: Timestamp,
    wait: Duration,
) -> StoreRevision {
    note_reachable(node, true, "watch");
    let answer = WatchAnswer {
        asked_at,
        wait,
        changed: !changes.changes.is_empty(),
        read_at: node.now(),
    };
    let pause = gather_pause(&changes.changes);
    node.feed
        .note_store_report(answer.known_at(), answer.covered());
    let next = apply_changes(node, changes, revision);
    if let Some(pause) = pause {
        sleep(pause).await;
    }
    next
}

/// Returns how long to wait for further changes after these, or `None` if there were none.
fn gather_pause(changes: &[StoreChange]) -> Option<Duration> {
    let of_member = |change: &StoreChange| match &change.record {
        StoreRecord::Fleet { key, .. } => member_name(key).is_some(),
        _ => false,
    };
    if changes.is_empty() {
        return None;
    }
    let only_members = changes.iter().all(of_member);
    Some(if only_members {
        MEMBER_GATHER_PAUSE
    } else {
        GATHER_PAUSE
    })
}

fn note_store_error(node: &Rc<Node>, error: &StoreError) {
    node.counters.count("store_followed", "store_failed");
    node.feed.note_rejected(node.now());
    note_reachable(node, false, &error.to_string());
}

pub(crate) fn note_reachable(node: &Rc<Node>, reachable: bool, detail: &str) {
    if reachable {
        node.store_answered_at.set(node.now());
    }
    if node.store_reachable.replace(reachable) == reachable {
        return;
    }
    node.store_steady_since.set(node.now());
    let event = if reachable {
        "dependency_regained"
    } else {
        "dependency_lost"
    };
    node.log(
        event,
        &[("dependency", "store".into()), ("detail", detail.into())],
    );
}

fn apply_all(node: &Rc<Node>, all: StoreChanges) {
    // Applied before the configuration: a zone that a starting node finds evacuated may have been
    // so for long.
    node.apply_evacuation_listing(&requested_evacuations(&all), all.revision);
    let mut databases = Vec::new();
    let mut members = BTreeSet::new();
    let mut coordinated = false;
    node.forget_listed_announcements();
    for change in all.changes {
        match change.record {
            StoreRecord::Evacuation { .. } => {}
            StoreRecord::Database(database) => databases.push((database, change.revision)),
            StoreRecord::Fleet { ref key, .. } => {
                members.extend(member_name(key).map(str::to_owned));
                coordinated |= is_coordinator_key(key, all.revision.era());
                apply(node, change);
            }
            _ => apply(node, change),
        }
    }
    node.register_databases(databases, all.revision);
    forget_absent_members(node, &members);
    if !coordinated {
        node.coordinator.borrow_mut().forget_record();
    }
    node.homes.borrow_mut().forget_views();
    housekeeping(node);
}

/// Returns the evacuation requests in a complete listing, with their revisions.
fn requested_evacuations(all: &StoreChanges) -> Vec<(ZoneName, StoreRevision)> {
    let requested = |change: &StoreChange| match &change.record {
        StoreRecord::Evacuation {
            zone,
            requested: true,
        } => Some((zone.clone(), change.revision)),
        _ => None,
    };
    all.changes.iter().filter_map(requested).collect()
}

fn forget_absent_members(node: &Rc<Node>, present: &BTreeSet<String>) {
    let absent: Vec<String> = {
        let members = node.members.borrow();
        let names = members.keys();
        names
            .filter(|name| !present.contains(*name))
            .cloned()
            .collect()
    };
    for name in absent {
        node.note_member_gone(&name);
    }
}

fn apply(node: &Rc<Node>, change: StoreChange) {
    match change.record {
        StoreRecord::Configuration(configuration) => node.take_configuration(configuration),
        StoreRecord::Database(database) => {
            let name = database.name.clone();
            let draining = database.draining;
            forget_homes_if_moved(node, &database);
            node.register_database(database, change.revision);
            node.log(
                "database_changed",
                &[
                    ("database", name.as_str().into()),
                    ("draining", draining.into()),
                ],
            );
        }
        StoreRecord::DatabaseRemoved(name) => remove_database(node, &name, change.revision),
        StoreRecord::Evacuation { zone, requested } => {
            node.apply_evacuation(&zone, requested, change.revision);
        }
        StoreRecord::Unreadable { subject, reason } => {
            node.counters.count("store_records", "unreadable");
            node.log("record_unreadable", &[("detail", reason.into())]);
            if let ChangeSubject::Database(name) = subject {
                remove_database(node, &name, change.revision);
            }
        }
        StoreRecord::Fleet { key, value, lease } => {
            apply_fleet_record(node, &key, value.as_deref(), lease, change.revision);
        }
    }
}

/// Discards the computed homes of a database if its zone or group changed. They do not depend on
/// its state or role.
fn forget_homes_if_moved(node: &Rc<Node>, database: &Database) {
    let stayed = node
        .database(&database.name)
        .is_some_and(|known| known.zone == database.zone && known.group == database.group);
    if !stayed {
        node.homes.borrow_mut().forget_view(&database.name);
    }
}

fn remove_database(node: &Rc<Node>, name: &DatabaseName, revision: StoreRevision) {
    node.remove_database(name, revision);
    node.log("database_missing", &[("database", name.as_str().into())]);
}

fn apply_fleet_record(
    node: &Rc<Node>,
    key: &str,
    value: Option<&[u8]>,
    lease: Option<LeaseId>,
    revision: StoreRevision,
) {
    if let Some(name) = member_name(key) {
        let record = value.and_then(decode);
        if *name == node.settings.name {
            // A record that cannot be decoded is not this node's, and is written again.
            let own_revision = record.as_ref().map(|_| revision);
            node.own_record_revision.set(own_revision);
            let matches_own = record == Some(registration::own_member_record(node));
            node.lease_found.set(lease.filter(|_| matches_own));
        }
        apply_member(node, name, record);
    } else if is_current_coordinator_key(node, key) {
        let record: Option<CoordinatorRecord> = value.and_then(decode);
        let mut view = node.coordinator.borrow_mut();
        match record {
            None if value.is_some() => view.take_unreadable(revision),
            record => view.take_record(revision, record),
        }
    } else if let Some(era) = settled_era(key) {
        coordinator_record::note_settled_era(node, era);
    } else if key.starts_with(PROMOTION_PREFIX) {
        apply_promotion(node, value.and_then(decode_promotion), revision);
    }
}

/// Returns whether a key is that of the coordinator record in the store's present era, regardless
/// of the era of the listing that contains it.
fn is_current_coordinator_key(node: &Node, key: &str) -> bool {
    let era = node.store_era.get();
    era.is_some_and(|era| is_coordinator_key(key, era))
}

fn apply_member(node: &Rc<Node>, name: &str, record: Option<MemberRecord>) {
    match record {
        Some(record) if record.node == name => node.register_member(record),
        Some(_) => node.counters.count("store_records", "unreadable"),
        None => node.note_member_gone(name),
    }
}

fn apply_promotion(node: &Rc<Node>, record: Option<PromotionRecord>, revision: StoreRevision) {
    let Some(record) = record else {
        return;
    };
    let token = record.fencing_token;
    node.with_group(&record.group, |state| {
        state.announcement_listed = Some(ListedAnnouncement { token, revision });
    });
    node.learn_promotion(&Announcement {
        group: record.group,
        candidate: record.candidate,
        token,
        revision,
        withheld: record.withheld,
    });
}

fn housekeeping(node: &Rc<Node>) {
    node.directory
        .borrow_mut()
        .confirm_restored_entries(node.now());
    let before = node.now() - FORGET_AFTER;
    let forgotten = node.directory.borrow_mut().forget_missing(before);
    departures::ask_about_late_departures(node);
    if !forgotten.is_empty() {
        node.drop_unlisted_pools();
    }
}
