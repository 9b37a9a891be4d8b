//! Distribution of the state store's changes: which nodes watch the store, and the change log that
//! a watcher passes on.
//!
//! Each call to the store has a cost and the store serves a bounded number of calls, so not every
//! node of a large fleet can watch it. One node watches on behalf of all: the first node of each
//! large region follows that node over a link, and the other nodes of a region form a tree below
//! their first node. A node has as many followers as its link can serve in time. The log is of
//! state, not of history: only the newest change of each subject is kept, so the log is never
//! larger than the state itself.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{StoreEra, StoreRevision, ZoneName};

use super::homes::{HomeCandidate, rendezvous_score};
use super::store_freshness::StoreTryOrder;

/// Maximum size of a region in which every node watches the store itself.
const SMALL_REGION_SIZE: usize = 4;
/// Subject for which regions are ranked to choose the fleet's watcher among their first nodes.
const WATCH_SUBJECT: &str = "store";
/// Subject for which the members of a part of the fleet are ranked when they start.
const START_SUBJECT: &str = "start";
/// Number of upstreams that a node tries before it watches the store itself. With two, one can be
/// lost without a gap.
const MAX_UPSTREAMS: usize = 2;
/// Number of followers of a node whose bandwidth is small or not known. A message that each node
/// forwards to a few others reaches all nodes soonest with a fan-out of three or four.
const MIN_FOLLOWERS: usize = 4;
/// Bandwidth per additional follower, in megabits per second. A configuration of a few thousand
/// routes is about 60 KB compressed, and takes a quarter of a second at this rate.
const BANDWIDTH_PER_FOLLOWER_MBPS: u32 = 2;
/// Maximum number of subjects in the log; beyond that, the oldest changes are dropped.
const MAX_SUBJECTS: usize = 16_384;

/// Region of each zone. A zone that is not listed is a region of its own.
pub type Regions = BTreeMap<ZoneName, String>;

/// Returns the nodes from which `own` receives the store's changes, in order of preference. If
/// there are none, it watches the store itself.
///
/// All nodes of a small region watch the store themselves. In a large region the first node follows
/// the fleet's watcher or its substitute, and every other node follows its parent or grandparent in
/// the region's tree. Nodes with the same view of the membership agree on all of this without
/// exchanging messages. Nodes for which `may_forward` returns false are left out, so nodes that are
/// partitioned together find one among them to follow. If it returns false for `own`, because the
/// store rejects the calls of `own`, that node follows other nodes wherever they are.
pub fn store_upstreams<'a>(
    own: &HomeCandidate,
    nodes: &'a [HomeCandidate],
    regions: &'a Regions,
    may_forward: impl Fn(&str) -> bool,
) -> Vec<&'a str> {
    let mut large = large_regions(nodes, regions, &may_forward);
    let own_region = region_of(&own.zone, regions);
    let Some(in_region) = large.remove(own_region) else {
        if may_forward(&own.node) {
            return Vec::new();
        }
        return remote_upstreams(own, nodes, regions, may_forward);
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

/// Returns the nodes from which `own` reads the whole state of the store when it starts: its
/// ancestors in the tree of `near`, the members of its part of the fleet. The result is empty if
/// `own` is the node that lists the store.
pub fn start_upstreams<'a>(own: &HomeCandidate, near: &'a [HomeCandidate]) -> Vec<&'a str> {
    if near.is_empty() {
        return Vec::new();
    }
    let ranked = ranked(START_SUBJECT, near.iter().collect());
    first_distinct(ancestors(&own.node, &ranked), &own.node)
}

/// Returns the upstreams of `own` if no other node of its region forwards changes and it cannot
/// watch the store itself: nodes that watch the store, nearby ones first.
fn remote_upstreams<'a>(
    own: &HomeCandidate,
    nodes: &'a [HomeCandidate],
    regions: &'a Regions,
    may_forward: impl Fn(&str) -> bool,
) -> Vec<&'a str> {
    let own_region = region_of(&own.zone, regions);
    let forwarding = || nodes.iter().filter(|node| may_forward(&node.node));
    let is_near = |node: &&HomeCandidate| region_of(&node.zone, regions) == own_region;
    let large = large_regions(nodes, regions, &may_forward);
    let first_nodes = large.values().map(|members| members[0]).collect();
    let upstreams = ranked(WATCH_SUBJECT, forwarding().filter(is_near).collect())
        .into_iter()
        .chain(ranked(WATCH_SUBJECT, first_nodes))
        .chain(ranked(WATCH_SUBJECT, forwarding().collect()));
    first_distinct(upstreams.map(|node| node.node.as_str()), &own.node)
}

