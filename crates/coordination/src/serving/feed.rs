//! Who watches the state store, and the changes that a watcher passes on.
//!
//! A store that serves a bounded number of calls cannot be watched by every node of a
//! large fleet. In a zone with many nodes a few watch it and the others follow one of
//! them. What is passed on is state, not history: of each subject only the newest change
//! counts, so a log of them is as large as the state itself and no larger.

use std::collections::BTreeMap;

use hookpoint_state::ZoneName;

use super::homes::{HomeCandidate, rendezvous_score};

/// Nodes of a zone up to which each watches the store by itself.
const SMALL_ZONE: usize = 4;
/// Nodes that watch the store in a larger zone: one may be lost without a gap.
const WATCHERS: usize = 2;
/// Subjects kept at the most; beyond that the oldest changes are forgotten.
const SUBJECTS_KEPT: usize = 16_384;

/// The nodes of `zone` that watch the store themselves, the preferred first. Nodes with
/// the same view of the membership agree on them without a message.
pub fn store_watchers<'a>(zone: &ZoneName, nodes: &'a [HomeCandidate]) -> Vec<&'a str> {
    let mut local = nodes_of(zone, nodes);
    if local.len() > SMALL_ZONE {
        local.sort_by_cached_key(|node| {
            let score = rendezvous_score(zone.as_str(), node);
            (std::cmp::Reverse(score), *node)
        });
        local.truncate(WATCHERS);
    }
    local
}

/// Whether some nodes of `zone` follow the others.
pub fn has_followers(zone: &ZoneName, nodes: &[HomeCandidate]) -> bool {
    nodes_of(zone, nodes).len() > SMALL_ZONE
}

fn nodes_of<'a>(zone: &ZoneName, nodes: &'a [HomeCandidate]) -> Vec<&'a str> {
    nodes
        .iter()
        .filter(|candidate| candidate.zone == *zone)
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
