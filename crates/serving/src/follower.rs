//! Follows the state store: configuration, databases, members and the fleet's records.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::coordinator::CoordinatorRecord;
use hookpoint_coordination::serving::directory::Database;
use hookpoint_coordination::serving::store_news::{WatchAnswer, patience};
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
    MemberRecord, PROMOTION_PREFIX, PromotionRecord, decode, is_coordinator_key, member_name,
    settled_era,
};
use crate::registration;
use crate::snapshot;
use crate::start;

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
/// Longest pause between listings of a node that hears of changes from others once they reach
/// the store.
const LONGEST_PAUSE_FOLLOWING: Duration = Duration::from_millis(1_200);
/// Failures in a row beyond which the pause no longer doubles.
const MOST_DOUBLINGS: u32 = 8;
/// Databases that are missing for this long are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Pause of a node that starts and knows nobody to follow, before it watches the store: the
/// others that start with it register meanwhile, so one watch tells of all of them.
const GATHER_AT_START: Duration = Duration::from_millis(120);

/// Follows the store for as long as the node lives.
pub async fn follow(node: Rc<Node>) {
    loop {
        let starts = node.configuration().is_none();
        let Some(mut revision) = begin(&node).await else {
            sleep(retry_pause(&node)).await;
            continue;
        };
        if starts && feed::is_watcher(&node) {
            sleep(GATHER_AT_START).await;
        }
        while let Some(next) = follow_once(&node, revision).await {
            revision = next;
        }
    }
}

