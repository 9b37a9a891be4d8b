//! Follows the state store: configuration, databases, members and the fleet's records.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::coordinator::CoordinatorRecord;
use hookpoint_coordination::serving::directory::Database;
use hookpoint_state::{DatabaseName, ZoneName};
use tokio::time::{sleep, timeout};

use crate::feed::{self, Followed};
use crate::node::{Member, Node};
use crate::ports::{
    ChangeSubject, LeaseId, ReadFreshness, StoreChange, StoreChanges, StoreError, StoreRecord,
};
use crate::primary_lease::Announcement;
use crate::records::{
    COORDINATOR_KEY, MEMBER_PREFIX, MemberRecord, PROMOTION_PREFIX, PromotionRecord, decode,
};
use crate::registration;
use crate::snapshot;

/// Pause after a watch that told of changes: those of the next moment come together.
const GATHER: Duration = Duration::from_millis(40);
/// The same where only nodes came or went: many do at once, and nothing waits for that.
const GATHER_MEMBERS: Duration = Duration::from_millis(250);
/// How long a node that knows nothing waits for the store before it asks its peers.
const PATIENCE: Duration = Duration::from_millis(250);
/// Pause after the first failed call; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause of a node that others follow, or that has no configuration yet.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause of a node that hears of changes from others once they reach the store.
const LONGEST_PAUSE_FOLLOWING: Duration = Duration::from_millis(1_200);
/// Failures in a row beyond which the pause no longer doubles.
const MOST_DOUBLINGS: u32 = 8;
/// Databases that are missing for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Pause of a node that starts and knows nobody to follow, before it watches the store: the
/// others that start with it register meanwhile, so one watch tells of all of them.
const GATHER_AT_START: Duration = Duration::from_millis(120);
/// Pause between listings when the whole fleet starts for the first time. That is long before
/// it has callers, so a node can wait for a cheap listing that tells of the others.
const FIRST_START_PAUSE: Duration = Duration::from_millis(1_000);
/// Such listings at the most: a listing may be seconds old.
const FIRST_START_LISTINGS: u32 = 4;
/// Time between two tries of a region's followers to reach a store that their upstreams do
/// not reach: the upstreams try all the time, and refused calls cost as much as others.
const OWN_TRY_SPACING: Duration = Duration::from_millis(200);
/// Longest time between two such tries of one node. The store may turn away just the
/// upstreams, and configurations have to be in force within a few seconds.
const LONGEST_OWN_TRY_PERIOD: Duration = Duration::from_millis(3_000);
/// Pause before upstreams that do not reach the store are asked again.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(500);

/// Follows the store for as long as the node lives.
pub async fn follow(node: Rc<Node>) {
    loop {
        let starts = node.configuration().is_none();
        let Some(mut revision) = read_everything(&node, listing_freshness(&node)).await else {
            sleep(retry_pause(&node)).await;
            continue;
        };
        if starts && node.settings.first_start {
            revision = read_until_others_are_known(&node, revision).await;
        } else if starts && feed::is_watcher(&node) {
            sleep(GATHER_AT_START).await;
        }
        while let Some(next) = follow_once(&node, revision).await {
            revision = next;
        }
    }
}

/// Takes listings until this node knows whom to follow, or finds itself among those listed
/// and so is the one to watch. Returns the revision of the last one.
async fn read_until_others_are_known(node: &Rc<Node>, revision: u64) -> u64 {
    let mut newest = revision;
    for _ in 0..FIRST_START_LISTINGS {
        if !feed::is_watcher(node) || node.own_record_revision.get() > 0 {
            break;
        }
        sleep(FIRST_START_PAUSE).await;
        let read = read_everything(node, ReadFreshness::MayBeOld).await;
        newest = read.unwrap_or(newest);
    }
    newest
}

