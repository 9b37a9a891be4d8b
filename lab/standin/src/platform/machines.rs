//! The list of live and leaving machines, which reflects their actual state with
//! a lag.

use super::message::KeyValue;
use super::range::KeyRange;
use super::store::{Put, Store};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Prefix of the keys of the machine list.
pub const MACHINE_PREFIX: &str = "machines/";

/// Lifecycle state of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine is running.
    Live,
    /// The machine is about to be removed.
    Leaving,
}

/// One entry of the machine list, stored as JSON under [`Machine::key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the node on the machine.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Address on which the node listens for its peers.
    pub peer_address: SocketAddr,
    /// Lifecycle state of the machine.
    pub state: MachineState,
}

impl Machine {
    /// Returns the key of this machine in the store.
    pub fn key(&self) -> String {
        machine_key(&self.zone, &self.node)
    }
}

/// Returns the key of a machine: `machines/<zone>/<node>`.
pub fn machine_key(zone: &str, node: &str) -> String {
    format!("{MACHINE_PREFIX}{zone}/{node}")
}

/// A pending change of the machine list.
#[derive(Debug, Clone)]
pub(super) enum MachineChange {
    /// A machine was added or its state changed.
    Set(Box<Machine>),
    /// A machine was removed.
    Remove(String),
}

impl MachineChange {
    /// Writes the change to the store.
    pub(super) fn apply(&self, store: &mut Store) {
        match self {
            Self::Set(machine) => set(store, machine),
            Self::Remove(key) => {
                store.delete(&KeyRange::One(key.clone().into_bytes()));
            }
        }
        store.commit();
    }
}

fn set(store: &mut Store, machine: &Machine) {
    let key = machine.key().into_bytes();
    // Strings, addresses and unit variants always have a JSON form.
    let value = serde_json::to_vec(machine).unwrap_or_default();
    let current = store.get(&key, store.revision());
    if current.is_some_and(|KeyValue { value: current, .. }| *current == value) {
        return;
    }
    store.put(Put {
        key,
        value: Some(value),
        lease: Some(0),
    });
}

#[derive(Debug)]
struct Pending {
    due: Instant,
    change: MachineChange,
}

#[derive(Debug)]
struct State {
    lag: Duration,
    pending: VecDeque<Pending>,
    applying: usize,
}

/// Mirrors the actual state of the machines into keys of the service. Each change
/// appears after the lag, in the order in which the changes were made.
#[derive(Debug)]
pub struct MachineList(Mutex<State>);

impl MachineList {
    pub(super) fn new(lag: Duration) -> Self {
        Self(Mutex::new(State {
            lag,
            pending: VecDeque::new(),
            applying: 0,
        }))
    }

    /// Sets the lag of subsequent changes.
    pub fn set_lag(&self, lag: Duration) {
        self.0.lock().lag = lag;
    }

    /// Records that a machine was added or that its state changed.
    pub fn set(&self, machine: Machine) {
        self.enqueue(MachineChange::Set(Box::new(machine)));
    }

    /// Records that a machine was removed.
    pub fn remove(&self, zone: &str, node: &str) {
        self.enqueue(MachineChange::Remove(machine_key(zone, node)));
    }

    /// Returns the number of changes that are not in the list yet.
    pub fn pending(&self) -> usize {
        let state = self.0.lock();
        state.pending.len() + state.applying
    }

    fn enqueue(&self, change: MachineChange) {
        let mut state = self.0.lock();
        let due = Instant::now() + state.lag;
        state.pending.push_back(Pending { due, change });
    }

    /// Takes the changes whose lag has passed. The caller writes them to the store
    /// and then calls [`MachineList::mark_applied`].
    pub(super) fn take_due(&self, now: Instant) -> Vec<MachineChange> {
        let mut state = self.0.lock();
        let mut due = Vec::new();
        while state.pending.front().is_some_and(|first| first.due <= now) {
            due.extend(state.pending.pop_front().map(|pending| pending.change));
        }
        state.applying = due.len();
        due
    }

    /// Records that the changes taken last are in the store.
    pub(super) fn mark_applied(&self) {
        self.0.lock().applying = 0;
    }
}
