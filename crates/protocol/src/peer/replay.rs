//! Telling a datagram that was already received from a new one.

use std::collections::BTreeMap;

use hookpoint_state::NodeId;

/// Sequence numbers below the highest that may still arrive.
const WINDOW: u64 = 128;
/// Senders remembered.
const MAXIMUM_SENDERS: usize = 16_384;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    highest: u64,
    /// Bit `n` is set when `highest - n` has been received.
    received: u128,
}

impl Window {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            self.received = if advance >= WINDOW {
                0
            } else {
                self.received << advance
            };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW {
            return false;
        }
        let bit = 1u128 << behind;
        let fresh = self.received & bit == 0;
        self.received |= bit;
        fresh
    }
}

/// Windows of received sequence numbers, one per sender. Numbers start at 1.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: BTreeMap<NodeId, Window>,
}

impl ReplayGuard {
    /// Whether a datagram with this number is new; notes that it has been received.
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