/// Takes in everything that the store holds: from a peer if this node starts and others start
/// with it or run already, or else from the store. Returns the revision to go on from.
async fn begin(node: &Rc<Node>) -> Option<StoreRevision> {
    if node.configuration().is_none()
        && let Some(everything) = start::take_from_peers(node).await
    {
        note_reachable(node, true, "peer");
        node.counters.count("store_followed", "peer_at_start");
        return Some(take_everything(node, everything, true));
    }
    read_everything(node, listing_freshness(node)).await
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
async fn read_everything(node: &Rc<Node>, freshness: ReadFreshness) -> Option<StoreRevision> {
    let asked_at = node.now();
    match read_or_ask_peers(node, freshness).await {
        Ok(all) => {
            note_reachable(node, true, "read");
            node.feed.note_answered();
            node.store_steady_since.set(node.now());
            note_era(node, &all);
            let present = freshness == ReadFreshness::Present;
            if present {
                node.feed.note_told(asked_at, asked_at);
            }
            Some(take_everything(node, all, present))
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
fn take_everything(node: &Rc<Node>, all: StoreChanges, present: bool) -> StoreRevision {
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
    node.feed.take_listing(&all);
    tell_position(node, revision);
    apply_all(node, all);
    node.note_promotions_known(revision);
    revision
}

/// Takes notice of the era of a listing that is about to be taken in. A store that came back
/// from a copy lacks what was written last; what is missing from it proves nothing until that is
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
    if tells_settled(all) {
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

/// Whether a listing tells that its era has settled.
fn tells_settled(all: &StoreChanges) -> bool {
    all.changes.iter().any(|change| match &change.record {
        StoreRecord::Own { key, .. } => settled_era(key) == Some(all.revision.era()),
        _ => false,
    })
}

fn tell_position(node: &Rc<Node>, revision: StoreRevision) {
    let (era, number) = revision.parts();
    node.counters.set("store_era", era.number());
    node.counters.set("store_revision", number);
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
async fn follow_once(node: &Rc<Node>, revision: StoreRevision) -> Option<StoreRevision> {
    if feed::watches(node) {
        return watch_once(node, revision).await;
    }
    let followed = feed::follow_upstream(node, revision).await;
    if let Some(next) = take_followed(node, followed, revision) {
        return Some(next);
    }
    if feed::own_try_is_due(node) {
        return watch_once(node, revision).await;
    }
    pause_search(node).await;
    Some(revision)
}

/// Takes in what an upstream told. Returns the revision to go on from; nothing if none told
/// anything newer.
fn take_followed(
    node: &Rc<Node>,
    followed: Followed,
    revision: StoreRevision,
) -> Option<StoreRevision> {
    match followed {
        Followed::Changes(changes) => {
            note_reachable(node, true, "peer");
            Some(take_changes(node, changes, revision))
        }
        Followed::Everything(all) => {
            note_reachable(node, true, "peer");
            node.counters.count("store_followed", "peer_everything");
            Some(take_everything(node, all, true))
        }
        Followed::Nothing => None,
    }
}

/// Rests before upstreams that told nothing newer are asked again.
async fn pause_search(node: &Rc<Node>) {
    if !feed::is_fresh(node) {
        note_reachable(node, false, "upstreams do not reach it");
    }
    sleep(node.feed.search_pause(node.now())).await;
}

/// Takes changes in and passes them on. Returns the revision to go on from.
fn take_changes(node: &Rc<Node>, changes: StoreChanges, revision: StoreRevision) -> StoreRevision {
    let next = changes.revision.max(revision);
    for change in changes.changes {
        node.feed.record(&change);
        apply(node, change);
    }
    node.feed.advance(next);
    tell_position(node, next);
    node.note_promotions_known(next);
    housekeeping(node);
    next
}

/// One watch. Returns the revision to go on from, or nothing if all is to be read again.
async fn watch_once(node: &Rc<Node>, revision: StoreRevision) -> Option<StoreRevision> {
    let wait = feed::watch_wait(node);
    let asked_at = node.now();
    let mut watch = node.store.watch(revision, wait);
    let outcome = match timeout(patience(wait), &mut watch).await {
        Ok(outcome) => outcome,
        Err(_) => match await_late_watch(node, watch, revision).await {
            LateWatch::Answered(outcome) => outcome,
            LateWatch::NotNeeded { next } => return Some(next),
        },
    };
    match outcome {
        Ok(changes) => Some(take_watched(node, changes, revision, asked_at, wait).await),
        Err(StoreError::HistoryGone) => None,
        Err(error) => {
            note_store_error(node, &error);
            sleep(pause_after_failed_watch(node)).await;
            matches!(error, StoreError::NoAnswer(_) | StoreError::Refused(_)).then_some(revision)
        }
    }
}

/// How long to wait after a watch that failed before others are asked again.
fn pause_after_failed_watch(node: &Rc<Node>) -> Duration {
    if feed::is_watcher(node) {
        retry_pause(node)
    } else {
        node.feed.search_pause(node.now())
    }
}

/// What a watch came to whose answer was overdue.
enum LateWatch {
    /// Its answer came after all, or it failed.
    Answered(Result<StoreChanges, StoreError>),
    /// An upstream told newer first.
    NotNeeded {
        /// The revision to go on from.
        next: StoreRevision,
    },
}

/// Follows others while the answer to a watch is overdue. The store may be silent, or a large
/// answer is on its way: given up, it would only be asked for again.
async fn await_late_watch(
    node: &Rc<Node>,
    watch: impl Future<Output = Result<StoreChanges, StoreError>>,
    revision: StoreRevision,
) -> LateWatch {
    node.counters.count("store_followed", "store_late");
    node.feed.note_turned_away(node.now());
    let following = async {
        loop {
            let followed = feed::follow_upstream(node, revision).await;
            if let Some(next) = take_followed(node, followed, revision) {
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

/// Takes in the answer to a watch that was asked at `asked_at` to wait for `wait`. Returns the
/// revision to go on from.
async fn take_watched(
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
    let pause = gathering_pause(&changes.changes);
    node.feed.note_told(answer.told_at(), answer.covered());
    let next = take_changes(node, changes, revision);
    if let Some(pause) = pause {
        sleep(pause).await;
    }
    next
}

/// How long to wait for further changes after these; nothing if there were none.
fn gathering_pause(changes: &[StoreChange]) -> Option<Duration> {
    let of_member = |change: &StoreChange| match &change.record {
        StoreRecord::Own { key, .. } => member_name(key).is_some(),
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
    node.feed.note_turned_away(node.now());
    note_reachable(node, false, &error.to_string());
}

pub(crate) fn note_reachable(node: &Rc<Node>, reachable: bool, detail: &str) {
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
    // Before the configuration: what a node that starts finds evacuated may have been so for long.
    node.apply_evacuation_listing(&requested_evacuations(&all), all.revision);
    let mut databases = Vec::new();
    let mut members = BTreeSet::new();
    let mut coordinated = false;
    node.forget_listed_announcements();
    for change in all.changes {
        match change.record {
            StoreRecord::Evacuation { .. } => {}
            StoreRecord::Database(database) => databases.push((database, change.revision)),
            StoreRecord::Own { ref key, .. } => {
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

/// The requests to evacuate a zone in a complete listing, with their revisions.
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
        StoreRecord::DatabaseGone(name) => remove_database(node, &name, change.revision),
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
        StoreRecord::Own { key, value, lease } => {
            apply_own(node, &key, value.as_deref(), lease, change.revision);
        }
    }
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

fn remove_database(node: &Rc<Node>, name: &DatabaseName, revision: StoreRevision) {
    node.remove_database(name, revision);
    node.log("database_missing", &[("database", name.as_str().into())]);
}

fn apply_own(
    node: &Rc<Node>,
    key: &str,
    value: Option<&[u8]>,
    lease: Option<LeaseId>,
    revision: StoreRevision,
) {
    if let Some(name) = member_name(key) {
        let record = value.and_then(decode);
        if *name == node.settings.name {
            node.own_record_revision.set(value.map(|_| revision));
            let as_now = record == Some(registration::own_record(node));
            node.lease_found.set(lease.filter(|_| as_now));
        }
        apply_member(node, name, record);
    } else if is_present_coordinators(node, key) {
        let record: Option<CoordinatorRecord> = value.and_then(decode);
        node.coordinator.borrow_mut().take_record(revision, record);
    } else if let Some(era) = settled_era(key) {
        coordinator_record::note_settled_era(node, era);
    } else if key.starts_with(PROMOTION_PREFIX) {
        apply_promotion(node, value.and_then(decode), revision);
    }
}

/// Whether a key is that of the coordinator in the store's present era, whichever era the listing
/// that tells of it may be of.
fn is_present_coordinators(node: &Node, key: &str) -> bool {
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
    });
}

fn housekeeping(node: &Rc<Node>) {
    node.directory.borrow_mut().note_lasting(node.now());
    let before = node.now() - FORGET_AFTER;
    let forgotten = node.directory.borrow_mut().forget_missing(before);
    departures::ask_about_late_departures(node);
    if !forgotten.is_empty() {
        node.drop_unlisted_pools();
    }
}
