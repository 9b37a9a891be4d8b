//! Conversion of durations to whole numbers for messages and logs.

use std::time::Duration;

/// Returns the duration in whole milliseconds, or `u64::MAX` if it has more.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
