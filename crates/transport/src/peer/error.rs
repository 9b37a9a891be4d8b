//! Errors of starting the fleet and of connecting to peers.

use hookpoint_protocol::peer::{FleetKeyError, LinkError};
use hookpoint_state::NodeId;
use thiserror::Error;

/// Why this node could not join a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A socket could not be bound.
    #[error("cannot listen to peers: {0}")]
    Listen(#[source] std::io::Error),
    /// The fleet keys are missing or not valid.
    #[error("the fleet keys cannot be used: {0}")]
    Key(#[from] FleetKeyError),
}

/// Why a link could not be established.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The TCP connection could not be opened, or broke during the handshake.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The handshake failed.
    #[error("the handshake failed: {0}")]
    Handshake(#[from] LinkError),
    /// The peer did not answer within the connect timeout.
    #[error("the peer did not answer in time")]
    Timeout,
    /// Another node answered, or no address of the node is known.
    #[error("no connection to node {0}: another node answered or its address is unknown")]
    WrongNode(NodeId),
    /// A recent attempt failed, and its back-off time is not over.
    #[error("a recent attempt failed")]
    BackingOff,
    /// The peer violated the link protocol.
    #[error("the peer violated the link protocol")]
    Protocol,
}

/// The home could not be reached; nothing was sent to the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the home could not be reached")]
pub(super) struct HomeUnreachable;
