//! Tests of cold databases: how a node determines that a database is cold, and how much all nodes
//! together send to it.

use std::time::Duration;

use hookpoint_coordination::serving::cold_start::{
    COLD_HOLDERS, ColdReason, ColdStart, ColdStartBounds, ColdStartFacts, RegistrationChange,
    WarmUpState,
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
/// Number of requests that the bounds allow in a second: 8 x 1.5 + 5.
const ALLOWED: usize = 17;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn known(store_known_at: u64, has_start: bool) -> ColdStartFacts {
    ColdStartFacts {
        store_known_at: at(store_known_at),
        has_start,
    }
}

#[test]
fn a_database_is_cold_as_long_as_registered_and_later_entries_only_shorten_that() {
    let mut state = WarmUpState::default();
    let reason = |state: &WarmUpState, now| state.cold_reason(START, known(now, true), at(now));
    state.apply_registration(RegistrationChange::First, ms(0), at(100));
    assert_eq!(reason(&state, 100), None, "warm by its first entry");
    state.apply_registration(RegistrationChange::NewIncarnation, ms(6_000), at(1_000));
    assert_eq!(reason(&state, 6_999), Some(ColdReason::Registered));
    assert_eq!(reason(&state, 7_000), None);
    state.apply_registration(RegistrationChange::SameIncarnation, ms(6_000), at(3_000));
    assert_eq!(reason(&state, 7_000), None, "the same entry, read again");
    state.apply_registration(RegistrationChange::SameIncarnation, ms(1_000), at(3_500));
    assert_eq!(reason(&state, 4_499), Some(ColdReason::Registered));
    assert_eq!(reason(&state, 4_500), None, "a later entry shortens it");
}

#[test]
fn a_database_that_may_have_restarted_is_cold_until_the_store_would_show_it() {
    let mut state = WarmUpState::default();
    state.apply_registration(RegistrationChange::First, ms(0), at(0));
    state.suspect_restart(at(10_000));
    let suspected = Some(ColdReason::MayHaveRestarted);
    let cases = [
        (
            "the store is followed",
            known(14_000, true),
            14_000,
            suspected,
        ),
        (
            "its entry has not changed since",
            known(14_500, true),
            14_500,
            None,
        ),
        (
            "the store is unavailable",
            known(9_000, true),
            15_999,
            suspected,
        ),
        (
            "it has run for long enough",
            known(9_000, true),
            16_000,
            None,
        ),
        (
            "its entry is missing",
            known(15_000, false),
            15_000,
            suspected,
        ),
    ];
    for (case, known, now, expected) in cases {
        assert_eq!(state.cold_reason(START, known, at(now)), expected, "{case}");
    }
    state.apply_registration(RegistrationChange::NewIncarnation, ms(2_000), at(15_000));
    let known = known(15_000, true);
    assert_eq!(
        state.cold_reason(START, known, at(17_000)),
        None,
        "its own registration settles it"
    );
}

#[test]
fn a_returning_entry_of_the_same_incarnation_states_how_long_its_database_is_cold() {
    let mut state = WarmUpState::default();
    let reason = |state: &WarmUpState, now| state.cold_reason(START, known(now, true), at(now));
    state.apply_registration(RegistrationChange::First, ms(0), at(0));
    state.apply_registration(RegistrationChange::Returned, ms(0), at(5_000));
    assert_eq!(reason(&state, 5_000), None);
    state.apply_registration(RegistrationChange::Returned, ms(2_000), at(6_000));
    assert_eq!(reason(&state, 7_999), Some(ColdReason::Registered));
}

#[test]
fn a_returning_entry_without_a_start_time_leaves_a_restart_possible() {
    let mut state = WarmUpState::default();
    state.apply_registration(RegistrationChange::First, ms(0), at(0));
    state.apply_registration(RegistrationChange::ReturnedWithoutStart, ms(0), at(5_000));
    let reason = |now| state.cold_reason(START, known(now, false), at(now));
    assert_eq!(reason(10_999), Some(ColdReason::MayHaveRestarted));
    assert_eq!(reason(11_000), None);
}

#[test]
fn the_shares_of_two_partition_sides_fit_into_what_is_allowed() {
    let second = 1_000_000;
    for rate_milli in [0, 500, 1_000, 8_000, 50_000, 1_000_000] {
        for slack in [0, 1, 5, 100] {
            let start = ColdStart {
                rate_milli,
                ..START
            };
            let bounds = ColdStartBounds { slack, ..BOUNDS };
            let share = start.holder_share(bounds);
            let sides = u64::try_from(2 * COLD_HOLDERS).unwrap();
            let together = sides * (share.rate + share.burst);
            assert!(together <= start.allowed(bounds), "{rate_milli} {slack}");
            assert!(share.rate <= rate_milli * 1_000);
        }
    }
    assert_eq!(START.allowed(BOUNDS), 17 * second);
    assert!(
        START.holder_share(BOUNDS).rate > second,
        "over one a second for each holder"
    );
}

#[test]
fn a_holder_starts_with_an_empty_bucket_and_pays_off_debt_first() {
    let share = START.holder_share(BOUNDS);
    let mut state = WarmUpState::default();
    let wait = state.admit(share, at(0)).unwrap_err();
    assert!(state.admit(share, at(0) + wait).is_ok());
    state.charge(share, 3, at(1_000));
    let wait = state.admit(share, at(1_000)).unwrap_err();
    assert!(wait >= ms(1_000), "{wait:?}");
    state.empty_bucket();
    assert!(
        state.admit(share, at(60_000)).is_err(),
        "it starts with an empty bucket"
    );
}

#[test]
fn status_queries_are_rare_and_the_next_token_is_reserved_for_one() {
    let share = START.holder_share(BOUNDS);
    let mut state = WarmUpState::default();
    let wait = state.admit_query(share, at(5_000)).unwrap_err();
    let then = at(5_000) + wait;
    assert!(state.admit(share, then).is_err(), "reserved for the query");
    assert!(state.admit_query(share, then).is_ok());
    assert!(
        state.admit_query(share, then + ms(999)).is_err(),
        "too soon"
    );
    assert!(state.admit(share, then + ms(999)).is_ok());
    assert!(state.admit_query(share, then + ms(1_400)).is_ok());
    let mut idle = WarmUpState::default();
    assert!(idle.admit_query(share, at(5_000)).is_err());
    assert!(
        idle.admit(share, at(5_600)).is_ok(),
        "not reserved for long"
    );
}

#[test]
fn a_distant_warm_database_is_preferred_to_a_nearby_cold_one() {
    let candidate = |text: &str, distance, cold| Candidate {
        name: DatabaseName::new(text),
        distance,
        in_flight: 0,
        slots: 3,
        wait: ms(0),
        service_time: ms(20),
        failure_share: 0,
        leaving: false,
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
        leaving: true,
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

/// The protection that is disabled in a simulation.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// Holders send requests without taking tokens.
    NoBucket,
    /// The holders of each partition side use the whole allowed budget.
    WholeBudget,
    /// A new holder starts with the tokens of a full second.
    FullStart,
}

/// Simulation of one cold database and its holders on both sides of a partition, some of them
/// suspended.
struct Simulation {
    fault: Fault,
    now: Timestamp,
    holders: Vec<WarmUpState>,
    /// For each suspended holder, the number of admitted requests that it has not sent yet.
    suspended: Vec<Option<usize>>,
    sent: Vec<Timestamp>,
}

impl Simulation {
    fn new(fault: Fault) -> Self {
        let sides = if fault == Fault::WholeBudget { 8 } else { 2 };
        let holders = sides * COLD_HOLDERS;
        Self {
            fault,
            now: at(1_000),
            holders: vec![WarmUpState::default(); holders],
            suspended: vec![None; holders],
            sent: Vec::new(),
        }
    }

    fn step(&mut self, action: u8, argument: u8) {
        let index = usize::from(argument) % self.holders.len();
        match action % 8 {
            0 => self.now = self.now + ms(u64::from(argument)),
            1 => self.now = self.now + ms(u64::from(argument) * 20),
            2 => self.suspend_or_resume(index),
            // The database restarts, or another node becomes its holder.
            3 => self.start_anew(index),
            4 => self.query(index),
            _ => self.send(index),
        }
    }

    fn start_anew(&mut self, index: usize) {
        self.holders[index].empty_bucket();
        if self.fault == Fault::FullStart {
            self.send_now();
            self.send_now();
        }
    }

    /// Suspends a node between taking a token and sending the request, or resumes it so that it
    /// sends the request.
    fn suspend_or_resume(&mut self, index: usize) {
        let share = START.holder_share(BOUNDS);
        match self.suspended[index].take() {
            Some(unsent) => {
                self.holders[index].empty_bucket();
                (0..unsent).for_each(|_| self.send_now());
            }
            None => {
                let admitted = self.holders[index].admit(share, self.now).is_ok();
                self.suspended[index] = Some(usize::from(admitted));
            }
        }
    }

    fn query(&mut self, index: usize) {
        let share = START.holder_share(BOUNDS);
        if self.suspended[index].is_none()
            && self.holders[index].admit_query(share, self.now).is_ok()
        {
            self.send_now();
        }
    }

    fn send(&mut self, index: usize) {
        if self.suspended[index].is_some() {
            return;
        }
        let share = START.holder_share(BOUNDS);
        let admitted = self.holders[index].admit(share, self.now).is_ok();
        if admitted || self.fault == Fault::NoBucket {
            self.send_now();
        }
    }

    fn send_now(&mut self) {
        self.sent.push(self.now);
    }

    /// Returns the maximum number of requests in any one second.
    fn max_in_a_second(&self) -> usize {
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

fn max_rate_after(fault: Fault, steps: impl IntoIterator<Item = (u8, u8)>) -> usize {
    let mut simulation = Simulation::new(fault);
    for (action, argument) in steps {
        simulation.step(action, argument);
    }
    simulation.max_in_a_second()
}

/// Returns steps in which all holders send requests and status queries whenever they may; every
/// `rounds` rounds of 20 ms, one holder starts anew.
fn maximum_load(rounds: u8) -> impl Iterator<Item = (u8, u8)> {
    (0..=255_u8).flat_map(move |round| {
        let sends = (0..32).map(|holder| (5, holder));
        let queries = (0..32).map(|holder| (4, holder));
        let anew = (round % rounds == 0).then_some((3, round));
        sends.chain(queries).chain(anew).chain([(0, 20)])
    })
}

quickcheck! {
    fn no_second_holds_more_than_is_allowed(steps: Vec<(u8, u8)>) -> bool {
        max_rate_after(Fault::None, steps) <= ALLOWED
    }
}

#[test]
fn maximum_load_stays_within_the_bound_unless_a_protection_is_disabled() {
    let cases = [
        (Fault::NoBucket, 16),
        (Fault::WholeBudget, 16),
        (Fault::FullStart, 5),
    ];
    for (fault, rounds) in cases {
        let most = max_rate_after(Fault::None, maximum_load(rounds));
        assert!((4..=ALLOWED).contains(&most), "{most}");
        let most = max_rate_after(fault, maximum_load(rounds));
        assert!(most > ALLOWED, "{most}");
    }
}
