//! Tests of when a node considers itself partitioned from the fleet.

use std::time::Duration;

use hookpoint_coordination::serving::isolation::{Isolation, IsolationChange, ReachabilityCounts};
use hookpoint_state::Timestamp;

/// Interval between two observations.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(50);

fn seen(
    groups: usize,
    groups_without_primary: usize,
    peers: usize,
    silent_peers: usize,
) -> ReachabilityCounts {
    ReachabilityCounts {
        groups,
        groups_without_primary,
        peers,
        silent_peers,
    }
}

/// Applies `counts` for `time` and returns the resulting changes.
fn watch(
    isolation: &mut Isolation,
    now: &mut Timestamp,
    counts: ReachabilityCounts,
    time: Duration,
) -> Vec<IsolationChange> {
    let until = *now + time;
    let mut changes = Vec::new();
    while *now < until {
        changes.extend(isolation.note(counts, *now));
        *now = *now + OBSERVATION_INTERVAL;
    }
    changes
}

#[test]
fn only_the_loss_of_most_primaries_and_most_peers_is_isolation() {
    let cases = [
        ("no faults", seen(8, 0, 0, 0), false),
        (
            "most primaries died, peers answer",
            seen(8, 8, 10, 0),
            false,
        ),
        (
            "most primaries died, some peers with them",
            seen(8, 6, 10, 5),
            false,
        ),
        (
            "half of the primaries behind a partition, others reachable",
            seen(8, 4, 10, 10),
            false,
        ),
        ("partitioned", seen(8, 5, 10, 10), true),
        ("partitioned, one peer reachable", seen(8, 8, 10, 9), true),
        ("no group in use", seen(0, 0, 10, 10), false),
        ("no peer is known", seen(8, 8, 0, 0), false),
    ];
    for (case, counts, isolated) in cases {
        let mut isolation = Isolation::default();
        let mut now = Timestamp(1_000_000);
        watch(&mut isolation, &mut now, counts, Duration::from_secs(3));
        assert_eq!(isolation.since().is_some(), isolated, "{case}");
    }
}

/// The callers of an isolated node go to other nodes, so no group is in use on it any more. It must
/// not rejoin for that reason alone.
#[test]
fn an_isolated_node_without_callers_stays_isolated_until_peers_answer() {
    let mut isolation = Isolation::default();
    let mut now = Timestamp(1_000_000);
    let partitioned = seen(8, 8, 10, 10);
    watch(
        &mut isolation,
        &mut now,
        partitioned,
        Duration::from_secs(2),
    );
    let unused = seen(0, 0, 10, 10);
    assert!(watch(&mut isolation, &mut now, unused, Duration::from_secs(20)).is_empty());
    let peers_answer = seen(0, 0, 10, 2);
    let changes = watch(
        &mut isolation,
        &mut now,
        peers_answer,
        Duration::from_secs(1),
    );
    assert!(matches!(changes[..], [IsolationChange::Rejoined(_)]));
}

#[test]
fn a_short_loss_changes_nothing_and_a_short_contact_does_not_end_it() {
    let partitioned = seen(8, 8, 10, 10);
    let healthy = seen(8, 0, 0, 0);
    let mut isolation = Isolation::default();
    let mut now = Timestamp(1_000_000);
    for _ in 0..5 {
        assert!(
            watch(
                &mut isolation,
                &mut now,
                partitioned,
                Duration::from_millis(600)
            )
            .is_empty()
        );
        assert!(watch(&mut isolation, &mut now, healthy, OBSERVATION_INTERVAL).is_empty());
    }
    let changes = watch(
        &mut isolation,
        &mut now,
        partitioned,
        Duration::from_secs(2),
    );
    assert_eq!(changes, [IsolationChange::Isolated]);
    assert!(
        watch(
            &mut isolation,
            &mut now,
            healthy,
            Duration::from_millis(400)
        )
        .is_empty()
    );
    assert!(
        watch(
            &mut isolation,
            &mut now,
            partitioned,
            Duration::from_secs(1)
        )
        .is_empty()
    );
    let changes = watch(&mut isolation, &mut now, healthy, Duration::from_secs(1));
    assert!(matches!(changes[..], [IsolationChange::Rejoined(_)]));
    assert!(isolation.since().is_none());
}
