//! What a node knows of coordinators.

mod store;

use hookpoint_coordination::serving::coordinator::{CoordinatorRecord, CoordinatorView};
use hookpoint_state::StoreRevision;
use store::revision;

fn record(node: &str) -> CoordinatorRecord {
    CoordinatorRecord {
        node: node.to_owned(),
        lease: 1,
    }
}

/// A record lapsed in an outage of the store, and one node alone heard of that. It asked
/// stand-ins in vain, as the others went on voting for the coordinator.
#[test]
fn a_coordinator_whose_record_is_gone_stays_the_one_to_ask() {
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
fn the_newest_coordinator_is_asked_however_it_was_heard_of() {
    let mut view = CoordinatorView::default();
    assert_eq!(view.newest(), None);
    view.take_record(revision(7), Some(record("first")));
    view.learn(revision(12), "second");
    assert_eq!(view.newest(), Some("second"));
    view.learn(revision(7), "first");
    assert_eq!(view.newest(), Some("second"));
    assert_eq!(view.holder(), Some(&record("first")));
    view.take_record(revision(15), Some(record("third")));
    assert_eq!(view.newest(), Some("third"));
}

/// A process that starts again finds its predecessor's record, which it may replace.
#[test]
fn a_record_is_left_behind_by_an_earlier_process_of_the_same_node_only() {
    let mut view = CoordinatorView::default();
    assert!(view.left_behind("first", None).is_none());
    view.take_record(revision(7), Some(record("first")));
    assert!(view.left_behind("first", None).is_some());
    assert!(view.left_behind("first", Some(2)).is_some());
    assert!(view.left_behind("first", Some(1)).is_none());
    assert!(view.left_behind("second", None).is_none());
}

#[test]
fn an_older_record_is_passed_over() {
    let mut view = CoordinatorView::default();
    view.take_record(revision(9), Some(record("second")));
    view.take_record(revision(7), Some(record("first")));
    assert_eq!(view.holder(), Some(&record("second")));
    view.take_record(revision(8), None);
    assert_eq!(view.revision(), revision(9));
}
