//! Tests of departing databases: no node starts the grace period later than the announcement,
//! however late it receives it.

mod store;

use std::time::Duration;

use hookpoint_coordination::serving::database_incarnation::DatabaseStart;
use hookpoint_coordination::serving::departure::{
    ABSENCE_CONFIRMED_AFTER, Coverage, Departure, DepartureEvidence, LearnedTimes, REWRITE_TIME,
};
use hookpoint_coordination::serving::directory::{
    Database, Directory, RESTORED_ENTRY_EXPIRY, StatedRole,
};
use hookpoint_state::{DatabaseName, GroupName, StoreEra, StoreRevision, Timestamp, ZoneName};
use quickcheck::quickcheck;
use store::revision;

/// How long a departing database receives new work.
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
fn new_work_ends_by_the_known_bound_of_the_departure() {
    use DepartureEvidence::{Announced, Missing};
    let cases = [
        (
            "announced, received at once",
            Announced,
            20_000,
            19_900,
            28_900,
        ),
        (
            "announced, received after a pause",
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
        ("missing, received at once", Missing, 20_000, 19_900, 28_900),
        (
            "missing, received after a pause",
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
    for (case, evidence, learned_at, not_before, ends) in cases {
        let learned_times = LearnedTimes {
            at: at(learned_at),
            not_before: at(not_before),
        };
        let departure = Departure::new(evidence, learned_times);
        assert_eq!(departure.grace_period_end(LIMIT), at(ends), "{case}");
    }
    assert!(ABSENCE_CONFIRMED_AFTER < LIMIT);
}

#[test]
fn an_announcement_keeps_its_time_and_a_new_incarnation_has_its_own() {
    let mut directory = Directory::default();
    let learned_times = |millis| LearnedTimes {
        at: at(millis),
        not_before: at(millis),
    };
    let counted_from = |directory: &Directory| {
        let departure = directory.get(&name())?.departure?;
        Some(departure.counted_from())
    };
    directory.put(database(1, true), revision(5), learned_times(100));
    directory.put(database(1, true), revision(6), learned_times(900));
    assert_eq!(counted_from(&directory), Some(at(100)), "still the same");
    directory.remove(&name(), revision(7), learned_times(2_000));
    assert_eq!(
        counted_from(&directory),
        Some(at(100)),
        "its entry is removed"
    );
    directory.put(database(1, false), revision(8), learned_times(3_000));
    assert_eq!(counted_from(&directory), None, "withdrawn");
    directory.remove(&name(), revision(9), learned_times(4_000));
    directory.put(database(1, true), revision(10), learned_times(7_000));
    assert_eq!(
        counted_from(&directory),
        Some(at(7_000)),
        "it had only expired"
    );
    directory.put(database(2, true), revision(11), learned_times(8_000));
    assert_eq!(
        counted_from(&directory),
        Some(at(8_000)),
        "a new incarnation"
    );
    directory.apply_departure_bound(&name(), Some(DatabaseStart(1)), at(8_500));
    assert_eq!(
        counted_from(&directory),
        Some(at(8_000)),
        "reported for an earlier incarnation"
    );
}

/// Returns a revision of the store after it was restored from a copy.
fn restored(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(2), number)
}

fn received_at(millis: u64) -> LearnedTimes {
    LearnedTimes {
        at: at(millis),
        not_before: at(millis),
    }
}

#[test]
fn an_announced_departure_is_not_withdrawn_by_a_store_that_lost_it() {
    let mut directory = Directory::default();
    directory.put(database(1, false), revision(5), received_at(0));
    directory.put(database(1, true), revision(9), received_at(100));
    let rounds = [
        ("the copy lists it as ready", false, 5),
        ("so does the database with another change", false, 8),
        ("it announces its departure again", true, 9),
    ];
    for (case, draining, number) in rounds {
        directory.put(database(1, draining), restored(number), received_at(5_000));
        let listed = directory.get(&name()).unwrap();
        let counted_from = listed.departure.map(|departure| departure.counted_from());
        assert_eq!(counted_from, Some(at(100)), "{case}");
        assert!(listed.database.draining, "{case}");
    }
    directory.put(database(2, false), restored(10), received_at(6_000));
    let listed = directory.get(&name()).unwrap();
    assert_eq!(listed.departure, None, "a new incarnation");
}

#[test]
fn a_database_that_left_does_not_return_with_a_copy_that_holds_its_entry() {
    let mut directory = Directory::default();
    directory.put(database(1, false), revision(5), received_at(0));
    directory.remove(&name(), revision(9), received_at(100));
    directory.put(database(1, false), restored(5), received_at(5_000));
    let listed = directory.get(&name()).unwrap();
    assert!(listed.missing);
    let counted_from = listed.departure.map(|departure| departure.counted_from());
    assert_eq!(counted_from, Some(at(100)));
    directory.put(database(1, false), restored(7), received_at(5_500));
    let listed = directory.get(&name()).unwrap();
    assert!(
        !listed.missing,
        "it registered anew, so it had only expired"
    );
    assert_eq!(listed.departure, None);
}

/// Guards against treating a running database as gone: its entry had expired, but it writes no new
/// one because the restored copy of the store still contains it.
#[test]
fn a_database_whose_restored_entry_does_not_expire_is_running() {
    let mut directory = Directory::default();
    directory.put(database(1, false), revision(5), received_at(0));
    directory.remove(&name(), revision(9), received_at(100));
    directory.put(database(1, false), restored(5), received_at(5_000));
    directory
        .confirm_restored_entries(at(5_000) + RESTORED_ENTRY_EXPIRY - Duration::from_millis(1));
    assert!(directory.get(&name()).unwrap().missing);
    let mut expiring = directory.clone();
    expiring.remove(&name(), restored(8), received_at(9_000));
    for directory in [&mut directory, &mut expiring] {
        directory.confirm_restored_entries(at(5_000) + RESTORED_ENTRY_EXPIRY);
    }
    let listed = directory.get(&name()).unwrap();
    assert!(!listed.missing);
    assert_eq!(listed.departure, None);
    assert!(expiring.get(&name()).unwrap().missing);
}

#[test]
fn updates_of_a_restored_store_do_not_extend_coverage_until_lost_changes_are_rewritten() {
    let mut coverage = Coverage::default();
    coverage.extend(at(10_000));
    coverage.note_era(at(12_000));
    coverage.extend(at(12_000));
    coverage.extend(at(15_400));
    assert_eq!(coverage.until(), at(10_000));
    assert_eq!(coverage.before_last_update(), at(10_000));
    let complete = at(12_000) + REWRITE_TIME;
    coverage.extend(complete);
    assert_eq!(coverage.before_last_update(), at(10_000));
    assert_eq!(coverage.until(), complete);
}

#[test]
fn a_bound_known_to_a_peer_only_extends_the_grace_period() {
    let learned_times = LearnedTimes {
        at: at(60_000),
        not_before: at(0),
    };
    let mut departure = Departure::new(DepartureEvidence::Announced, learned_times);
    departure.raise_lower_bound(at(57_000));
    assert_eq!(departure.grace_period_end(LIMIT), at(66_000));
    departure.raise_lower_bound(at(20_000));
    assert_eq!(departure.grace_period_end(LIMIT), at(66_000));
    departure.raise_lower_bound(at(61_000));
    assert_eq!(
        departure.grace_period_end(LIMIT),
        at(69_000),
        "not after it was received"
    );
}

/// Time between two events of the simulation.
const STEP: Duration = Duration::from_millis(250);
const NODES: usize = 3;

/// An answer in transit from the store or a peer, and the facts that it proves.
#[derive(Clone)]
struct Answer {
    to: usize,
    draining: bool,
    revision: u64,
    covered: Timestamp,
    departure: Option<Timestamp>,
}

/// A query in transit; `peer` is `None` if it is sent to the store.
#[derive(Clone)]
struct Query {
    from: usize,
    peer: Option<usize>,
    asked_at: Timestamp,
}

#[derive(Clone, Default)]
struct Node {
    directory: Directory,
    coverage: Coverage,
    draining: bool,
    revision: u64,
    /// Number of the current process; answers to an earlier process's queries are ignored.
    starts: u64,
}

/// The time from which a node counts the grace period.
#[derive(Clone, Copy, PartialEq)]
enum Counting {
    FromLowerBound,
    FromReceipt,
}

/// Simulation of nodes that query the store and each other, with arbitrary delays and restarts.
struct Fleet {
    counting: Counting,
    now: Timestamp,
    announced_at: Option<Timestamp>,
    nodes: Vec<Node>,
    queries: Vec<(Query, u64)>,
    answers: Vec<(Answer, u64)>,
}

impl Fleet {
    fn new(counting: Counting) -> Self {
        Self {
            counting,
            now: at(60_000),
            announced_at: None,
            nodes: vec![Node::default(); NODES],
            queries: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn step(&mut self, action: u8, argument: u8) {
        self.now = self.now + STEP;
        let index = usize::from(argument) % NODES;
        let choice = usize::from(argument);
        match action % 8 {
            0 if self.announced_at.is_none() => self.announced_at = Some(self.now),
            1 => self.send_query(index, None),
            2 | 3 => self.send_query(
                index,
                Some((index + 1 + choice / NODES % (NODES - 1)) % NODES),
            ),
            4 | 5 if !self.queries.is_empty() => {
                let query = self.queries.remove(choice % self.queries.len());
                self.respond(&query);
            }
            6 if !self.answers.is_empty() => {
                let answer = self.answers.remove(choice % self.answers.len());
                self.receive(&answer);
            }
            7 if choice > 200 => {
                let starts = self.nodes[index].starts + 1;
                self.nodes[index] = Node {
                    starts,
                    ..Node::default()
                };
            }
            _ => {}
        }
    }

    fn send_query(&mut self, from: usize, peer: Option<usize>) {
        let query = Query {
            from,
            peer,
            asked_at: self.now,
        };
        self.queries.push((query, self.nodes[from].starts));
    }

    fn respond(&mut self, (query, starts): &(Query, u64)) {
        let answer = match query.peer {
            None => Answer {
                to: query.from,
                draining: self.announced_at.is_some(),
                revision: 1 + u64::from(self.announced_at.is_some()),
                covered: query.asked_at,
                departure: None,
            },
            Some(peer) => {
                let asked_node = &self.nodes[peer];
                let listed = asked_node.directory.get(&name());
                // All ages are computed as if the answer had been given at once.
                let since_asked = self.now.since(query.asked_at);
                let departure = listed.and_then(|listed| listed.departure);
                Answer {
                    to: query.from,
                    draining: asked_node.draining,
                    revision: asked_node.revision,
                    covered: asked_node.coverage.until() - since_asked,
                    departure: departure.map(|known| known.counted_from() - since_asked),
                }
            }
        };
        if answer.revision > 0 {
            self.answers.push((answer, *starts));
        }
    }

    fn receive(&mut self, (answer, starts): &(Answer, u64)) {
        let counting = self.counting;
        let node = &mut self.nodes[answer.to];
        if node.starts != *starts || answer.revision < node.revision {
            return;
        }
        node.coverage.extend(answer.covered);
        node.revision = answer.revision;
        node.draining = answer.draining;
        let not_before = match counting {
            Counting::FromLowerBound => node.coverage.before_last_update(),
            Counting::FromReceipt => self.now,
        };
        let learned_times = LearnedTimes {
            at: self.now,
            not_before,
        };
        let registration = database(1, answer.draining);
        node.directory
            .put(registration, revision(answer.revision), learned_times);
        if let Some(not_before) = answer.departure {
            let started = Some(DatabaseStart(1));
            node.directory
                .apply_departure_bound(&name(), started, not_before);
        }
    }

    /// Returns whether every node ends new work by the limit counted from the announcement.
    fn is_sound(&self) -> bool {
        let Some(announced_at) = self.announced_at else {
            return true;
        };
        let departures = self.nodes.iter().filter_map(|node| {
            let listed = node.directory.get(&name())?;
            listed.departure
        });
        departures
            .into_iter()
            .all(|departure| departure.grace_period_end(LIMIT) <= announced_at + LIMIT)
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
        stays_sound(Counting::FromLowerBound, &steps)
    }
}

/// The store is queried before the announcement and answers after it; the answer arrives later
/// still.
const RECEIVED_LATE: [(u8, u8); 4] = [(1, 0), (0, 0), (4, 0), (6, 0)];

#[test]
fn counting_from_receipt_lets_a_late_node_send_for_too_long() {
    assert!(stays_sound(Counting::FromLowerBound, &RECEIVED_LATE));
    assert!(!stays_sound(Counting::FromReceipt, &RECEIVED_LATE));
}
