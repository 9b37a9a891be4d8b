//! Tests of databases that restart under the same name: which facts of the previous incarnation a
//! node still uses.

mod store;

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_coordination::serving::database_incarnation::DatabaseStart;
use hookpoint_coordination::serving::departure::LearnedTimes;
use hookpoint_coordination::serving::directory::{
    Database, Directory, RegistrationOutcome, StatedRole,
};
use hookpoint_coordination::serving::failover::{ReplicaState, choose_candidate};
use hookpoint_coordination::serving::handover::Drawbacks;
use hookpoint_coordination::serving::leadership::{Confirmation, Leadership};
use hookpoint_state::{
    DatabaseName, GroupName, Position, StoreEra, StoreRevision, Timestamp, ZoneName,
};
use quickcheck::quickcheck;
use store::revision;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// Returns the receipt of an event at the moment at which it happens.
fn received_at(at: Timestamp) -> LearnedTimes {
    LearnedTimes { at, not_before: at }
}

fn name(text: &str) -> DatabaseName {
    DatabaseName::new(text)
}

fn database(text: &str, started: Option<u64>) -> Database {
    Database {
        name: name(text),
        group: GroupName::new("g"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 3,
        draining: false,
        role: StatedRole::Replica,
        started: started.map(DatabaseStart),
        cold_for: Duration::ZERO,
    }
}

fn proof(asked_at: Timestamp, answered_at: Timestamp, position: Position) -> Confirmation {
    Confirmation {
        asked_at,
        answered_at,
        position: Some(position),
    }
}

#[test]
fn another_start_time_is_a_new_incarnation_and_an_old_revision_restores_none() {
    use RegistrationOutcome::{Applied, NewIncarnation, Outdated};
    let cases = [
        ("the first registration", Some(1), 5, Applied),
        ("the same start", Some(1), 6, Applied),
        ("another start", Some(2), 7, NewIncarnation),
        ("an earlier start, received late", Some(1), 6, Outdated),
        ("no start time any more", None, 8, NewIncarnation),
        ("still none", None, 9, Applied),
        ("a start time again", Some(2), 10, NewIncarnation),
    ];
    let mut directory = Directory::default();
    for (now, (case, started, number, expected)) in (10..).zip(cases) {
        let outcome = directory.put(
            database("a", started),
            revision(number),
            received_at(at(now)),
        );
        assert_eq!(outcome, expected, "{case}");
    }
    let listed = directory.get(&name("a")).unwrap();
    assert!(
        !listed.is_of_current_incarnation(at(16)),
        "asked when it became known"
    );
    assert!(listed.is_of_current_incarnation(at(17)));
}

#[test]
fn answers_to_queries_sent_before_a_database_was_known_may_be_of_an_earlier_incarnation() {
    let mut directory = Directory::default();
    directory.put(database("a", Some(2)), revision(1), received_at(at(50)));
    let listed = directory.get(&name("a")).unwrap();
    assert!(
        !listed.is_of_current_incarnation(at(49)),
        "a peer may have asked"
    );
    assert!(listed.is_of_current_incarnation(at(51)));
}

#[test]
fn an_announced_departure_does_not_carry_over_to_the_next_incarnation() {
    let mut directory = Directory::default();
    let draining = |started| Database {
        draining: true,
        ..database("a", Some(started))
    };
    directory.put(draining(1), revision(1), received_at(at(10)));
    directory.put(draining(2), revision(2), received_at(at(20)));
    let departure = directory.get(&name("a")).unwrap().departure.unwrap();
    assert_eq!(departure.counted_from(), at(20));
}

#[test]
fn a_removed_database_is_not_restored_by_a_late_message_and_keeps_its_start_time() {
    let mut directory = Directory::default();
    directory.put(database("a", Some(1)), revision(1), received_at(at(10)));
    directory.remove(&name("a"), revision(2), received_at(at(20)));
    directory.forget_missing(at(30));
    let late = directory.put(database("a", Some(1)), revision(1), received_at(at(40)));
    assert_eq!(late, RegistrationOutcome::Outdated);
    assert!(directory.get(&name("a")).is_none());
    let back = directory.put(database("a", Some(2)), revision(3), received_at(at(50)));
    assert_eq!(back, RegistrationOutcome::NewIncarnation);
}

#[test]
fn an_ended_incarnation_is_not_restored_with_a_copy_of_the_store() {
    use RegistrationOutcome::{Applied, NewIncarnation, Outdated};
    let restored = |number| StoreRevision::new(StoreEra::new(2), number);
    let mut directory = Directory::default();
    directory.put(database("a", Some(1)), revision(5), received_at(at(10)));
    directory.put(database("a", Some(2)), revision(9), received_at(at(20)));
    let copied = directory.put(database("a", Some(1)), restored(5), received_at(at(30)));
    assert_eq!(copied, Outdated);
    let listed = directory.get(&name("a")).unwrap();
    assert_eq!(listed.database.started, Some(DatabaseStart(2)));
    assert!(
        listed.is_of_current_incarnation(at(25)),
        "no known fact is dropped"
    );
    let again = directory.put(database("a", Some(2)), restored(7), received_at(at(40)));
    assert_eq!(again, Applied);
    let next = directory.put(database("a", Some(3)), restored(8), received_at(at(50)));
    assert_eq!(next, NewIncarnation);
}

#[test]
fn a_database_absent_from_a_listing_is_missing_and_may_return_in_the_same_incarnation() {
    let mut directory = Directory::default();
    directory.put(database("a", Some(1)), revision(1), received_at(at(10)));
    directory.put(database("b", Some(1)), revision(2), received_at(at(10)));
    assert_eq!(
        directory.absent_from(&BTreeSet::from([name("b")])),
        [name("a")]
    );
    directory.remove(&name("a"), revision(6), received_at(at(20)));
    assert!(directory.get(&name("a")).unwrap().missing);
    assert!(!directory.get(&name("b")).unwrap().missing);
    let back = directory.put(database("a", Some(1)), revision(7), received_at(at(30)));
    assert_eq!(back, RegistrationOutcome::Applied);
}

#[test]
fn a_primary_that_lost_its_commits_does_not_lead_while_another_may_hold_them() {
    let a = name("a");
    let mut leadership = Leadership::default();
    leadership.confirm(&a, proof(at(1), at(2), Position::new(1, 9)));
    assert!(!leadership.confirm(&a, proof(at(10), at(11), Position::new(1, 0))));
    assert_eq!(leadership.leader(), None, "detected without the store");
    assert_eq!(leadership.floor(at(0)), None);
    let lesser = |millis| proof(at(millis), at(millis + 1), Position::new(1, 2));
    assert!(
        !leadership.confirm(&a, lesser(500)),
        "a write arrived in between"
    );
    assert!(
        leadership.confirm(&a, lesser(3_100)),
        "no replica was promoted"
    );
    leadership.confirm(&a, proof(at(3_200), at(3_201), Position::new(1, 4)));
    leadership.end_incarnation(&a, at(3_300));
    let other = name("b");
    assert!(leadership.confirm(&other, proof(at(3_400), at(3_401), Position::new(2, 4))));
}

#[test]
fn a_replica_restart_keeps_the_samples_of_the_primary() {
    let a = name("a");
    let mut leadership = Leadership::default();
    leadership.confirm(&a, proof(at(1), at(2), Position::new(1, 9)));
    assert!(!leadership.end_incarnation(&name("b"), at(3)));
    assert_eq!(leadership.floor(at(0)), Some(Position::new(1, 9)));
    assert!(leadership.end_incarnation(&a, at(4)));
    assert_eq!(leadership.newest_sample(), None);
}

fn replica(text: &str, received: u64, leaving: bool, preferred: bool) -> ReplicaState {
    ReplicaState {
        name: name(text),
        received: Position::new(1, received),
        drawbacks: Drawbacks {
            leaving,
            ..Drawbacks::default()
        },
        preferred,
    }
}

#[test]
fn an_empty_replica_is_never_preferred_to_one_that_holds_commits() {
    let cases = [
        (
            "preferred",
            replica("a", 0, false, true),
            replica("b", 9, false, false),
        ),
        (
            "the other leaves",
            replica("a", 0, false, true),
            replica("b", 9, true, false),
        ),
        (
            "catching up",
            replica("a", 10, false, true),
            replica("b", 900, true, false),
        ),
    ];
    for (case, lesser, holder) in cases {
        for sync_replicas in [0, 1] {
            let answered = [lesser.clone(), holder.clone()];
            let chosen = choose_candidate(&answered, 2, sync_replicas);
            assert_eq!(chosen, Ok(name("b")), "{case}, {sync_replicas}");
        }
    }
    let both_empty = [replica("a", 0, false, false), replica("b", 0, true, false)];
    assert_eq!(choose_candidate(&both_empty, 2, 0), Ok(name("a")));
    assert!(!both_empty[0].is_behind(&both_empty));
}

/// The protections that are enabled in a simulation.
#[derive(Clone, Copy)]
struct Protection {
    /// Answers to queries sent before the node learned of the incarnation are ignored.
    late_answers: bool,
    /// Facts about an incarnation are dropped when it ends.
    end_of_incarnation: bool,
}

const FULL: Protection = Protection {
    late_answers: true,
    end_of_incarnation: true,
};

/// Maximum number of commits in one incarnation; a position divided by this number gives the
/// incarnation.
const MAX_COMMITS_PER_INCARNATION: u64 = 1_000;
const NAMES: [&str; 2] = ["a", "b"];

/// An answer in transit: the queried database, and its state at the time of the query.
struct Answer {
    database: usize,
    asked_at: Timestamp,
    leads: bool,
    position: Position,
}

/// Simulation of one node that follows the incarnations of two databases while messages are delayed
/// and reordered.
struct Simulation {
    protection: Protection,
    now: Timestamp,
    incarnations: [u64; 2],
    commits: u64,
    primary: usize,
    written: Vec<(Database, u64)>,
    in_transit: Vec<Answer>,
    directory: Directory,
    leadership: Leadership,
    sampled: Option<usize>,
}

impl Simulation {
    fn new(protection: Protection) -> Self {
        let written = NAMES
            .iter()
            .zip(1..)
            .map(|(name, revision)| (database(name, Some(1)), revision))
            .collect();
        Self {
            protection,
            now: at(1),
            incarnations: [1; 2],
            commits: 1,
            primary: 0,
            written,
            in_transit: Vec::new(),
            directory: Directory::default(),
            leadership: Leadership::default(),
            sampled: None,
        }
    }

    fn step(&mut self, action: u8, argument: u8) {
        self.now = self.now + Duration::from_millis(40);
        let index = usize::from(argument % 2);
        match action % 6 {
            0 => self.restart(index),
            1 => self.receive_registration(usize::from(argument) % self.written.len()),
            2 => self.receive_registration(self.written.len() - 1),
            3 => self.send_query(index),
            4 if !self.in_transit.is_empty() => {
                let answer_index = usize::from(argument) % self.in_transit.len();
                let answer = self.in_transit.remove(answer_index);
                self.receive_answer(&answer);
            }
            _ => self.primary = index,
        }
    }

    fn restart(&mut self, index: usize) {
        self.incarnations[index] += 1;
        let revision = u64::try_from(self.written.len()).unwrap() + 1;
        let registration = database(NAMES[index], Some(self.incarnations[index]));
        self.written.push((registration, revision));
    }

    fn receive_registration(&mut self, entry_index: usize) {
        let (registration, number) = self.written[entry_index].clone();
        let name = registration.name.clone();
        let outcome = self
            .directory
            .put(registration, revision(number), received_at(self.now));
        if outcome == RegistrationOutcome::NewIncarnation && self.protection.end_of_incarnation {
            self.leadership.end_incarnation(&name, self.now);
        }
    }

    fn send_query(&mut self, index: usize) {
        self.commits = (self.commits + 1) % MAX_COMMITS_PER_INCARNATION;
        let number = self.incarnations[index] * MAX_COMMITS_PER_INCARNATION + self.commits;
        self.in_transit.push(Answer {
            database: index,
            asked_at: self.now,
            leads: self.primary == index,
            position: Position::new(1, number),
        });
    }

    fn receive_answer(&mut self, answer: &Answer) {
        let name = name(NAMES[answer.database]);
        let Some(listed) = self.directory.get(&name) else {
            return;
        };
        if self.protection.late_answers && !listed.is_of_current_incarnation(answer.asked_at) {
            return;
        }
        if answer.leads {
            let proof = proof(answer.asked_at, self.now, answer.position);
            self.leadership.confirm(&name, proof);
            if self.leadership.leader() == Some(&name) {
                self.sampled = Some(answer.database);
            }
        } else {
            self.leadership.refute(&name, answer.asked_at);
        }
    }

    /// Returns whether the node uses no fact of an incarnation earlier than the one that it knows.
    fn is_sound(&self) -> bool {
        let Some(sampled) = self.sampled else {
            return true;
        };
        let Some(listed) = self.directory.get(&name(NAMES[sampled])) else {
            return true;
        };
        let known = listed.database.started.map_or(0, |start| start.0);
        let newest = self
            .leadership
            .newest_sample()
            .map(|(_, position)| position);
        let used = [self.leadership.floor(at(0)), newest];
        used.into_iter()
            .flatten()
            .all(|position| position.lsn.0 / MAX_COMMITS_PER_INCARNATION >= known)
    }
}

fn stays_sound(protection: Protection, steps: &[(u8, u8)]) -> bool {
    let mut simulation = Simulation::new(protection);
    steps.iter().all(|(action, argument)| {
        simulation.step(*action, *argument);
        simulation.is_sound()
    })
}

quickcheck! {
    fn no_fact_of_an_earlier_incarnation_is_used_in_a_later_one(steps: Vec<(u8, u8)>) -> bool {
        stays_sound(FULL, &steps)
    }
}

/// The node learns of `a` and queries it; `a` restarts, the node learns of that, and then the
/// answer arrives.
const ANSWER_COMES_LATE: [(u8, u8); 5] = [(1, 0), (3, 0), (0, 0), (2, 0), (4, 0)];
/// The same, but the answer arrives before the restart.
const ANSWER_COMES_FIRST: [(u8, u8); 5] = [(1, 0), (3, 0), (4, 0), (0, 0), (2, 0)];

/// A peer's query to an incarnation that the node never knew, answered after the restart.
const QUERIED_BEFORE_KNOWN: [(u8, u8); 4] = [(3, 0), (0, 0), (1, 2), (4, 0)];

#[test]
fn without_either_protection_a_fact_outlives_its_incarnation() {
    let without_late_answers = Protection {
        late_answers: false,
        ..FULL
    };
    let without_end_of_incarnation = Protection {
        end_of_incarnation: false,
        ..FULL
    };
    assert!(stays_sound(FULL, &ANSWER_COMES_LATE));
    assert!(stays_sound(FULL, &ANSWER_COMES_FIRST));
    assert!(stays_sound(FULL, &QUERIED_BEFORE_KNOWN));
    assert!(!stays_sound(without_late_answers, &ANSWER_COMES_LATE));
    assert!(!stays_sound(
        without_end_of_incarnation,
        &ANSWER_COMES_FIRST
    ));
}
