//! Events and actions of the slot table.

use hookpoint_state::{Refusal, SessionId, TenantName, Timestamp, ZoneName};

use super::policy::SlotPolicy;

/// A request for a connection, numbered by the pool that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// A connection of the pool, numbered by the slot table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// Which part of the queue a request waits in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Requests of callers.
    Work,
    /// Status queries of this fleet's observers: short, few, and ahead of all work.
    Observer,
}

/// A request that wants a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its number, unique in the pool.
    pub number: RequestNumber,
    /// Tenant it is charged to.
    pub tenant: TenantName,
    /// Zone of the proxy that serves the caller.
    pub zone: ZoneName,
    /// Session that asks.
    pub session: SessionId,
    /// When it is refused if it still waits.
    pub deadline: Timestamp,
    /// Where it waits.
    pub lane: Lane,
}

/// Why a connection could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenFailure {
    /// The database has given all its slots away (SQLSTATE 53300); another holder has
    /// some of them.
    SlotsTaken,
    /// Nobody answers at the address, or the database is starting or stopping.
    Unreachable,
    /// The database refuses this user or database, with this SQLSTATE.
    Rejected(String),
}

/// What the pool tells its slot table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotEvent {
    /// A request wants a connection.
    Request(WaitingRequest),
    /// The request is no longer wanted.
    Cancelled(RequestNumber),
    /// A connection asked for by [`SlotAction::OpenConnection`] is ready.
    ConnectionOpened(ConnectionNumber),
    /// It could not be opened and takes no slot.
    ConnectionFailed {
        /// The connection.
        connection: ConnectionNumber,
        /// Why.
        failure: OpenFailure,
    },
    /// A granted connection came back.
    ConnectionReturned {
        /// The connection.
        connection: ConnectionNumber,
        /// Whether it may serve another session.
        reusable: bool,
    },
    /// A connection is closed and takes no slot any more.
    ConnectionClosed(ConnectionNumber),
    /// A granted connection turned out to be closed before the request used it.
    GrantFailed {
        /// The connection, now closed.
        connection: ConnectionNumber,
        /// The request, which goes to the front of the queue.
        request: WaitingRequest,
    },
    /// The bundle changed the slots, limits or weights.
    PolicyChanged(SlotPolicy),
    /// Connections opened so far lead to an address or user of the past: they finish
    /// what they do and are closed.
    Renew,
    /// The database gets no new work.
    Drain,
    /// The database gets work again.
    Undrain,
    /// The database is not what it was when the requests came to wait: it does not
    /// answer, or its group has another primary now. Waiting requests are refused, so
    /// that they look for a database again.
    Reroute,
    /// Whether this node is the database's home. One that is not keeps no idle
    /// connection, which leaves the slots to the home.
    Home(bool),
    /// The time of [`super::SlotTable::next_timer`] has come.
    Timer,
}

/// What the slot table asks of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Open a connection.
    OpenConnection(ConnectionNumber),
    /// The request has the connection.
    Grant {
        /// The request.
        request: RequestNumber,
        /// The connection, idle until now.
        connection: ConnectionNumber,
    },
    /// The request is refused; nothing was sent for it.
    Refuse {
        /// The request.
        request: RequestNumber,
        /// Why.
        refusal: Refusal,
    },
    /// Close the connection and confirm it.
    CloseConnection(ConnectionNumber),
}
