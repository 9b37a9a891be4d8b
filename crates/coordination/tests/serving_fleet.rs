//! Tests of the per-zone choice of home nodes, and of how it changes when a node joins or leaves.

use std::collections::BTreeMap;

use hookpoint_coordination::serving::fleet::{Fleet, becomes_home};
use hookpoint_coordination::serving::homes::{HomeCandidate, choose_homes};
use hookpoint_state::{DatabaseName, ZoneName};
use quickcheck::quickcheck;

/// Number of home nodes of a database in these tests.
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
    /// The choice equals the choice among all nodes, however few of them are in the database's
    /// zone.
    fn home_nodes_match_a_choice_among_the_whole_fleet(numbers: Vec<u8>, wanted: u8, count: u8) -> bool {
        let distinct: BTreeMap<u8, HomeCandidate> =
            numbers.iter().map(|number| (*number, node(usize::from(*number)))).collect();
        let nodes: Vec<HomeCandidate> = distinct.into_values().collect();
        let (name, zone) = database(usize::from(wanted));
        let count = usize::from(count % 12);
        let control: Vec<HomeCandidate> =
            choose_homes(&name, &zone, &nodes, count).into_iter().cloned().collect();
        fleet(&nodes).choose_homes(&name, &zone, count) == control
    }

    /// A joining node ranks high enough exactly for the databases whose home nodes change.
    fn a_joining_node_changes_exactly_the_home_sets_that_it_enters(present: Vec<u8>, joining: u8) -> bool {
        let joining = node(usize::from(joining));
        let mut nodes: Vec<HomeCandidate> =
            present.iter().map(|number| node(usize::from(*number))).collect();
        nodes.retain(|present| *present != joining);
        let before = fleet(&nodes);
        let mut after = before.clone();
        after.join(joining.clone());
        (0..20).all(|number| {
            let (name, zone) = database(number);
            let known = homes(&before, number);
            let has_room = known.len() < HOMES;
            let is_home = has_room || becomes_home(&name, &zone, &known, &joining);
            is_home == (homes(&after, number) != known)
        })
    }

    /// A leaving node changes the home nodes of exactly those databases that had it as a home node.
    fn a_leaving_node_changes_exactly_the_home_sets_that_it_leaves(present: Vec<u8>, leaving: u8) -> bool {
        let leaving = node(usize::from(leaving));
        let mut nodes: Vec<HomeCandidate> =
            present.iter().map(|number| node(usize::from(*number))).collect();
        nodes.push(leaving.clone());
        let before = fleet(&nodes);
        let mut after = before.clone();
        after.leave(&leaving.node);
        (0..20).all(|number| {
            let known = homes(&before, number);
            known.contains(&leaving) == (homes(&after, number) != known)
        })
    }
}

/// Returns how many of `databases` databases get other home nodes when one node joins `nodes`
/// others.
fn changed_by_a_join(nodes: usize, databases: usize) -> usize {
    let present: Vec<HomeCandidate> = (0..nodes).map(node).collect();
    let fleet = fleet(&present);
    let joining = node(nodes);
    (0..databases)
        .filter(|number| {
            let (name, zone) = database(*number);
            becomes_home(&name, &zone, &homes(&fleet, *number), &joining)
        })
        .count()
}

#[test]
fn a_join_changes_as_much_in_a_fleet_of_twice_the_nodes_and_databases() {
    let small = changed_by_a_join(240, 720);
    let large = changed_by_a_join(480, 1_440);
    let fair_share = 720 * HOMES / 240;
    for changed in [small, large] {
        assert!(changed > 0, "the node is home node of no database");
        assert!(changed <= fair_share * 2, "{small} and {large} databases");
    }
}
