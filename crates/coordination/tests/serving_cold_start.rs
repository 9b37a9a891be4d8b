//! Databases that are cold: what a node knows of it, and how much all nodes send together.

use std::time::Duration;

use hookpoint_coordination::serving::cold_start::{
    COLD_HOLDERS, Circumstances, ColdReason, ColdStart, ColdStartBounds, Heard, WarmUpState,
};
use hookpoint_coordination::serving::failover::{ReplicaState, choose_candidate};
use hookpoint_coordination::serving::handover::Drawbacks;
use hookpoint_coordination::serving::selection::{Candidate, Distance, rank};
use hookpoint_state::{DatabaseName, Position, Timestamp};
use quickcheck::quickcheck;

const START: ColdStart = ColdStart {
    duration: Duration::from_secs(6),
    rate_milli: 8_000,
};
const BOUNDS: ColdStartBounds = ColdStartBounds {
    overshoot_milli: 500,
    slack: 5,
};
/// Requests that the bounds allow in a second: 8 x 1.5 + 5.
const ALLOWED: usize = 17;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn known(news_at: u64, told_start: bool) -> Circumstances {
    Circumstances {
        news_at: at(news_at),
        told_start,
    }
}

#[test]
fn a_database_is_cold_for_as_long_as_it_registers_and_no_entry_makes_that_longer() {
    let mut warmth = WarmUpState::default();
    let reason = |warmth: &WarmUpState, now| warmth.cold_reason(START, known(now, true), at(now));
    warmth.hear(Heard::First, ms(0), at(100));
    assert_eq!(reason(&warmth, 100), None, "warm by its first entry");
    warmth.hear(Heard::NewLife, ms(6_000), at(1_000));
    assert_eq!(reason(&warmth, 6_999), Some(ColdReason::Registered));
    assert_eq!(reason(&warmth, 7_000), None);
    warmth.hear(Heard::SameLife, ms(6_000), at(3_000));
    assert_eq!(reason(&warmth, 7_000), None, "the same entry, read again");
    warmth.hear(Heard::SameLife, ms(1_000), at(3_500));
    assert_eq!(reason(&warmth, 4_499), Some(ColdReason::Registered));
    assert_eq!(reason(&warmth, 4_500), None, "a later entry shortens it");
}

#[test]
fn a_database_that_may_have_restarted_is_cold_until_the_store_would_have_told() {
    let mut warmth = WarmUpState::default();
    warmth.hear(Heard::First, ms(0), at(0));
    warmth.doubt(at(10_000));
    let open = Some(ColdReason::MayHaveRestarted);
    let cases = [
        ("the store is followed", known(14_000, true), 14_000, open),
        ("its entry stands since", known(14_500, true), 14_500, None),
        ("the store is away", known(9_000, true), 15_999, open),
        (
            "it has run for long enough",
            known(9_000, true),
            16_000,
            None,
        ),
        ("its entry is missing", known(15_000, false), 15_000, open),
    ];
    for (case, known, now, expected) in cases {
        assert_eq!(
            warmth.cold_reason(START, known, at(now)),
            expected,
            "{case}"
        );
    }
    warmth.hear(Heard::NewLife, ms(2_000), at(15_000));
    let known = known(15_000, true);
    assert_eq!(
        warmth.cold_reason(START, known, at(17_000)),
        None,
        "its own word ends the doubt"
    );
}

#[test]
fn an_entry_that_returns_in_the_same_life_says_how_cold_its_database_is() {
    let mut warmth = WarmUpState::default();
    let reason = |warmth: &WarmUpState, now| warmth.cold_reason(START, known(now, true), at(now));
    warmth.hear(Heard::First, ms(0), at(0));
    warmth.hear(Heard::Returned, ms(0), at(5_000));
    assert_eq!(reason(&warmth, 5_000), None);
    warmth.hear(Heard::Returned, ms(2_000), at(6_000));
    assert_eq!(reason(&warmth, 7_999), Some(ColdReason::Registered));
}

#[test]
fn an_entry_that_returns_without_telling_a_start_leaves_doubt() {
    let mut warmth = WarmUpState::default();
    warmth.hear(Heard::First, ms(0), at(0));
    warmth.hear(Heard::ReturnedUntold, ms(0), at(5_000));
    let reason = |now| warmth.cold_reason(START, known(now, false), at(now));
    assert_eq!(reason(10_999), Some(ColdReason::MayHaveRestarted));
    assert_eq!(reason(11_000), None);
}

