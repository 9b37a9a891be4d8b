//! Tests of the probe schedule, the rounds and the verification.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{DatabaseName, GroupName, Lsn, Position, Term, Timestamp};
use quickcheck::{Arbitrary, Gen};

use super::*;
use crate::status::{BackendStatus, Role};
use crate::terms::{GroupMember, Proximity, TermTable};

fn status(role: Role, term: u32) -> BackendStatus {
    BackendStatus {
        role,
        term: Term(term),
        position: Lsn(u64::from(term) * 100),
        flushed: Vec::new(),
    }
}

const NAMES: [&str; 3] = ["books-0", "books-1", "books-2"];

/// A clock, a schedule over one group and the observed state of the group.
struct Fixture {
    now: Timestamp,
    schedule: ProbeSchedule,
    terms: TermTable,
    group: GroupName,
    /// Probes requested by the schedule and not yet returned by `tick`.
    requested: Vec<DatabaseName>,
}

impl Fixture {
    fn new(seed: u64, homes: &[&str]) -> Self {
        let group = GroupName::from("books");
        let mut terms = TermTable::new();
        let members = NAMES.map(|name| GroupMember {
            name: name.into(),
            proximity: Proximity::SameZone,
            draining: false,
        });
        terms.configure(&group, ReadPreference::Replica, members);
        let mut fixture = Self {
            now: Timestamp::from_millis(1_000),
            schedule: ProbeSchedule::new(ProbePace::default(), seed),
            terms,
            group: group.clone(),
            requested: Vec::new(),
        };
        let observed = NAMES.map(|name| ObservedDatabase {
            group: group.clone(),
            database: name.into(),
            home: homes.contains(&name),
        });
        let observed = observed.to_vec();
        fixture.event(ObserverEvent::Configured(observed));
        fixture
    }

    /// Fires the timer. Returns the probes requested since the last call, and the next
    /// due time.
    fn tick(&mut self) -> (Vec<DatabaseName>, Option<Timestamp>) {
        let due = self.event(ObserverEvent::Timer);
        (std::mem::take(&mut self.requested), due)
    }

    fn event(&mut self, event: ObserverEvent) -> Option<Timestamp> {
        let mut actions = Vec::new();
        let terms = &self.terms;
        let view = |group: &GroupName| terms.view(group).cloned();
        let due = self.schedule.handle(self.now, event, view, &mut actions);
        let probes = actions
            .into_iter()
            .map(|ObserverAction::Probe { database, .. }| database);
        self.requested.extend(probes);
        due
    }

    fn answer(&mut self, name: &str, answer: Option<BackendStatus>) {
        let name = DatabaseName::from(name);
        match answer {
            Some(status) => {
                self.terms
                    .apply_status(self.now, &self.group, &name, &status);
            }
            None => self.terms.mark_unreachable(&self.group, &name),
        }
        self.event(ObserverEvent::Probed(name));
    }

    /// Advances the clock by `time`; `answer` answers each probe immediately. Returns
    /// the number of probes by database.
    fn run(
        &mut self,
        time: Duration,
        answer: impl Fn(&str) -> Option<BackendStatus>,
    ) -> BTreeMap<String, usize> {
        let end = self.now + time;
        let mut counts = BTreeMap::new();
        while self.now < end {
            let (probes, _) = self.tick();
            for probe in probes {
                *counts.entry(probe.as_str().to_owned()).or_default() += 1;
                self.answer(probe.as_str(), answer(probe.as_str()));
            }
            self.now = self.now + Duration::from_millis(1);
        }
        counts
    }
}

/// Answer of each database to a probe; `None` when it does not answer.
type Responder = fn(&str) -> Option<BackendStatus>;

/// Minimum and maximum number of probes of each database.
type Bounds = [(usize, usize); 3];

fn healthy(name: &str) -> Option<BackendStatus> {
    let role = if name == "books-0" {
        Role::Primary
    } else {
        Role::Replica
    };
    Some(status(role, 1))
}

fn settled_fixture(seed: u64) -> Fixture {
    let mut fixture = Fixture::new(seed, &NAMES);
    fixture.run(Duration::from_secs(3), healthy);
    fixture
}

