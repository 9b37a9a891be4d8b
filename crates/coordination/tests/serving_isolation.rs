//! When a node takes itself for cut off from the fleet.

use std::time::Duration;

use hookpoint_coordination::serving::isolation::{Isolation, IsolationChange, Surroundings};
use hookpoint_state::Timestamp;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

fn seen(
    groups: usize,
    groups_without_primary: usize,
    peers: usize,
    silent_peers: usize,
) -> Surroundings {
    Surroundings {
        groups,
        groups_without_primary,
        peers,
        silent_peers,
    }
}

/// Shows `surroundings` for a time; what changed.
fn watch(
    isolation: &mut Isolation,
    now: &mut Timestamp,
    surroundings: Surroundings,
    time: Duration,
) -> Vec<IsolationChange> {
    let until = *now + time;
    let mut changes = Vec::new();
    while *now < until {
        changes.extend(isolation.note(surroundings, *now));
        *now = *now + LOOK;
    }
    changes
}

#[test]
fn only_the_loss_of_most_primaries_and_most_peers_is_isolation() {
    let cases = [
        ("all well", seen(8, 0, 0, 0), false),
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
            "a few primaries behind a cut that spares others",
            seen(8, 4, 10, 10),
            false,
        ),
        ("behind a cut", seen(8, 5, 10, 10), true),
        ("behind a cut, one peer reached", seen(8, 8, 10, 9), true),
        ("nobody asks for anything", seen(0, 0, 10, 10), false),
        ("no peer is known", seen(8, 8, 0, 0), false),
    ];
    for (case, surroundings, isolated) in cases {
        let mut isolation = Isolation::default();
        let mut now = Timestamp(1_000_000);
        watch(
            &mut isolation,
            &mut now,
            surroundings,
            Duration::from_secs(3),
        );
        assert_eq!(isolation.since().is_some(), isolated, "{case}");
    }
}

/// A node that is cut off has its callers go elsewhere, so no group is in use any more.
#[test]
fn a_node_whose_callers_went_away_stays_cut_off_until_peers_are_heard() {
    let mut isolation = Isolation::default();
    let mut now = Timestamp(1_000_000);
    let cut = seen(8, 8, 10, 10);
    watch(&mut isolation, &mut now, cut, Duration::from_secs(2));
    let unused = seen(0, 0, 10, 10);
    assert!(watch(&mut isolation, &mut now, unused, Duration::from_secs(20)).is_empty());
    let peers_heard = seen(0, 0, 10, 2);
    let changes = watch(
        &mut isolation,
        &mut now,
        peers_heard,
        Duration::from_secs(1),
    );
    assert!(matches!(changes[..], [IsolationChange::Rejoined(_)]));
}

#[test]
fn a_short_loss_changes_nothing_and_a_short_contact_does_not_end_it() {
    let cut = seen(8, 8, 10, 10);
    let well = seen(8, 0, 0, 0);
    let mut isolation = Isolation::default();
    let mut now = Timestamp(1_000_000);
    for _ in 0..5 {
        assert!(watch(&mut isolation, &mut now, cut, Duration::from_millis(600)).is_empty());
        assert!(watch(&mut isolation, &mut now, well, LOOK).is_empty());
    }
    let changes = watch(&mut isolation, &mut now, cut, Duration::from_secs(2));
    assert_eq!(changes, [IsolationChange::Isolated]);
    assert!(watch(&mut isolation, &mut now, well, Duration::from_millis(400)).is_empty());
    assert!(watch(&mut isolation, &mut now, cut, Duration::from_secs(1)).is_empty());
    let changes = watch(&mut isolation, &mut now, well, Duration::from_secs(1));
    assert!(matches!(changes[..], [IsolationChange::Rejoined(_)]));
    assert!(isolation.since().is_none());
}
