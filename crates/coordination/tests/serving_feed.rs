//! Tests of the choice of nodes that watch the state store, and of the change log that watchers
//! forward.

mod store;

use std::collections::BTreeMap;

use hookpoint_coordination::serving::feed::{ChangeLog, Regions, store_upstreams};
use hookpoint_coordination::serving::homes::HomeCandidate;
use hookpoint_state::{StoreEra, StoreRevision, ZoneName};
use quickcheck::quickcheck;
use store::revision;

fn nodes(zone: &str, count: usize) -> Vec<HomeCandidate> {
    (0..count)
        .map(|index| HomeCandidate {
            node: format!("{zone}-{index}"),
            zone: ZoneName::new(zone),
            bandwidth_mbps: 20,
        })
        .collect()
}

/// Returns the upstreams of each node.
fn upstreams_of<'a>(
    nodes: &'a [HomeCandidate],
    regions: &'a Regions,
) -> BTreeMap<&'a str, Vec<&'a str>> {
    nodes
        .iter()
        .map(|own| {
            (
                own.node.as_str(),
                store_upstreams(own, nodes, regions, |_| true),
            )
        })
        .collect()
}

fn watchers<'a>(upstreams: &BTreeMap<&'a str, Vec<&'a str>>) -> Vec<&'a str> {
    upstreams
        .iter()
        .filter(|(_, followed)| followed.is_empty())
        .map(|(name, _)| *name)
        .collect()
}

#[test]
fn one_node_watches_for_large_regions_and_all_of_a_small_one() {
    let regions = Regions::new();
    for (count, watching) in [(0, 0), (1, 1), (4, 4), (5, 1), (300, 1)] {
        let all = nodes("east", count);
        let upstreams = upstreams_of(&all, &regions);
        assert_eq!(watchers(&upstreams).len(), watching, "{count}");
    }
}

/// Returns the number of nodes through which a change passes before it reaches a node.
fn distance(name: &str, upstreams: &BTreeMap<&str, Vec<&str>>) -> usize {
    let mut distance = 0;
    let mut at = name;
    while let Some(next) = upstreams[at].first() {
        distance += 1;
        assert!(distance <= upstreams.len(), "a loop at {name}");
        at = next;
    }
    distance
}

/// Returns three regions of a hundred nodes each, all with this bandwidth.
fn large_fleet(bandwidth_mbps: u32) -> Vec<HomeCandidate> {
    let mut all = nodes("east", 100);
    all.extend(nodes("west", 100));
    all.extend(nodes("north", 100));
    for node in &mut all {
        node.bandwidth_mbps = bandwidth_mbps;
    }
    all
}

#[test]
fn every_node_receives_changes_through_few_others() {
    let regions = Regions::new();
    for (bandwidth_mbps, most) in [(200, 2), (20, 3), (2, 5), (0, 5)] {
        let all = large_fleet(bandwidth_mbps);
        let upstreams = upstreams_of(&all, &regions);
        let watching = watchers(&upstreams);
        assert_eq!(watching.len(), 1, "{watching:?}");
        for (name, followed) in &upstreams {
            assert!(!followed.contains(name), "{name} follows itself");
            let distance = distance(name, &upstreams);
            assert!(distance <= most, "{bandwidth_mbps}: {name} at {distance}");
        }
    }
}

#[test]
fn no_node_has_more_followers_than_its_link_serves() {
    let regions = Regions::new();
    for (bandwidth_mbps, most) in [(200, 100), (20, 10), (2, 4), (0, 4)] {
        let all = large_fleet(bandwidth_mbps);
        let mut followers: BTreeMap<&str, usize> = BTreeMap::new();
        for followed in upstreams_of(&all, &regions).values() {
            if let Some(first) = followed.first() {
                *followers.entry(first).or_default() += 1;
            }
        }
        // The first nodes of the two other regions follow the watcher as well.
        let largest = followers.values().max().copied().unwrap();
        assert!(largest <= most + 2, "{bandwidth_mbps}: {largest} followers");
    }
}

