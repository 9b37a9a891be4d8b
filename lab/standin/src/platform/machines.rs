//! The list of live and leaving machines, which follows the truth with a lag.

use super::message::KeyValue;
use super::range::KeyRange;
use super::store::{Put, Store};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Prefix of the keys of the list.
pub const MACHINE_PREFIX: &str = "machines/";

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine runs.
    Live,
    /// The machine will be taken away.
    Leaving,
}

/// One entry of the list, kept as JSON under [`Machine::key`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the node.
    pub node: String,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
    /// Where the node listens for its peers.
    pub peer_address: SocketAddr,
    /// Whether the machine stays.
    pub state: MachineState,
}

impl Machine {
    /// The key of this machine.
    pub fn key(&self) -> String {
        machine_key(&self.zone, &self.node)
    }
}

/// The key of a machine: `machines/<zone>/<node>`.
pub fn machine_key(zone: &str, node: &str) -> String {
    format!("{MACHINE_PREFIX}{zone}/{node}")
}

/// A change of the list that is under way.
#[derive(Debug, Clone)]
pub(super) enum MachineChange {
    /// A machine came or changed its state.
    Set(Box<Machine>),
    /// A machine is gone.
    Remove(String),
}

impl MachineChange {
    /// Brings the change into the store.
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
    let held = store.get(&key, store.revision());
    if held.is_some_and(|KeyValue { value: held, .. }| *held == value) {
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
    being_applied: usize,
}

/// Mirrors the true state of the machines into the service's keys, each change
/// after the lag, in the order in which they were made.
#[derive(Debug)]
pub struct MachineList(Mutex<State>);

impl MachineList {
    pub(super) fn new(lag: Duration) -> Self {
        Self(Mutex::new(State {
            lag,
            pending: VecDeque::new(),
            being_applied: 0,
        }))
    }

    /// Sets the lag of changes made from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.0.lock().lag = lag;
    }

    /// A machine came, or its state changed.
    pub fn set(&self, machine: Machine) {
        self.enqueue(MachineChange::Set(Box::new(machine)));
    }

    /// A machine is gone.
    pub fn remove(&self, zone: &str, node: &str) {
        self.enqueue(MachineChange::Remove(machine_key(zone, node)));
    }

    /// Number of changes that are not in the list yet.
    pub fn pending(&self) -> usize {
        let state = self.0.lock();
        state.pending.len() + state.being_applied
    }

    fn enqueue(&self, change: MachineChange) {
        let mut state = self.0.lock();
        let due = Instant::now() + state.lag;
        state.pending.push_back(Pending { due, change });
    }

    /// Takes the changes whose lag has passed; [`MachineList::applied`] tells
    /// that they are in the store.
    pub(super) fn take_due(&self, now: Instant) -> Vec<MachineChange> {
        let mut state = self.0.lock();
        let mut due = Vec::new();
        while state.pending.front().is_some_and(|first| first.due <= now) {
            due.extend(state.pending.pop_front().map(|pending| pending.change));
        }
        state.being_applied = due.len();
        due
    }

    /// The changes taken last are in the store.
    pub(super) fn applied(&self) {
        self.0.lock().being_applied = 0;
    }
}
