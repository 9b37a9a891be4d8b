//! Tests of the membership protocol in virtual time.

mod network;

use std::time::Duration;

use hookpoint_coordination::membership::{MemberState, MembershipEvent};
use hookpoint_state::{BundleVersion, NodeId};
use network::Network;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Starts `count` nodes in `zones` zones, each of which has only the first node as its
/// seed.
fn fleet(seed: u64, count: u16, zones: usize) -> (Network, Vec<NodeId>) {
    let mut network = Network::new(seed, 3);
    let mut nodes = Vec::new();
    for index in 0..count {
        nodes.push(network.start(index, usize::from(index) % zones, &[0]));
        network.run(Duration::from_millis(20));
    }
    (network, nodes)
}

#[test]
fn nodes_find_each_other_through_one_seed() {
    for (count, zones) in [(2, 1), (3, 3), (12, 3), (60, 5)] {
        let (mut network, _) = fleet(1, count, zones);
        let time = network.run_until_agreed(seconds(20));
        assert!(
            time.is_some(),
            "{count} nodes in {zones} zones do not agree"
        );
    }
}

#[test]
fn a_seed_that_starts_after_the_others_is_found() {
    let mut network = Network::new(2, 3);
    network.start(1, 1, &[0]);
    network.start(2, 2, &[0]);
    network.run(seconds(30));
    network.start(0, 0, &[]);
    assert!(network.run_until_agreed(seconds(10)).is_some());
}

#[test]
fn a_platform_hint_is_enough_to_find_a_member() {
    let mut network = Network::new(3, 3);
    let first = network.start(0, 0, &[]);
    network.start(1, 1, &[]);
    network.run(seconds(5));
    assert!(!network.agrees());
    let hints = vec![Network::address(0), Network::address(1)];
    network.handle(first, MembershipEvent::Hints(hints));
    assert!(network.run_until_agreed(seconds(10)).is_some());
}

#[test]
fn a_dead_node_is_detected_by_all() {
    for (count, limit) in [(2, 8), (3, 8), (12, 10), (60, 14)] {
        let (mut network, nodes) = fleet(4, count, 3);
        network.run_until_agreed(seconds(20)).expect("they agree");
        network.kill(nodes[1]);
        // In a fleet of two the surviving node is isolated: it does not send its
        // verdict, but still makes it.
        network.run(seconds(limit));
        for node in network.nodes.keys() {
            assert_eq!(network.state(*node, nodes[1]), Some(MemberState::Dead));
        }
        assert_eq!(network.false_deaths(), 0, "{count} nodes");
    }
}

#[test]
fn datagram_loss_causes_no_false_deaths() {
    let (mut network, _) = fleet(5, 40, 4);
    network.run_until_agreed(seconds(20)).expect("they agree");
    network.loss_one_in = 50;
    network.run(seconds(600));
    assert_eq!(network.false_deaths(), 0);
    network.loss_one_in = 0;
    assert!(network.run_until_agreed(seconds(30)).is_some());
}

#[test]
fn a_paused_node_refutes_its_death_and_declares_no_other_dead() {
    for pause in [2, 5, 30, 120] {
        let (mut network, nodes) = fleet(6, 20, 3);
        network.run_until_agreed(seconds(20)).expect("they agree");
        network.pause(nodes[7], seconds(pause));
        network.run(seconds(pause));
        assert!(
            network.run_until_agreed(seconds(20)).is_some(),
            "pause of {pause} s"
        );
        let own = &network.nodes[&nodes[7]];
        assert!(
            own.deaths.is_empty(),
            "pause of {pause} s: {:?}",
            own.deaths
        );
    }
}

#[test]
fn a_restarted_process_replaces_its_predecessor() {
    let (mut network, nodes) = fleet(7, 12, 3);
    network.run_until_agreed(seconds(20)).expect("they agree");
    let restarted = network.start(5, 2, &[0]);
    assert!(network.run_until_agreed(seconds(20)).is_some());
    network.run(seconds(10));
    for node in network.nodes.keys().filter(|node| **node != restarted) {
        let state = network.state(*node, nodes[5]);
        assert!(matches!(state, None | Some(MemberState::Dead)), "{state:?}");
    }
}

#[test]
fn leaving_reaches_all_nodes_and_is_kept() {
    let (mut network, nodes) = fleet(8, 30, 3);
    network.run_until_agreed(seconds(20)).expect("they agree");
    network.handle(nodes[3], MembershipEvent::Leave);
    network.run(seconds(3));
    for node in network.nodes.keys().filter(|node| **node != nodes[3]) {
        assert_eq!(network.state(*node, nodes[3]), Some(MemberState::Leaving));
    }
    network.run(seconds(60));
    for node in network.nodes.keys().filter(|node| **node != nodes[3]) {
        assert_eq!(network.state(*node, nodes[3]), Some(MemberState::Leaving));
    }
    network.kill(nodes[3]);
    network.run(seconds(15));
    for node in network.nodes.keys() {
        assert_eq!(network.state(*node, nodes[3]), Some(MemberState::Dead));
    }
}

