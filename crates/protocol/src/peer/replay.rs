//! Replay protection: detection of datagrams that were already received.

use std::collections::BTreeMap;

use hookpoint_state::NodeId;

/// Number of sequence numbers, counted down from the highest one received, that are still
/// accepted.
const WINDOW_SIZE: u64 = 128;
/// Largest number of senders for which a window is kept.
const MAXIMUM_SENDERS: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Highest sequence number received.
    highest: u64,
    /// Bit `n` is set when `highest - n` was received.
    received: u128,
}

impl Window {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            self.received = if advance >= WINDOW_SIZE {
                0
            } else {
                self.received << advance
            };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW_SIZE {
            return false;
        }
        let bit = 1u128 << behind;
        let fresh = self.received & bit == 0;
        self.received |= bit;
        fresh
    }
}

/// Windows of received sequence numbers, one per sender. Sequence numbers start at 1.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: BTreeMap<NodeId, Window>,
}

impl ReplayGuard {
    /// Records a received sequence number and returns whether it is new. A number below the
    /// window counts as already received.
    pub fn accept(&mut self, sender: NodeId, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if !self.windows.contains_key(&sender) && self.windows.len() >= MAXIMUM_SENDERS {
            self.windows.pop_first();
        }
        self.windows.entry(sender).or_default().accept(sequence)
    }
}
