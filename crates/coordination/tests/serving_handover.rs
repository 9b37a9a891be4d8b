//! Tests of when a group's primary moves, and to which database.

mod store;

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_coordination::serving::departure::REWRITE_TIME;
use hookpoint_coordination::serving::evacuation::{Evacuations, ZoneAvailability};
use hookpoint_coordination::serving::failover::{
    NoCandidate, ReplicaState, choose_candidate, choose_target,
};
use hookpoint_coordination::serving::handover::{
    Drawbacks, HandoverLimiter, MAX_CATCH_UP_WAIT, MIN_STAY, MoveReason, PLANNED_MOVE_SHARE,
    PlannedMove, PrimaryLocation, holds_enough, plan_move, reason_to_move,
};
use hookpoint_state::{
    DatabaseName, Position, RegionName, StoreEra, StoreRevision, Timestamp, ZoneName,
};
use quickcheck::quickcheck;
use store::revision;

const NONE: Drawbacks = Drawbacks {
    evacuated: false,
    leaving: false,
    outside_regions: false,
    cold: false,
    returning: false,
};
const EVACUATED: Drawbacks = Drawbacks {
    evacuated: true,
    ..NONE
};
const LEAVING: Drawbacks = Drawbacks {
    leaving: true,
    ..NONE
};
const OUTSIDE: Drawbacks = Drawbacks {
    outside_regions: true,
    ..NONE
};
const COLD: Drawbacks = Drawbacks { cold: true, ..NONE };
const RETURNING: Drawbacks = Drawbacks {
    returning: true,
    ..NONE
};

fn name(text: &str) -> DatabaseName {
    DatabaseName::new(text)
}

fn at(millis: u64) -> Timestamp {
    Timestamp(60_000_000) + Duration::from_millis(millis)
}

/// Returns the planned move of a primary in a group with two other databases, `a` and `b`: its
/// reason and its targets.
fn planned(
    present: Drawbacks,
    stayed: Option<Duration>,
    a: Drawbacks,
    b: Drawbacks,
) -> Option<(MoveReason, Vec<&'static str>)> {
    let others = [(name("a"), a), (name("b"), b)];
    let PlannedMove { reason, targets } = plan_move(present, stayed, &others)?;
    let named = |target: &DatabaseName| if *target == name("a") { "a" } else { "b" };
    Some((reason, targets.iter().map(named).collect()))
}

#[test]
fn a_primary_moves_for_the_first_reason_that_a_target_resolves() {
    use MoveReason::{Cold, Evacuated, Leaving, OutsideRegions};
    let both = Drawbacks {
        leaving: true,
        ..EVACUATED
    };
    let rows = [
        (NONE, NONE, NONE, None),
        (EVACUATED, NONE, NONE, Some((Evacuated, vec!["a", "b"]))),
        (EVACUATED, EVACUATED, NONE, Some((Evacuated, vec!["b"]))),
        (EVACUATED, EVACUATED, EVACUATED, None),
        (EVACUATED, LEAVING, COLD, Some((Evacuated, vec!["a", "b"]))),
        (LEAVING, EVACUATED, NONE, Some((Leaving, vec!["b"]))),
        (LEAVING, EVACUATED, EVACUATED, None),
        (LEAVING, LEAVING, OUTSIDE, Some((Leaving, vec!["b"]))),
        (both, EVACUATED, EVACUATED, Some((Leaving, vec!["a", "b"]))),
        (both, LEAVING, EVACUATED, Some((Evacuated, vec!["a"]))),
        (OUTSIDE, NONE, COLD, Some((OutsideRegions, vec!["a", "b"]))),
        (OUTSIDE, OUTSIDE, OUTSIDE, None),
        (OUTSIDE, LEAVING, EVACUATED, None),
        (COLD, NONE, COLD, Some((Cold, vec!["a"]))),
        (COLD, OUTSIDE, EVACUATED, None),
        (COLD, RETURNING, COLD, Some((Cold, vec!["a"]))),
        (RETURNING, NONE, NONE, None),
    ];
    for (present, a, b, expected) in rows {
        assert_eq!(
            planned(present, None, a, b),
            expected,
            "{present:?}: {a:?}, {b:?}"
        );
    }
}

