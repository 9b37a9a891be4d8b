//! The idle connections to one database.

use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::Timestamp;

use crate::connection::{Connection, IdleState};

/// Idle connections, the one that has been idle longest first.
#[derive(Default)]
pub(super) struct IdleConnections(Vec<Connection>);

impl IdleConnections {
    pub(super) fn put(&mut self, connection: Connection) {
        self.0.push(connection);
    }

    /// Takes the most recently used connection of `principal`, or of any principal if `None`.
    /// Connections that have the session values `preferred` are taken first.
    pub(super) fn take(
        &mut self,
        principal: Option<&Principal>,
        preferred: &SessionValues,
    ) -> Option<Connection> {
        let own = |connection: &Connection| {
            principal.is_none_or(|principal| connection.principal == *principal)
        };
        let matching = self
            .0
            .iter()
            .rposition(|connection| own(connection) && connection.values == *preferred);
        let index = matching.or_else(|| self.0.iter().rposition(own))?;
        Some(self.0.remove(index))
    }

    /// Returns whether at least one of them is still usable.
    pub(super) fn any_usable(&mut self) -> bool {
        self.0
            .iter_mut()
            .any(|connection| connection.idle_state() == IdleState::Usable)
    }

    /// Takes the connection that has been idle longest.
    pub(super) fn take_oldest(&mut self) -> Option<Connection> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }

    /// Closes the connections on which nothing was received since `since`; returns their number.
    pub(super) fn close_inactive_since(&mut self, since: Timestamp) -> usize {
        let before = self.0.len();
        self.0
            .retain(|connection| connection.last_received_at >= since);
        before - self.0.len()
    }

    /// Closes all connections; returns their number.
    pub(super) fn close_all(&mut self) -> usize {
        self.0.drain(..).count()
    }
}
