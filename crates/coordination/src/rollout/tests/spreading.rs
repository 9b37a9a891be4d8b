//! How a version gets around.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::network::{Network, NumberStore, Weather};
use crate::rollout::{
    LeavingList, RolloutAction, RolloutEvent, RolloutMachine, RolloutMessage, WATCHERS_PER_ZONE,
};

const FAIR: Weather = Weather {
    loss: 0,
    platform: true,
};

#[test]
fn every_node_comes_to_the_newest_version_whatever_is_lost() {
    fn property(seed: u64, count: u8, loss: u8) -> bool {
        let weather = Weather {
            loss: u32::from(loss % 60),
            platform: true,
        };
        let mut network = Network::new(u64::from(count % 40) + 1, seed, weather);
        for version in [1, 2, 5] {
            network.roll(version);
            network.run(Duration::from_millis(700));
        }
        network.run(Duration::from_secs(60));
        network.versions() == (5, 5)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 5))
        .tests(60)
        .quickcheck(property as fn(u64, u8, u8) -> bool);
}

#[test]
fn only_the_watchers_ask_the_platform_for_a_version() {
    let mut network = Network::new(200, 1, FAIR);
    network.roll(1);
    network.run(Duration::from_secs(10));
    assert_eq!(network.versions(), (1, 1));
    let before = network.fetches;
    network.roll(2);
    network.run(Duration::from_secs(10));
    assert_eq!(network.versions(), (2, 2));
    assert_eq!(network.fetches - before, WATCHERS_PER_ZONE);
}

#[test]
fn a_node_that_starts_during_an_outage_gets_the_bundle_from_a_peer() {
    let mut network = Network::new(5, 2, FAIR);
    network.roll(4);
    network.run(Duration::from_secs(5));
    network.weather.platform = false;
    for number in 1..=4 {
        network.start(NodeId(number));
    }
    network.run(Duration::from_secs(5));
    assert_eq!(network.versions(), (4, 4));
}

#[test]
fn a_version_from_before_the_outage_is_kept_when_the_platform_comes_back_with_less() {
    let mut network = Network::new(6, 3, FAIR);
    network.roll(9);
    network.run(Duration::from_secs(5));
    network.roll(7);
    network.start(NodeId(1));
    network.run(Duration::from_secs(20));
    assert_eq!(network.versions(), (9, 9));
}

#[test]
fn a_holder_serves_a_bounded_number_at_once_and_turns_the_others_away() {
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut holder = RolloutMachine::new(Timestamp(0), NumberStore::default(), random);
    let mut actions = Vec::new();
    let change = bytes::Bytes::copy_from_slice(&3_u64.to_be_bytes());
    holder.handle(
        Timestamp(0),
        RolloutEvent::PlatformChange(change),
        &mut actions,
    );
    actions.clear();
    let ask = |holder: &mut RolloutMachine<NumberStore>, at: u64| {
        let mut actions = Vec::new();
        for number in 0..100 {
            let event = RolloutEvent::PeerMessage {
                from: NodeId(number),
                message: RolloutMessage::Pull {
                    have: BundleVersion(2),
                },
            };
            holder.handle(Timestamp::from_millis(at), event, &mut actions);
        }
        let is_change = |action: &&RolloutAction| {
            matches!(
                action,
                RolloutAction::SendPeer {
                    message: RolloutMessage::Change(_),
                    ..
                }
            )
        };
        (actions.iter().filter(is_change).count(), actions.len())
    };
    assert_eq!(ask(&mut holder, 0), (8, 100));
    assert_eq!(ask(&mut holder, 10), (0, 100));
    assert_eq!(ask(&mut holder, 60), (8, 100));
}

#[test]
fn a_crowd_is_turned_away_by_the_first_holder_and_still_gets_there() {
    let mut network = Network::new(300, 4, FAIR);
    network.roll(1);
    network.run(Duration::from_secs(20));
    assert_eq!(network.versions(), (1, 1));
    assert!(
        network.busy > 0,
        "the crowd was larger than what is served at once"
    );
}

#[test]
fn the_rank_decides_who_watches() {
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut machine = RolloutMachine::new(Timestamp(0), NumberStore::default(), random);
    // Rank, whether the time to wait passes before the next one, and what is asked for.
    let cases = [
        (0, false, None),
        (2, true, None),
        (0, true, Some(true)),
        (1, true, None),
        (2, false, Some(false)),
        (5, true, None),
        (1, false, None),
        (0, true, Some(true)),
    ];
    let mut now = Timestamp(0);
    for (number, (rank, passes, expected)) in cases.into_iter().enumerate() {
        let mut actions = Vec::new();
        machine.handle(now, RolloutEvent::ZoneRank(rank), &mut actions);
        if passes {
            now = now + Duration::from_secs(1);
            machine.handle(now, RolloutEvent::Timer, &mut actions);
        }
        actions.retain(|action| matches!(action, RolloutAction::WatchPlatform(_)));
        let expected: Vec<_> = expected
            .into_iter()
            .map(RolloutAction::WatchPlatform)
            .collect();
        assert_eq!(actions, expected, "case {number}");
    }
}

#[test]
fn leaving_databases_are_drained_by_the_whole_zone_and_by_whoever_starts_later() {
    let mut network = Network::new(30, 6, FAIR);
    network.roll(1);
    network.run(Duration::from_secs(5));
    let first = BTreeSet::from([SocketAddr::from(([10, 0, 0, 1], 5432))]);
    let none = BTreeSet::new();
    for (revision, addresses) in [(7, &first), (9, &none), (11, &first)] {
        network.leave(revision, addresses);
        network.run(Duration::from_secs(1));
        assert_eq!(network.drained.len(), 30);
        let agreed = network.drained.values().all(|drained| drained == addresses);
        assert!(agreed, "revision {revision}");
    }
    network.drained.remove(&NodeId(20));
    network.start(NodeId(20));
    network.run(Duration::from_secs(5));
    assert_eq!(network.drained.get(&NodeId(20)), Some(&first));
    let old = RolloutMessage::Leaving(LeavingList {
        revision: 9,
        addresses: none,
    });
    let mut actions = Vec::new();
    let event = RolloutEvent::PeerMessage {
        from: NodeId(1),
        message: old,
    };
    let machine = network.nodes.get_mut(&NodeId(20)).expect("a node");
    machine.handle(Timestamp(0), event, &mut actions);
    assert_eq!(actions, vec![], "an older list changes nothing");
}