#[test]
fn only_urgent_reasons_move_a_recently_promoted_primary() {
    let recently = Some(MIN_STAY - Duration::from_millis(1));
    for urgent in [EVACUATED, LEAVING] {
        assert!(
            planned(urgent, recently, NONE, NONE).is_some(),
            "{urgent:?}"
        );
    }
    for deferrable in [OUTSIDE, COLD] {
        assert_eq!(
            planned(deferrable, recently, NONE, NONE),
            None,
            "{deferrable:?}"
        );
        assert_eq!(reason_to_move(deferrable, recently), None);
        assert!(planned(deferrable, Some(MIN_STAY), NONE, NONE).is_some());
    }
}

#[test]
fn a_reason_to_move_exists_even_without_a_target() {
    assert_eq!(reason_to_move(EVACUATED, None), Some(MoveReason::Evacuated));
    assert_eq!(planned(EVACUATED, None, EVACUATED, EVACUATED), None);
}

#[test]
fn drawbacks_follow_from_the_zone_and_the_allowed_regions() {
    let location = |zone, region: Option<&str>| PrimaryLocation {
        leaving: false,
        zone,
        region: region.map(RegionName::new),
        cold: false,
    };
    let allowed: BTreeSet<RegionName> = [RegionName::new("east")].into();
    let none = BTreeSet::new();
    let rows = [
        (ZoneAvailability::Open, Some("east"), Some(&allowed), NONE),
        (
            ZoneAvailability::Open,
            Some("west"),
            Some(&allowed),
            OUTSIDE,
        ),
        (ZoneAvailability::Open, None, Some(&allowed), OUTSIDE),
        (ZoneAvailability::Open, Some("west"), Some(&none), NONE),
        (ZoneAvailability::Open, Some("west"), None, NONE),
        (ZoneAvailability::Returning, None, None, RETURNING),
        (ZoneAvailability::Evacuating, None, None, EVACUATED),
        (ZoneAvailability::Evacuated, None, None, EVACUATED),
    ];
    for (zone, region, regions, expected) in rows {
        let drawbacks = Drawbacks::of(&location(zone, region), regions);
        assert_eq!(drawbacks, expected, "{zone:?} {region:?} {regions:?}");
    }
}

fn drawbacks_from_bits(bits: u8) -> Drawbacks {
    Drawbacks {
        evacuated: bits & 1 != 0,
        leaving: bits & 2 != 0,
        outside_regions: bits & 4 != 0,
        cold: bits & 8 != 0,
        returning: bits & 16 != 0,
    }
}

quickcheck! {
    /// Whatever the drawbacks of each database, a primary that always moves to any of the targets
    /// stops moving after at most as many moves as there are other databases.
    fn reasons_never_move_a_primary_back_and_forth(all: Vec<u8>, choices: Vec<usize>) -> bool {
        let databases: Vec<(DatabaseName, Drawbacks)> = all
            .iter()
            .take(8)
            .enumerate()
            .map(|(number, bits)| (name(&format!("d{number}")), drawbacks_from_bits(*bits)))
            .collect();
        let mut leader = 0;
        for moves in 0..=databases.len() {
            let Some((leading, present)) = databases.get(leader) else {
                return true;
            };
            let others: Vec<_> = databases.iter().filter(|(other, _)| other != leading).cloned().collect();
            let Some(planned) = plan_move(*present, None, &others) else {
                return true;
            };
            let choice = choices.get(moves).copied().unwrap_or_default();
            let target = &planned.targets[choice % planned.targets.len()];
            leader = databases.iter().position(|(other, _)| other == target).unwrap();
        }
        false
    }

    /// The chosen replica is always one of the targets, provided that it holds commits.
    fn the_chosen_replica_is_a_target(present: u8, a: (u8, u64), b: (u8, u64)) -> bool {
        let replicas: Vec<ReplicaState> = [("a", a), ("b", b)]
            .into_iter()
            .map(|(text, (bits, received))| replica(text, 1 + received % 9, drawbacks_from_bits(bits)))
            .collect();
        let others: Vec<_> = replicas.iter().map(|state| (state.name.clone(), state.drawbacks)).collect();
        match plan_move(drawbacks_from_bits(present), None, &others) {
            None => true,
            Some(planned) => {
                let chosen = choose_target(&replicas, 2, 0, &planned.targets).unwrap();
                planned.targets.contains(&chosen)
            }
        }
    }
}

