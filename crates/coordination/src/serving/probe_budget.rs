//! What a node spends on probes.
//!
//! Waiting requests ask for probes, and probes delay answers where links and processors are
//! busy, which makes more requests wait. So their number is bounded for the node, whatever
//! the number of its requests, of the nodes and of those that hold connections.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// Probes a second that a node sends in the long run. With their answers these are about
/// 12 kB a second, a twentieth of the narrowest link of the known deployments, and a hundredth of
/// a core.
pub const PROBES_A_SECOND: u32 = 100;

/// Probes that it sends at once: enough to find out about all holders of a few databases when
/// a third of the fleet is cut off.
pub const PROBES_AT_ONCE: u32 = 64;

/// Of those, what is left for peers that a request waits for: a peer that may be needed next
/// is probed only while there is more.
const KEPT_FOR_WAITING: u32 = 16;

/// What a probe is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request waits for the peer.
    Waiting,
    /// The peer may be needed next, or may be back.
    Ahead,
}

/// The probes that a node may still send.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBudget {
    /// Thousandths of a probe.
    level: u64,
    updated_at: Timestamp,
}

const MILLI: u64 = 1_000;
const FULL: u64 = PROBES_AT_ONCE as u64 * MILLI;

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            level: FULL,
            updated_at: Timestamp::default(),
        }
    }
}

impl ProbeBudget {
    /// Takes one probe, if there is one left for this purpose.
    pub fn take(&mut self, purpose: Purpose, now: Timestamp) -> bool {
        self.refill(now);
        let kept = match purpose {
            Purpose::Waiting => 0,
            Purpose::Ahead => u64::from(KEPT_FOR_WAITING) * MILLI,
        };
        let enough = self.level >= kept + MILLI;
        if enough {
            self.level -= MILLI;
        }
        enough
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at);
        let gained = u64::try_from((elapsed * PROBES_A_SECOND).as_millis()).unwrap_or(FULL);
        if gained == 0 {
            return;
        }
        self.level = self.level.saturating_add(gained).min(FULL);
        self.updated_at = now;
    }
}

/// First pause between probes of a peer that counts as silent: how late a short absence is
/// noticed to be over.
const SILENT_PAUSE: Duration = Duration::from_millis(200);
/// Probes after which the pause doubles: one or two of them may be lost.
const PROBES_OF_ONE_PAUSE: u32 = 3;
/// Doublings at the most: 800 ms, so that a peer that is back is soon used again.
const MOST_DOUBLINGS: u32 = 2;

/// Pause between probes of a peer that counts as silent, after `probed` of them. It grows, as
/// all nodes that used the peer probe it, and one that is merely overloaded gets on with its
/// work only if that becomes less.
pub fn silent_pause(probed: u32) -> Duration {
    let doublings = (probed / PROBES_OF_ONE_PAUSE).min(MOST_DOUBLINGS);
    SILENT_PAUSE * (1 << doublings)
}
