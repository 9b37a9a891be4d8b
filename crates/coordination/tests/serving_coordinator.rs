//! Tests of a node's knowledge of coordinators and of the delay before a record is claimed.

mod store;

use std::time::Duration;

use hookpoint_coordination::serving::coordinator::{
    ClaimDelay, CoordinatorRecord, CoordinatorView, RECORD_TTL, lease_valid_until,
};
use hookpoint_state::{StoreEra, StoreRevision, Timestamp};
use quickcheck::{QuickCheck, TestResult};
use store::revision;

fn record(node: &str) -> CoordinatorRecord {
    CoordinatorRecord {
        node: node.to_owned(),
        lease: 1,
    }
}

/// Guards against a node without leases after a store outage: the coordinator's record had expired,
/// and only one node received that change. It asked substitute coordinators without success,
/// because all other nodes still voted for the coordinator.
#[test]
fn a_coordinator_without_a_record_is_still_the_newest_known() {
    let mut view = CoordinatorView::default();
    view.take_record(revision(7), Some(record("first")));
    view.take_record(revision(9), None);
    assert_eq!(view.holder(), None);
    assert_eq!(view.revision(), StoreRevision::default());
    assert_eq!(view.newest(), Some("first"));
    view.forget_record();
    assert_eq!(view.newest(), Some("first"));
}

#[test]
fn the_newest_coordinator_is_known_from_records_and_announcements() {
    let mut view = CoordinatorView::default();
    assert_eq!(view.newest(), None);
    view.take_record(revision(7), Some(record("first")));
    view.note_coordinator(revision(12), "second");
    assert_eq!(view.newest(), Some("second"));
    view.note_coordinator(revision(7), "first");
    assert_eq!(view.newest(), Some("second"));
    assert_eq!(view.holder(), Some(&record("first")));
    view.take_record(revision(15), Some(record("third")));
    assert_eq!(view.newest(), Some("third"));
}

/// A restarted process finds the record of its predecessor and may replace it.
#[test]
fn a_record_is_stale_only_if_an_earlier_process_of_the_same_node_wrote_it() {
    let mut view = CoordinatorView::default();
    assert!(view.stale_record("first", None).is_none());
    view.take_record(revision(7), Some(record("first")));
    assert!(view.stale_record("first", None).is_some());
    assert!(view.stale_record("first", Some(2)).is_some());
    assert!(view.stale_record("first", Some(1)).is_none());
    assert!(view.stale_record("second", None).is_none());
}

#[test]
fn an_older_record_is_ignored() {
    let mut view = CoordinatorView::default();
    view.take_record(revision(9), Some(record("second")));
    view.take_record(revision(7), Some(record("first")));
    assert_eq!(view.holder(), Some(&record("second")));
    view.take_record(revision(8), None);
    assert_eq!(view.revision(), revision(9));
}

#[test]
fn a_free_record_is_not_claimed_while_a_lost_coordinator_may_rely_on_it() {
    let first = StoreEra::new(1);
    let second = StoreEra::new(2);
    let at = Timestamp::from_millis;
    let mut delay = ClaimDelay::default();
    assert!(!delay.is_over(at(9_000)), "no era is known yet");
    delay.note_era(first, false, at(10_000));
    assert!(delay.is_over(at(12_000)));
    delay.note_era(second, false, at(20_000));
    assert!(!delay.is_over(at(20_000) + RECORD_TTL - Duration::from_millis(1)));
    assert!(delay.is_over(at(20_000) + RECORD_TTL));
    delay.note_era(second, false, at(30_000));
    delay.note_era(first, false, at(30_000));
    assert!(delay.is_over(at(30_000)), "nothing new");
}

#[test]
fn the_coordinator_of_the_previous_era_does_not_wait() {
    let mut delay = ClaimDelay::default();
    delay.note_era(StoreEra::new(1), false, Timestamp::from_millis(10_000));
    delay.note_era(StoreEra::new(2), true, Timestamp::from_millis(20_000));
    assert!(delay.is_over(Timestamp::from_millis(20_000)));
}