#[test]
fn the_parts_of_two_views_fit_into_what_is_allowed() {
    let second = 1_000_000;
    for rate_milli in [0, 500, 1_000, 8_000, 50_000, 1_000_000] {
        for slack in [0, 1, 5, 100] {
            let start = ColdStart {
                rate_milli,
                ..START
            };
            let bounds = ColdStartBounds { slack, ..BOUNDS };
            let part = start.part(bounds);
            let views = u64::try_from(2 * COLD_HOLDERS).unwrap();
            let together = views * (part.rate + part.burst);
            assert!(together <= start.allowed(bounds), "{rate_milli} {slack}");
            assert!(part.rate <= rate_milli * 1_000);
        }
    }
    assert_eq!(START.allowed(BOUNDS), 17 * second);
    assert!(
        START.part(BOUNDS).rate > second,
        "over one a second for each holder"
    );
}

#[test]
fn a_holder_begins_with_nothing_and_debt_is_paid_first() {
    let part = START.part(BOUNDS);
    let mut warmth = WarmUpState::default();
    let wait = warmth.admit(part, at(0)).unwrap_err();
    assert!(warmth.admit(part, at(0) + wait).is_ok());
    warmth.charge(part, 3, at(1_000));
    let wait = warmth.admit(part, at(1_000)).unwrap_err();
    assert!(wait >= ms(1_000), "{wait:?}");
    warmth.empty_bucket();
    assert!(warmth.admit(part, at(60_000)).is_err(), "it begins anew");
}

#[test]
fn questions_are_rare_and_the_next_token_is_kept_for_one() {
    let part = START.part(BOUNDS);
    let mut warmth = WarmUpState::default();
    let wait = warmth.admit_question(part, at(5_000)).unwrap_err();
    let then = at(5_000) + wait;
    assert!(warmth.admit(part, then).is_err(), "callers wait for it");
    assert!(warmth.admit_question(part, then).is_ok());
    assert!(
        warmth.admit_question(part, then + ms(999)).is_err(),
        "too soon"
    );
    assert!(warmth.admit(part, then + ms(999)).is_ok());
    assert!(warmth.admit_question(part, then + ms(1_400)).is_ok());
    let mut unasked = WarmUpState::default();
    assert!(unasked.admit_question(part, at(5_000)).is_err());
    assert!(unasked.admit(part, at(5_600)).is_ok(), "not kept for long");
}

#[test]
fn a_warm_database_far_away_goes_before_a_cold_one_nearby() {
    let candidate = |text: &str, distance, cold| Candidate {
        name: DatabaseName::new(text),
        distance,
        in_flight: 0,
        slots: 3,
        wait: ms(0),
        service_time: ms(20),
        failing: 0,
        draining: false,
        zone_avoided: false,
        suspect: false,
        lagging: false,
        cold,
        leader: false,
    };
    let cold = candidate("cold", Distance::SameZone, true);
    let far = Candidate {
        wait: ms(300),
        ..candidate("far", Distance::OtherRegion, false)
    };
    assert_eq!(rank(vec![cold.clone(), far.clone()])[0], far.name);
    let leaving = Candidate {
        draining: true,
        ..far
    };
    assert_eq!(rank(vec![cold.clone(), leaving])[0], cold.name);
}

#[test]
fn a_cold_replica_is_promoted_only_if_no_warm_one_holds_as_much() {
    let replica = |text: &str, received, cold| ReplicaState {
        name: DatabaseName::new(text),
        received: Position::new(1, received),
        drawbacks: Drawbacks {
            cold,
            ..Drawbacks::default()
        },
        preferred: cold,
    };
    let tied = [replica("cold", 9, true), replica("warm", 9, false)];
    assert_eq!(choose_candidate(&tied, 2, 0), Ok(DatabaseName::new("warm")));
    let ahead = [replica("cold", 9, true), replica("warm", 8, false)];
    assert_eq!(
        choose_candidate(&ahead, 2, 0),
        Ok(DatabaseName::new("cold"))
    );
}

/// One of the protections left out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Holders send whatever their buckets hold.
    NoBucket,
    /// Each view uses the whole of what is allowed.
    WholeBudget,
    /// Who begins to hold does so with what a full second brings.
    FullStart,
}

