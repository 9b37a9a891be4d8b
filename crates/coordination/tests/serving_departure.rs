//! Databases that leave: no node counts from a time after the announcement, whatever it hears late.

mod store;

use std::time::Duration;

use hookpoint_coordination::serving::database_life::DatabaseStart;
use hookpoint_coordination::serving::departure::{
    ABSENCE_CONFIRMED_AFTER, Coverage, Departure, Hearing, Sign, WRITTEN_AGAIN,
};
use hookpoint_coordination::serving::directory::{
    Database, Directory, RESTORED_ENTRY_EXPIRY, StatedRole,
};
use hookpoint_state::{DatabaseName, GroupName, StoreEra, StoreRevision, Timestamp, ZoneName};
use quickcheck::quickcheck;
use store::revision;

/// How long a database gets new work.
const LIMIT: Duration = Duration::from_secs(9);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn name() -> DatabaseName {
    DatabaseName::new("a")
}

fn database(started: u64, draining: bool) -> Database {
    Database {
        name: name(),
        group: GroupName::new("g"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 3,
        draining,
        role: StatedRole::Replica,
        started: Some(DatabaseStart(started)),
        cold_for: Duration::ZERO,
    }
}

#[test]
fn new_work_ends_by_what_is_known_of_the_beginning() {
    use Sign::{Announced, Missing};
    let cases = [
        (
            "announced, heard at once",
            Announced,
            20_000,
            19_900,
            28_900,
        ),
        (
            "announced, heard after a pause",
            Announced,
            20_000,
            15_000,
            24_000,
        ),
        (
            "announced, found at the start of a node",
            Announced,
            60_000,
            0,
            9_000,
        ),
        ("missing, heard at once", Missing, 20_000, 19_900, 28_900),
        (
            "missing, heard after a pause",
            Missing,
            20_000,
            15_000,
            24_000,
        ),
        (
            "missing after a long outage: it may be back",
            Missing,
            40_000,
            15_000,
            43_500,
        ),
    ];
    for (case, sign, heard_at, not_before, ends) in cases {
        let hearing = Hearing {
            at: at(heard_at),
            not_before: at(not_before),
        };
        let departure = Departure::heard(sign, hearing);
        assert_eq!(departure.work_ends(LIMIT), at(ends), "{case}");
    }
    assert!(ABSENCE_CONFIRMED_AFTER < LIMIT);
}

#[test]
fn an_announcement_keeps_its_time_and_another_life_has_its_own() {
    let mut directory = Directory::default();
    let hearing = |millis| Hearing {
        at: at(millis),
        not_before: at(millis),
    };
    let counted_from = |directory: &Directory| {
        let departure = directory.get(&name())?.departure?;
        Some(departure.counted_from())
    };
    directory.put(database(1, true), revision(5), hearing(100));
    directory.put(database(1, true), revision(6), hearing(900));
    assert_eq!(counted_from(&directory), Some(at(100)), "still the same");
    directory.remove(&name(), revision(7), hearing(2_000));
    assert_eq!(counted_from(&directory), Some(at(100)), "its entry goes");
    directory.put(database(1, false), revision(8), hearing(3_000));
    assert_eq!(counted_from(&directory), None, "taken back");
    directory.remove(&name(), revision(9), hearing(4_000));
    directory.put(database(1, true), revision(10), hearing(7_000));
    assert_eq!(
        counted_from(&directory),
        Some(at(7_000)),
        "it had only lapsed"
    );
    directory.put(database(2, true), revision(11), hearing(8_000));
    assert_eq!(counted_from(&directory), Some(at(8_000)), "another life");
    directory.learn_departure(&name(), Some(DatabaseStart(1)), at(8_500));
    assert_eq!(
        counted_from(&directory),
        Some(at(8_000)),
        "told of an earlier life"
    );
}

/// The state that a store called `number` after it had come back from a copy.
fn restored(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(2), number)
}

fn at_once(millis: u64) -> Hearing {
    Hearing {
        at: at(millis),
        not_before: at(millis),
    }
}

#[test]
fn an_announced_end_is_not_taken_back_by_a_store_that_lost_it() {
    let mut directory = Directory::default();
    directory.put(database(1, false), revision(5), at_once(0));
    directory.put(database(1, true), revision(9), at_once(100));
    let rounds = [
        ("the copy lists it as ready", false, 5),
        ("so does the database with another change", false, 8),
        ("it announces its end again", true, 9),
    ];
    for (case, draining, number) in rounds {
        directory.put(database(1, draining), restored(number), at_once(5_000));
        let listed = directory.get(&name()).unwrap();
        let counted_from = listed.departure.map(|departure| departure.counted_from());
        assert_eq!(counted_from, Some(at(100)), "{case}");
        assert!(listed.database.draining, "{case}");
    }
    directory.put(database(2, false), restored(10), at_once(6_000));
    let listed = directory.get(&name()).unwrap();
    assert_eq!(listed.departure, None, "another life");
}

