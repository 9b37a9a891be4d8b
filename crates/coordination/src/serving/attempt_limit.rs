//! Time limit of one attempt at a read, after which another database is tried.

use std::time::Duration;

/// Minimum time limit of an attempt: several times the duration of most reads, so that a merely
/// loaded database is not abandoned without need.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(300);
/// Multiple of the mean service time that an attempt is given.
const SERVICE_TIME_MULTIPLE: u32 = 8;
/// The first attempt is given this fraction (one part in this many) of the latency objective, which
/// leaves as much for a second attempt.
const OBJECTIVE_DIVISOR: u32 = 2;
/// Maximum number of times that the limit is doubled. The timeout of the statement itself is
/// reached long before.
const MAX_DOUBLINGS: u32 = 6;

/// Returns the time limit of the next attempt at a read after `timed_out` attempts have timed out.
///
/// A read may simply be long, in which case it takes as long on every database. So the limit
/// doubles after each attempt that timed out.
pub fn read_attempt_timeout(
    service_time: Duration,
    target_latency: Duration,
    timed_out: u32,
) -> Duration {
    let first = MIN_ATTEMPT_TIME
        .max(service_time * SERVICE_TIME_MULTIPLE)
        .max(target_latency / OBJECTIVE_DIVISOR);
    first * (1 << timed_out.min(MAX_DOUBLINGS))
}
