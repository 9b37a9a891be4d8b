//! A digest of all events of a run, which shows whether a seed replays exactly.

use std::fmt::{self, Write as _};

/// Offset basis of 64-bit FNV-1a.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0100_0000_01b3;

/// A running FNV-1a hash.
#[derive(Clone, Copy, Debug)]
pub struct Trace {
    hash: u64,
}

impl Trace {
    /// Creates a digest of empty input.
    pub fn new() -> Self {
        Self { hash: OFFSET }
    }

    /// Adds a number.
    pub fn number(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.byte(byte);
        }
    }

    /// Adds the `Debug` form of `value`.
    pub fn value(&mut self, value: &impl fmt::Debug) {
        // Writing to the hash cannot fail.
        let _ = write!(self, "{value:?}");
    }

    /// Returns the digest of everything added so far.
    pub fn digest(&self) -> u64 {
        self.hash
    }

    fn byte(&mut self, byte: u8) {
        self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
}

impl Default for Trace {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Write for Trace {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        text.bytes().for_each(|byte| self.byte(byte));
        Ok(())
    }
}
