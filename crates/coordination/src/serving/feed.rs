//! Who watches the state store, and the changes that a watcher passes on.
//!
//! Each call to the store has a price, and it serves a bounded number of them, so a large
//! fleet cannot have every node watch it. One node watches for all: the first node of each
//! large region follows that one over a link, and the other nodes of a region form a tree
//! below their first. A node has as many followers as its link can serve in time. What is
//! passed on is state, not history: of each subject only the newest change counts, so a log
//! of them is as large as the state itself and no larger.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{StoreEra, StoreRevision, ZoneName};

use super::homes::{HomeCandidate, rendezvous_score};
use super::store_news::TryOrder;

/// Nodes of a region up to which each watches the store by itself.
const SMALL_REGION: usize = 4;
/// What regions are ranked for when one of their first nodes watches for all.
const WATCH_SUBJECT: &str = "store";
/// What the members of a part of the fleet are ranked for when they start.
const START_SUBJECT: &str = "start";
/// Nodes that a node turns to before it watches the store itself: one may be lost without a
/// gap.
const UPSTREAMS: usize = 2;
/// Followers of a node whose bandwidth is small or not known. A message that each node passes
/// to a few others reaches all of them soonest with three or four.
const LEAST_FOLLOWERS: usize = 4;
/// Bandwidth for one more follower, in megabits a second: a configuration of some thousand
/// routes is about 60 KB packed, and takes a quarter of a second with it.
const BANDWIDTH_PER_FOLLOWER_MBPS: u32 = 2;
/// Subjects kept at the most; beyond that the oldest changes are forgotten.
const SUBJECTS_KEPT: usize = 16_384;

/// Region of each zone. A zone that is not listed is a region of its own.
pub type Regions = BTreeMap<ZoneName, String>;

/// The nodes that `own` hears the store's changes from, the preferred first. If there are
/// none it watches the store itself.
///
/// All nodes of a small region watch by themselves. Of a large one the first node hears from
/// the fleet's watcher, or from its substitute, and each other one from its parent in the
/// region's tree, or from that one's. Nodes with the same view of the membership agree on
/// all of this without a message. Those that `helps` rules out are left out, so nodes that
/// are cut off together find one of them to follow. A node that rules itself out, as the store
/// turns it away, follows others wherever they are.
pub fn store_upstreams<'a>(
    own: &HomeCandidate,
    nodes: &'a [HomeCandidate],
    regions: &'a Regions,
    helps: impl Fn(&str) -> bool,
) -> Vec<&'a str> {
    let mut large = large_regions(nodes, regions, &helps);
    let own_region = region_of(&own.zone, regions);
    let Some(in_region) = large.remove(own_region) else {
        if helps(&own.node) {
            return Vec::new();
        }
        return upstreams_afar(own, nodes, regions, helps);
    };
    let mut first_nodes = vec![in_region[0]];
    first_nodes.extend(large.values().map(|members| members[0]));
    let mut watchers = ranked(WATCH_SUBJECT, first_nodes);
    if watchers.len() == 1 {
        watchers.extend(in_region.get(1));
    }
    if own.node == watchers[0].node {
        return Vec::new();
    }
    let mut upstreams = ancestors(&own.node, &in_region);
    upstreams.extend(watchers.iter().take(2).map(|watcher| watcher.node.as_str()));
    first_distinct(upstreams, &own.node)
}

/// The nodes that `own`, which starts, takes everything from that the store holds: those that
/// come before it in the tree of `near`, the members of its part of the fleet. None if it is the
/// one to list the store.
pub fn start_upstreams<'a>(own: &HomeCandidate, near: &'a [HomeCandidate]) -> Vec<&'a str> {
    if near.is_empty() {
        return Vec::new();
    }
    let ranked = ranked(START_SUBJECT, near.iter().collect());
    first_distinct(ancestors(&own.node, &ranked), &own.node)
}

/// The nodes that `own` hears from when no other node of its region passes changes on and it
/// cannot watch the store itself: those that watch, nearby ones first.
fn upstreams_afar<'a>(
    own: &HomeCandidate,
    nodes: &'a [HomeCandidate],
    regions: &'a Regions,
    helps: impl Fn(&str) -> bool,
) -> Vec<&'a str> {
    let own_region = region_of(&own.zone, regions);
    let helping = || nodes.iter().filter(|node| helps(&node.node));
    let is_near = |node: &&HomeCandidate| region_of(&node.zone, regions) == own_region;
    let large = large_regions(nodes, regions, &helps);
    let first_nodes = large.values().map(|members| members[0]).collect();
    let upstreams = ranked(WATCH_SUBJECT, helping().filter(is_near).collect())
        .into_iter()
        .chain(ranked(WATCH_SUBJECT, first_nodes))
        .chain(ranked(WATCH_SUBJECT, helping().collect()));
    first_distinct(upstreams.map(|node| node.node.as_str()), &own.node)
}

