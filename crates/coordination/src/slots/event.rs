//! Events and actions of the slot table.

use hookpoint_state::{Refusal, SessionId, TenantName, Timestamp, ZoneName};

use super::policy::SlotPolicy;

/// Number of a request for a connection, assigned by the pool that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Number of a connection of the pool, assigned by the slot table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// Part of the queue that a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests of callers.
    Work,
    /// Status queries of the fleet's observers. They are short and few, and are served
    /// before all work.
    Observer,
}

/// A request that waits for a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Number of the request, unique in the pool.
    pub number: RequestNumber,
    /// Tenant that the request is accounted to.
    pub tenant: TenantName,
    /// Zone of the proxy that serves the caller.
    pub zone: ZoneName,
    /// Session that made the request.
    pub session: SessionId,
    /// When the request is refused if it still waits.
    pub deadline: Timestamp,
    /// Part of the queue that the request waits in.
    pub lane: Lane,
}

/// Reason why a connection could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// All connection slots of the database are in use (SQLSTATE 53300), some of them by
    /// another holder.
    SlotsTaken,
    /// The address does not answer, or the database is starting or stopping.
    Unreachable,
    /// The database refuses this user or database name, with this SQLSTATE.
    Rejected(String),
}

/// Input event of a slot table, sent by its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotEvent {
    /// A request asks for a connection.
    Request(WaitingRequest),
    /// A request was cancelled.
    Cancelled(RequestNumber),
    /// A connection requested with [`SlotAction::OpenConnection`] is open.
    ConnectionOpened(ConnectionNumber),
    /// A connection could not be opened and occupies no slot.
    ConnectionFailed {
        /// Number of the connection that failed to open.
        connection: ConnectionNumber,
        /// Reason for the failure.
        failure: OpenFailure,
    },
    /// A granted connection was returned.
    ConnectionReturned {
        /// Number of the returned connection.
        connection: ConnectionNumber,
        /// Whether the connection may serve another session.
        reusable: bool,
    },
    /// A connection was closed and no longer occupies a slot.
    ConnectionClosed(ConnectionNumber),
    /// A granted connection turned out to be closed before the request used it.
    GrantFailed {
        /// Connection that was closed.
        connection: ConnectionNumber,
        /// Request concerned; it is put at the front of the queue.
        request: WaitingRequest,
    },
    /// The bundle changed the slots, limits or weights.
    PolicyChanged(SlotPolicy),
    /// The database's address or user has changed: existing connections finish their
    /// current use and are closed.
    ReplaceConnections,
    /// The database drains: no new work is admitted.
    Drain,
    /// The database no longer drains: work is admitted again.
    Undrain,
    /// The database does not answer, or its group has another primary than when the
    /// requests were queued. Waiting requests are refused, so that they are routed
    /// again.
    Reroute,
    /// Whether this node is the database's home. Any other node keeps no idle
    /// connections, to leave the slots to the home.
    Home(bool),
    /// The time returned by [`super::SlotTable::next_timer`] has been reached.
    Timer,
}

/// Output action of a slot table, for its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Open a connection with this number.
    OpenConnection(ConnectionNumber),
    /// Grant a connection to a request.
    Grant {
        /// Number of the request that receives the connection.
        request: RequestNumber,
        /// Connection that is granted; it was idle.
        connection: ConnectionNumber,
    },
    /// Refuse a request; nothing was sent for it.
    Refuse {
        /// Number of the request that is refused.
        request: RequestNumber,
        /// Reason for the refusal.
        refusal: Refusal,
    },
    /// Close a connection and confirm with [`SlotEvent::ConnectionClosed`].
    CloseConnection(ConnectionNumber),
}
