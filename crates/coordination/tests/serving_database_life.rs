//! Databases that start again under their names: what a node still uses of the life before.

mod store;

use std::collections::BTreeSet;
use std::time::Duration;

use hookpoint_coordination::serving::database_life::DatabaseStart;
use hookpoint_coordination::serving::departure::Hearing;
use hookpoint_coordination::serving::directory::{Database, Directory, Registration, StatedRole};
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

/// Heard as it happens.
fn heard(at: Timestamp) -> Hearing {
    Hearing { at, not_before: at }
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
fn another_start_is_another_life_and_an_old_revision_brings_none_back() {
    use Registration::{NewLife, Outdated, Taken};
    let cases = [
        ("the first that is heard of", Some(1), 5, Taken),
        ("the same start", Some(1), 6, Taken),
        ("another start", Some(2), 7, NewLife),
        ("an earlier start, told late", Some(1), 6, Outdated),
        ("none told any more", None, 8, NewLife),
        ("still none", None, 9, Taken),
        ("told again", Some(2), 10, NewLife),
    ];
    let mut directory = Directory::default();
    for (now, (case, started, number, expected)) in (10..).zip(cases) {
        let taken = directory.put(database("a", started), revision(number), heard(at(now)));
        assert_eq!(taken, expected, "{case}");
    }
    let listed = directory.get(&name("a")).unwrap();
    assert!(!listed.is_of_this_life(at(16)), "asked as it was learnt of");
    assert!(listed.is_of_this_life(at(17)));
}

#[test]
fn what_was_asked_before_a_database_was_heard_of_may_be_of_an_earlier_life() {
    let mut directory = Directory::default();
    directory.put(database("a", Some(2)), revision(1), heard(at(50)));
    let listed = directory.get(&name("a")).unwrap();
    assert!(!listed.is_of_this_life(at(49)), "a peer may have asked");
    assert!(listed.is_of_this_life(at(51)));
}

#[test]
fn an_announced_end_is_not_that_of_the_next_life() {
    let mut directory = Directory::default();
    let draining = |started| Database {
        draining: true,
        ..database("a", Some(started))
    };
    directory.put(draining(1), revision(1), heard(at(10)));
    directory.put(draining(2), revision(2), heard(at(20)));
    let departure = directory.get(&name("a")).unwrap().departure.unwrap();
    assert_eq!(departure.counted_from(), at(20));
}

#[test]
fn a_forgotten_database_is_not_brought_back_by_a_late_word_and_keeps_its_start() {
    let mut directory = Directory::default();
    directory.put(database("a", Some(1)), revision(1), heard(at(10)));
    directory.remove(&name("a"), revision(2), heard(at(20)));
    directory.forget_missing(at(30));
    let late = directory.put(database("a", Some(1)), revision(1), heard(at(40)));
    assert_eq!(late, Registration::Outdated);
    assert!(directory.get(&name("a")).is_none());
    let back = directory.put(database("a", Some(2)), revision(3), heard(at(50)));
    assert_eq!(back, Registration::NewLife);
}

#[test]
fn an_ended_life_is_not_brought_back_by_a_store_that_returned_from_a_copy() {
    use Registration::{NewLife, Outdated, Taken};
    let restored = |number| StoreRevision::new(StoreEra::new(2), number);
    let mut directory = Directory::default();
    directory.put(database("a", Some(1)), revision(5), heard(at(10)));
    directory.put(database("a", Some(2)), revision(9), heard(at(20)));
    let copied = directory.put(database("a", Some(1)), restored(5), heard(at(30)));
    assert_eq!(copied, Outdated);
    let listed = directory.get(&name("a")).unwrap();
    assert_eq!(listed.database.started, Some(DatabaseStart(2)));
    assert!(
        listed.is_of_this_life(at(25)),
        "nothing learnt is forgotten"
    );
    let again = directory.put(database("a", Some(2)), restored(7), heard(at(40)));
    assert_eq!(again, Taken);
    let next = directory.put(database("a", Some(3)), restored(8), heard(at(50)));
    assert_eq!(next, NewLife);
}

#[test]
fn what_a_listing_lacks_is_missing_and_may_return_in_the_same_life() {
    let mut directory = Directory::default();
    directory.put(database("a", Some(1)), revision(1), heard(at(10)));
    directory.put(database("b", Some(1)), revision(2), heard(at(10)));
    assert_eq!(directory.lacking(&BTreeSet::from([name("b")])), [name("a")]);
    directory.remove(&name("a"), revision(6), heard(at(20)));
    assert!(directory.get(&name("a")).unwrap().missing);
    assert!(!directory.get(&name("b")).unwrap().missing);
    let back = directory.put(database("a", Some(1)), revision(7), heard(at(30)));
    assert_eq!(back, Registration::Taken);
}

#[test]
fn a_primary_that_lost_its_commits_does_not_lead_while_another_may_hold_them() {
    let a = name("a");
    let mut leadership = Leadership::default();
    leadership.confirm(&a, proof(at(1), at(2), Position::new(1, 9)));
    assert!(!leadership.confirm(&a, proof(at(10), at(11), Position::new(1, 0))));
    assert_eq!(leadership.leader(), None, "found out without the store");
    assert_eq!(leadership.floor(at(0)), None);
    let lesser = |millis| proof(at(millis), at(millis + 1), Position::new(1, 2));
    assert!(!leadership.confirm(&a, lesser(500)), "a write slipped in");
    assert!(leadership.confirm(&a, lesser(3_100)), "nobody was promoted");
    leadership.confirm(&a, proof(at(3_200), at(3_201), Position::new(1, 4)));
    leadership.end_life(&a, at(3_300));
    let other = name("b");
    assert!(leadership.confirm(&other, proof(at(3_400), at(3_401), Position::new(2, 4))));
}

#[test]
fn a_new_life_of_a_replica_leaves_the_samples_of_the_primary() {
    let a = name("a");
    let mut leadership = Leadership::default();
    leadership.confirm(&a, proof(at(1), at(2), Position::new(1, 9)));
    assert!(!leadership.end_life(&name("b"), at(3)));
    assert_eq!(leadership.floor(at(0)), Some(Position::new(1, 9)));
    assert!(leadership.end_life(&a, at(4)));
    assert_eq!(leadership.newest_sample(), None);
}

fn replica(text: &str, received: u64, draining: bool, preferred: bool) -> ReplicaState {
    ReplicaState {
        name: name(text),
        received: Position::new(1, received),
        drawbacks: Drawbacks {
            leaving: draining,
            ..Drawbacks::default()
        },
        preferred,
    }
}

#[test]
fn an_empty_replica_never_goes_before_one_that_holds_commits() {
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

/// What protects a node in a played history.
#[derive(Clone, Copy)]
struct Protection {
    /// Answers to questions of before the node learnt of a life are passed over.
    late_answers: bool,
    /// What was learnt is dropped with the life.
    end_of_life: bool,
}

const FULL: Protection = Protection {
    late_answers: true,
    end_of_life: true,
};

/// Commits that a database takes in one life at the most; positions tell the life by it.
const COMMITS_OF_LIFE: u64 = 1_000;
const NAMES: [&str; 2] = ["a", "b"];

/// An answer on its way: of a database, to a question, from a life.
struct Answer {
    database: usize,
    asked_at: Timestamp,
    leads: bool,
    position: Position,
}

/// One node that follows the lives of two databases, with messages late and out of order.
struct World {
    protection: Protection,
    now: Timestamp,
    lives: [u64; 2],
    commits: u64,
    primary: usize,
    written: Vec<(Database, u64)>,
    on_their_way: Vec<Answer>,
    directory: Directory,
    leadership: Leadership,
    sampled: Option<usize>,
}

impl World {
    fn new(protection: Protection) -> Self {
        let written = NAMES
            .iter()
            .zip(1..)
            .map(|(name, revision)| (database(name, Some(1)), revision))
            .collect();
        Self {
            protection,
            now: at(1),
            lives: [1; 2],
            commits: 1,
            primary: 0,
            written,
            on_their_way: Vec::new(),
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
            1 => self.hear(usize::from(argument) % self.written.len()),
            2 => self.hear(self.written.len() - 1),
            3 => self.ask(index),
            4 if !self.on_their_way.is_empty() => {
                let place = usize::from(argument) % self.on_their_way.len();
                let answer = self.on_their_way.remove(place);
                self.take(&answer);
            }
            _ => self.primary = index,
        }
    }

    fn restart(&mut self, index: usize) {
        self.lives[index] += 1;
        let revision = u64::try_from(self.written.len()).unwrap() + 1;
        let registration = database(NAMES[index], Some(self.lives[index]));
        self.written.push((registration, revision));
    }

    fn hear(&mut self, place: usize) {
        let (registration, number) = self.written[place].clone();
        let name = registration.name.clone();
        let taken = self
            .directory
            .put(registration, revision(number), heard(self.now));
        if taken == Registration::NewLife && self.protection.end_of_life {
            self.leadership.end_life(&name, self.now);
        }
    }

    fn ask(&mut self, index: usize) {
        self.commits = (self.commits + 1) % COMMITS_OF_LIFE;
        let number = self.lives[index] * COMMITS_OF_LIFE + self.commits;
        self.on_their_way.push(Answer {
            database: index,
            asked_at: self.now,
            leads: self.primary == index,
            position: Position::new(1, number),
        });
    }

    fn take(&mut self, answer: &Answer) {
        let name = name(NAMES[answer.database]);
        let Some(listed) = self.directory.get(&name) else {
            return;
        };
        if self.protection.late_answers && !listed.is_of_this_life(answer.asked_at) {
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

    /// Whether what the node goes by is of no earlier life than it knows of.
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
            .all(|position| position.lsn.0 / COMMITS_OF_LIFE >= known)
    }
}

fn stays_sound(protection: Protection, steps: &[(u8, u8)]) -> bool {
    let mut world = World::new(protection);
    steps.iter().all(|(action, argument)| {
        world.step(*action, *argument);
        world.is_sound()
    })
}

quickcheck! {
    fn no_fact_of_an_earlier_life_is_used_in_a_later_one(steps: Vec<(u8, u8)>) -> bool {
        stays_sound(FULL, &steps)
    }
}

/// Hears of `a`, asks it, has it restart, hears of that, and takes the answer.
const ANSWER_COMES_LATE: [(u8, u8); 5] = [(1, 0), (3, 0), (0, 0), (2, 0), (4, 0)];
/// The same with the answer before the restart.
const ANSWER_COMES_FIRST: [(u8, u8); 5] = [(1, 0), (3, 0), (4, 0), (0, 0), (2, 0)];

/// A peer's question to a life that the node never heard of, answered after the restart.
const ASKED_BEFORE_HEARD_OF: [(u8, u8); 4] = [(3, 0), (0, 0), (1, 2), (4, 0)];

#[test]
fn without_either_protection_a_fact_outlives_its_life() {
    let no_clock = Protection {
        late_answers: false,
        ..FULL
    };
    let no_end = Protection {
        end_of_life: false,
        ..FULL
    };
    assert!(stays_sound(FULL, &ANSWER_COMES_LATE));
    assert!(stays_sound(FULL, &ANSWER_COMES_FIRST));
    assert!(stays_sound(FULL, &ASKED_BEFORE_HEARD_OF));
    assert!(!stays_sound(no_clock, &ANSWER_COMES_LATE));
    assert!(!stays_sound(no_end, &ANSWER_COMES_FIRST));
}
