//! Tests of the time limit of one attempt at a read.

use std::time::Duration;

use hookpoint_coordination::serving::attempt_limit::read_attempt_timeout;

#[test]
fn the_attempt_limit_is_part_of_the_objective_and_doubles_after_each_timeout() {
    // (mean service time ms, objective ms, timed-out attempts, limit ms)
    let table = [
        (20, 400, 0, 300),
        (20, 1_000, 0, 500),
        (20, 400, 1, 600),
        (20, 1_000, 2, 2_000),
        (100, 400, 0, 800),
        (20, 400, 100, 19_200),
    ];
    for (service, objective, timed_out, limit) in table {
        assert_eq!(
            read_attempt_timeout(
                Duration::from_millis(service),
                Duration::from_millis(objective),
                timed_out
            ),
            Duration::from_millis(limit),
            "{service} {objective} {timed_out}"
        );
    }
}
