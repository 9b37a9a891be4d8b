//! Run-time parameters that belong to a session and follow it from connection to
//! connection.

use std::collections::BTreeMap;

use crate::classify::SettingChange;

/// A session's run-time parameters by lower-case name.
#[derive(Clone, Debug, Default)]
pub struct SettingsTracker {
    initial: BTreeMap<String, String>,
    current: BTreeMap<String, String>,
    pending: Vec<SettingChange>,
}

impl SettingsTracker {
    /// Parameters as the start-up packet set them; `RESET` returns to these.
    pub fn new(initial: BTreeMap<String, String>) -> Self {
        Self {
            current: initial.clone(),
            initial,
            pending: Vec::new(),
        }
    }

    /// What a connection of this session has to have.
    pub fn current(&self) -> &BTreeMap<String, String> {
        &self.current
    }

    /// Notes changes made inside a transaction that may still be rolled back.
    pub fn note(&mut self, changes: &[SettingChange]) {
        self.pending.extend_from_slice(changes);
    }

    /// The transaction was committed.
    pub fn commit(&mut self) {
        for change in std::mem::take(&mut self.pending) {
            self.apply(change);
        }
    }

    /// The transaction was rolled back.
    pub fn roll_back(&mut self) {
        self.pending.clear();
    }

    /// Returns every parameter to its start-up value.
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