#[test]
fn few_nodes_follow_across_regions() {
    let regions = Regions::new();
    let mut all = nodes("east", 20);
    all.extend(nodes("west", 30));
    let upstreams = upstreams_of(&all, &regions);
    let remote = upstreams.iter().filter(|(name, followed)| {
        let region = name.split('-').next().unwrap();
        followed
            .first()
            .is_some_and(|first| !first.starts_with(region))
    });
    assert_eq!(remote.count(), 1, "the first node of the other region");
}

#[test]
fn zones_of_one_region_share_their_first_node() {
    let mut all = nodes("east", 3);
    all.extend(nodes("centre", 3));
    all.extend(nodes("west", 3));
    let regions = Regions::from([
        (ZoneName::new("east"), "left".to_owned()),
        (ZoneName::new("centre"), "left".to_owned()),
    ]);
    let upstreams = upstreams_of(&all, &regions);
    let watching = watchers(&upstreams);
    let of_left = |name: &&&str| !name.starts_with("west");
    assert_eq!(watching.iter().filter(of_left).count(), 1);
    assert_eq!(watching.len(), 4, "a small region watches by itself");
}

#[test]
fn nodes_with_the_most_bandwidth_forward_changes() {
    let regions = Regions::new();
    let mut all = nodes("east", 20);
    all.extend(nodes("west", 20));
    for index in [7, 27] {
        all[index].bandwidth_mbps = 200;
    }
    let strong = [all[7].node.as_str(), all[27].node.as_str()];
    let upstreams = upstreams_of(&all, &regions);
    assert!(strong.contains(&watchers(&upstreams)[0]));
    for (name, followed) in &upstreams {
        assert!(
            followed.iter().all(|upstream| strong.contains(upstream)),
            "{name}"
        );
    }
}

#[test]
fn a_lost_watcher_leaves_its_followers_another_upstream() {
    let mut all = nodes("east", 20);
    all.extend(nodes("west", 20));
    let regions = Regions::new();
    let before = upstreams_of(&all, &regions);
    let lost = watchers(&before)[0].to_owned();
    for (name, followed) in &before {
        let others = followed.iter().filter(|upstream| **upstream != lost);
        let substitute_itself = followed.first() == Some(&lost.as_str()) && followed.len() == 1;
        assert!(
            *name == lost || others.count() > 0 || substitute_itself,
            "{name}"
        );
    }
    all.retain(|candidate| candidate.node != lost);
    let after = upstreams_of(&all, &regions);
    assert_eq!(watchers(&after).len(), 1);
}

#[test]
fn nodes_partitioned_together_follow_one_of_them() {
    let mut all = nodes("east", 20);
    all.extend(nodes("west", 20));
    let regions = Regions::new();
    let together: Vec<&str> = [3, 11, 12, 25, 31]
        .map(|index| all[index].node.as_str())
        .into();
    let watching = all
        .iter()
        .filter(|own| together.contains(&own.node.as_str()));
    let watching = watching
        .map(|own| store_upstreams(own, &all, &regions, |name| together.contains(&name)))
        .inspect(|followed| assert!(followed.iter().all(|name| together.contains(name))))
        .filter(Vec::is_empty);
    assert_eq!(watching.count(), 1);
}

#[test]
fn a_watcher_rejected_by_the_store_follows_another_node() {
    let mut all = nodes("east", 20);
    all.extend(nodes("west", 20));
    let regions = Regions::new();
    let watcher = watchers(&upstreams_of(&all, &regions))[0].to_owned();
    let own = all.iter().find(|own| own.node == watcher).unwrap();
    let followed = store_upstreams(own, &all, &regions, |name| name != watcher);
    assert_eq!(followed.len(), 2, "{followed:?}");
}