/// How long to wait after a call to the store that failed. An outage concerns all nodes at
/// once, and refused calls cost as much as others.
fn retry_pause(node: &Rc<Node>) -> Duration {
    let failures = node.feed.failures().saturating_sub(1).min(MOST_DOUBLINGS);
    let waits_for_others = node.configuration().is_some() && !feed::is_watcher(node);
    let longest = if waits_for_others {
        LONGEST_PAUSE_FOLLOWING
    } else {
        LONGEST_PAUSE
    };
    (RETRY_PAUSE * (1 << failures)).min(longest)
}

/// Takes a listing of everything. Returns its revision; nothing if the store did not answer.
async fn read_everything(node: &Rc<Node>, freshness: ReadFreshness) -> Option<u64> {
    match read_or_ask_peers(node, freshness).await {
        Ok(all) => {
            note_reachable(node, true, "read");
            node.store_steady_since.set(node.now());
            let present = freshness == ReadFreshness::Present;
            let revision = take_everything(node, all, present);
            if present {
                node.feed.note_verified(node.now());
            }
            Some(revision)
        }
        Err(error) => {
            note_store_error(node, &error);
            snapshot::fetch(node).await;
            None
        }
    }
}

/// Takes in everything that the store holds, in its present state or an older one. Returns the
/// revision to go on from.
fn take_everything(node: &Rc<Node>, all: StoreChanges, present: bool) -> u64 {
    let revision = all.revision;
    if present {
        node.own_record_revision.set(0);
    }
    node.feed.restart(&all);
    apply_all(node, all);
    node.note_promotions_known(revision);
    revision
}

/// A node that starts takes a listing that may be old, and catches up from its revision on;
/// it has promised nothing yet that an older configuration could break.
fn listing_freshness(node: &Rc<Node>) -> ReadFreshness {
    if node.configuration().is_none() {
        ReadFreshness::MayBeOld
    } else {
        ReadFreshness::Present
    }
}

/// Reads the store. A node that knows nothing yet asks its peers when that takes long, while
/// it goes on reading.
async fn read_or_ask_peers(
    node: &Rc<Node>,
    freshness: ReadFreshness,
) -> Result<StoreChanges, StoreError> {
    let mut reading = node.store.read_all(freshness);
    if node.configuration().is_none() {
        if let Ok(outcome) = timeout(PATIENCE, &mut reading).await {
            return outcome;
        }
        tokio::select! {
            outcome = &mut reading => return outcome,
            () = snapshot::fetch(node) => {}
        }
    }
    reading.await
}

/// Follows the store for a moment, through an upstream or by a watch of this node's
/// own. Returns the revision to go on from, or nothing if all is to be read again.
async fn follow_once(node: &Rc<Node>, revision: u64) -> Option<u64> {
    match feed::follow_upstream(node, revision).await {
        Followed::Changes(changes) => {
            note_reachable(node, true, "peer");
            node.feed.note_served(false);
            Some(take_changes(node, changes, revision))
        }
        Followed::Everything(all) => {
            note_reachable(node, true, "peer");
            node.feed.note_served(false);
            node.counters.count("store_followed", "peer_everything");
            Some(take_everything(node, all, true))
        }
        Followed::StoreLost if !own_try_is_due(node) => {
            note_reachable(node, false, "upstreams do not reach it");
            sleep(UPSTREAM_PAUSE).await;
            Some(revision)
        }
        Followed::StoreLost | Followed::Nobody => watch_once(node, revision).await,
    }
}

/// Whether this node tries the store itself though its upstreams do not reach it. A watcher
/// always does; the other nodes of a region take turns.
fn own_try_is_due(node: &Rc<Node>) -> bool {
    if feed::is_watcher(node) {
        return true;
    }
    let nodes = u32::try_from(feed::nodes_in_region(node)).unwrap_or(u32::MAX);
    let period = OWN_TRY_SPACING
        .saturating_mul(nodes)
        .clamp(LONGEST_PAUSE_FOLLOWING, LONGEST_OWN_TRY_PERIOD);
    node.feed.take_turn(&node.settings.name, period, node.now())
}

