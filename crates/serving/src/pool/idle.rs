//! The connections of one database that are open and at rest.

use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::Timestamp;

use crate::connection::Connection;

/// Connections at rest, the longest at rest first.
#[derive(Default)]
pub(super) struct IdleConnections(Vec<Connection>);

impl IdleConnections {
    pub(super) fn put(&mut self, connection: Connection) {
        self.0.push(connection);
    }

    /// Takes the last used one of a principal, or of any if none is told; one that has the
    /// session values `preferred` goes first.
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
        let place = matching.or_else(|| self.0.iter().rposition(own))?;
        Some(self.0.remove(place))
    }

    /// Whether one of them is still open.
    pub(super) fn any_usable(&mut self) -> bool {
        self.0.iter_mut().any(Connection::is_usable)
    }

    /// Takes the one that has rested for the longest time.
    pub(super) fn take_oldest(&mut self) -> Option<Connection> {
        (!self.0.is_empty()).then(|| self.0.remove(0))
    }

    /// Closes those on which nothing was heard since `since`; returns how many.
    pub(super) fn close_unheard_since(&mut self, since: Timestamp) -> usize {
        let before = self.0.len();
        self.0.retain(|connection| connection.heard_at >= since);
        before - self.0.len()
    }

    /// Closes all; returns how many.
    pub(super) fn close_all(&mut self) -> usize {
        self.0.drain(..).count()
    }
}
