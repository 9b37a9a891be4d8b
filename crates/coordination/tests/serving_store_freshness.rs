//! Tests of the age of a node's knowledge of the state store, and of the search for newer updates.

use std::time::Duration;

use hookpoint_coordination::serving::store_freshness::{
    FreshnessLimits, Reply, StoreFreshness, StoreTryOrder, WatchAnswer, watch_timeout,
};
use hookpoint_state::Timestamp;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn at(time_ms: u64) -> Timestamp {
    Timestamp::default() + millis(60_000 + time_ms)
}

#[test]
fn a_node_switches_sources_well_before_its_configuration_is_too_old() {
    for limit_ms in [3_000, 4_000, 5_000, 6_000, 8_000] {
        let limit = millis(limit_ms);
        let limits = FreshnessLimits::of(limit);
        assert!(limits.watch <= millis(2_000), "{limits:?}");
        assert!(limits.max_age <= limit * 3 / 4, "{limits:?}");
        // A watcher detects a silent store before its followers switch to other sources.
        assert!(limits.max_age >= watch_timeout(limits.watch), "{limits:?}");
    }
}

#[test]
fn a_follower_is_sent_only_newer_knowledge() {
    let until = at(3_000);
    // Time of the knowledge here and of the follower's; whether it changed; now; the reply.
    let cases = [
        (1_000, 0, false, 1_000, Reply::Update),
        (1_000, 1_000, false, 1_000, Reply::Wait),
        (1_100, 1_000, false, 1_100, Reply::Wait),
        (1_100, 1_000, true, 1_100, Reply::Update),
        (1_000, 2_000, false, 2_000, Reply::Wait),
        (1_000, 1_000, false, 3_000, Reply::NoUpdate),
    ];
    for (store_answer_at, known, changed, now, expected) in cases {
        let mut freshness = StoreFreshness::default();
        freshness.note_store_answer(at(store_answer_at));
        let reply = freshness.reply(at(known), changed, until, at(now));
        assert_eq!(reply, expected, "{store_answer_at} {known} {changed} {now}");
        freshness.note_rejected(at(now));
        let reply = freshness.reply(at(known), changed, until, at(now));
        assert_eq!(reply, Reply::StoreLost, "rejected");
    }
}

/// Returns the state of a node that has received no newer update since time 0 and searches for one.
fn searching() -> StoreFreshness {
    let mut freshness = StoreFreshness::default();
    freshness.note_store_answer(at(0));
    freshness.note_no_update(at(0));
    freshness
}

/// Returns the times, in milliseconds, at which the node tries a store that rejects its calls, with
/// a check every 10 ms.
fn tries(freshness: &mut StoreFreshness, order: StoreTryOrder, begin: u64, until: u64) -> Vec<u64> {
    let mut tried = Vec::new();
    for now in (begin..until).step_by(10) {
        if freshness.try_is_due(order, at(now)) {
            freshness.note_rejected(at(now));
            tried.push(now);
        }
    }
    tried
}

#[test]
fn a_node_tries_an_unavailable_store_once_per_period() {
    for (nodes, most) in [(7, 9), (30, 4)] {
        for rank in 0..nodes {
            let tried = tries(&mut searching(), StoreTryOrder { rank, nodes }, 0, 10_000);
            assert!((most - 1..=most).contains(&tried.len()), "{tried:?}");
            assert!(tried[0] <= 910, "{rank} of {nodes}: {tried:?}");
        }
    }
}

#[test]
fn the_nodes_of_a_region_do_not_try_at_the_same_time() {
    for nodes in [30, 200] {
        let mut in_each_part = [0_u32; 3];
        for rank in 0..nodes {
            let first = tries(&mut searching(), StoreTryOrder { rank, nodes }, 0, 1_000)[0];
            in_each_part[usize::try_from(first.min(899) / 300).unwrap()] += 1;
        }
        for count in in_each_part {
            let share = nodes / 3;
            assert!((share - 2..=share + 2).contains(&count), "{in_each_part:?}");
        }
    }
}

#[test]
fn an_answer_of_the_store_resets_the_search() {
    let order = StoreTryOrder { rank: 5, nodes: 20 };
    let mut freshness = searching();
    let first = tries(&mut freshness, order, 0, 1_000)[0];
    assert!(!freshness.watches(at(first)));
    freshness.note_store_answer(at(first));
    assert!(freshness.watches(at(first)));
    let begin = 60_000;
    assert_eq!(
        tries(&mut freshness, order, 2_000, 3_000),
        Vec::<u64>::new()
    );
    freshness.note_no_update(at(begin));
    let next = tries(&mut freshness, order, begin, begin + 1_000)[0];
    assert_eq!(next - begin, first);
}