/// Holders of two views that know nothing of each other, some frozen, of one cold database.
struct World {
    fault: Fault,
    now: Timestamp,
    holders: Vec<WarmUpState>,
    /// Of frozen holders, how many admitted requests they had not sent.
    frozen: Vec<Option<usize>>,
    sent: Vec<Timestamp>,
}

impl World {
    fn new(fault: Fault) -> Self {
        let views = if fault == Fault::WholeBudget { 8 } else { 2 };
        let holders = views * COLD_HOLDERS;
        Self {
            fault,
            now: at(1_000),
            holders: vec![WarmUpState::default(); holders],
            frozen: vec![None; holders],
            sent: Vec::new(),
        }
    }

    fn step(&mut self, action: u8, argument: u8) {
        let index = usize::from(argument) % self.holders.len();
        match action % 8 {
            0 => self.now = self.now + ms(u64::from(argument)),
            1 => self.now = self.now + ms(u64::from(argument) * 20),
            2 => self.freeze_or_thaw(index),
            // The database restarts, or another node holds it now.
            3 => self.begin_anew(index),
            4 => self.ask(index),
            _ => self.send(index),
        }
    }

    fn begin_anew(&mut self, index: usize) {
        self.holders[index].empty_bucket();
        if self.fault == Fault::FullStart {
            self.send_now();
            self.send_now();
        }
    }

    /// A node freezes between a token and the request for it, or wakes and sends it.
    fn freeze_or_thaw(&mut self, index: usize) {
        let part = START.part(BOUNDS);
        match self.frozen[index].take() {
            Some(unsent) => {
                self.holders[index].empty_bucket();
                (0..unsent).for_each(|_| self.send_now());
            }
            None => {
                let admitted = self.holders[index].admit(part, self.now).is_ok();
                self.frozen[index] = Some(usize::from(admitted));
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let part = START.part(BOUNDS);
        if self.frozen[index].is_none()
            && self.holders[index].admit_question(part, self.now).is_ok()
        {
            self.send_now();
        }
    }

    fn send(&mut self, index: usize) {
        if self.frozen[index].is_some() {
            return;
        }
        let part = START.part(BOUNDS);
        let admitted = self.holders[index].admit(part, self.now).is_ok();
        if admitted || self.fault == Fault::NoBucket {
            self.send_now();
        }
    }

    fn send_now(&mut self) {
        self.sent.push(self.now);
    }

    /// Requests in the second that holds most.
    fn most_in_a_second(&self) -> usize {
        let within = |from: &Timestamp| {
            let until = *from + Duration::from_secs(1);
            self.sent
                .iter()
                .filter(|sent| *sent >= from && **sent < until)
                .count()
        };
        self.sent.iter().map(within).max().unwrap_or_default()
    }
}

fn most_after(fault: Fault, steps: impl IntoIterator<Item = (u8, u8)>) -> usize {
    let mut world = World::new(fault);
    for (action, argument) in steps {
        world.step(action, argument);
    }
    world.most_in_a_second()
}

/// All holders send whenever they may, and ask; after `rounds` of 20 ms one begins anew.
fn storm(rounds: u8) -> impl Iterator<Item = (u8, u8)> {
    (0..=255_u8).flat_map(move |round| {
        let sends = (0..32).map(|holder| (5, holder));
        let asks = (0..32).map(|holder| (4, holder));
        let anew = (round % rounds == 0).then_some((3, round));
        sends.chain(asks).chain(anew).chain([(0, 20)])
    })
}

quickcheck! {
    fn no_second_holds_more_than_is_allowed(steps: Vec<(u8, u8)>) -> bool {
        most_after(Fault::None, steps) <= ALLOWED
    }
}

#[test]
fn a_storm_stays_within_the_bound_unless_a_protection_is_left_out() {
    let cases = [
        (Fault::NoBucket, 16),
        (Fault::WholeBudget, 16),
        (Fault::FullStart, 5),
    ];
    for (fault, rounds) in cases {
        let most = most_after(Fault::None, storm(rounds));
        assert!((4..=ALLOWED).contains(&most), "{most}");
        let most = most_after(fault, storm(rounds));
        assert!(most > ALLOWED, "{most}");
    }
}
