//! Connections to databases and the leases on them.

use hookpoint_coordination::slots::ConnectionNumber as SlotNumber;
use hookpoint_state::Timestamp;

use super::event::{
    BackendAnswer, BackendWork, ConnectionNumber, LeaseCommand, LeaseNumber, LeaseReply,
    ProxyIndex, SessionNumber,
};
use crate::database::execute::TransactionBlock;
use crate::network::Channel;

/// State of a connection on its holder's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Opening,
    Idle,
    Leased(LeaseNumber),
    /// Released by the session, with answers still outstanding.
    AwaitingAnswers,
    Closed,
}

/// A connection from a holder to a database.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) holder: ProxyIndex,
    pub(crate) database: usize,
    /// Number of the connection in the holder's slot table.
    pub(crate) slot: SlotNumber,
    pub(crate) state: ConnectionState,
    pub(crate) commands: Channel<BackendWork>,
    pub(crate) answers: Channel<BackendAnswer>,
    /// Number of answers that the holder still expects.
    pub(crate) outstanding: usize,
    /// Number of status queries in flight that refresh the idle connection. Their answers
    /// arrive before those of all later commands.
    pub(crate) refreshes: usize,
    /// Time at which the holder last received an answer on the connection.
    pub(crate) last_answer_at: Timestamp,
    /// Time at which the connection last became idle on the holder's side.
    pub(crate) idle_since: Timestamp,
    /// Whether the connection is open on the database's side.
    pub(crate) open: bool,
    /// Open transaction block on the database's side.
    pub(crate) block: Option<TransactionBlock>,
    /// Time until which the database executes earlier work on the connection.
    pub(crate) busy_until: Timestamp,
    /// Time at which the database last received a command on the connection.
    pub(crate) last_used: Timestamp,
}

impl Connection {
    pub(crate) fn new(
        holder: ProxyIndex,
        database: usize,
        slot: SlotNumber,
        now: Timestamp,
    ) -> Self {
        Self {
            holder,
            database,
            slot,
            state: ConnectionState::Opening,
            commands: Channel::new(),
            answers: Channel::new(),
            outstanding: 0,
            refreshes: 0,
            last_answer_at: now,
            idle_since: now,
            open: false,
            block: None,
            busy_until: now,
            last_used: now,
        }
    }
}

/// A lease, or a pending request for one.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) session: SessionNumber,
    pub(crate) proxy: ProxyIndex,
    pub(crate) holder: ProxyIndex,
    pub(crate) database: usize,
    pub(crate) connection: Option<ConnectionNumber>,
    pub(crate) commands: Channel<LeaseCommand>,
    pub(crate) replies: Channel<LeaseReply>,
    /// Whether the session's side has released the lease.
    pub(crate) released: bool,
    /// Whether the holder's side has closed the lease.
    pub(crate) closed: bool,
}
