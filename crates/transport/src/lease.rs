//! A lease of one database connection, local or on another node.

use async_trait::async_trait;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_state::{
    DatabaseName, GroupName, Position, Refusal, SessionId, TenantName, ZoneName,
};
use tokio::sync::mpsc;

/// Capacity of a lease's command channel towards its connection.
pub const LEASE_COMMAND_BUFFER: usize = 32;
/// Capacity of a lease's reply channel towards its session. A full channel stops reading
/// from the connection, which propagates back-pressure to the database.
pub const LEASE_REPLY_BUFFER: usize = 16;

/// A request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcquireRequest {
    /// Group of the database; determines user and database name of the connection.
    pub group: GroupName,
    /// Database to connect to.
    pub database: DatabaseName,
    /// Requesting session, for fairness and the explain record.
    pub session: SessionId,
    /// Tenant of the session.
    pub tenant: TenantName,
    /// Zone of the proxy that serves the session.
    pub zone: ZoneName,
    /// Longest wait for a connection.
    pub wait: std::time::Duration,
}

/// A connection held by one session. A lease of another node's connection may be handed
/// out before that node has granted it: commands sent on it wait there, and
/// [`BackendReply::Refused`] means that none of them ran. Dropping the lease without
/// [`BackendCommand::Release`] closes the connection.
#[derive(Debug)]
pub struct BackendLease {
    /// Database that the connection leads to.
    pub database: DatabaseName,
    /// Commands to the connection.
    pub commands: mpsc::Sender<BackendCommand>,
    /// Replies from the connection.
    pub replies: mpsc::Receiver<BackendReply>,
}

/// Source of leases. A refusal means that nothing was sent to the database.
#[async_trait]
pub trait LeaseSource: Send + Sync {
    /// Waits for a connection for at most `request.wait`.
    ///
    /// # Errors
    /// A [`Refusal`]; nothing ran.
    async fn acquire(&self, request: AcquireRequest) -> Result<BackendLease, Refusal>;
}

/// Verifies the terms of groups.
#[async_trait]
pub trait TermVerifier: Send + Sync {
    /// Queries a majority of `group` for its term, starting after the call. Returns the
    /// position of the verified primary; `None` if no majority confirmed one.
    async fn verify(&self, group: &GroupName) -> Option<Position>;

    /// Returns the status of one database of `group`, queried on a connection that
    /// concurrent callers share; `None` if it does not answer within `wait`.
    async fn status(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        wait: std::time::Duration,
    ) -> Option<BackendStatus>;
}
