//! Switches for negative controls.

/// Which safety checks a machine makes. All are on in the product; the lab switches
/// one off to show that its checker notices. Nothing in the product constructs
/// anything but the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// A read's database must hold what the session requires.
    pub position: bool,
    /// A commit needs the evidence of a majority on its term.
    pub evidence: bool,
    /// A request that is not repeatable is entered into the ledger of its group. The
    /// machine itself makes no use of this; its session does.
    pub guard: bool,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        Self {
            position: true,
            evidence: true,
            guard: true,
        }
    }
}
