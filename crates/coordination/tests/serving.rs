//! Table-driven and property tests of the serving path's decision logic.

mod store;

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::demand::Demand;
use hookpoint_coordination::serving::departure::LearnedTimes;
use hookpoint_coordination::serving::directory::{Database, Directory, StatedRole};
use hookpoint_coordination::serving::failover::{
    NoCandidate, Observation, ObserverCounts, ReplicaState, choose_candidate, is_lost,
};
use hookpoint_coordination::serving::freshness::FreshnessLog;
use hookpoint_coordination::serving::handover::Drawbacks;
use hookpoint_coordination::serving::homes::{
    ConnectionSharing, HomeCandidate, home_count, rank_homes, useful_connections,
};
use hookpoint_coordination::serving::leadership::{Confirmation, Leadership, PeriodPosition};
use hookpoint_coordination::serving::reliability::Reliability;
use hookpoint_coordination::serving::response_time::ResponseTime;
use hookpoint_coordination::serving::selection::{Candidate, Distance, rank};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::topology::{Configuration, ConfigurationHolder};
use hookpoint_state::{DatabaseName, GroupName, Position, Timestamp, ZoneName};
use quickcheck::quickcheck;
use store::revision;

/// Returns the receipt of an event at the moment at which it happens.
fn received_at(millis: u64) -> LearnedTimes {
    LearnedTimes {
        at: at(millis),
        not_before: at(millis),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn proof(asked: u64, answered: u64, position: Position) -> Confirmation {
    Confirmation {
        asked_at: at(asked),
        answered_at: at(answered),
        position: Some(position),
    }
}

fn name(text: &str) -> DatabaseName {
    DatabaseName::new(text)
}

#[test]
fn a_floor_is_the_oldest_sample_that_is_fresh_enough() {
    let mut log = FreshnessLog::default();
    log.record(at(1_000), Position::new(1, 10));
    log.record(at(1_100), Position::new(1, 20));
    log.record(at(1_200), Position::new(1, 30));
    for (horizon, floor) in [
        (900, Some(10)),
        (1_000, Some(10)),
        (1_001, Some(20)),
        (1_200, Some(30)),
        (1_201, None),
    ] {
        let expected = floor.map(|number| Position::new(1, number));
        assert_eq!(log.floor(at(horizon)), expected, "horizon {horizon}");
    }
}

#[test]
fn a_position_of_an_earlier_period_translates_to_the_first_sample_of_the_current_one() {
    let mut leadership = Leadership::default();
    leadership.confirm(&name("a"), proof(10, 20, Position::new(1, 100)));
    let held = PeriodPosition {
        leadership_period: leadership.leadership_period(),
        position: Position::new(1, 100),
    };
    assert_eq!(leadership.translate(held), Some(Position::new(1, 100)));
    leadership.confirm(&name("b"), proof(30, 40, Position::new(1, 90)));
    assert_eq!(leadership.translate(held), Some(Position::new(1, 90)));
}

#[test]
fn a_late_proof_of_a_replaced_primary_changes_nothing() {
    let mut leadership = Leadership::default();
    leadership.confirm(&name("b"), proof(30, 40, Position::new(2, 5)));
    assert!(!leadership.confirm(&name("a"), proof(20, 50, Position::new(1, 9))));
    assert_eq!(leadership.leader(), Some(&name("b")));
}

/// Guards against losing read-your-writes when a commit is answered while its primary is being
/// replaced: a read of the same session must still require the right position.
#[test]
fn a_commit_answered_by_a_primary_that_is_being_replaced_keeps_its_position() {
    let mut leadership = Leadership::default();
    leadership.confirm(&name("a"), proof(0, 5, Position::new(1, 90)));
    leadership.refute(&name("a"), at(100));
    let held = PeriodPosition {
        leadership_period: leadership.leadership_period_of(&name("a")),
        position: Position::new(1, 100),
    };
    assert_eq!(leadership.translate(held), Some(Position::new(1, 100)));
    leadership.confirm(&name("b"), proof(200, 205, Position::new(2, 98)));
    assert_eq!(leadership.translate(held), Some(Position::new(2, 98)));
    let late = leadership.leadership_period_of(&name("a"));
    assert_ne!(
        late,
        leadership.leadership_period(),
        "its positions no longer count"
    );
}

#[test]
fn a_position_that_goes_backwards_begins_a_new_leadership_period() {
    let mut leadership = Leadership::default();
    leadership.confirm(&name("a"), proof(10, 20, Position::new(1, 100)));
    let leadership_period = leadership.leadership_period();
    leadership.confirm(&name("a"), proof(15, 30, Position::new(1, 99)));
    assert_eq!(
        leadership.leadership_period(),
        leadership_period,
        "asked before the other answer"
    );
    leadership.confirm(&name("a"), proof(25, 30, Position::new(1, 99)));
    assert!(leadership.leadership_period() > leadership_period);
}

#[test]
fn a_primary_that_is_confirmed_again_keeps_its_leadership_period() {
    let mut leadership = Leadership::default();
    leadership.confirm(&name("a"), proof(10, 20, Position::new(1, 100)));
    let leadership_period = leadership.leadership_period();
    assert!(leadership.refute(&name("a"), at(25)));
    assert_eq!(leadership.leader(), None);
    leadership.confirm(&name("a"), proof(30, 40, Position::new(1, 101)));
    assert_eq!(leadership.leadership_period(), leadership_period);
}

#[test]
fn an_older_proof_does_not_restore_a_refuted_primary() {
    let mut leadership = Leadership::default();
    leadership.confirm(&name("a"), proof(10, 12, Position::new(1, 100)));
    assert!(leadership.refute(&name("a"), at(50)));
    assert!(!leadership.confirm(&name("a"), proof(40, 60, Position::new(1, 101))));
    assert_eq!(leadership.leader(), None);
    assert!(leadership.confirm(&name("b"), proof(45, 61, Position::new(2, 90))));
    assert!(leadership.confirm(&name("a"), proof(70, 72, Position::new(3, 95))));
}

#[test]
fn a_primary_is_lost_if_most_answering_nodes_have_lost_it() {
    use Observation::{Reachable, Refused, Silent, Unknown};
    let silent = Silent(ms(800));
    let refused = Refused(ms(200));
    let long = Silent(ms(3_000));
    let cases: [(&[Observation], usize, bool); 9] = [
        (&[silent, silent, silent, silent], 7, true),
        (&[silent, silent, silent], 7, false),
        (&[refused, refused, refused, refused], 7, true),
        (&[silent, silent, Reachable, Reachable], 7, false),
        (&[silent, silent, silent, Reachable], 7, true),
        (&[Silent(ms(300)); 7], 7, false),
        (&[Unknown; 7], 7, false),
        (&[long], 7, true),
        (&[silent], 1, true),
    ];
    for (observations, members, lost) in cases {
        let observer_counts = ObserverCounts {
            members,
            holders: members,
        };
        assert_eq!(
            is_lost(observations, observer_counts),
            lost,
            "{observations:?}"
        );
    }
}

#[test]
fn nodes_that_hold_no_connections_do_not_outvote_those_that_do() {
    use Observation::{Leaderless, NoHolderAvailable, Reachable, Silent, Unknown};
    let silent = Silent(ms(800));
    let no_holder = NoHolderAvailable(ms(1_500));
    let leaderless = Leaderless(ms(1_500));
    let observer_counts = ObserverCounts {
        members: 40,
        holders: 4,
    };
    let cases: [(&str, Vec<Observation>, bool); 9] = [
        (
            "no connection because of load",
            [vec![Reachable], vec![no_holder; 30]].concat(),
            false,
        ),
        (
            "restarted",
            [vec![Reachable], vec![leaderless; 30]].concat(),
            false,
        ),
        (
            "lost to holders",
            [vec![silent; 3], vec![Unknown; 37]].concat(),
            true,
        ),
        ("too few holders", vec![silent, silent], false),
        (
            "half the holders",
            [vec![silent; 2], vec![Reachable; 2]].concat(),
            false,
        ),
        ("no holder left, short", vec![no_holder; 36], false),
        (
            "no holder left, long",
            vec![NoHolderAvailable(ms(2_600)); 36],
            true,
        ),
        ("few, long", vec![NoHolderAvailable(ms(2_600)); 6], false),
        ("no node knows a primary", vec![leaderless; 30], true),
    ];
    for (what, observations, lost) in cases {
        assert_eq!(is_lost(&observations, observer_counts), lost, "{what}");
    }
}

#[test]
fn the_failure_share_follows_recent_outcomes_and_decays() {
    let mut reliability = Reliability::default();
    for _ in 0..30 {
        reliability.note(at(1_000), true);
    }
    assert!(reliability.failing(at(1_000)) > 900);
    assert!(reliability.failing(at(3_100)) < 500);
    assert!(reliability.failing(at(60_000)) == 0);
    for _ in 0..30 {
        reliability.note(at(1_500), false);
    }
    assert!(reliability.failing(at(1_500)) < 50);
    for number in 0..200 {
        reliability.note(at(2_000 + number), number % 2 == 0);
    }
    let half = reliability.failing(at(2_200));
    assert!((400..=600).contains(&half), "{half}");
}

#[test]
fn response_time_estimates_decay_with_age() {
    let mut time = ResponseTime::new(ms(20));
    for _ in 0..40 {
        time.note(at(1_000), ms(400));
    }
    assert!(time.expected(at(1_000)) > ms(380));
    assert!(time.expected(at(3_500)) < ms(220));
    assert!(time.expected(at(60_000)) <= ms(21));
    for _ in 0..40 {
        time.note(at(61_000), ms(5));
    }
    assert!(time.expected(at(61_000)) < ms(8));
}

#[test]
fn connections_are_kept_for_the_recent_peak() {
    let mut demand = Demand::default();
    demand.note(at(10_000), &Principal::Anonymous, 4);
    demand.note(at(10_500), &Principal::Anonymous, 2);
    assert_eq!(demand.connections_to_keep(at(11_900)), 5);
    demand.note(at(12_100), &Principal::Anonymous, 1);
    assert_eq!(demand.connections_to_keep(at(13_900)), 5);
    assert_eq!(demand.connections_to_keep(at(14_200)), 2);
    assert_eq!(demand.connections_to_keep(at(30_000)), 1);
}

fn replica(text: &str, received: u64, leaving: bool) -> ReplicaState {
    ReplicaState {
        name: name(text),
        received: Position::new(1, received),
        drawbacks: Drawbacks {
            leaving,
            ..Drawbacks::default()
        },
        preferred: false,
    }
}

#[test]
fn the_replica_that_received_most_is_chosen() {
    let all = [replica("a", 5, false), replica("b", 9, false)];
    assert_eq!(choose_candidate(&all, 2, 0), Ok(name("b")));
    let leaving = [replica("a", 5, false), replica("b", 9, true)];
    assert_eq!(choose_candidate(&leaving, 2, 0), Ok(name("a")));
    assert_eq!(
        choose_candidate(&leaving, 2, 1),
        Ok(name("b")),
        "a commit may be held by a leaving replica alone"
    );
    assert_eq!(
        choose_candidate(&all[..1], 2, 1),
        Err(NoCandidate::SomeMissing)
    );
    assert_eq!(choose_candidate(&all[..1], 2, 0), Ok(name("a")));
    assert_eq!(choose_candidate(&[], 2, 0), Err(NoCandidate::NoneAnswered));
}

fn candidate(text: &str, distance: Distance) -> Candidate {
    Candidate {
        name: name(text),
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
        cold: false,
        leader: false,
    }
}

#[test]
fn the_nearest_database_serves_unless_it_is_loaded_or_suspect() {
    let near = candidate("near", Distance::SameZone);
    let far = candidate("far", Distance::OtherRegion);
    assert_eq!(rank(vec![far.clone(), near.clone()])[0], name("near"));
    let loaded = Candidate {
        in_flight: 40,
        ..near.clone()
    };
    assert_eq!(rank(vec![loaded, far.clone()])[0], name("far"));
    let suspect = Candidate {
        suspect: true,
        ..near.clone()
    };
    assert_eq!(rank(vec![suspect, far.clone()])[0], name("far"));
    let slow_elsewhere = Candidate {
        service_time: ms(250),
        ..near.clone()
    };
    assert_eq!(rank(vec![slow_elsewhere, far.clone()])[0], name("far"));
    let crowded = Candidate {
        wait: ms(180),
        ..near.clone()
    };
    assert_eq!(rank(vec![crowded, far.clone()])[0], name("far"));
    let failing = Candidate {
        failure_share: 750,
        ..near.clone()
    };
    assert_eq!(rank(vec![failing, far.clone()])[0], name("far"));
    let seldom_failing = Candidate {
        failure_share: 20,
        ..near.clone()
    };
    assert_eq!(rank(vec![seldom_failing, far.clone()])[0], name("near"));
    let avoided = Candidate {
        zone_avoided: true,
        ..near.clone()
    };
    assert_eq!(rank(vec![avoided, far.clone()])[0], name("far"));
    let leaving = Candidate {
        leaving: true,
        ..near
    };
    assert_eq!(rank(vec![leaving, far])[0], name("far"));
}

fn database(text: &str, draining: bool) -> Database {
    Database {
        name: name(text),
        group: GroupName::new("g"),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 3,
        draining,
        role: StatedRole::Replica,
        started: None,
        cold_for: Duration::ZERO,
    }
}

#[test]
fn absence_proves_departure_only_if_the_store_was_followed_without_a_gap() {
    let mut directory = Directory::default();
    directory.put(database("a", false), revision(1), received_at(0));
    directory.remove(&name("a"), revision(2), received_at(1_000));
    let listed = directory.get(&name("a")).unwrap();
    assert!(!listed.is_leaving(at(0), at(4_400)));
    assert!(listed.is_leaving(at(0), at(4_500)));
    assert!(!listed.is_leaving(at(3_000), at(4_500)));
    directory.put(database("a", false), revision(3), received_at(5_000));
    assert!(
        !directory
            .get(&name("a"))
            .unwrap()
            .is_leaving(at(0), at(9_000))
    );
    directory.put(database("a", true), revision(4), received_at(5_000));
    assert!(
        directory
            .get(&name("a"))
            .unwrap()
            .is_leaving(at(0), at(5_000))
    );
}

#[test]
fn an_older_registration_does_not_replace_a_newer_one() {
    let mut directory = Directory::default();
    directory.put(database("a", true), revision(5), received_at(0));
    directory.put(database("a", false), revision(4), received_at(1));
    assert!(directory.get(&name("a")).unwrap().database.draining);
    directory.remove(&name("a"), revision(4), received_at(2));
    assert!(!directory.get(&name("a")).unwrap().missing);
}

#[test]
fn all_nodes_of_a_small_fleet_are_home_nodes_but_not_of_a_large_one() {
    assert_eq!(useful_connections(53, 3), 24, "what its slots can use");
    assert_eq!(useful_connections(23, 3), 23, "no more than it accepts");
    assert_eq!(useful_connections(23, 0), 23, "slots not known");
    assert_eq!(home_count(36, 7, ConnectionSharing::Shared), 7);
    assert_eq!(home_count(36, 300, ConnectionSharing::Shared), 9);
    assert_eq!(home_count(2, 300, ConnectionSharing::Shared), 1);
    assert_eq!(home_count(36, 0, ConnectionSharing::Shared), 1);
    assert_eq!(home_count(24, 59, ConnectionSharing::ByTenant), 3);
}

quickcheck! {
    fn the_configuration_version_never_decreases(versions: Vec<u64>) -> bool {
        let mut holder = ConfigurationHolder::default();
        let mut highest = None;
        versions.into_iter().all(|version| {
            let newer = highest.is_none_or(|highest| version > highest);
            if newer {
                highest = Some(version);
            }
            let offered = Configuration { version, ..Configuration::default() };
            let taken = holder.offer(offered);
            taken == newer && holder.current().map(Rc::clone).map(|current| current.version) == highest
        })
    }

    fn a_floor_covers_what_was_acknowledged_before_its_horizon(gaps: Vec<(u8, u8)>, horizon: u16) -> bool {
        let mut log = FreshnessLog::default();
        let mut truth = Vec::new();
        let (mut time, mut number) = (0, 0);
        for (pause, commits) in gaps {
            time += u64::from(pause);
            number += u64::from(commits);
            truth.push((at(time), Position::new(1, number)));
            log.record(at(time), Position::new(1, number));
        }
        let horizon = at(u64::from(horizon));
        match log.floor(horizon) {
            None => true,
            Some(floor) => truth
                .iter()
                .filter(|(asked, _)| *asked < horizon)
                .all(|(_, position)| *position <= floor),
        }
    }

    fn nodes_agree_on_home_nodes_and_a_leaving_node_changes_only_its_own(count: u8, leaver: u8) -> bool {
        let nodes: Vec<HomeCandidate> = (0..=count)
            .map(|number| HomeCandidate { node: format!("n{number}"), zone: ZoneName::new("z"), bandwidth_mbps: 0 })
            .collect();
        let zone = ZoneName::new("z");
        let before: Vec<String> = rank_homes(&name("d"), &zone, &nodes)
            .into_iter()
            .map(|home| home.node.clone())
            .collect();
        let left = format!("n{}", leaver % (count.saturating_add(1)).max(1));
        let rest: Vec<HomeCandidate> = nodes.iter().rev().filter(|node| node.node != left).cloned().collect();
        let after: Vec<String> = rank_homes(&name("d"), &zone, &rest)
            .into_iter()
            .map(|home| home.node.clone())
            .collect();
        before.into_iter().filter(|node| *node != left).collect::<Vec<_>>() == after
    }
}