/// Returns the first [`MAX_UPSTREAMS`] distinct `names` other than `own`.
fn first_distinct<'a>(names: impl IntoIterator<Item = &'a str>, own: &str) -> Vec<&'a str> {
    let mut distinct: Vec<&str> = Vec::new();
    for name in names {
        if name != own && !distinct.contains(&name) {
            distinct.push(name);
        }
    }
    distinct.truncate(MAX_UPSTREAMS);
    distinct
}

/// Returns the order in which `own` tries the store among the nodes of its region if the watchers
/// are lost. It is the order in which the nodes forward changes.
pub fn try_order(own: &HomeCandidate, nodes: &[HomeCandidate], regions: &Regions) -> StoreTryOrder {
    let region = region_of(&own.zone, regions);
    let in_region = |node: &&HomeCandidate| region_of(&node.zone, regions) == region;
    let members = ranked(region, nodes.iter().filter(in_region).collect());
    let index = members.iter().position(|node| node.node == own.node);
    StoreTryOrder {
        rank: saturating_u32(index.unwrap_or(members.len())),
        nodes: saturating_u32(members.len()),
    }
}

fn saturating_u32(nodes: usize) -> u32 {
    u32::try_from(nodes).unwrap_or(u32::MAX)
}

/// Returns the node's ancestors in its region's tree, its parent first. A node that is not in the
/// tree has the root as its parent.
fn ancestors<'a>(own: &str, in_region: &[&'a HomeCandidate]) -> Vec<&'a str> {
    let parents = parents(in_region);
    let mut found = Vec::new();
    let index = in_region.iter().position(|node| node.node == own);
    let mut next = match index {
        Some(index) => parents[index],
        None => Some(0),
    };
    while let Some(index) = next {
        found.push(in_region[index].node.as_str());
        next = parents[index];
    }
    found
}

/// Returns the index of each node's parent among the `ranked` nodes; the root has none. Each node
/// in turn takes as many followers as it can serve.
fn parents(ranked: &[&HomeCandidate]) -> Vec<Option<usize>> {
    let mut parents = vec![None];
    for (index, node) in ranked.iter().enumerate() {
        let left = ranked.len().saturating_sub(parents.len());
        let followers = max_followers(node).min(left);
        parents.extend(std::iter::repeat_n(Some(index), followers));
    }
    parents
}

fn max_followers(node: &HomeCandidate) -> usize {
    let by_bandwidth = node.bandwidth_mbps / BANDWIDTH_PER_FOLLOWER_MBPS;
    usize::try_from(by_bandwidth)
        .unwrap_or(usize::MAX)
        .max(MIN_FOLLOWERS)
}

/// Returns whether the region of `zone` has so few nodes that each of them watches the store
/// itself.
pub fn is_small_region(zone: &ZoneName, nodes: &[HomeCandidate], regions: &Regions) -> bool {
    let region = region_of(zone, regions);
    let in_region = |candidate: &&HomeCandidate| region_of(&candidate.zone, regions) == region;
    nodes.iter().filter(in_region).count() <= SMALL_REGION_SIZE
}

/// Returns, for each region that is not small, the nodes for which `may_forward` returns true, in
/// rank order.
fn large_regions<'a>(
    nodes: &'a [HomeCandidate],
    regions: &'a Regions,
    may_forward: impl Fn(&str) -> bool,
) -> BTreeMap<&'a str, Vec<&'a HomeCandidate>> {
    let mut by_region: BTreeMap<&str, Vec<&HomeCandidate>> = BTreeMap::new();
    for candidate in nodes {
        let region = region_of(&candidate.zone, regions);
        by_region.entry(region).or_default().push(candidate);
    }
    by_region
        .into_iter()
        .filter(|(_, members)| members.len() > SMALL_REGION_SIZE)
        .map(|(region, mut members)| {
            members.retain(|candidate| may_forward(&candidate.node));
            (region, ranked(region, members))
        })
        .filter(|(_, members)| !members.is_empty())
        .collect()
}

