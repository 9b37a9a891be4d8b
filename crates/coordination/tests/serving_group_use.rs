//! Tests of how often a group's primary is queried, depending on how much the group is used.

use std::time::Duration;

use hookpoint_coordination::serving::group_use::GroupUse;
use hookpoint_state::Timestamp;
use quickcheck::quickcheck;

const START: Timestamp = Timestamp(60_000_000);
/// Interval at which a node checks the primaries that it tracks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

/// Returns the number of status queries that `group_use` allows in `checks` checks.
fn queries_in(group_use: &mut GroupUse, checks: usize) -> usize {
    (0..checks).filter(|_| group_use.take_query()).count()
}

#[test]
fn an_unused_group_is_not_queried() {
    let mut group_use = GroupUse::default();
    assert!(group_use.is_unused(START));
    assert!(!group_use.is_in_use(START));
    assert!(!group_use.expects_use(START));
    assert_eq!(queries_in(&mut group_use, 1_000), 0);
}

#[test]
fn a_single_use_is_forgotten() {
    let mut group_use = GroupUse::default();
    group_use.note_use(START);
    assert!(group_use.is_in_use(at(2_000)));
    assert!(!group_use.expects_use(at(100)));
    assert_eq!(queries_in(&mut group_use, 1_000), 2);
    assert!(group_use.is_unused(at(3_000)));
}

#[test]
fn statements_of_one_request_are_one_use() {
    let mut group_use = GroupUse::default();
    for millis in [0, 5, 10, 200] {
        group_use.note_use(at(millis));
    }
    assert!(!group_use.expects_use(at(300)));
}

#[test]
fn a_request_that_waits_for_the_primary_triggers_sampling() {
    let mut group_use = GroupUse::default();
    group_use.note_use(START);
    assert!(!group_use.wants_samples(at(10)));
    group_use.note_awaited(at(10));
    assert!(group_use.wants_samples(at(400)));
    assert!(!group_use.wants_samples(at(600)));
}

#[test]
fn a_group_in_steady_use_is_kept_up_to_date() {
    let mut group_use = GroupUse::default();
    for millis in (0..2_000).step_by(10) {
        group_use.note_use(at(millis));
    }
    assert!(group_use.expects_use(at(2_100)));
}

#[test]
fn a_repeatedly_used_group_is_kept_up_to_date() {
    let cases = [
        ("every second", 1_000, 2_900, true),
        ("every ten seconds", 10_000, 19_000, true),
        ("every ten seconds, but no longer", 10_000, 21_000, false),
        ("every minute", 60_000, 1_000, false),
    ];
    for (case, pause, later, expected) in cases {
        let mut group_use = GroupUse::default();
        group_use.note_use(at(0));
        group_use.note_use(at(pause));
        assert_eq!(group_use.expects_use(at(pause + later)), expected, "{case}");
    }
}

#[test]
fn a_primary_in_steady_use_is_queried_at_each_check() {
    let mut group_use = GroupUse::default();
    let mut queries_sent = 0;
    for check in 0..100 {
        let now = START + CHECK_INTERVAL * check;
        group_use.note_use(now);
        group_use.note_use(now + CHECK_INTERVAL / 2);
        queries_sent += queries_in(&mut group_use, 1);
    }
    assert_eq!(queries_sent, 100);
}

quickcheck! {
    /// The number of a node's status queries is bounded by the number of uses, whenever they
    /// happen.
    fn queries_are_bounded_by_uses(uses: Vec<(u16, bool)>) -> bool {
        let mut group_use = GroupUse::default();
        let mut queries_sent = 0;
        let mut now = START;
        for (pause, own) in &uses {
            now = now + Duration::from_millis(u64::from(*pause));
            if *own {
                group_use.note_use(now);
            } else {
                group_use.note_relied_on(now);
            }
            queries_sent += queries_in(&mut group_use, usize::from(*pause) / 250);
        }
        queries_sent + queries_in(&mut group_use, 1_000) <= uses.len() * 2
    }
}
