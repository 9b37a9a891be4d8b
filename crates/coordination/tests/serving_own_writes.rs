//! Tests of which of its own writes a session's read has to see.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_coordination::serving::leadership::{LeadershipPeriod, PeriodPosition};
use hookpoint_coordination::serving::own_writes::{OwnWriteRequirement, OwnWrites};
use hookpoint_state::{GroupName, Position, Timestamp};
use quickcheck::{Arbitrary, Gen, quickcheck};

fn group(number: u8) -> GroupName {
    GroupName::new(format!("group-{number}"))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(60_000 + millis)
}

/// All positions are in the same leadership period number, as those of different groups may be.
fn position(number: u64) -> PeriodPosition {
    PeriodPosition {
        leadership_period: LeadershipPeriod(1),
        position: Position::new(1, number),
    }
}

#[test]
fn a_write_to_another_group_changes_no_requirement() {
    let mut writes = OwnWrites::default();
    writes.record(&group(1), Some(position(200)), at(0));
    writes.record(&group(2), Some(position(3)), at(10));
    let first = writes.requirement(&group(1), at(0));
    assert_eq!(first, OwnWriteRequirement::Position(position(200)));
    let second = writes.requirement(&group(2), at(0));
    assert_eq!(second, OwnWriteRequirement::Position(position(3)));
    let third = writes.requirement(&group(3), at(0));
    assert_eq!(third, OwnWriteRequirement::None);
}

#[test]
fn a_write_without_a_known_position_requires_the_primary_until_it_is_old() {
    let mut writes = OwnWrites::default();
    writes.record(&group(1), Some(position(200)), at(0));
    writes.record(&group(1), None, at(10));
    let unknown = OwnWriteRequirement::UnknownPosition;
    assert_eq!(writes.requirement(&group(1), at(10)), unknown);
    let none = OwnWriteRequirement::None;
    assert_eq!(writes.requirement(&group(1), at(11)), none);
    writes.record(&group(1), Some(position(202)), at(20));
    let known = OwnWriteRequirement::Position(position(202));
    assert_eq!(writes.requirement(&group(1), at(0)), known);
}

/// A write or a read of a session, some time after the previous one.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write {
        group: u8,
        known: bool,
    },
    Read {
        group: u8,
        staleness: Duration,
    },
    /// Time passes.
    Rest(Duration),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        // More groups than a session keeps positions for.
        let group = u8::arbitrary(source) % 12;
        let duration = Duration::from_millis(u64::from(u8::arbitrary(source)));
        match u8::arbitrary(source) % 3 {
            0 => Step::Write {
                group,
                known: u8::arbitrary(source) % 4 > 0,
            },
            1 => Step::Read {
                group,
                staleness: duration,
            },
            _ => Step::Rest(duration),
        }
    }
}

/// Returns whether each read requires the session's last write to its group, unless that is older
/// than the staleness bound. `key` maps a group to the one under which its writes are recorded.
fn all_reads_see_their_writes(steps: &[Step], key: impl Fn(u8) -> u8) -> bool {
    let mut writes = OwnWrites::default();
    let mut last = BTreeMap::new();
    let mut now = at(1_000);
    let mut number = 0;
    for step in steps {
        now = now + Duration::from_millis(1);
        match *step {
            Step::Rest(duration) => now = now + duration,
            Step::Write { group: to, known } => {
                number += 1;
                let written = known.then(|| position(number));
                writes.record(&group(key(to)), written, now);
                last.insert(to, (number, now));
            }
            Step::Read {
                group: from,
                staleness,
            } => {
                let horizon = now - staleness;
                let requirement = writes.requirement(&group(key(from)), horizon);
                let seen = match (requirement, last.get(&from)) {
                    (_, None) | (OwnWriteRequirement::UnknownPosition, _) => true,
                    (OwnWriteRequirement::None, Some((_, written_at))) => *written_at < horizon,
                    (OwnWriteRequirement::Position(required), Some((number, _))) => {
                        required == position(*number)
                    }
                };
                if !seen {
                    return false;
                }
            }
        }
    }
    true
}

quickcheck! {
    fn a_read_sees_the_last_write_to_its_group(steps: Vec<Step>) -> bool {
        all_reads_see_their_writes(&steps, |group| group)
    }
}

/// Control: one position for all groups is detected.
#[test]
fn a_position_that_is_not_kept_by_group_is_detected() {
    let steps = [
        Step::Write {
            group: 1,
            known: true,
        },
        Step::Write {
            group: 2,
            known: true,
        },
        Step::Read {
            group: 1,
            staleness: Duration::from_millis(100),
        },
    ];
    assert!(all_reads_see_their_writes(&steps, |group| group));
    assert!(!all_reads_see_their_writes(&steps, |_| 0));
}