/// Negative control of the property above: if each reason is considered alone, two databases hand
/// the primary back and forth forever.
#[test]
fn without_an_order_of_reasons_a_primary_would_move_back_and_forth() {
    let alone = |present: Drawbacks, other: Drawbacks| {
        let reasons = [MoveReason::OutsideRegions, MoveReason::Cold];
        reasons
            .into_iter()
            .any(|reason| present.includes(reason) && !other.includes(reason))
    };
    assert!(alone(OUTSIDE, COLD) && alone(COLD, OUTSIDE));
    let moves = |present, other| plan_move(present, None, &[(name("a"), other)]).is_some();
    assert!(moves(OUTSIDE, COLD) && !moves(COLD, OUTSIDE));
}

fn replica(text: &str, received: u64, drawbacks: Drawbacks) -> ReplicaState {
    ReplicaState {
        name: name(text),
        received: Position::new(1, received),
        drawbacks,
        preferred: false,
    }
}

#[test]
fn the_candidate_has_the_least_severe_drawbacks_and_is_never_empty_if_another_holds_commits() {
    let rows = [
        (replica("a", 9, EVACUATED), replica("b", 5, NONE), 0, "b"),
        (replica("a", 9, EVACUATED), replica("b", 5, NONE), 1, "a"),
        (
            replica("a", 9, EVACUATED),
            replica("b", 5, EVACUATED),
            0,
            "a",
        ),
        (replica("a", 9, RETURNING), replica("b", 5, NONE), 0, "b"),
        (replica("a", 9, COLD), replica("b", 5, OUTSIDE), 0, "a"),
        (replica("a", 9, EVACUATED), replica("b", 0, NONE), 0, "a"),
        (replica("a", 0, NONE), replica("b", 3, LEAVING), 0, "b"),
        (replica("a", 0, NONE), replica("b", 0, LEAVING), 0, "a"),
    ];
    for (a, b, sync_replicas, expected) in rows {
        let chosen = choose_candidate(&[a.clone(), b.clone()], 2, sync_replicas);
        assert_eq!(chosen, Ok(name(expected)), "{a:?}, {b:?}, {sync_replicas}");
    }
}

/// Guards against moving the primary to the replica that has received most if that replica is in a
/// location to which the primary must not move.
#[test]
fn a_planned_move_chooses_among_its_targets_alone() {
    let replicas = [replica("a", 900, EVACUATED), replica("b", 5, NONE)];
    let targets = [name("b")];
    assert_eq!(choose_candidate(&replicas, 2, 0), Ok(name("a")));
    assert_eq!(choose_target(&replicas, 2, 0, &targets), Ok(name("b")));
    let lacking = choose_target(&replicas, 2, 1, &targets);
    assert_eq!(lacking, Err(NoCandidate::NoTarget));
    let silent = choose_target(&replicas[1..], 2, 1, &targets);
    assert_eq!(silent, Err(NoCandidate::SomeMissing));
}

#[test]
fn a_candidate_that_lacks_commits_is_waited_for_but_an_empty_one_is_never_promoted() {
    let held = Some(Position::new(3, 40));
    let long = MAX_CATCH_UP_WAIT;
    let short = MAX_CATCH_UP_WAIT - Duration::from_millis(1);
    let rows = [
        (Position::new(3, 40), held, Duration::ZERO, true),
        (Position::new(3, 41), held, Duration::ZERO, true),
        (Position::new(3, 39), held, short, false),
        (Position::new(3, 39), held, long, true),
        (Position::new(3, 0), held, long * 60, false),
        (Position::new(3, 0), Some(Position::new(3, 0)), short, true),
        (Position::new(3, 0), None, Duration::ZERO, true),
    ];
    for (received, held, wanted_for, expected) in rows {
        assert_eq!(
            holds_enough(received, held, wanted_for),
            expected,
            "{received:?} {held:?} {wanted_for:?}"
        );
    }
}

#[test]
fn planned_moves_leave_capacity_of_the_promotion_service() {
    let rate = 50.0;
    let mut limiter = HandoverLimiter::default();
    let started = (0..100)
        .map(|round| at(round * 100))
        .map(|now| (0..40).filter(|_| limiter.take(rate, now)).count())
        .collect::<Vec<_>>();
    let first_second: usize = started[..10].iter().sum();
    let all: usize = started.iter().sum();
    assert!(started[0] <= 8, "a burst of {}", started[0]);
    assert!((35..=42).contains(&first_second), "{first_second}");
    let expected = (10.0 * rate * PLANNED_MOVE_SHARE) as usize;
    assert!((expected - 2..=expected + 8).contains(&all), "{all}");
}