#[test]
fn a_partitioned_zone_merges_again_with_bounded_traffic() {
    for minutes in [1, 10] {
        let (mut network, nodes) = fleet(9, 60, 3);
        network.run_until_agreed(seconds(20)).expect("they agree");
        network.partitions.extend([(0, 1), (0, 2)]);
        network.run(seconds(60 * minutes));
        let inside = nodes[3];
        let outside = nodes[4];
        assert_eq!(network.state(inside, nodes[6]), Some(MemberState::Alive));
        assert_eq!(network.state(outside, nodes[8]), Some(MemberState::Alive));
        assert_eq!(network.state(inside, outside), Some(MemberState::Dead));
        assert_eq!(network.state(outside, inside), Some(MemberState::Dead));
        let deaths_in_the_partition = network.false_deaths();
        network.take_rates(seconds(1));
        network.partitions.clear();
        let time = network.run_until_agreed(seconds(60));
        let time = time.expect("both sides merge");
        assert!(time <= seconds(30), "merged after {time:?}");
        let (mean, maximum) = network.take_rates(time);
        let bytes = mean * time.as_secs_f64();
        assert!(bytes < 40_000.0, "{bytes:.0} bytes a node");
        assert!(maximum < 20_000.0, "{maximum:.0} bytes/s on one node");
        assert_eq!(
            network.false_deaths(),
            deaths_in_the_partition,
            "the merge causes no false deaths"
        );
    }
}

#[test]
fn an_isolated_node_spreads_no_false_deaths() {
    let (mut network, nodes) = fleet(10, 31, 5);
    network.run_until_agreed(seconds(20)).expect("they agree");
    // A sixth zone, with no other node.
    let isolated = network.start(100, 5, &[0]);
    network.run_until_agreed(seconds(20)).expect("they agree");
    network.partitions.extend((0..5).map(|zone| (zone, 5)));
    network.run(seconds(120));
    let before = network.nodes[&nodes[2]].deaths.len();
    network.partitions.clear();
    assert!(network.run_until_agreed(seconds(30)).is_some());
    assert!(before <= 1, "only the isolated node was declared dead");
    let after = network.nodes[&nodes[2]].deaths.len();
    assert_eq!(before, after);
    assert_ne!(network.state(nodes[2], isolated), Some(MemberState::Dead));
}

#[test]
fn versions_are_refreshed_on_request() {
    let (mut network, nodes) = fleet(11, 40, 3);
    network.run_until_agreed(seconds(20)).expect("they agree");
    for node in &nodes[..39] {
        network.handle(*node, MembershipEvent::BundleInForce(BundleVersion(7)));
    }
    network.handle(nodes[0], MembershipEvent::RefreshVersions(BundleVersion(7)));
    network.run(seconds(2));
    let behind: Vec<NodeId> = network.nodes[&nodes[0]]
        .membership
        .members()
        .filter(|member| member.bundle < BundleVersion(7))
        .map(|member| member.info.node)
        .collect();
    assert_eq!(behind, [nodes[39]]);
}

#[test]
fn an_idle_fleet_uses_little_bandwidth() {
    let (mut network, _) = fleet(12, 60, 5);
    network.run_until_agreed(seconds(20)).expect("they agree");
    network.run(seconds(30));
    network.take_rates(seconds(1));
    network.run(seconds(60));
    let (mean, maximum) = network.take_rates(seconds(60));
    assert!(
        mean < 800.0 && maximum < 1_500.0,
        "{mean:.0} and {maximum:.0} bytes/s"
    );
}

#[test]
fn a_version_reaches_all_nodes_within_seconds() {
    let (mut network, nodes) = fleet(13, 200, 5);
    network.run_until_agreed(seconds(30)).expect("they agree");
    network.pulls_bundles = true;
    network.loss_one_in = 100;
    let version = BundleVersion(7);
    network.handle(nodes[17], MembershipEvent::BundleInForce(version));
    network.run(seconds(2));
    let behind = network
        .nodes
        .values()
        .filter(|node| node.membership.bundle() < version);
    assert_eq!(behind.count(), 0);
}

/// Guards against a node that considers itself paused, and so postpones its suspicions,
/// when it learns of the first death after a long time: timers that only then become
/// relevant were due long ago, but must not count as late.
#[test]
fn a_death_after_a_long_idle_time_does_not_delay_later_ones() {
    for seed in 0..8 {
        let (mut network, nodes) = fleet(seed, 4, 2);
        network.run_until_agreed(seconds(20)).expect("they agree");
        network.run(seconds(900));
        network.kill(nodes[2]);
        network.run(Duration::from_millis(1_500));
        network.kill(nodes[3]);
        let dead = Some(MemberState::Dead);
        while [0, 1]
            .iter()
            .any(|node| network.state(nodes[*node], nodes[2]) != dead)
        {
            network.run(Duration::from_millis(50));
        }
        let first = |node: usize| network.nodes[&nodes[node]].deaths[0];
        let (first_detector, second_detector) = if first(0) < first(1) { (0, 1) } else { (1, 0) };
        network.kill(nodes[first_detector]);
        network.run(seconds(20));
        for other in [2, 3, first_detector] {
            assert_eq!(
                network.state(nodes[second_detector], nodes[other]),
                dead,
                "seed {seed}"
            );
        }
    }
}