#[test]
fn a_rejected_watcher_leaves_watching_to_others_and_retries() {
    let mut freshness = StoreFreshness::default();
    freshness.note_store_answer(at(0));
    freshness.note_rejected(at(1_000));
    freshness.note_no_update(at(1_000));
    assert!(!freshness.watches(at(1_500)), "it asks others first");
    freshness.note_upstream_answer(at(1_500));
    assert!(
        !freshness.watches(at(2_900)),
        "it receives updates from others"
    );
    assert!(freshness.watches(at(3_000)), "an occasional try");
    assert!(
        freshness.is_rejected(at(3_400)),
        "until the try is answered"
    );
    assert!(freshness.watch_wait(millis(2_000), at(3_000)) < millis(100));
    freshness.note_store_answer(at(3_010));
    assert_eq!(
        freshness.watch_wait(millis(2_000), at(3_010)),
        millis(2_000)
    );
    assert!(!freshness.is_rejected(at(3_010)));
}

#[test]
fn a_peer_rejected_by_the_store_is_left_out_for_a_while() {
    let mut freshness = StoreFreshness::default();
    assert!(freshness.may_forward("east-1", at(0)));
    freshness.exclude("east-1", at(0));
    assert!(!freshness.may_forward("east-1", at(500)));
    assert!(freshness.may_forward("east-2", at(500)));
    assert!(freshness.may_forward("east-1", at(3_000)));
    freshness.exclude("east-1", at(4_000));
    freshness.clear_excluded();
    assert!(freshness.may_forward("east-1", at(4_000)));
}

#[test]
fn older_knowledge_of_a_peer_neither_refreshes_nor_ends_the_search() {
    let mut freshness = StoreFreshness::default();
    freshness.note_store_answer(at(1_000));
    freshness.note_no_update(at(4_000));
    freshness.note_upstream_answer(at(900));
    assert_eq!(freshness.known_at(), at(1_000));
    let order = StoreTryOrder { rank: 0, nodes: 5 };
    assert!(freshness.try_is_due(order, at(4_000)), "it still searches");
    assert!(!freshness.is_fresh(at(4_000), FreshnessLimits::of(millis(6_000))));
}

#[test]
fn an_upstream_may_answer_until_the_followers_knowledge_is_too_old() {
    let limits = FreshnessLimits::of(millis(6_000));
    let mut freshness = StoreFreshness::default();
    let starting = freshness.upstream_timeout(at(0), limits);
    assert!(
        starting >= millis(500),
        "the upstream may be starting as well"
    );
    freshness.note_store_answer(at(0));
    for age in [0, 500, 2_000, 2_700] {
        assert_eq!(
            freshness.upstream_timeout(at(age), limits),
            limits.max_age - millis(age)
        );
    }
    let least = freshness.upstream_timeout(at(20_000), limits);
    assert!((millis(100)..millis(300)).contains(&least), "{least:?}");
    freshness.note_no_update(at(500));
    assert_eq!(
        freshness.upstream_timeout(at(500), limits),
        least,
        "it is searching"
    );
}

#[test]
fn a_starting_node_begins_with_a_short_watch() {
    let mut freshness = StoreFreshness::default();
    let started = at(60_000);
    assert!(freshness.watch_wait(millis(2_000), started) < millis(100));
    freshness.note_store_answer(started);
    assert_eq!(freshness.watch_wait(millis(2_000), started), millis(2_000));
}

#[test]
fn reading_an_answer_late_does_not_make_it_newer() {
    // Requested at 1 s with a wait of 2 s: has changes, read at, `known_at`, `covered`.
    let cases = [
        (false, 3_010, 3_000, 3_000),
        (false, 8_000, 3_000, 3_000),
        (true, 1_400, 1_400, 1_000),
        (true, 8_000, 3_000, 1_000),
    ];
    for (changed, read_at, known_at, covered) in cases {
        let answer = WatchAnswer {
            asked_at: at(1_000),
            wait: millis(2_000),
            changed,
            read_at: at(read_at),
        };
        assert_eq!(answer.known_at(), at(known_at), "{changed} {read_at}");
        assert_eq!(answer.covered(), at(covered), "{changed} {read_at}");
    }
}

#[test]
fn a_node_answered_by_the_store_again_forwards_updates() {
    let mut freshness = StoreFreshness::default();
    freshness.note_rejected(at(0));
    freshness.note_answered();
    assert!(!freshness.is_rejected(at(100)));
    freshness.note_upstream_answer(at(200));
    let reply = freshness.reply(at(0), true, at(1_000), at(200));
    assert_eq!(reply, Reply::Update);
}