#[test]
fn a_service_that_reports_no_rate_sets_no_limit() {
    let mut limiter = HandoverLimiter::default();
    assert!((0..100).all(|_| limiter.take(0.0, at(0))));
}

const LIMIT: Duration = Duration::from_millis(2_500);
const RETURN: Duration = Duration::from_millis(4_000);

#[test]
fn a_zone_is_evacuated_closed_and_reopened() {
    let zone = ZoneName::new("z");
    let mut known = Evacuations::default();
    assert!(known.is_empty());
    let availability = |known: &Evacuations, now| known.availability(&zone, LIMIT, RETURN, now);
    assert_eq!(availability(&known, at(0)), ZoneAvailability::Open);
    assert!(known.apply(&zone, true, revision(5), at(0)));
    assert_eq!(
        availability(&known, at(2_499)),
        ZoneAvailability::Evacuating
    );
    assert_eq!(availability(&known, at(2_500)), ZoneAvailability::Evacuated);
    assert!(
        !known.apply(&zone, false, revision(4), at(2_600)),
        "an older message"
    );
    assert!(known.apply(&zone, false, revision(6), at(3_000)));
    assert_eq!(known.age(&zone, at(3_000)), None);
    assert_eq!(availability(&known, at(6_999)), ZoneAvailability::Returning);
    assert_eq!(availability(&known, at(7_000)), ZoneAvailability::Open);
}

#[test]
fn a_repeated_request_keeps_its_age_and_a_new_one_starts_over() {
    let zone = ZoneName::new("z");
    let mut known = Evacuations::default();
    known.apply(&zone, true, revision(5), at(0));
    assert!(!known.apply(&zone, true, revision(7), at(1_000)));
    assert_eq!(
        known.age(&zone, at(1_500)),
        Some(Duration::from_millis(1_500))
    );
    known.apply(&zone, false, revision(8), at(2_000));
    known.apply(&zone, true, revision(9), at(2_100));
    assert_eq!(
        known.age(&zone, at(2_200)),
        Some(Duration::from_millis(100))
    );
}

#[test]
fn a_listing_ends_absent_requests_and_ends_are_forwarded() {
    let [first, second] = ["a", "b"].map(ZoneName::new);
    let mut known = Evacuations::default();
    known.apply(&first, true, revision(5), at(0));
    let changed = known.replace(&[(second.clone(), revision(6))], revision(8), at(100));
    assert_eq!(changed, [second.clone(), first.clone()]);
    let entries: Vec<_> = known.known().collect();
    assert_eq!(
        entries,
        [(&first, false, revision(8)), (&second, true, revision(6))]
    );
    let mut behind = Evacuations::default();
    behind.apply(&first, true, revision(5), at(0));
    for (zone, requested, revision) in known.known() {
        behind.apply(zone, requested, revision, at(200));
    }
    assert_eq!(
        behind.requested().collect::<Vec<_>>(),
        [(&second, revision(6))]
    );
}

#[test]
fn a_lost_request_stays_in_force_while_it_may_be_rewritten() {
    let [lost, withdrawn] = ["a", "b"].map(ZoneName::new);
    let restored = |number| StoreRevision::new(StoreEra::new(2), number);
    let mut known = Evacuations::default();
    known.apply(&lost, true, revision(8), at(0));
    known.apply(&withdrawn, true, revision(9), at(0));
    assert!(known.replace(&[], restored(5), at(10_000)).is_empty());
    assert!(known.replace(&[], restored(6), at(11_000)).is_empty());
    assert!(!known.apply(&lost, true, restored(7), at(12_000)));
    let over = at(10_000) + REWRITE_TIME;
    let before = over - Duration::from_millis(1);
    assert!(known.end_unlisted(restored(9), before).is_empty());
    let ended = known.end_unlisted(restored(9), over);
    assert_eq!(ended, std::slice::from_ref(&withdrawn));
    assert_eq!(
        known.age(&lost, over),
        Some(over.since(at(0))),
        "still the same"
    );
    assert_eq!(known.age(&withdrawn, over), None);
    assert!(known.end_unlisted(restored(9), over).is_empty());
}