#[test]
fn nodes_rejected_by_the_store_follow_others_in_any_region() {
    let mut all = nodes("east", 20);
    all.extend(nodes("west", 20));
    all.extend(nodes("north", 3));
    let regions = Regions::new();
    for lost in ["east", "west", "north"] {
        let rejected = |name: &str| name.starts_with(lost);
        for own in all.iter().filter(|own| rejected(&own.node)) {
            let followed = store_upstreams(own, &all, &regions, |name| !rejected(name));
            assert_eq!(followed.len(), 2, "{}: {followed:?}", own.node);
            assert!(!followed.iter().any(|name| rejected(name)), "{followed:?}");
        }
    }
    let none = store_upstreams(&all[0], &all, &regions, |_| false);
    assert!(none.is_empty(), "{none:?}");
}

#[test]
fn a_lost_first_node_leaves_its_region_an_upstream() {
    let regions = Regions::new();
    let all = nodes("east", 5);
    let upstreams = upstreams_of(&all, &regions);
    let followers = upstreams.values().filter(|followed| !followed.is_empty());
    for followed in followers.filter(|followed| followed.len() < 2) {
        assert_eq!(followed, &watchers(&upstreams), "the substitute itself");
    }
}

#[test]
fn a_log_that_lacks_changes_returns_none() {
    let mut log: ChangeLog<u8, u64> = ChangeLog::default();
    assert_eq!(log.since(revision(0)), None);
    log.restart(revision(10));
    assert_eq!(log.since(revision(9)), None);
    assert_eq!(log.since(revision(10)), Some(vec![]));
    log.record(revision(12), 1, 12);
    log.record(revision(11), 1, 11);
    assert_eq!(log.since(revision(10)), Some(vec![12]));
    log.restart(revision(20));
    assert_eq!(log.since(revision(12)), None);
}

quickcheck! {
    /// A follower that applies the changes in the log ends with the newest change of each subject.
    fn a_follower_converges_to_the_watcher(subjects: Vec<u8>, asked: u8) -> bool {
        let mut log: ChangeLog<u8, (u8, u64)> = ChangeLog::default();
        log.restart(revision(0));
        let mut whole = BTreeMap::new();
        let mut follower = BTreeMap::new();
        for (number, subject) in (1_u64..).zip(&subjects) {
            log.record(revision(number), *subject, (*subject, number));
            whole.insert(*subject, number);
            if number <= u64::from(asked) {
                follower.insert(*subject, number);
            }
        }
        let changes = log.since(revision(u64::from(asked))).unwrap_or_default();
        let in_order = changes.windows(2).all(|pair| pair[0].1 < pair[1].1);
        follower.extend(changes);
        in_order && follower == whole
    }
}

#[test]
fn a_log_that_began_with_a_listing_is_complete_until_it_drops_changes() {
    let mut log: ChangeLog<u32, &str> = ChangeLog::default();
    assert_eq!(log.everything(), None);
    log.record(revision(9), 1, "before any listing");
    assert_eq!(log.everything(), None);
    log.restart(revision(10));
    log.record(revision(3), 1, "listed");
    log.record(revision(7), 2, "listed");
    log.record(revision(12), 1, "changed");
    assert_eq!(log.since(revision(9)), None);
    assert_eq!(log.since(revision(10)), Some(vec!["changed"]));
    assert_eq!(log.everything(), Some(vec!["listed", "changed"]));
    for number in 0..20_000_u32 {
        log.record(revision(u64::from(number) + 20), number + 10, "many");
    }
    assert_eq!(log.everything(), None);
}

/// Content of a subject in the model store; `None` if it was removed.
type Content = Option<u64>;

/// A change in the model store: the subject and its new content.
type ModelChange = (u8, Content);

/// Applies changes to a node's state.
fn apply(known: &mut BTreeMap<u8, u64>, changes: impl IntoIterator<Item = ModelChange>) {
    for (subject, content) in changes {
        match content {
            Some(content) => known.insert(subject, content),
            None => known.remove(&subject),
        };
    }
}

/// Returns the change that reports the removal of a subject, unless its last change already did.
fn gone(subject: &u8, last: &ModelChange) -> Option<ModelChange> {
    last.1.map(|_| (*subject, None))
}

