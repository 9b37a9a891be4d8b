//! Homes chosen zone by zone, and what a node that comes or goes changes of them.

use std::collections::BTreeMap;

use hookpoint_coordination::serving::fleet::{Fleet, wins_place};
use hookpoint_coordination::serving::homes::{HomeCandidate, choose_homes};
use hookpoint_state::{DatabaseName, ZoneName};
use quickcheck::quickcheck;

/// Homes that a database has in these tests.
const HOMES: usize = 6;
const ZONES: usize = 6;

fn zone(number: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", number % ZONES))
}

fn node(number: usize) -> HomeCandidate {
    HomeCandidate {
        node: format!("node-{number}"),
        zone: zone(number),
        bandwidth_mbps: 20,
    }
}

fn database(number: usize) -> (DatabaseName, ZoneName) {
    (DatabaseName::new(format!("db-{number}")), zone(number))
}

fn fleet(nodes: &[HomeCandidate]) -> Fleet {
    let mut fleet = Fleet::default();
    for node in nodes {
        fleet.join(node.clone());
    }
    fleet
}

fn homes(fleet: &Fleet, number: usize) -> Vec<HomeCandidate> {
    let (name, zone) = database(number);
    fleet.choose_homes(&name, &zone, HOMES)
}

quickcheck! {
    /// The choice is that among all nodes, however few of them stand in the zone.
    fn homes_are_those_of_the_whole_fleet(numbers: Vec<u8>, wanted: u8, count: u8) -> bool {
        let distinct: BTreeMap<u8, HomeCandidate> =
            numbers.iter().map(|number| (*number, node(usize::from(*number)))).collect();
        let nodes: Vec<HomeCandidate> = distinct.into_values().collect();
        let (name, zone) = database(usize::from(wanted));
        let count = usize::from(count % 12);
        let control: Vec<HomeCandidate> =
            choose_homes(&name, &zone, &nodes, count).into_iter().cloned().collect();
        fleet(&nodes).choose_homes(&name, &zone, count) == control
    }

    /// A node wins a place just where it changes the homes.
    fn a_node_that_comes_changes_just_the_homes_that_it_wins(present: Vec<u8>, comes: u8) -> bool {
        let comes = node(usize::from(comes));
        let mut nodes: Vec<HomeCandidate> =
            present.iter().map(|number| node(usize::from(*number))).collect();
        nodes.retain(|present| *present != comes);
        let before = fleet(&nodes);
        let mut after = before.clone();
        after.join(comes.clone());
        (0..20).all(|number| {
            let (name, zone) = database(number);
            let known = homes(&before, number);
            let has_room = known.len() < HOMES;
            let wins = has_room || wins_place(&name, &zone, &known, &comes);
            wins == (homes(&after, number) != known)
        })
    }

    /// What a node takes along, in a fleet that it leaves, is the homes that it was.
    fn a_node_that_goes_changes_just_the_homes_that_it_was(present: Vec<u8>, goes: u8) -> bool {
        let goes = node(usize::from(goes));
        let mut nodes: Vec<HomeCandidate> =
            present.iter().map(|number| node(usize::from(*number))).collect();
        nodes.push(goes.clone());
        let before = fleet(&nodes);
        let mut after = before.clone();
        after.leave(&goes.node);
        (0..20).all(|number| {
            let known = homes(&before, number);
            known.contains(&goes) == (homes(&after, number) != known)
        })
    }
}

/// Databases whose homes change as one node joins `nodes` others before `databases`.
fn changed_by_a_join(nodes: usize, databases: usize) -> usize {
    let present: Vec<HomeCandidate> = (0..nodes).map(node).collect();
    let fleet = fleet(&present);
    let comes = node(nodes);
    (0..databases)
        .filter(|number| {
            let (name, zone) = database(*number);
            wins_place(&name, &zone, &homes(&fleet, *number), &comes)
        })
        .count()
}

#[test]
fn a_join_changes_as_much_in_a_fleet_of_twice_the_nodes_and_databases() {
    let small = changed_by_a_join(240, 720);
    let large = changed_by_a_join(480, 1_440);
    let fair_share = 720 * HOMES / 240;
    for changed in [small, large] {
        assert!(changed > 0, "the node is home of nothing");
        assert!(changed <= fair_share * 2, "{small} and {large} databases");
    }
}