#[test]
fn probes_are_slow_normally_and_fast_without_a_primary() {
    let answers: [(&str, Responder, Bounds); 4] = [
        ("quiet", healthy, [(25, 45), (8, 13), (8, 13)]),
        (
            "no primary",
            |_| Some(status(Role::Replica, 1)),
            [(150, 270); 3],
        ),
        (
            "primary dead",
            |name| healthy(name).filter(|_| name != "books-0"),
            [(150, 270); 3],
        ),
        (
            "replica dead",
            |name| healthy(name).filter(|_| name != "books-1"),
            [(25, 45), (8, 13), (8, 13)],
        ),
    ];
    for (name, answer, bounds) in answers {
        let mut fixture = settled_fixture(3);
        fixture.run(Duration::from_millis(400), answer);
        let counts = fixture.run(Duration::from_secs(10), answer);
        for (database, (least, most)) in NAMES.iter().zip(bounds) {
            let count = counts.get(*database).copied().unwrap_or_default();
            assert!(
                (least..=most).contains(&count),
                "{name}: {count} of {database}"
            );
        }
    }
}

#[test]
fn a_long_search_for_a_primary_slows_down() {
    let mut fixture = settled_fixture(4);
    fixture.run(Duration::from_secs(16), |_| Some(status(Role::Replica, 1)));
    let counts = fixture.run(Duration::from_secs(10), |_| Some(status(Role::Replica, 1)));
    assert!(counts["books-1"] <= 55, "{counts:?}");
}

#[test]
fn a_lost_connection_speeds_up_probes_temporarily() {
    let mut fixture = settled_fixture(5);
    fixture.event(ObserverEvent::ConnectionLost("books-2".into()));
    let fast = fixture.run(Duration::from_secs(2), healthy);
    assert!(fast["books-1"] >= 30, "{fast:?}");
    fixture.run(Duration::from_secs(1), healthy);
    let normal_again = fixture.run(Duration::from_secs(2), healthy);
    assert!(normal_again["books-1"] <= 3, "{normal_again:?}");
}

#[test]
fn databases_of_other_homes_are_probed_only_when_fast_or_unreachable() {
    let mut fixture = Fixture::new(8, &["books-0"]);
    fixture.run(Duration::from_secs(3), healthy);
    let normal = fixture.run(Duration::from_secs(5), healthy);
    assert_eq!(normal.keys().collect::<Vec<_>>(), ["books-0"]);
    let unreachable = DatabaseName::from("books-2");
    fixture.terms.mark_unreachable(&fixture.group, &unreachable);
    let probes = fixture.run(Duration::from_secs(5), healthy);
    assert_eq!(probes.get("books-2"), Some(&1), "it answered");
    assert_eq!(probes.get("books-1"), None);
    fixture.event(ObserverEvent::ConnectionLost("books-0".into()));
    let fast_probes = fixture.run(Duration::from_secs(1), healthy);
    assert!(
        fast_probes["books-1"] >= 10 && fast_probes["books-2"] >= 10,
        "{fast_probes:?}"
    );
}

#[test]
fn an_unresponsive_primary_speeds_up_probes_of_its_replicas() {
    let mut fixture = settled_fixture(6);
    // The probe of the primary is requested and never answered.
    loop {
        let (probes, _) = fixture.tick();
        let requested = probes.iter().any(|probe| probe.as_str() == "books-0");
        for probe in probes.iter().filter(|probe| probe.as_str() != "books-0") {
            fixture.answer(probe.as_str(), healthy(probe.as_str()));
        }
        if requested {
            break;
        }
        fixture.now = fixture.now + Duration::from_millis(1);
    }
    let counts = fixture.run(Duration::from_secs(2), healthy);
    assert!(counts["books-1"] >= 25, "{counts:?}");
    assert!(!counts.contains_key("books-0"), "one probe at a time");
}

#[test]
fn a_status_from_traffic_replaces_a_probe() {
    let mut fixture = settled_fixture(7);
    let mut probes = 0;
    for _ in 0..100 {
        for name in NAMES {
            let status = healthy(name).unwrap();
            fixture
                .terms
                .apply_status(fixture.now, &fixture.group, &name.into(), &status);
        }
        probes += fixture.tick().0.len();
        fixture.now = fixture.now + Duration::from_millis(100);
    }
    assert_eq!(probes, 0);
}

