//! Durations as whole numbers, for messages and logs.

use std::time::Duration;

/// Whole milliseconds; the largest number if there are more.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
