//! Messages between the pools' table, a pool and its connections.

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

/// Where the answer to a request for a lease goes.
pub(super) type LeaseReply = oneshot::Sender<Result<BackendLease, Refusal>>;

/// Where connections lead and as whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    /// Address by the bundle; none if the text there is no address.
    pub address: Result<SocketAddr, String>,
    pub user: String,
    pub database: String,
    /// After this time in an open transaction without a query the database ends the
    /// connection. The proxy ends such a transaction earlier; this is for the ones
    /// whose proxy has died.
    pub idle_transaction_timeout: Duration,
}

/// What a bundle says about one database.
#[derive(Clone, Debug)]
pub(super) struct PoolConfiguration {
    pub policy: SlotPolicy,
    pub target: Arc<Target>,
    pub draining: bool,
}

/// A request for a lease.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Acquire {
    pub request: WaitingRequest,
    pub reply: LeaseReply,
}

/// The request is no longer wanted.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Cancelled(pub RequestNumber);

/// A bundle came into force.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Configure(pub PoolConfiguration);

/// Whether this node is the database's home.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Home(pub bool);

/// Waiting requests had better look for another database.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Reroute {
    /// Whether the database has lost the primary's role. Sessions that wait for it to
    /// answer then wait only a little longer.
    pub deposed: bool,
}

/// The database left the bundle or the process stops.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct Retire;

/// What a connection tells its pool.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct FromConnection {
    pub connection: ConnectionNumber,
    pub event: ConnectionEvent,
}

/// An event in the life of a connection.
pub(super) enum ConnectionEvent {
    /// It is ready.
    Opened,
    /// It could not be opened.
    Failed(OpenFailure),
    /// Its lease is over.
    Returned { reusable: bool },
    /// It is closed, by the pool's will.
    Closed,
    /// It is closed, by the database or the network.
    Broken,
    /// It was found closed before the request used it.
    GrantFailed(Box<Grant>),
}

/// A granted request on its way to the connection.
pub(super) struct Grant {
    pub request: WaitingRequest,
    pub reply: LeaseReply,
}

/// What a pool tells a connection.
pub(super) enum Order {
    /// Serve this request.
    Serve(Box<Grant>),
    /// Close.
    Close,
    /// Break the lease unless the database says something soon.
    Doubt,
}

/// Orders a connection buffers: at most one of each kind is under way.
pub(super) const ORDER_BUFFER: usize = 4;
/// Where a pool sends its orders.
pub(super) type OrderSender = mpsc::Sender<Order>;