#[test]
fn a_database_that_left_does_not_return_with_a_copy_that_holds_its_entry() {
    let mut directory = Directory::default();
    directory.put(database(1, false), revision(5), at_once(0));
    directory.remove(&name(), revision(9), at_once(100));
    directory.put(database(1, false), restored(5), at_once(5_000));
    let listed = directory.get(&name()).unwrap();
    assert!(listed.missing);
    let counted_from = listed.departure.map(|departure| departure.counted_from());
    assert_eq!(counted_from, Some(at(100)));
    directory.put(database(1, false), restored(7), at_once(5_500));
    let listed = directory.get(&name()).unwrap();
    assert!(!listed.missing, "it registered anew, so it had only lapsed");
    assert_eq!(listed.departure, None);
}

/// A living database whose entry had lapsed writes nothing new, as the copy holds it.
#[test]
fn a_database_whose_copied_entry_does_not_lapse_again_lives() {
    let mut directory = Directory::default();
    directory.put(database(1, false), revision(5), at_once(0));
    directory.remove(&name(), revision(9), at_once(100));
    directory.put(database(1, false), restored(5), at_once(5_000));
    directory.note_lasting(at(5_000) + RESTORED_ENTRY_EXPIRY - Duration::from_millis(1));
    assert!(directory.get(&name()).unwrap().missing);
    let mut lapsing = directory.clone();
    lapsing.remove(&name(), restored(8), at_once(9_000));
    for directory in [&mut directory, &mut lapsing] {
        directory.note_lasting(at(5_000) + RESTORED_ENTRY_EXPIRY);
    }
    let listed = directory.get(&name()).unwrap();
    assert!(!listed.missing);
    assert_eq!(listed.departure, None);
    assert!(lapsing.get(&name()).unwrap().missing);
}

#[test]
fn news_of_a_store_that_came_back_cover_nothing_until_lost_changes_are_written_again() {
    let mut coverage = Coverage::default();
    coverage.extend(at(10_000));
    coverage.note_era(at(12_000));
    coverage.extend(at(12_000));
    coverage.extend(at(15_400));
    assert_eq!(coverage.until(), at(10_000));
    assert_eq!(coverage.before_news(), at(10_000));
    let complete = at(12_000) + WRITTEN_AGAIN;
    coverage.extend(complete);
    assert_eq!(coverage.before_news(), at(10_000));
    assert_eq!(coverage.until(), complete);
}

#[test]
fn a_peer_that_knows_more_gives_time_back_and_never_takes_any() {
    let hearing = Hearing {
        at: at(60_000),
        not_before: at(0),
    };
    let mut departure = Departure::heard(Sign::Announced, hearing);
    departure.learn(at(57_000));
    assert_eq!(departure.work_ends(LIMIT), at(66_000));
    departure.learn(at(20_000));
    assert_eq!(departure.work_ends(LIMIT), at(66_000));
    departure.learn(at(61_000));
    assert_eq!(
        departure.work_ends(LIMIT),
        at(69_000),
        "not after it was heard"
    );
}

/// Time between two events of the fleet.
const STEP: Duration = Duration::from_millis(250);
const NODES: usize = 3;

/// An answer of the store or of a peer on its way, and what it proves.
#[derive(Clone)]
struct Answer {
    to: usize,
    draining: bool,
    revision: u64,
    covered: Timestamp,
    departure: Option<Timestamp>,
}

/// A question on its way: whom it asks (the store, if nobody), and when it was sent.
#[derive(Clone)]
struct Question {
    from: usize,
    peer: Option<usize>,
    asked_at: Timestamp,
}

#[derive(Clone, Default)]
struct Machine {
    directory: Directory,
    coverage: Coverage,
    draining: bool,
    revision: u64,
    /// Questions of an earlier process are not answered to this one.
    starts: u64,
}

/// What a node counts from.
#[derive(Clone, Copy, PartialEq)]
enum Counting {
    FromTheBound,
    FromHearing,
}

/// Nodes that ask the store and each other, with delays anywhere, and start anew.
struct Fleet {
    counting: Counting,
    now: Timestamp,
    announced_at: Option<Timestamp>,
    machines: Vec<Machine>,
    questions: Vec<(Question, u64)>,
    answers: Vec<(Answer, u64)>,
}