/// Ranks nodes in the order in which they take on work for others: by descending bandwidth, then by
/// rendezvous score.
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

/// Returns a fraction of `period` that is spread evenly by name, to stagger work that all nodes
/// would otherwise do at the same time.
pub fn staggered_delay(name: &str, period: Duration) -> Duration {
    let share = u32::try_from(rendezvous_score(WATCH_SUBJECT, name) >> 48).unwrap_or(0);
    period * share / u32::from(u16::MAX)
}

/// The newest change of each subject, ordered by the store's revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<Subject, Change> {
    /// The log holds every change after this revision; `None` if nothing is known yet.
    complete_after: Option<StoreRevision>,
    /// Whether the log holds the newest change of every subject, however old.
    complete: bool,
    changes: BTreeMap<(StoreRevision, Subject), Change>,
    newest: BTreeMap<Subject, StoreRevision>,
}

impl<Subject, Change> Default for ChangeLog<Subject, Change> {
    fn default() -> Self {
        Self {
            complete_after: None,
            complete: false,
            changes: BTreeMap::new(),
            newest: BTreeMap::new(),
        }
    }
}

impl<Subject: Ord + Clone, Change: Clone> ChangeLog<Subject, Change> {
    /// Clears the log before a complete listing that was read at `revision`; the caller records
    /// each entry of the listing next.
    pub fn restart(&mut self, revision: StoreRevision) {
        self.changes.clear();
        self.newest.clear();
        self.complete_after = Some(revision);
        self.complete = true;
    }

    /// Applies a complete listing that was read at `revision`, after changes were missed.
    ///
    /// Entries that are listed as they were known stay unchanged, so that followers that know them
    /// as well receive only what changed in the meantime. Entries that are known but not listed
    /// have been removed: `gone` returns the change that reports the removal of a subject, or
    /// `None` if its last change already did or if it is never removed.
    ///
    /// A listing of another era resets the log, because followers may know changes of the earlier
    /// era that are not known here. So does a listing whose revision is lower than that of the
    /// listing with which the log began: the content of that first listing was outdated and
    /// belonged to an earlier era.
    pub fn take_listing(
        &mut self,
        revision: StoreRevision,
        listed: Vec<(StoreRevision, Subject, Change)>,
        gone: impl Fn(&Subject, &Change) -> Option<Change>,
    ) {
        let began_later = self.complete_after > Some(revision);
        if !self.complete || began_later || !self.is_of_era(revision.era()) {
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

    /// Records a change; one that is older than the newest of its subject is ignored.
    pub fn record(&mut self, revision: StoreRevision, subject: Subject, change: Change) {
        if let Some(known) = self.newest.get(&subject).copied() {
            if known >= revision {
                return;
            }
            self.changes.remove(&(known, subject.clone()));
        }
        self.newest.insert(subject.clone(), revision);
        self.changes.insert((revision, subject), change);
        while self.changes.len() > MAX_SUBJECTS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(((revision, subject), _)) = self.changes.pop_first() {
            self.newest.remove(&subject);
            self.complete = false;
            self.complete_after = self.complete_after.max(Some(revision));
        }
    }

    /// Returns whether the newest change of every subject is known here.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns the newest change of every subject, or `None` if some are not known here.
    pub fn everything(&self) -> Option<Vec<Change>> {
        self.complete
            .then(|| self.changes.values().cloned().collect())
    }

    /// Returns whether the log holds the changes of this era.
    fn is_of_era(&self, era: StoreEra) -> bool {
        self.complete_after
            .is_some_and(|complete| complete.era() == era)
    }

    /// Returns the changes after `revision`, or `None` if some of them are not known here, which is
    /// always the case for another era.
    pub fn since(&self, revision: StoreRevision) -> Option<Vec<Change>> {
        let known = self
            .complete_after
            .is_some_and(|complete| complete <= revision);
        if !known || !self.is_of_era(revision.era()) {
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
