//! Who watches the state store, and the changes that a watcher passes on.
//!
//! A store that serves a bounded number of calls cannot be watched by every node of a
//! large fleet. In a region with many nodes a few watch it and the others follow one of
//! them. What is passed on is state, not history: of each subject only the newest change
//! counts, so a log of them is as large as the state itself and no larger.

use std::collections::BTreeMap;

use hookpoint_state::ZoneName;

use super::homes::{HomeCandidate, sort_by_score};

/// Nodes of a region up to which each watches the store by itself.
const SMALL_REGION: usize = 4;
/// Watchers that a follower turns to: one may be lost without a gap.
const WATCHERS: usize = 2;
/// Subjects kept at the most; beyond that the oldest changes are forgotten.
const SUBJECTS_KEPT: usize = 16_384;

/// Region of each zone. A zone that is not listed is a region of its own.
pub type Regions = BTreeMap<ZoneName, String>;

/// The nodes that watch the store for the nodes of `zone`, the preferred first; all nodes
/// of a small region watch it themselves.
///
/// One watches in each larger region, and that of another one stands in for it: zones of a
/// region are close, and a call to the store costs more than some bytes between regions.
/// Where no other region is as large, two watch in the one. Nodes with the same view of the
/// membership agree on all of this without a message.
pub fn store_watchers<'a>(
    zone: &ZoneName,
    nodes: &'a [HomeCandidate],
    regions: &Regions,
) -> Vec<&'a str> {
    let own = region_of(zone, regions);
    let mut by_region: BTreeMap<&str, Vec<&'a str>> = BTreeMap::new();
    for candidate in nodes {
        let region = region_of(&candidate.zone, regions);
        by_region.entry(region).or_default().push(&candidate.node);
    }
    let mut local = by_region.remove(own).unwrap_or_default();
    if local.len() <= SMALL_REGION {
        return local;
    }
    sort_by_score(own, &mut local);
    let mut afar: Vec<&str> = by_region
        .into_iter()
        .filter(|(_, members)| members.len() > SMALL_REGION)
        .map(|(region, mut members)| {
            sort_by_score(region, &mut members);
            members[0]
        })
        .collect();
    sort_by_score(own, &mut afar);
    let substitutes = if afar.is_empty() {
        local.split_off(1)
    } else {
        afar
    };
    local.truncate(1);
    local.extend(substitutes);
    local.truncate(WATCHERS);
    local
}

/// Whether some nodes of the region of `zone` follow the others.
pub fn has_followers(zone: &ZoneName, nodes: &[HomeCandidate], regions: &Regions) -> bool {
    nodes_near(zone, nodes, regions).len() > SMALL_REGION
}

fn region_of<'a>(zone: &'a ZoneName, regions: &'a Regions) -> &'a str {
    regions.get(zone).map_or(zone.as_str(), String::as_str)
}

fn nodes_near<'a>(zone: &ZoneName, nodes: &'a [HomeCandidate], regions: &Regions) -> Vec<&'a str> {
    let region = region_of(zone, regions);
    nodes
        .iter()
        .filter(|candidate| region_of(&candidate.zone, regions) == region)
        .map(|candidate| candidate.node.as_str())
        .collect()
}

/// The newest change of each subject, in the order of the store's revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<Subject, Change> {
    /// The log holds every change after this revision; none if nothing is known yet.
    complete_after: Option<u64>,
    changes: BTreeMap<(u64, Subject), Change>,
    newest: BTreeMap<Subject, u64>,
}

impl<Subject, Change> Default for ChangeLog<Subject, Change> {
    fn default() -> Self {
        Self {
            complete_after: None,
            changes: BTreeMap::new(),
            newest: BTreeMap::new(),
        }
    }
}

impl<Subject: Ord + Clone, Change: Clone> ChangeLog<Subject, Change> {
    /// Begins anew after a listing of everything that was read at `revision`.
    pub fn restart(&mut self, revision: u64) {
        self.changes.clear();
        self.newest.clear();
        self.complete_after = Some(revision);
    }

    /// Takes a change; one that is older than the newest of its subject is passed over.
    pub fn record(&mut self, revision: u64, subject: Subject, change: Change) {
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
            self.complete_after = self.complete_after.max(Some(revision));
        }
    }

    /// The changes after `revision`; nothing if some of them are not known here.
    pub fn since(&self, revision: u64) -> Option<Vec<Change>> {
        if self
            .complete_after
            .is_none_or(|complete| revision < complete)
        {
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