impl Fleet {
    fn new(counting: Counting) -> Self {
        Self {
            counting,
            now: at(60_000),
            announced_at: None,
            machines: vec![Machine::default(); NODES],
            questions: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn step(&mut self, action: u8, argument: u8) {
        self.now = self.now + STEP;
        let index = usize::from(argument) % NODES;
        let place = usize::from(argument);
        match action % 8 {
            0 if self.announced_at.is_none() => self.announced_at = Some(self.now),
            1 => self.ask(index, None),
            2 | 3 => self.ask(
                index,
                Some((index + 1 + place / NODES % (NODES - 1)) % NODES),
            ),
            4 | 5 if !self.questions.is_empty() => {
                let question = self.questions.remove(place % self.questions.len());
                self.respond(&question);
            }
            6 if !self.answers.is_empty() => {
                let answer = self.answers.remove(place % self.answers.len());
                self.take(&answer);
            }
            7 if place > 200 => {
                let starts = self.machines[index].starts + 1;
                self.machines[index] = Machine {
                    starts,
                    ..Machine::default()
                };
            }
            _ => {}
        }
    }

    fn ask(&mut self, from: usize, peer: Option<usize>) {
        let question = Question {
            from,
            peer,
            asked_at: self.now,
        };
        self.questions.push((question, self.machines[from].starts));
    }

    fn respond(&mut self, (question, starts): &(Question, u64)) {
        let answer = match question.peer {
            None => Answer {
                to: question.from,
                draining: self.announced_at.is_some(),
                revision: 1 + u64::from(self.announced_at.is_some()),
                covered: question.asked_at,
                departure: None,
            },
            Some(peer) => {
                let told = &self.machines[peer];
                let listed = told.directory.get(&name());
                // All ages are told as if the answer had been given at once.
                let since_asked = self.now.since(question.asked_at);
                let departure = listed.and_then(|listed| listed.departure);
                Answer {
                    to: question.from,
                    draining: told.draining,
                    revision: told.revision,
                    covered: told.coverage.until() - since_asked,
                    departure: departure.map(|known| known.counted_from() - since_asked),
                }
            }
        };
        if answer.revision > 0 {
            self.answers.push((answer, *starts));
        }
    }

    fn take(&mut self, (answer, starts): &(Answer, u64)) {
        let counting = self.counting;
        let machine = &mut self.machines[answer.to];
        if machine.starts != *starts || answer.revision < machine.revision {
            return;
        }
        machine.coverage.extend(answer.covered);
        machine.revision = answer.revision;
        machine.draining = answer.draining;
        let not_before = match counting {
            Counting::FromTheBound => machine.coverage.before_news(),
            Counting::FromHearing => self.now,
        };
        let hearing = Hearing {
            at: self.now,
            not_before,
        };
        let registration = database(1, answer.draining);
        machine
            .directory
            .put(registration, revision(answer.revision), hearing);
        if let Some(not_before) = answer.departure {
            let started = Some(DatabaseStart(1));
            machine
                .directory
                .learn_departure(&name(), started, not_before);
        }
    }

    /// Whether no node allows the database work for longer than since its announcement.
    fn is_sound(&self) -> bool {
        let Some(announced_at) = self.announced_at else {
            return true;
        };
        let departures = self.machines.iter().filter_map(|machine| {
            let listed = machine.directory.get(&name())?;
            listed.departure
        });
        departures
            .into_iter()
            .all(|departure| departure.work_ends(LIMIT) <= announced_at + LIMIT)
    }
}

fn stays_sound(counting: Counting, steps: &[(u8, u8)]) -> bool {
    let mut fleet = Fleet::new(counting);
    steps.iter().all(|(action, argument)| {
        fleet.step(*action, *argument);
        fleet.is_sound()
    })
}

quickcheck! {
    fn no_node_counts_from_after_the_announcement(steps: Vec<(u8, u8)>) -> bool {
        stays_sound(Counting::FromTheBound, &steps)
    }
}

/// The store is asked before the announcement and answers after it, and its answer comes later still.
const HEARD_LATE: [(u8, u8); 4] = [(1, 0), (0, 0), (4, 0), (6, 0)];

#[test]
fn counted_from_hearing_a_node_that_hears_late_sends_too_late() {
    assert!(stays_sound(Counting::FromTheBound, &HEARD_LATE));
    assert!(!stays_sound(Counting::FromHearing, &HEARD_LATE));
}