#[test]
fn the_due_time_is_never_missed_nor_in_the_past() {
    for seed in 0..50 {
        let mut random = Gen::from_size_and_seed(20, seed);
        let mut fixture = settled_fixture(seed);
        for _ in 0..200 {
            let (probes, due) = fixture.tick();
            assert!(due.is_none_or(|due| due > fixture.now), "seed {seed}");
            for probe in probes {
                let answered = bool::arbitrary(&mut random);
                let answer = healthy(probe.as_str()).filter(|_| answered);
                fixture.answer(probe.as_str(), answer);
            }
            let (_, due) = fixture.tick();
            let Some(due) = due else { continue };
            // Nothing is due before the due time.
            fixture.now = Timestamp(due.0 - 1);
            assert_eq!(fixture.tick().0, Vec::new(), "seed {seed}");
            fixture.now = due;
        }
    }
}

#[test]
fn a_round_verifies_only_a_primary_of_the_highest_term_within_a_majority() {
    let primary = |term| Some(status(Role::Primary, term));
    let replica = |term| Some(status(Role::Replica, term));
    let at = |term: u32| {
        VerificationState::Verified(Position {
            term: Term(term),
            lsn: Lsn(u64::from(term) * 100),
        })
    };
    use VerificationState::{Failed, Open};
    let cases = [
        ("no answers", vec![], Open),
        ("the primary alone", vec![primary(1)], Open),
        ("primary and replica", vec![primary(1), replica(1)], at(1)),
        ("replicas alone", vec![replica(1), replica(1)], Open),
        (
            "replicas and an unresponsive primary",
            vec![replica(1), replica(1), None],
            Failed,
        ),
        (
            "a deposed primary and a replica of the new term",
            vec![primary(1), replica(2)],
            Open,
        ),
        (
            "the new primary answers as well",
            vec![primary(1), replica(2), primary(2)],
            at(2),
        ),
        (
            "a deposed primary and an unresponsive new one",
            vec![primary(1), replica(2), None],
            Failed,
        ),
        ("two unresponsive", vec![primary(1), None, None], Failed),
        (
            "one unresponsive",
            vec![None, replica(3), primary(3)],
            at(3),
        ),
    ];
    for (name, answers, expected) in cases {
        let mut verification = Verification::new(3);
        for (index, answer) in answers.into_iter().enumerate() {
            verification.record_answer(NAMES[index].into(), answer);
        }
        assert_eq!(verification.state(), expected, "{name}");
    }
    assert_eq!(
        Verification::new(0).state(),
        Failed,
        "a group without databases"
    );
}

/// Every caller is answered by exactly one round that started after its call, and no
/// more rounds run than allowed.
#[test]
fn callers_share_the_next_round() {
    let policies = [(60, 4), (u64::MAX / 2_000, 1)];
    for (seed, (overlap_delay, maximum)) in (0..400).flat_map(|seed| policies.map(|p| (seed, p))) {
        let policy = RoundPolicy {
            overlap_delay: Duration::from_millis(overlap_delay),
            maximum,
        };
        let mut random = Gen::from_size_and_seed(50, seed);
        let mut rounds = Rounds::new(policy);
        let mut now = Timestamp::default();
        let mut called = BTreeMap::new();
        let mut running: BTreeMap<RoundNumber, Timestamp> = BTreeMap::new();
        let mut answered = 0;
        for step in 0..200u64 {
            let mut actions = Vec::new();
            let mut finished = None;
            let event = match u8::arbitrary(&mut random) % 3 {
                0 => {
                    called.insert(WaiterNumber(step), now);
                    RoundEvent::Requested(WaiterNumber(step))
                }
                1 if !running.is_empty() => {
                    let index = usize::arbitrary(&mut random) % running.len();
                    let (number, start) = running.iter().nth(index).map(|(n, s)| (*n, *s)).unwrap();
                    running.remove(&number);
                    finished = Some(start);
                    RoundEvent::Finished(number)
                }
                _ => RoundEvent::Timer,
            };
            rounds.handle(now, event, &mut actions);
            for action in actions {
                match action {
                    RoundAction::Start(number) => {
                        assert!(running.insert(number, now).is_none());
                    }
                    RoundAction::Answer(waiters) => {
                        for waiter in waiters {
                            let call = called.remove(&waiter).expect("answered once");
                            assert!(finished.unwrap() >= call, "seed {seed}");
                            answered += 1;
                        }
                    }
                }
            }
            assert!(running.len() <= maximum);
            let waits = !called.is_empty();
            assert!(
                !waits || !running.is_empty(),
                "seed {seed}: callers wait and no round runs"
            );
            now = now + Duration::from_millis(u64::arbitrary(&mut random) % 40);
        }
        assert!(answered > 0);
    }
}
