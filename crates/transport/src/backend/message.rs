//! Messages between the pool table, a pool and its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Message;
use hookpoint_coordination::slots::{
    ConnectionNumber, OpenFailure, RequestNumber, SlotPolicy, WaitingRequest,
};
use hookpoint_state::Refusal;
use tokio::sync::{mpsc, oneshot};

use crate::lease::BackendLease;

/// Channel for the result of a lease request.
pub(super) type LeaseReply = oneshot::Sender<Result<BackendLease, Refusal>>;

/// Address and credentials of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    /// Address given in the bundle; `Err` holds the text if it is not a valid address.
    pub address: Result<SocketAddr, String>,
    pub user: String,
    pub database: String,
    /// Idle time in an open transaction after which the database closes the connection.
    /// The proxy ends such a transaction earlier; this limit covers transactions whose
    /// proxy has crashed.
    pub idle_transaction_timeout: Duration,
}

/// Settings of one database from the bundle.
#[derive(Clone, Debug)]
pub(super) struct PoolConfiguration {
    pub policy: SlotPolicy,
    pub target: Arc<Target>,
    pub draining: bool,
}

/// Requests a lease of a connection; the result is sent to `reply`.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Acquire {
    pub request: WaitingRequest,
    pub reply: LeaseReply,
}

/// Cancels a request for a lease.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Cancelled(pub RequestNumber);

/// Applies the settings of a new bundle.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Configure(pub PoolConfiguration);

/// Sets whether this node is the database's home: the node that holds the fleet's connections
/// to the database.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct SetHome(pub bool);

/// Refuses the waiting requests, so that their sessions choose a database again.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Reroute {
    /// Whether the database has lost the primary role. Every connection then receives
    /// [`Order::AbortIfSilent`], which bounds how long sessions wait for answers from it.
    pub former_primary: bool,
}

/// Shuts the pool down, because the database left the bundle or the process stops.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Retire;

/// Reports an event of a connection to its pool.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct FromConnection {
    pub connection: ConnectionNumber,
    pub event: ConnectionEvent,
}

/// A state change of a connection.
pub(super) enum ConnectionEvent {
    /// The connection is ready.
    Opened,
    /// The connection could not be opened.
    Failed(OpenFailure),
    /// The lease has ended; the connection may serve another session if it is `reusable`.
    Returned { reusable: bool },
    /// The pool closed the connection.
    Closed,
    /// The database or the network closed the connection.
    Broken,
    /// The connection was found closed before the request used it.
    GrantFailed(Box<Grant>),
}

/// A granted lease request that the pool passes to the connection.
pub(super) struct Grant {
    pub request: WaitingRequest,
    pub reply: LeaseReply,
}

/// A command of a pool to a connection.
pub(super) enum Order {
    /// Serve the granted request.
    Serve(Box<Grant>),
    /// Close the connection.
    Close,
    /// If the database is executing a request on the connection, close the connection and end
    /// its lease, unless the database sends a message within `MAXIMUM_SILENCE` (500 ms).
    AbortIfSilent,
}

/// Capacity of a connection's order channel; at most one order of each kind is pending.
pub(super) const ORDER_BUFFER: usize = 4;
/// Channel for a pool's orders to a connection.
pub(super) type OrderSender = mpsc::Sender<Order>;
