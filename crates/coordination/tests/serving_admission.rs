//! Which queues for connections a request joins.

use std::time::Duration;

use hookpoint_coordination::serving::admission::{ConnectionQueue, patience};
use quickcheck::quickcheck;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn queue(ahead: usize, connections: usize, held_ms: u64) -> ConnectionQueue {
    ConnectionQueue {
        ahead,
        connections,
        held: millis(held_ms),
    }
}

#[test]
fn a_queue_is_joined_if_it_can_be_left_in_time() {
    // (ahead, connections, held ms, patience ms, joined)
    let table = [
        (0, 1, 20, 20, true),
        (0, 1, 20, 19, false),
        (3, 4, 20, 20, true),
        (4, 4, 20, 20, false),
        (4, 4, 20, 25, true),
        (9, 0, 10, 100, true),
        (9, 0, 10, 99, false),
        (1_000, 4, 20, 800, false),
    ];
    for (ahead, connections, held, patience, joined) in table {
        let queue = queue(ahead, connections, held);
        assert_eq!(
            queue.admits(millis(patience)),
            joined,
            "{queue:?} {patience}"
        );
    }
}

#[test]
fn patience_is_a_part_of_the_objective_and_runs_out() {
    assert!(patience(millis(600), millis(0)) < millis(600));
    assert!(patience(millis(600), millis(0)) > millis(0));
    assert_eq!(patience(millis(600), millis(600)), millis(0));
}

quickcheck! {
    /// A longer queue, fewer connections or a longer use never make a queue joinable.
    fn worse_queues_are_joined_no_sooner(ahead: u8, connections: u8, held: u8, limit: u16) -> bool {
        let limit = millis(u64::from(limit));
        let own = queue(ahead.into(), connections.into(), held.into());
        let worse = [
            queue(usize::from(ahead) + 1, connections.into(), held.into()),
            queue(ahead.into(), connections.saturating_sub(1).into(), held.into()),
            queue(ahead.into(), connections.into(), u64::from(held) + 1),
        ];
        own.admits(limit) || worse.iter().all(|queue| !queue.admits(limit))
    }
}
