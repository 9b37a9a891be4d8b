//! Who watches the state store, and the log of changes that watchers pass on.

use std::collections::BTreeMap;

use hookpoint_coordination::serving::feed::{ChangeLog, Regions, has_followers, store_watchers};
use hookpoint_coordination::serving::homes::HomeCandidate;
use hookpoint_state::ZoneName;
use quickcheck::quickcheck;

fn nodes(zone: &str, count: usize) -> Vec<HomeCandidate> {
    (0..count)
        .map(|index| HomeCandidate {
            node: format!("{zone}-{index}"),
            zone: ZoneName::new(zone),
        })
        .collect()
}

#[test]
fn all_nodes_of_a_small_zone_watch_and_two_of_a_large_one() {
    for (count, watching) in [(0, 0), (1, 1), (4, 4), (5, 2), (300, 2)] {
        let mut all = nodes("east", count);
        all.extend(nodes("west", 9));
        let zone = ZoneName::new("east");
        assert_eq!(
            store_watchers(&zone, &all, &Regions::new()).len(),
            watching,
            "{count}"
        );
        assert_eq!(
            has_followers(&zone, &all, &Regions::new()),
            count > 4,
            "{count}"
        );
    }
}

#[test]
fn zones_of_one_region_share_their_watchers() {
    let mut all = nodes("east", 3);
    all.extend(nodes("centre", 3));
    all.extend(nodes("west", 3));
    let regions = Regions::from([
        (ZoneName::new("east"), "left".to_owned()),
        (ZoneName::new("centre"), "left".to_owned()),
    ]);
    let watchers = |zone: &str| store_watchers(&ZoneName::new(zone), &all, &regions);
    assert_eq!(watchers("east").len(), 2);
    assert_eq!(watchers("east"), watchers("centre"));
    assert_eq!(watchers("west").len(), 3, "a region of its own");
    assert!(has_followers(&ZoneName::new("centre"), &all, &regions));
    assert!(!has_followers(&ZoneName::new("west"), &all, &regions));
}

#[test]
fn large_regions_have_one_watcher_each_that_stand_in_for_one_another() {
    let mut all = nodes("east", 20);
    all.extend(nodes("west", 20));
    all.extend(nodes("north", 4));
    let watchers = |zone: &str| store_watchers(&ZoneName::new(zone), &all, &Regions::new());
    let (east, west) = (watchers("east"), watchers("west"));
    assert_eq!(east, [west[1], west[0]]);
    assert!(east[0].starts_with("east") && west[0].starts_with("west"));
    assert_eq!(watchers("north").len(), 4, "a small region watches itself");
}

#[test]
fn a_lost_watcher_is_replaced_and_the_other_one_stays() {
    let zone = ZoneName::new("east");
    let mut all = nodes("east", 20);
    let before: Vec<String> = store_watchers(&zone, &all, &Regions::new())
        .into_iter()
        .map(str::to_owned)
        .collect();
    all.retain(|candidate| candidate.node != before[0]);
    let after = store_watchers(&zone, &all, &Regions::new());
    assert_eq!(after[0], before[1]);
    assert_eq!(after.len(), 2);
}

#[test]
fn a_log_that_lacks_changes_says_so() {
    let mut log: ChangeLog<u8, u64> = ChangeLog::default();
    assert_eq!(log.since(0), None);
    log.restart(10);
    assert_eq!(log.since(9), None);
    assert_eq!(log.since(10), Some(vec![]));
    log.record(12, 1, 12);
    log.record(11, 1, 11);
    assert_eq!(log.since(10), Some(vec![12]));
    log.restart(20);
    assert_eq!(log.since(12), None);
}

quickcheck! {
    /// Whoever applies what the log tells ends with the newest change of each subject.
    fn a_follower_ends_where_the_watcher_is(subjects: Vec<u8>, asked: u8) -> bool {
        let mut log: ChangeLog<u8, (u8, u64)> = ChangeLog::default();
        log.restart(0);
        let mut whole = BTreeMap::new();
        let mut follower = BTreeMap::new();
        for (revision, subject) in (1_u64..).zip(&subjects) {
            log.record(revision, *subject, (*subject, revision));
            whole.insert(*subject, revision);
            if revision <= u64::from(asked) {
                follower.insert(*subject, revision);
            }
        }
        let changes = log.since(u64::from(asked)).unwrap_or_default();
        let in_order = changes.windows(2).all(|pair| pair[0].1 < pair[1].1);
        follower.extend(changes);
        in_order && follower == whole
    }
}