/// The first of `names` without repetition and without the node itself.
fn first_distinct<'a>(names: impl IntoIterator<Item = &'a str>, own: &str) -> Vec<&'a str> {
    let mut distinct: Vec<&str> = Vec::new();
    for name in names {
        if name != own && !distinct.contains(&name) {
            distinct.push(name);
        }
    }
    distinct.truncate(UPSTREAMS);
    distinct
}

/// When `own` tries the store among the nodes of its region, if those that watch it are lost:
/// in the order in which they pass changes on.
pub fn try_order(own: &HomeCandidate, nodes: &[HomeCandidate], regions: &Regions) -> TryOrder {
    let region = region_of(&own.zone, regions);
    let in_region = |node: &&HomeCandidate| region_of(&node.zone, regions) == region;
    let members = ranked(region, nodes.iter().filter(in_region).collect());
    let place = members.iter().position(|node| node.node == own.node);
    TryOrder {
        rank: count(place.unwrap_or(members.len())),
        nodes: count(members.len()),
    }
}

fn count(nodes: usize) -> u32 {
    u32::try_from(nodes).unwrap_or(u32::MAX)
}

/// The node's parent in its region's tree, that one's parent, and so on. A node that does
/// not help has the first one as its parent.
fn ancestors<'a>(own: &str, in_region: &[&'a HomeCandidate]) -> Vec<&'a str> {
    let parents = parents(in_region);
    let mut found = Vec::new();
    let place = in_region.iter().position(|node| node.node == own);
    let mut next = match place {
        Some(place) => parents[place],
        None => Some(0),
    };
    while let Some(place) = next {
        found.push(in_region[place].node.as_str());
        next = parents[place];
    }
    found
}

/// The place of each node's parent among `ranked` nodes; the first has none. Each node in
/// turn takes as many followers as it can serve.
fn parents(ranked: &[&HomeCandidate]) -> Vec<Option<usize>> {
    let mut parents = vec![None];
    for (place, node) in ranked.iter().enumerate() {
        let left = ranked.len().saturating_sub(parents.len());
        let followers = most_followers(node).min(left);
        parents.extend(std::iter::repeat_n(Some(place), followers));
    }
    parents
}

fn most_followers(node: &HomeCandidate) -> usize {
    let by_bandwidth = node.bandwidth_mbps / BANDWIDTH_PER_FOLLOWER_MBPS;
    usize::try_from(by_bandwidth)
        .unwrap_or(usize::MAX)
        .max(LEAST_FOLLOWERS)
}

/// Whether so few nodes are in the region of `zone` that each watches the store by itself.
pub fn is_small_region(zone: &ZoneName, nodes: &[HomeCandidate], regions: &Regions) -> bool {
    let region = region_of(zone, regions);
    let in_region = |candidate: &&HomeCandidate| region_of(&candidate.zone, regions) == region;
    nodes.iter().filter(in_region).count() <= SMALL_REGION
}

/// The nodes that help of each region that is not small, the first ones first.
fn large_regions<'a>(
    nodes: &'a [HomeCandidate],
    regions: &'a Regions,
    helps: impl Fn(&str) -> bool,
) -> BTreeMap<&'a str, Vec<&'a HomeCandidate>> {
    let mut by_region: BTreeMap<&str, Vec<&HomeCandidate>> = BTreeMap::new();
    for candidate in nodes {
        let region = region_of(&candidate.zone, regions);
        by_region.entry(region).or_default().push(candidate);
    }
    by_region
        .into_iter()
        .filter(|(_, members)| members.len() > SMALL_REGION)
        .map(|(region, mut members)| {
            members.retain(|candidate| helps(&candidate.node));
            (region, ranked(region, members))
        })
        .filter(|(_, members)| !members.is_empty())
        .collect()
}

/// The order in which nodes take on work for others: those with the most bandwidth first.
fn ranked<'a>(subject: &str, mut nodes: Vec<&'a HomeCandidate>) -> Vec<&'a HomeCandidate> {
    nodes.sort_by_cached_key(|candidate| {
        let score = rendezvous_score(subject, &candidate.node);
        (
            Reverse(candidate.bandwidth_mbps),
            Reverse(score),
            candidate.node.as_str(),
        )
    });
    nodes
}

fn region_of<'a>(zone: &'a ZoneName, regions: &'a Regions) -> &'a str {
    regions.get(zone).map_or(zone.as_str(), String::as_str)
}

