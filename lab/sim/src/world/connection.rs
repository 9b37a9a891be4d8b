//! Connections to databases and the leases on them.

use hookpoint_coordination::slots::ConnectionNumber as SlotNumber;
use hookpoint_state::Timestamp;

use super::event::{
    BackendAnswer, BackendWork, ConnectionNumber, LeaseCommand, LeaseNumber, LeaseReply,
    ProxyIndex, SessionNumber,
};
use crate::database::execute::Block;
use crate::network::Channel;

/// Where a connection stands with its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Opening,
    Idle,
    Leased(LeaseNumber),
    /// Released, with answers still to come.
    Draining,
    Gone,
}

/// A connection from a holder to a database.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) holder: ProxyIndex,
    pub(crate) database: usize,
    /// Its number in the holder's slot table.
    pub(crate) slot: SlotNumber,
    pub(crate) state: ConnectionState,
    pub(crate) commands: Channel<BackendWork>,
    pub(crate) answers: Channel<BackendAnswer>,
    /// Answers that the holder still expects.
    pub(crate) outstanding: usize,
    /// Refreshing questions under way; their answers come before all later ones.
    pub(crate) refreshes: usize,
    /// When the holder last heard from the database on it.
    pub(crate) heard_at: Timestamp,
    /// When the holder last had it idle.
    pub(crate) idle_since: Timestamp,
    /// The database's side.
    pub(crate) open: bool,
    pub(crate) block: Option<Block>,
    pub(crate) busy_until: Timestamp,
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
            heard_at: now,
            idle_since: now,
            open: false,
            block: None,
            busy_until: now,
            last_used: now,
        }
    }
}

/// A lease, or the wait for one.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) session: SessionNumber,
    pub(crate) proxy: ProxyIndex,
    pub(crate) holder: ProxyIndex,
    pub(crate) database: usize,
    pub(crate) connection: Option<ConnectionNumber>,
    pub(crate) up: Channel<LeaseCommand>,
    pub(crate) down: Channel<LeaseReply>,
    /// Whether the session's side has given it up.
    pub(crate) released: bool,
    /// Whether the holder's side has.
    pub(crate) closed: bool,
}
