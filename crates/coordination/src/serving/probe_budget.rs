//! Rate limit of the probes that a node sends.
//!
//! Waiting requests trigger probes, and probes delay answers where links and processors are busy,
//! which makes more requests wait. Their rate is therefore bounded per node, regardless of the
//! number of requests, nodes and connection holders.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// Sustained rate of probes. Including their answers, this is about 12 kB per second, a twentieth
/// of the narrowest link of the known deployments, and a hundredth of a core.
pub const PROBES_PER_SECOND: u32 = 100;

/// Maximum burst: enough to check all holders of a few databases when a third of the fleet is
/// partitioned.
pub const PROBE_BURST: u32 = 64;

/// Part of the burst that is reserved for peers that a request waits for. A peer that may be needed
/// next is probed only while more than this is left.
const RESERVED_FOR_WAITING: u32 = 16;

/// Why a peer is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// A request waits for the peer.
    Waiting,
    /// The peer may be needed next, or may be back.
    Ahead,
}

/// Token bucket of probes that a node may still send.
#[derive(Clone, Copy, Debug)]
pub struct ProbeBudget {
    /// Remaining budget in thousandths of a probe.
    level: u64,
    updated_at: Timestamp,
}

const MILLI: u64 = 1_000;
const FULL: u64 = PROBE_BURST as u64 * MILLI;

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            level: FULL,
            updated_at: Timestamp::default(),
        }
    }
}

impl ProbeBudget {
    /// Takes one probe if the budget has one left for this purpose. Returns whether it did.
    pub fn take(&mut self, purpose: ProbePurpose, now: Timestamp) -> bool {
        self.refill(now);
        let reserved = match purpose {
            ProbePurpose::Waiting => 0,
            ProbePurpose::Ahead => u64::from(RESERVED_FOR_WAITING) * MILLI,
        };
        let enough = self.level >= reserved + MILLI;
        if enough {
            self.level -= MILLI;
        }
        enough
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at);
        let gained = u64::try_from((elapsed * PROBES_PER_SECOND).as_millis()).unwrap_or(FULL);
        if gained == 0 {
            return;
        }
        self.level = self.level.saturating_add(gained).min(FULL);
        self.updated_at = now;
    }
}

/// Initial interval between probes of a silent peer: the delay with which the end of a short
/// absence is noticed.
const FIRST_SILENT_INTERVAL: Duration = Duration::from_millis(200);
/// Number of probes after which the interval doubles; one or two of them may be lost.
const PROBES_PER_INTERVAL: u32 = 3;
/// Maximum number of doublings. It limits the interval to 800 ms, so that a peer that is back is
/// used again soon.
const MAX_DOUBLINGS: u32 = 2;

/// Returns the interval between probes of a silent peer after `probed` of them. It grows because
/// all nodes that used the peer probe it, and a peer that is merely overloaded can catch up only if
/// the number of probes decreases.
pub fn silent_probe_interval(probed: u32) -> Duration {
    let doublings = (probed / PROBES_PER_INTERVAL).min(MAX_DOUBLINGS);
    FIRST_SILENT_INTERVAL * (1 << doublings)
}
