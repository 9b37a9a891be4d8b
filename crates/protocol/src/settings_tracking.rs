//! Tracking of a session's run-time parameters, which are applied to every backend
//! connection that the session uses.

use std::collections::BTreeMap;

use crate::classify::SettingChange;

/// A session's run-time parameters, keyed by lower-case name, with the changes of the
/// transaction that has not ended yet.
#[derive(Clone, Debug, Default)]
pub struct SettingsTracker {
    initial: BTreeMap<String, String>,
    current: BTreeMap<String, String>,
    pending: Vec<SettingChange>,
}

impl SettingsTracker {
    /// Creates a tracker with the parameters of the start-up packet, to which `RESET`
    /// returns.
    pub fn new(initial: BTreeMap<String, String>) -> Self {
        Self {
            current: initial.clone(),
            initial,
            pending: Vec::new(),
        }
    }

    /// Returns the parameters that a connection must have before it serves this session.
    pub fn current(&self) -> &BTreeMap<String, String> {
        &self.current
    }

    /// Records changes made inside a transaction; they take effect with
    /// [`commit`](Self::commit).
    pub fn record_pending(&mut self, changes: &[SettingChange]) {
        self.pending.extend_from_slice(changes);
    }

    /// Applies the recorded changes after the transaction was committed.
    pub fn commit(&mut self) {
        for change in std::mem::take(&mut self.pending) {
            self.apply(change);
        }
    }

    /// Drops the recorded changes after the transaction was rolled back.
    pub fn roll_back(&mut self) {
        self.pending.clear();
    }

    /// Returns every parameter to its start-up value and drops the recorded changes.
    pub fn reset(&mut self) {
        self.pending.clear();
        self.current.clone_from(&self.initial);
    }

    fn apply(&mut self, change: SettingChange) {
        match change {
            SettingChange::Set { local: true, .. } => {}
            SettingChange::Set { name, value, .. } => {
                self.current.insert(name, value);
            }
            SettingChange::Reset { name } => {
                match self.initial.get(&name) {
                    Some(value) => self.current.insert(name, value.clone()),
                    None => self.current.remove(&name),
                };
            }
            SettingChange::ResetAll => self.current.clone_from(&self.initial),
        }
    }
}