/// Returns the model store's entries with their revisions.
fn listing(history: &[ModelChange]) -> Vec<(StoreRevision, u8, ModelChange)> {
    let mut newest = BTreeMap::new();
    for (number, change) in (1_u64..).zip(history) {
        newest.insert(change.0, (number, *change));
    }
    let items = newest.into_iter();
    items
        .filter(|(_, (_, change))| change.1.is_some())
        .map(|(subject, (number, change))| (revision(number), subject, change))
        .collect()
}

quickcheck! {
    /// A watcher missed changes and read a complete listing. The changes in its log alone bring a
    /// follower, which knew an earlier state, up to the store's state.
    fn a_follower_receives_what_its_watcher_missed(
        steps: Vec<(u8, bool)>,
        followed: u8,
        known: u8
    ) -> bool {
        let history: Vec<ModelChange> = (1_u64..)
            .zip(steps)
            .map(|(revision, (subject, present))| (subject % 16, present.then_some(revision)))
            .collect();
        let followed = usize::from(followed).min(history.len());
        let known = usize::from(known).min(followed);
        let mut log: ChangeLog<u8, ModelChange> = ChangeLog::default();
        log.take_listing(revision(0), Vec::new(), gone);
        for (number, change) in (1_u64..).zip(&history[..followed]) {
            log.record(revision(number), change.0, *change);
        }
        let read_at = u64::try_from(history.len()).unwrap();
        log.take_listing(revision(read_at), listing(&history), gone);
        let mut follower = BTreeMap::new();
        apply(&mut follower, history[..known].iter().copied());
        let changes = log.since(revision(u64::try_from(known).unwrap()));
        apply(&mut follower, changes.expect("the watcher knows everything"));
        let mut store = BTreeMap::new();
        apply(&mut store, history);
        follower == store
    }
}

#[test]
fn a_listing_after_missed_changes_yields_only_those_changes() {
    for subjects in [1_000_u32, 2_000] {
        let first: Vec<(StoreRevision, u32, Option<u64>)> = (0..subjects)
            .map(|subject| (revision(5), subject, Some(5)))
            .collect();
        let gone = |_: &u32, last: &Option<u64>| last.map(|_| None);
        let mut log: ChangeLog<u32, Option<u64>> = ChangeLog::default();
        log.take_listing(revision(10), first.clone(), gone);
        let mut again = first;
        again[7] = (revision(15), 7, Some(15));
        again.remove(3);
        log.take_listing(revision(20), again, gone);
        let changes = log.since(revision(10)).expect("nothing is missing");
        assert_eq!(changes, [Some(15), None], "{subjects} subjects");
    }
}

#[test]
fn a_change_of_an_earlier_era_does_not_hide_one_with_a_lower_number() {
    let [first, second] = [1, 2].map(StoreEra::new);
    let mut log: ChangeLog<&str, &str> = ChangeLog::default();
    let listed = vec![(StoreRevision::new(first, 9), "configuration", "old")];
    log.take_listing(StoreRevision::new(first, 10), listed, |_, _| None);
    log.record(StoreRevision::new(first, 20), "configuration", "lost");
    let listed = vec![(StoreRevision::new(second, 11), "configuration", "new")];
    log.take_listing(StoreRevision::new(second, 12), listed, |_, _| None);
    assert_eq!(log.everything(), Some(vec!["new"]));
    log.record(StoreRevision::new(second, 13), "configuration", "newer");
    let known = StoreRevision::new(second, 12);
    assert_eq!(log.since(known), Some(vec!["newer"]));
}

#[test]
fn a_log_that_began_with_a_higher_number_than_the_store_has_is_reset() {
    let [first, second] = [1, 2].map(StoreEra::new);
    let mut log: ChangeLog<&str, &str> = ChangeLog::default();
    let old = vec![(StoreRevision::new(first, 180), "database", "lost")];
    log.take_listing(StoreRevision::new(second, 200), old, |_, _| None);
    let present = vec![(StoreRevision::new(second, 9), "database", "present")];
    log.take_listing(StoreRevision::new(second, 12), present, |_, _| None);
    assert_eq!(log.everything(), Some(vec!["present"]));
    log.record(StoreRevision::new(second, 13), "database", "changed");
    let known = StoreRevision::new(second, 12);
    assert_eq!(log.since(known), Some(vec!["changed"]));
}