/// Takes changes in and passes them on. Returns the revision to go on from.
fn take_changes(node: &Rc<Node>, changes: StoreChanges, revision: u64) -> u64 {
    let next = changes.revision.max(revision);
    for change in changes.changes {
        node.feed.record(&change);
        apply(node, change);
    }
    node.feed.advance(next);
    node.note_promotions_known(next);
    housekeeping(node);
    next
}

/// One watch. Returns the revision to go on from, or nothing if all is to be read again.
async fn watch_once(node: &Rc<Node>, revision: u64) -> Option<u64> {
    match node.store.watch(revision, feed::WATCH_WAIT).await {
        Ok(changes) => {
            note_reachable(node, true, "watch");
            node.feed.note_served(true);
            node.feed.note_verified(node.now());
            let pause = gathering_pause(&changes.changes);
            let next = take_changes(node, changes, revision);
            if let Some(pause) = pause {
                sleep(pause).await;
            }
            Some(next)
        }
        Err(StoreError::HistoryGone) => None,
        Err(error) => {
            note_store_error(node, &error);
            sleep(retry_pause(node)).await;
            matches!(error, StoreError::NoAnswer(_) | StoreError::Refused(_)).then_some(revision)
        }
    }
}

/// How long to wait for further changes after these; nothing if there were none.
fn gathering_pause(changes: &[StoreChange]) -> Option<Duration> {
    let of_member = |change: &StoreChange| match &change.record {
        StoreRecord::Own { key, .. } => key.starts_with(MEMBER_PREFIX),
        _ => false,
    };
    if changes.is_empty() {
        return None;
    }
    let only_members = changes.iter().all(of_member);
    Some(if only_members { GATHER_MEMBERS } else { GATHER })
}

fn note_store_error(node: &Rc<Node>, error: &StoreError) {
    node.counters.count("store_followed", "store_failed");
    node.feed.note_served(false);
    node.feed.note_lost();
    note_reachable(node, false, &error.to_string());
}

