//! The connections of one database and what each is doing.

use std::collections::BTreeMap;

use hookpoint_state::Timestamp;

use super::event::ConnectionNumber;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Idle { since: Timestamp },
    Held,
    Closing,
}

#[derive(Clone, Debug)]
struct Connection {
    state: State,
    outdated: bool,
}

/// Numbers of connections and waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Connections being opened.
    pub opening: usize,
    /// Connections nobody holds.
    pub idle: usize,
    /// Connections a session holds.
    pub held: usize,
    /// Connections whose end is not confirmed.
    pub closing: usize,
    /// Requests that wait.
    pub waiting: usize,
}

impl SlotCounts {
    /// Connections that take a slot.
    pub fn connections(&self) -> usize {
        self.opening + self.idle + self.held + self.closing
    }

    /// Connections that serve sessions or soon will.
    pub fn usable(&self) -> usize {
        self.opening + self.idle + self.held
    }
}

/// All connections. The one that became idle last is used next, so that the others can
/// be seen to be spare.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections {
    all: BTreeMap<ConnectionNumber, Connection>,
    /// Idle connections, the one that has been idle longest first.
    idle: Vec<ConnectionNumber>,
    next: u64,
}

impl Connections {
    /// Counts by state; nobody waits as far as connections know.
    pub fn counts(&self) -> SlotCounts {
        let mut counts = SlotCounts::default();
        for connection in self.all.values() {
            match connection.state {
                State::Opening => counts.opening += 1,
                State::Idle { .. } => counts.idle += 1,
                State::Held => counts.held += 1,
                State::Closing => counts.closing += 1,
            }
        }
        counts
    }

    /// Adds a connection that is being opened.
    pub fn open(&mut self) -> ConnectionNumber {
        let number = ConnectionNumber(self.next);
        self.next += 1;
        let connection = Connection {
            state: State::Opening,
            outdated: false,
        };
        self.all.insert(number, connection);
        number
    }

    /// A connection has been opened. Whether it was being opened at all.
    pub fn opened(&mut self, now: Timestamp, number: ConnectionNumber) -> bool {
        let opening = self.state(number) == Some(State::Opening);
        if opening {
            self.rest(now, number);
        }
        opening
    }

    /// A connection came back. Whether it was held at all; it is idle then.
    pub fn returned(&mut self, now: Timestamp, number: ConnectionNumber) -> bool {
        let held = self.state(number) == Some(State::Held);
        if held {
            self.rest(now, number);
        }
        held
    }

    /// Takes the connection that became idle last.
    pub fn take_idle(&mut self) -> Option<ConnectionNumber> {
        let number = self.idle.pop()?;
        self.set_state(number, State::Held);
        Some(number)
    }

    /// Marks an idle connection as closing.
    pub fn close(&mut self, number: ConnectionNumber) {
        self.idle.retain(|candidate| *candidate != number);
        self.set_state(number, State::Closing);
    }

    /// Forgets a connection that takes no slot any more.
    pub fn remove(&mut self, number: ConnectionNumber) {
        self.all.remove(&number);
        self.idle.retain(|candidate| *candidate != number);
    }

    /// Marks all connections to be closed when they are next idle.
    pub fn outdate(&mut self) {
        for connection in self.all.values_mut() {
            connection.outdated = true;
        }
    }

    /// An idle connection that is outdated.
    pub fn outdated_idle(&self) -> Option<ConnectionNumber> {
        let outdated =
            |number: &&ConnectionNumber| self.all.get(number).is_some_and(|c| c.outdated);
        self.idle.iter().find(outdated).copied()
    }

    /// The connection that has been idle longest, and since when.
    pub fn oldest_idle(&self) -> Option<(ConnectionNumber, Timestamp)> {
        let number = *self.idle.first()?;
        match self.state(number)? {
            State::Idle { since } => Some((number, since)),
            State::Opening | State::Held | State::Closing => None,
        }
    }

    /// Idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    fn state(&self, number: ConnectionNumber) -> Option<State> {
        Some(self.all.get(&number)?.state)
    }

    fn rest(&mut self, now: Timestamp, number: ConnectionNumber) {
        self.set_state(number, State::Idle { since: now });
        self.idle.push(number);
    }

    fn set_state(&mut self, number: ConnectionNumber, state: State) {
        if let Some(connection) = self.all.get_mut(&number) {
            connection.state = state;
        }
    }
}