#[test]
fn a_log_returns_no_changes_for_another_era() {
    let mut log: ChangeLog<u8, u8> = ChangeLog::default();
    let second = StoreEra::new(2);
    log.take_listing(StoreRevision::new(second, 10), Vec::new(), |_, _| None);
    log.record(StoreRevision::new(second, 11), 1, 1);
    for era in [1, 3].map(StoreEra::new) {
        for number in [0, 10, 11, 500] {
            assert_eq!(log.since(StoreRevision::new(era, number)), None);
        }
    }
}

/// Entries of a model store by subject: the number of the last change, and the content.
type ModelItems = BTreeMap<u8, (u64, u64)>;

/// A model store that may be restored from a copy, with its earlier states and their numbers.
struct ModelStore {
    era: u64,
    number: u64,
    items: ModelItems,
    copies: Vec<(u64, ModelItems)>,
}

impl ModelStore {
    fn position(&self) -> StoreRevision {
        StoreRevision::new(StoreEra::new(self.era), self.number)
    }

    fn put(&mut self, subject: u8, content: u64) -> StoreRevision {
        self.copies.push((self.number, self.items.clone()));
        self.number += 1;
        self.items.insert(subject, (self.number, content));
        self.position()
    }

    fn restore(&mut self, back: usize) {
        let index = self.copies.len().saturating_sub(back);
        self.copies.truncate(index + 1);
        if let Some((number, items)) = self.copies.pop() {
            self.number = number;
            self.items = items;
        }
        self.era += 1;
    }

    fn listing(&self) -> Vec<(StoreRevision, u8, (u8, Option<u64>))> {
        let era = StoreEra::new(self.era);
        let items = self.items.iter();
        items
            .map(|(subject, (number, content))| {
                let change = (*subject, Some(*content));
                (StoreRevision::new(era, *number), *subject, change)
            })
            .collect()
    }
}

/// A follower's state and the revision up to which it is known.
#[derive(Clone, Default)]
struct ModelFollower {
    position: StoreRevision,
    known: BTreeMap<u8, u64>,
}

impl ModelFollower {
    fn follow(&mut self, log: &ChangeLog<u8, (u8, Option<u64>)>, position: StoreRevision) {
        let changes = log.since(self.position).unwrap_or_else(|| {
            self.known.clear();
            log.everything().expect("the watcher listed the store")
        });
        apply(&mut self.known, changes);
        self.position = position;
    }
}

quickcheck! {
    /// Followers that occasionally receive changes end with the store's state, however often the
    /// store is restored from a copy in between.
    fn a_follower_converges_to_a_store_that_is_restored_from_copies(steps: Vec<(u8, u8)>) -> bool {
        let mut store = ModelStore {
            era: 1,
            number: 0,
            items: BTreeMap::new(),
            copies: Vec::new(),
        };
        let mut log = ChangeLog::default();
        log.take_listing(store.position(), Vec::new(), gone);
        let mut followers = [ModelFollower::default(), ModelFollower::default()];
        for (content, (kind, subject)) in (1_u64..).zip(steps) {
            match kind % 8 {
                0 => {
                    store.restore(usize::from(subject % 8));
                    log.take_listing(store.position(), store.listing(), gone);
                }
                1 | 2 => followers[usize::from(kind % 8 - 1)].follow(&log, store.position()),
                _ => {
                    let revision = store.put(subject % 4, content);
                    log.record(revision, subject % 4, (subject % 4, Some(content)));
                }
            }
        }
        let present: BTreeMap<u8, u64> = store
            .items
            .iter()
            .map(|(subject, (_, content))| (*subject, *content))
            .collect();
        followers.into_iter().all(|mut follower| {
            follower.follow(&log, store.position());
            follower.known == present
        })
    }
}
