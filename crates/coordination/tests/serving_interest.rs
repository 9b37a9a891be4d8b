//! How closely a group's primary is watched, by how much the group is used.

use std::time::Duration;

use hookpoint_coordination::serving::interest::Interest;
use hookpoint_state::Timestamp;
use quickcheck::quickcheck;

const START: Timestamp = Timestamp(60_000_000);
/// Pause between two looks of a node at the primaries that it watches.
const LOOK: Duration = Duration::from_millis(250);

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

/// Questions taken in `looks` looks by one with the `interest`.
fn questions_in(interest: &mut Interest, looks: usize) -> usize {
    (0..looks).filter(|_| interest.take_question()).count()
}

#[test]
fn what_nobody_uses_is_not_watched() {
    let mut interest = Interest::default();
    assert!(interest.is_over(START));
    assert!(!interest.is_in_use(START));
    assert!(!interest.expects_use(START));
    assert_eq!(questions_in(&mut interest, 1_000), 0);
}

#[test]
fn a_single_use_is_forgotten() {
    let mut interest = Interest::default();
    interest.note_use(START);
    assert!(interest.is_in_use(at(2_000)));
    assert!(!interest.expects_use(at(100)));
    assert_eq!(questions_in(&mut interest, 1_000), 2);
    assert!(interest.is_over(at(3_000)));
}

#[test]
fn statements_of_one_request_are_one_use() {
    let mut interest = Interest::default();
    for millis in [0, 5, 10, 200] {
        interest.note_use(at(millis));
    }
    assert!(!interest.expects_use(at(300)));
}

#[test]
fn a_request_that_waits_for_word_of_the_primary_has_it_asked_for() {
    let mut interest = Interest::default();
    interest.note_use(START);
    assert!(!interest.wants_samples(at(10)));
    interest.note_awaited(at(10));
    assert!(interest.wants_samples(at(400)));
    assert!(!interest.wants_samples(at(600)));
}

#[test]
fn a_group_in_steady_use_is_kept_known() {
    let mut interest = Interest::default();
    for millis in (0..2_000).step_by(10) {
        interest.note_use(at(millis));
    }
    assert!(interest.expects_use(at(2_100)));
}

#[test]
fn a_group_that_is_used_again_and_again_is_kept_known() {
    let cases = [
        ("every second", 1_000, 2_900, true),
        ("every ten seconds", 10_000, 19_000, true),
        ("every ten seconds, but no longer", 10_000, 21_000, false),
        ("every minute", 60_000, 1_000, false),
    ];
    for (case, pause, later, expected) in cases {
        let mut interest = Interest::default();
        interest.note_use(at(0));
        interest.note_use(at(pause));
        assert_eq!(interest.expects_use(at(pause + later)), expected, "{case}");
    }
}

#[test]
fn a_primary_in_steady_use_is_asked_at_each_look() {
    let mut interest = Interest::default();
    let mut asked = 0;
    for look in 0..100 {
        let now = START + LOOK * look;
        interest.note_use(now);
        interest.note_use(now + LOOK / 2);
        asked += questions_in(&mut interest, 1);
    }
    assert_eq!(asked, 100);
}

quickcheck! {
    /// A node's questions are bounded by its work, whenever that comes.
    fn questions_are_bounded_by_uses(uses: Vec<(u16, bool)>) -> bool {
        let mut interest = Interest::default();
        let mut asked = 0;
        let mut now = START;
        for (pause, own) in &uses {
            now = now + Duration::from_millis(u64::from(*pause));
            if *own {
                interest.note_use(now);
            } else {
                interest.note_relied_on(now);
            }
            asked += questions_in(&mut interest, usize::from(*pause) / 250);
        }
        asked + questions_in(&mut interest, 1_000) <= uses.len() * 2
    }
}
