//! Rate limit for answering pulls, which protects the first holders of a version from
//! overload.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// Length of a rate limiting window.
const WINDOW: Duration = Duration::from_millis(50);
/// Maximum number of pulls answered with a change in one window.
const SERVED_PER_WINDOW: u32 = 8;

/// Counts the pulls answered in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServeLimit {
    window_end: Timestamp,
    served: u32,
}

impl ServeLimit {
    /// Returns whether one more pull may be answered now, and counts it if so.
    pub(super) fn admit(&mut self, now: Timestamp) -> bool {
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            self.served = 0;
        }
        let admitted = self.served < SERVED_PER_WINDOW;
        self.served += u32::from(admitted);
        admitted
    }
}