#[test]
fn a_node_that_starts_in_a_settled_era_claims_a_free_record_at_once() {
    let mut delay = ClaimDelay::default();
    delay.settle(StoreEra::new(2));
    assert!(
        !delay.is_over(Timestamp::from_millis(9_000)),
        "no era is known"
    );
    delay.note_era(StoreEra::new(2), false, Timestamp::from_millis(10_000));
    assert!(delay.is_over(Timestamp::from_millis(10_000)));
    delay.note_era(StoreEra::new(3), false, Timestamp::from_millis(20_000));
    assert!(!delay.is_over(Timestamp::from_millis(20_000)));
}

const NODES: usize = 3;

/// State of one node of the model.
#[derive(Clone, Copy, Default)]
struct ModelNode {
    known_era: Option<StoreEra>,
    delay: ClaimDelay,
    /// The era of its record, and until when it relies on the record.
    tenure: Option<(StoreEra, Timestamp)>,
}

impl ModelNode {
    fn coordinates(&self, now: Timestamp) -> bool {
        self.tenure.is_some_and(|(_, until)| now < until)
    }

    fn observe_era(&mut self, era: StoreEra, now: Timestamp) {
        let coordinates = self.coordinates(now);
        self.delay.note_era(era, coordinates, now);
        self.tenure = self.tenure.filter(|(claimed_in, _)| *claimed_in == era);
        self.known_era = Some(era);
    }
}

/// The store's record: its holder, and when its lease expires.
type ModelRecord = Option<(usize, Timestamp)>;

/// Simulates claims, renewals and restores of the store from a copy that lacks the record. Returns
/// whether two nodes were ever coordinators at the same time.
fn two_coordinate(steps: &[(u8, u8)], delayed: bool) -> bool {
    let mut now = Timestamp::from_millis(60_000);
    let mut era = StoreEra::new(1);
    let mut record: ModelRecord = None;
    let mut nodes = [ModelNode::default(); NODES];
    for (kind, value) in steps {
        let index = usize::from(*value) % NODES;
        let node = &mut nodes[index];
        record = record.filter(|(_, until)| now < *until);
        match kind % 8 {
            0 => {
                era = StoreEra::new(era.number() + 1);
                record = None;
            }
            1 | 2 => now = now + Duration::from_millis(u64::from(*value) * 4),
            3 | 4 => node.observe_era(era, now),
            5 => {
                let delay_over = !delayed || node.delay.is_over(now);
                if record.is_none() && node.known_era == Some(era) && delay_over {
                    record = Some((index, now + RECORD_TTL));
                    node.tenure = Some((era, lease_valid_until(now)));
                }
            }
            _ => {
                let own = record.filter(|(holder, _)| *holder == index);
                match (own, node.tenure) {
                    (Some(_), Some((claimed_in, _))) if claimed_in == era => {
                        record = Some((index, now + RECORD_TTL));
                        node.tenure = Some((era, lease_valid_until(now)));
                    }
                    _ => {}
                }
            }
        }
        if nodes.iter().filter(|node| node.coordinates(now)).count() > 1 {
            return true;
        }
    }
    false
}

#[test]
fn at_most_one_node_coordinates_however_often_the_store_loses_the_record() {
    fn at_most_one(steps: Vec<(u8, u8)>) -> TestResult {
        TestResult::from_bool(!two_coordinate(&steps, true))
    }
    QuickCheck::new()
        .tests(4_000)
        .quickcheck(at_most_one as fn(Vec<(u8, u8)>) -> TestResult);
}

#[test]
fn without_the_delay_two_nodes_would_coordinate() {
    let claimed_by_one_then_lost_then_claimed_by_another = [(3, 0), (5, 0), (0, 0), (3, 1), (5, 1)];
    assert!(two_coordinate(
        &claimed_by_one_then_lost_then_claimed_by_another,
        false
    ));
    assert!(!two_coordinate(
        &claimed_by_one_then_lost_then_claimed_by_another,
        true
    ));
}
