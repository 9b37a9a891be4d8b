//! Why the fleet did not start or a peer was not reached.

use hookpoint_protocol::peer::{FleetKeyError, LinkError};
use hookpoint_state::NodeId;
use thiserror::Error;

/// Why this node could not join a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A socket could not be bound.
    #[error("cannot listen to peers: {0}")]
    Listen(#[source] std::io::Error),
    /// No key, or one that cannot be used.
    #[error("the fleet keys cannot be used: {0}")]
    Key(#[from] FleetKeyError),
}

/// Why a link could not be had.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The handshake failed.
    #[error("the handshake failed: {0}")]
    Handshake(#[from] LinkError),
    /// It took too long.
    #[error("the peer did not answer in time")]
    Timeout,
    /// Another node answered.
    #[error("another node answered at the address of {0}")]
    WrongNode(NodeId),
    /// A recent attempt failed.
    #[error("a recent attempt failed")]
    BackingOff,
    /// The peer broke the protocol.
    #[error("the peer broke the protocol")]
    Protocol,
}

/// The home could not be reached; nothing was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the home was not reached")]
pub(super) struct HomeUnreachable;
