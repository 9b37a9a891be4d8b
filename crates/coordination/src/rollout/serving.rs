//! How many pulls a node answers, so that the first holders of a version are not
//! stormed.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// Length of a window.
const WINDOW: Duration = Duration::from_millis(50);
/// Pulls answered with a change in one window.
const SERVED_PER_WINDOW: u32 = 8;

/// Counts the pulls answered in the present window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServeLimit {
    window_end: Timestamp,
    served: u32,
}

impl ServeLimit {
    /// Whether one more pull may be answered now; counts it if so.
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
