//! Tests of the admission to connection queues.

use std::time::Duration;

use hookpoint_coordination::serving::admission::{ConnectionQueue, ConnectionUse, max_queue_wait};
use quickcheck::quickcheck;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn queue(ahead: usize, connections: usize, mean_hold_ms: u64) -> ConnectionQueue {
    ConnectionQueue {
        ahead,
        connections,
        mean_hold_time: millis(mean_hold_ms),
    }
}

#[test]
fn a_request_joins_a_queue_if_it_can_be_served_in_time() {
    // (ahead, connections, mean hold time ms, maximum wait ms, joined)
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
    for (ahead, connections, mean_hold_time, max_wait, joined) in table {
        let queue = queue(ahead, connections, mean_hold_time);
        assert_eq!(
            queue.admits(millis(max_wait), ConnectionUse::Statement),
            joined,
            "{queue:?} {max_wait}"
        );
    }
}

#[test]
fn a_transaction_needs_a_shorter_wait_unless_it_is_next() {
    // (ahead, maximum wait ms, a statement joins, a transaction joins)
    let table = [
        (0, 20, true, true),
        (0, 19, false, false),
        (1, 40, true, false),
        (1, 159, true, false),
        (1, 160, true, true),
        (4, 99, false, false),
    ];
    for (ahead, max_wait, statement, transaction) in table {
        let queue = queue(ahead, 1, 20);
        let admits = |wanted| queue.admits(millis(max_wait), wanted);
        assert_eq!(
            admits(ConnectionUse::Statement),
            statement,
            "{queue:?} {max_wait}"
        );
        assert_eq!(
            admits(ConnectionUse::Transaction),
            transaction,
            "{queue:?} {max_wait}"
        );
    }
}

#[test]
fn queue_wait_is_a_fraction_of_the_objective_and_expires() {
    assert!(max_queue_wait(millis(600), millis(0)) < millis(600));
    assert!(max_queue_wait(millis(600), millis(0)) > millis(0));
    assert_eq!(max_queue_wait(millis(600), millis(600)), millis(0));
}

quickcheck! {
    /// A queue that is longer, has fewer connections or holds each connection for longer never
    /// admits a request that the original queue rejects.
    fn worse_queues_never_admit_more(ahead: u8, connections: u8, mean_hold_time: u8, limit: u16, transaction: bool) -> bool {
        let wanted = if transaction { ConnectionUse::Transaction } else { ConnectionUse::Statement };
        let limit = millis(u64::from(limit));
        let own = queue(ahead.into(), connections.into(), mean_hold_time.into());
        let worse = [
            queue(usize::from(ahead) + 1, connections.into(), mean_hold_time.into()),
            queue(ahead.into(), connections.saturating_sub(1).into(), mean_hold_time.into()),
            queue(ahead.into(), connections.into(), u64::from(mean_hold_time) + 1),
        ];
        own.admits(limit, wanted) || worse.iter().all(|queue| !queue.admits(limit, wanted))
    }
}
