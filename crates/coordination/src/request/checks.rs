//! Switches that disable safety checks for negative controls.

/// Safety checks that a machine makes. All are enabled in production; the lab disables
/// one to show that its checker detects the violation. Production code constructs only
/// the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyChecks {
    /// Whether a read's database must have replayed the position that the session
    /// requires.
    pub position: bool,
    /// Whether a commit needs evidence that a majority has flushed it on its term.
    pub majority: bool,
    /// Whether a request that is not repeatable is entered into its group's ledger. The
    /// session uses this switch; the machine does not.
    pub ledger: bool,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        Self {
            position: true,
            majority: true,
            ledger: true,
        }
    }
}
