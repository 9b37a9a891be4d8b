//! The connections to one database and their states.

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
    /// Idle connections.
    pub idle: usize,
    /// Connections granted to a session.
    pub held: usize,
    /// Connections being closed whose end is not confirmed.
    pub closing: usize,
    /// Waiting requests.
    pub waiting: usize,
}

impl SlotCounts {
    /// Returns the number of connections that occupy a slot.
    pub fn connections(&self) -> usize {
        self.opening + self.idle + self.held + self.closing
    }

    /// Returns the number of connections that serve sessions or can do so soon.
    pub fn usable(&self) -> usize {
        self.opening + self.idle + self.held
    }
}

/// All connections. The most recently used idle connection is granted first, so that
/// surplus connections stay idle and can be closed.
#[derive(Clone, Debug, Default)]
pub(super) struct Connections {
    by_number: BTreeMap<ConnectionNumber, Connection>,
    /// Idle connections; the one that has been idle longest comes first.
    idle: Vec<ConnectionNumber>,
    next: u64,
}

impl Connections {
    /// Counts the connections by state; `waiting` is left at 0.
    pub fn counts(&self) -> SlotCounts {
        let mut counts = SlotCounts::default();
        for connection in self.by_number.values() {
            match connection.state {
                State::Opening => counts.opening += 1,
                State::Idle { .. } => counts.idle += 1,
                State::Held => counts.held += 1,
                State::Closing => counts.closing += 1,
            }
        }
        counts
    }

    /// Adds a connection that is being opened and returns its number.
    pub fn start_opening(&mut self) -> ConnectionNumber {
        let number = ConnectionNumber(self.next);
        self.next += 1;
        let connection = Connection {
            state: State::Opening,
            outdated: false,
        };
        self.by_number.insert(number, connection);
        number
    }

    /// Marks a connection as idle after it was opened. Returns whether it was being
    /// opened.
    pub fn opened(&mut self, now: Timestamp, number: ConnectionNumber) -> bool {
        let opening = self.state(number) == Some(State::Opening);
        if opening {
            self.mark_idle(now, number);
        }
        opening
    }

    /// Marks a returned connection as idle. Returns whether it was held.
    pub fn returned(&mut self, now: Timestamp, number: ConnectionNumber) -> bool {
        let held = self.state(number) == Some(State::Held);
        if held {
            self.mark_idle(now, number);
        }
        held
    }

    /// Takes the most recently used idle connection.
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

    /// Removes a connection that no longer occupies a slot.
    pub fn remove(&mut self, number: ConnectionNumber) {
        self.by_number.remove(&number);
        self.idle.retain(|candidate| *candidate != number);
    }

    /// Marks all connections as outdated; they are closed when they next become idle.
    pub fn mark_all_outdated(&mut self) {
        for connection in self.by_number.values_mut() {
            connection.outdated = true;
        }
    }

    /// Returns an idle connection that is outdated.
    pub fn outdated_idle(&self) -> Option<ConnectionNumber> {
        let outdated =
            |number: &&ConnectionNumber| self.by_number.get(number).is_some_and(|c| c.outdated);
        self.idle.iter().find(outdated).copied()
    }

    /// Returns the connection that has been idle longest, and since when it has been
    /// idle.
    pub fn oldest_idle(&self) -> Option<(ConnectionNumber, Timestamp)> {
        let number = *self.idle.first()?;
        match self.state(number)? {
            State::Idle { since } => Some((number, since)),
            State::Opening | State::Held | State::Closing => None,
        }
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        self.idle.len()
    }

    fn state(&self, number: ConnectionNumber) -> Option<State> {
        Some(self.by_number.get(&number)?.state)
    }

    fn mark_idle(&mut self, now: Timestamp, number: ConnectionNumber) {
        self.set_state(number, State::Idle { since: now });
        self.idle.push(number);
    }

    fn set_state(&mut self, number: ConnectionNumber, state: State) {
        if let Some(connection) = self.by_number.get_mut(&number) {
            connection.state = state;
        }
    }
}
