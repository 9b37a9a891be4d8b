//! A lease of one database connection, local or on another node.

use async_trait::async_trait;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_state::{
    DatabaseName, GroupName, Position, Refusal, SessionId, TenantName, ZoneName,
};
use tokio::sync::mpsc;

/// Commands a lease buffers towards its connection.
pub const LEASE_COMMAND_BUFFER: usize = 32;
/// Replies a lease buffers towards its session. A full buffer stops the reading of the
/// connection, which is how back-pressure reaches the database.
pub const LEASE_REPLY_BUFFER: usize = 16;

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcquireRequest {
    /// Group of the database; names the user and database of the connection.
    pub group: GroupName,
    /// Database to reach.
    pub database: DatabaseName,
    /// Session that asks, for fairness and the explain record.
    pub session: SessionId,
    /// Tenant of the session.
    pub tenant: TenantName,
    /// Zone of the proxy that serves the session.
    pub zone: ZoneName,
    /// Longest wait.
    pub wait: std::time::Duration,
}

/// A connection held by one session. A lease of another node's connection may be
/// handed out before that node has granted it: what is sent on it waits there, and
/// [`BackendReply::Refused`] says that none of it ran. Dropping it without
/// [`BackendCommand::Release`] closes the connection.
#[derive(Debug)]
pub struct BackendLease {
    /// Database it leads to.
    pub database: DatabaseName,
    /// Commands to the connection.
    pub commands: mpsc::Sender<BackendCommand>,
    /// Replies from the connection.
    pub replies: mpsc::Receiver<BackendReply>,
}

/// Grants leases. A refusal means that nothing was sent to the database.
#[async_trait]
pub trait LeaseSource: Send + Sync {
    /// Waits for a connection for at most `request.wait`.
    ///
    /// # Errors
    /// A [`Refusal`]; nothing ran.
    async fn acquire(&self, request: AcquireRequest) -> Result<BackendLease, Refusal>;
}

/// Asks groups for their terms.
#[async_trait]
pub trait TermVerifier: Send + Sync {
    /// Asks a majority of `group` for its term, starting after the call. Returns the
    /// position of the verified primary, or none if no majority confirmed one.
    async fn verify(&self, group: &GroupName) -> Option<Position>;

    /// The status of one database of `group`, asked for on a connection that all who
    /// ask share; none when it does not answer within `wait`.
    async fn status(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        wait: std::time::Duration,
    ) -> Option<BackendStatus>;
}
