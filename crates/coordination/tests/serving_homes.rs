//! Tests of when a starting node may take the members that it knows for the whole fleet.

use std::time::Duration;

use hookpoint_coordination::serving::homes::StartupProgress;

const STARTED: StartupProgress = StartupProgress {
    caught_up: false,
    registered: false,
    configured_for: Some(Duration::ZERO),
};

#[test]
fn a_node_knows_the_fleet_once_it_caught_up_or_waited_long_enough() {
    let configured_for = |millis| StartupProgress {
        configured_for: Some(Duration::from_millis(millis)),
        ..STARTED
    };
    let caught_up = StartupProgress {
        caught_up: true,
        ..STARTED
    };
    let registered = StartupProgress {
        registered: true,
        ..STARTED
    };
    let unconfigured = StartupProgress {
        configured_for: None,
        ..STARTED
    };
    let cases = [
        (STARTED, false),
        (configured_for(599), false),
        (configured_for(600), true),
        (caught_up, true),
        (registered, true),
        (unconfigured, true),
    ];
    for (start, known) in cases {
        assert_eq!(start.membership_is_complete(), known, "{start:?}");
    }
}
