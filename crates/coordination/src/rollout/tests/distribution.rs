//! Tests of how a version is distributed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_state::{BundleVersion, NodeId, Timestamp};
use quickcheck::{Gen, QuickCheck};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::network::{Faults, Network, NumberStore};
use crate::rollout::{
    LeavingList, RolloutAction, RolloutEvent, RolloutMachine, RolloutMessage, WATCHERS_PER_ZONE,
};

const NO_FAULTS: Faults = Faults {
    loss: 0,
    platform: true,
};

#[test]
fn every_node_reaches_the_newest_version_despite_losses() {
    fn property(seed: u64, count: u8, loss: u8) -> bool {
        let faults = Faults {
            loss: u32::from(loss % 60),
            platform: true,
        };
        let mut network = Network::new(u64::from(count % 40) + 1, seed, faults);
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
fn only_the_watchers_fetch_a_version_from_the_platform() {
    let mut network = Network::new(200, 1, NO_FAULTS);
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
    let mut network = Network::new(5, 2, NO_FAULTS);
    network.roll(4);
    network.run(Duration::from_secs(5));
    network.faults.platform = false;
    for number in 1..=4 {
        network.start(NodeId(number));
    }
    network.run(Duration::from_secs(5));
    assert_eq!(network.versions(), (4, 4));
}

#[test]
fn the_version_in_force_is_kept_when_the_platform_returns_with_an_older_one() {
    let mut network = Network::new(6, 3, NO_FAULTS);
    network.roll(9);
    network.run(Duration::from_secs(5));
    network.roll(7);
    network.start(NodeId(1));
    network.run(Duration::from_secs(20));
    assert_eq!(network.versions(), (9, 9));
}

#[test]
fn a_holder_limits_the_rate_of_answered_pulls() {
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
    let send_pulls = |holder: &mut RolloutMachine<NumberStore>, at: u64| {
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
    assert_eq!(send_pulls(&mut holder, 0), (8, 100));
    assert_eq!(send_pulls(&mut holder, 10), (0, 100));
    assert_eq!(send_pulls(&mut holder, 60), (8, 100));
}

#[test]
fn all_nodes_get_a_version_although_holders_answer_busy() {
    let mut network = Network::new(300, 4, NO_FAULTS);
    network.roll(1);
    network.run(Duration::from_secs(20));
    assert_eq!(network.versions(), (1, 1));
    assert!(
        network.busy > 0,
        "there were more pulls than are answered at once"
    );
}

#[test]
fn the_zone_rank_decides_whether_a_node_watches() {
    let random = ChaCha8Rng::seed_from_u64(1);
    let mut machine = RolloutMachine::new(Timestamp(0), NumberStore::default(), random);
    // Rank, whether the wait elapses before the next rank, and the expected request.
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
    for (number, (rank, wait_elapses, expected)) in cases.into_iter().enumerate() {
        let mut actions = Vec::new();
        machine.handle(now, RolloutEvent::ZoneRank(rank), &mut actions);
        if wait_elapses {
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
fn leaving_databases_are_drained_by_the_whole_zone_and_by_nodes_started_later() {
    let mut network = Network::new(30, 6, NO_FAULTS);
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
    assert_eq!(actions, vec![], "an older list is ignored");
}