/// Part of a period, spread evenly by name: when a node does what all would do at once.
pub fn share_of(name: &str, period: Duration) -> Duration {
    let share = u32::try_from(rendezvous_score(WATCH_SUBJECT, name) >> 48).unwrap_or(0);
    period * share / u32::from(u16::MAX)
}

/// The newest change of each subject, in the order of the store's revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<Subject, Change> {
    /// The log holds every change after this revision; none if nothing is known yet.
    complete_after: Option<StoreRevision>,
    /// Whether the log holds the newest of every subject, whenever that changed.
    whole: bool,
    changes: BTreeMap<(StoreRevision, Subject), Change>,
    newest: BTreeMap<Subject, StoreRevision>,
}

impl<Subject, Change> Default for ChangeLog<Subject, Change> {
    fn default() -> Self {
        Self {
            complete_after: None,
            whole: false,
            changes: BTreeMap::new(),
            newest: BTreeMap::new(),
        }
    }
}

impl<Subject: Ord + Clone, Change: Clone> ChangeLog<Subject, Change> {
    /// Begins anew after a listing of everything that was read at `revision`; each record of the
    /// listing is to be recorded next.
    pub fn restart(&mut self, revision: StoreRevision) {
        self.changes.clear();
        self.newest.clear();
        self.complete_after = Some(revision);
        self.whole = true;
    }

    /// Takes in a listing of everything that was read at `revision`, after changes were missed.
    ///
    /// What is listed as it was known stays as it is, so that followers, who know it as well,
    /// hear only of what changed meanwhile. What is known and not listed has gone: `gone` says
    /// how that is told of a subject, nothing if its last change told it or it never goes.
    ///
    /// A listing of another era begins anew: followers may know changes of the earlier one that
    /// are not known here. So does one of an earlier state than that of the first listing, which
    /// was old then, and of an era before.
    pub fn take_listing(
        &mut self,
        revision: StoreRevision,
        listed: Vec<(StoreRevision, Subject, Change)>,
        gone: impl Fn(&Subject, &Change) -> Option<Change>,
    ) {
        let began_later = self.complete_after > Some(revision);
        if !self.whole || began_later || !self.is_of(revision.era()) {
            self.restart(revision);
        }
        let present: BTreeSet<&Subject> = listed.iter().map(|(_, subject, _)| subject).collect();
        let missing = |(at, subject): &&(StoreRevision, Subject)| {
            *at <= revision && !present.contains(subject)
        };
        let ended: Vec<(Subject, Change)> = self
            .changes
            .iter()
            .filter(|(key, _)| missing(key))
            .filter_map(|((_, subject), change)| Some((subject.clone(), gone(subject, change)?)))
            .collect();
        for (subject, change) in ended {
            self.record(revision, subject, change);
        }
        for (changed_at, subject, change) in listed {
            self.record(changed_at, subject, change);
        }
    }

    /// Takes a change; one that is older than the newest of its subject is passed over.
    pub fn record(&mut self, revision: StoreRevision, subject: Subject, change: Change) {
        if let Some(known) = self.newest.get(&subject).copied() {
            if known >= revision {
                return;
            }
            self.changes.remove(&(known, subject.clone()));
        }
        self.newest.insert(subject.clone(), revision);
        self.changes.insert((revision, subject), change);
        while self.changes.len() > SUBJECTS_KEPT {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(((revision, subject), _)) = self.changes.pop_first() {
            self.newest.remove(&subject);
            self.whole = false;
            self.complete_after = self.complete_after.max(Some(revision));
        }
    }

    /// Whether the newest change of every subject is known here.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// The newest change of every subject; nothing if some are not known here.
    pub fn everything(&self) -> Option<Vec<Change>> {
        self.whole.then(|| self.changes.values().cloned().collect())
    }

    /// Whether the log holds the changes of this era.
    fn is_of(&self, era: StoreEra) -> bool {
        self.complete_after
            .is_some_and(|complete| complete.era() == era)
    }

    /// The changes after `revision`; nothing if some of them are not known here, as those of
    /// another era never are.
    pub fn since(&self, revision: StoreRevision) -> Option<Vec<Change>> {
        let known = self
            .complete_after
            .is_some_and(|complete| complete <= revision);
        if !known || !self.is_of(revision.era()) {
            return None;
        }
        let later = self
            .changes
            .iter()
            .rev()
            .take_while(|((changed_at, _), _)| *changed_at > revision);
        let mut changes: Vec<Change> = later.map(|(_, change)| change.clone()).collect();
        changes.reverse();
        Some(changes)
    }
}