fn note_reachable(node: &Rc<Node>, reachable: bool, detail: &str) {
    if reachable {
        node.store_heard_at.set(node.now());
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
    let now = node.now();
    let mut databases = Vec::new();
    let mut own_keys = Vec::new();
    let mut evacuations = Vec::new();
    for change in all.changes {
        match change.record {
            StoreRecord::Evacuation {
                zone,
                requested: true,
            } => evacuations.push((zone, change.revision)),
            StoreRecord::Database(database) => databases.push((database, change.revision)),
            StoreRecord::Own { ref key, .. } => {
                own_keys.push(key.clone());
                apply(node, change);
            }
            _ => apply(node, change),
        }
    }
    node.directory
        .borrow_mut()
        .replace(databases, all.revision, now);
    take_evacuations(node, &evacuations, all.revision);
    forget_absent(node, &own_keys);
    node.homes.borrow_mut().forget_all();
    housekeeping(node);
}

fn forget_absent(node: &Rc<Node>, present: &[String]) {
    let now = node.now();
    for (name, member) in node.members.borrow_mut().iter_mut() {
        let key = format!("{MEMBER_PREFIX}{name}");
        if !present.contains(&key) {
            member.gone_at.get_or_insert(now);
        }
    }
    if !present.iter().any(|key| key == COORDINATOR_KEY) {
        node.coordinator.borrow_mut().forget_record();
    }
}

fn apply(node: &Rc<Node>, change: StoreChange) {
    let now = node.now();
    match change.record {
        StoreRecord::Configuration(configuration) => node.take_configuration(configuration),
        StoreRecord::Database(database) => {
            let name = database.name.clone();
            let draining = database.draining;
            forget_homes_if_moved(node, &database);
            node.directory
                .borrow_mut()
                .put(database, change.revision, now);
            node.log(
                "database_changed",
                &[
                    ("database", name.as_str().into()),
                    ("draining", draining.into()),
                ],
            );
        }
        StoreRecord::DatabaseGone(name) => remove_database(node, &name, change.revision),
        StoreRecord::Evacuation { zone, requested } => {
            let changed =
                node.evacuations
                    .borrow_mut()
                    .take(&zone, requested, change.revision, now);
            if changed {
                log_evacuation(node, &zone, requested, change.revision);
            }
        }
        StoreRecord::Unreadable { subject, reason } => {
            node.counters.count("store_records", "unreadable");
            node.log("record_unreadable", &[("detail", reason.into())]);
            if let ChangeSubject::Database(name) = subject {
                remove_database(node, &name, change.revision);
            }
        }
        StoreRecord::Own { key, value, lease } => {
            apply_own(node, &key, value.as_deref(), lease, change.revision);
        }
    }
}

/// Takes the requests of a complete listing read at `revision`; those that it lacks have ended.
fn take_evacuations(node: &Rc<Node>, listed: &[(ZoneName, u64)], revision: u64) {
    let mut evacuations = node.evacuations.borrow_mut();
    let changed = evacuations.replace(listed, revision, node.now());
    drop(evacuations);
    for zone in changed {
        let requested = listed.iter().any(|(present, _)| *present == zone);
        log_evacuation(node, &zone, requested, revision);
    }
}

fn log_evacuation(node: &Rc<Node>, zone: &ZoneName, requested: bool, revision: u64) {
    node.log(
        "evacuation_changed",
        &[
            ("zone", zone.as_str().into()),
            ("requested", requested.into()),
            ("revision", revision.into()),
        ],
    );
}

/// Homes depend on a database's zone and group, not on its state or role.
fn forget_homes_if_moved(node: &Rc<Node>, database: &Database) {
    let stayed = node
        .database(&database.name)
        .is_some_and(|known| known.zone == database.zone && known.group == database.group);
    if !stayed {
        node.homes.borrow_mut().forget_view(&database.name);
    }
}

fn remove_database(node: &Rc<Node>, name: &DatabaseName, revision: u64) {
    let now = node.now();
    node.directory.borrow_mut().remove(name, revision, now);
    node.log("database_missing", &[("database", name.as_str().into())]);
}

fn apply_own(
    node: &Rc<Node>,
    key: &str,
    value: Option<&[u8]>,
    lease: Option<LeaseId>,
    revision: u64,
) {
    if let Some(name) = key.strip_prefix(MEMBER_PREFIX) {
        let record = value.and_then(decode);
        if *name == node.settings.name {
            let revision = value.map_or(0, |_| revision);
            node.own_record_revision.set(revision);
            let as_now = record == Some(registration::own_record(node));
            node.lease_found.set(lease.filter(|_| as_now));
        }
        apply_member(node, name, record);
    } else if key == COORDINATOR_KEY {
        let record: Option<CoordinatorRecord> = value.and_then(decode);
        node.coordinator.borrow_mut().take_record(revision, record);
    } else if key.starts_with(PROMOTION_PREFIX) {
        apply_promotion(node, value.and_then(decode), revision);
    }
}

fn apply_member(node: &Rc<Node>, name: &str, record: Option<MemberRecord>) {
    let now = node.now();
    node.homes.borrow_mut().forget_all();
    let mut members = node.members.borrow_mut();
    match record {
        Some(record) => {
            members.insert(name.to_owned(), Member::registered(record));
        }
        None => {
            if let Some(member) = members.get_mut(name) {
                member.gone_at.get_or_insert(now);
            }
        }
    }
}

fn apply_promotion(node: &Rc<Node>, record: Option<PromotionRecord>, revision: u64) {
    if let Some(record) = record {
        node.learn_promotion(&Announcement {
            group: record.group,
            candidate: record.candidate,
            revision,
        });
    }
}

fn housekeeping(node: &Rc<Node>) {
    let before = node.now() - FORGET_AFTER;
    node.directory.borrow_mut().forget_missing(before);
    node.drop_unlisted_pools();
}
