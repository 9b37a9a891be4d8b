//! Asking one database for its status.

use std::sync::{Arc, Weak};
use std::time::Duration;

use actix::ArbiterHandle;
use async_trait::async_trait;
use futures::FutureExt;
use hookpoint_coordination::observer::RoundPolicy;
use hookpoint_coordination::status::BackendStatus;
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::extended;
use hookpoint_protocol::status_query::{STATUS_QUERY, StatusCollector, StatusQueryError};
use hookpoint_state::{DatabaseName, GroupName, Refusal, SessionId, TenantName, ZoneName};
use thiserror::Error;

use super::sharing::SharedRounds;
use crate::backend::LocalPools;
use crate::lease::{AcquireRequest, BackendLease, LeaseSource};
use crate::shared::Shared;

/// Session number of the proxies' own status queries; callers' sessions count from 1.
/// Requests of this session go ahead of all work.
pub(crate) const OWN_SESSION: SessionId = SessionId(0);
/// Tenant of the proxy's own status queries.
const OWN_TENANT: &str = "hookpoint";

/// Why a database did not tell its status.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatusError {
    /// No connection was granted.
    #[error("no connection: {0}")]
    Refused(#[from] Refusal),
    /// The connection broke.
    #[error("the connection broke")]
    Lost,
    /// The answer did not come in time.
    #[error("the answer did not come in time")]
    Timeout,
    /// The answer could not be read.
    #[error(transparent)]
    Unreadable(#[from] StatusQueryError),
}

/// Asks databases for their status, here or through another node.
#[async_trait]
pub trait StatusSource: Send + Sync {
    /// The status of `database`, evaluated by it after the call. Waits for at most `wait`.
    ///
    /// # Errors
    /// A [`StatusError`].
    async fn query_status(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        wait: Duration,
    ) -> Result<BackendStatus, StatusError>;
}

/// Status queries to local databases: one a database at a time, shared by all who ask.
pub(crate) type SharedStatuses = SharedRounds<DatabaseName, Result<BackendStatus, StatusError>>;

/// Longest wait for a connection, and again for the answer on it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// A status query waits for the one under way to end.
const QUERY_POLICY: RoundPolicy = RoundPolicy {
    patience: Duration::MAX,
    maximum: 1,
};

/// The status queries of `pools`.
pub(crate) fn shared_statuses(
    shared: Arc<Shared>,
    arbiter: ArbiterHandle,
    pools: Weak<LocalPools>,
) -> Arc<SharedStatuses> {
    let round = move |database: DatabaseName| {
        let pools = pools.clone();
        let query = async move {
            let pools = pools.upgrade().ok_or(Refusal::Stopping)?;
            let zone = pools.zone().clone();
            let request = own_request(GroupName::new(""), database, zone);
            query_within(&*pools, request).await
        };
        query.boxed()
    };
    SharedRounds::new(shared, arbiter, QUERY_POLICY, Box::new(round))
}

/// Asks on a connection of `leases`.
async fn query_within(
    leases: &dyn LeaseSource,
    request: AcquireRequest,
) -> Result<BackendStatus, StatusError> {
    let lease = leases.acquire(request).await?;
    let answer = tokio::time::timeout(QUERY_TIMEOUT, ask(lease)).await;
    answer.map_err(|_| StatusError::Timeout)?
}

/// Status queries to any database of the fleet, on connections that its home node holds.
pub struct FleetStatuses {
    rounds: Arc<SharedRounds<(GroupName, DatabaseName), Result<BackendStatus, StatusError>>>,
}

impl FleetStatuses {
    /// Queries on connections of `leases`, run on `arbiter`.
    pub fn new(
        shared: Arc<Shared>,
        leases: Arc<dyn LeaseSource>,
        arbiter: ArbiterHandle,
    ) -> Arc<Self> {
        let zone = shared.zone.clone();
        let round = move |(group, database): (GroupName, DatabaseName)| {
            let leases = leases.clone();
            let request = own_request(group, database, zone.clone());
            async move { query_within(&*leases, request).await }.boxed()
        };
        Arc::new(Self {
            rounds: SharedRounds::new(shared, arbiter, QUERY_POLICY, Box::new(round)),
        })
    }
}

#[async_trait]
impl StatusSource for FleetStatuses {
    async fn query_status(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        wait: Duration,
    ) -> Result<BackendStatus, StatusError> {
        let answer = self.rounds.call((group.clone(), database.clone()));
        within(wait, answer).await
    }
}

async fn within(
    wait: Duration,
    answer: impl Future<Output = Option<Result<BackendStatus, StatusError>>>,
) -> Result<BackendStatus, StatusError> {
    let answered = tokio::time::timeout(wait, answer).await;
    let answered = answered.map_err(|_| StatusError::Timeout)?;
    answered.unwrap_or(Err(StatusError::Refused(Refusal::Stopping)))
}

fn own_request(group: GroupName, database: DatabaseName, zone: ZoneName) -> AcquireRequest {
    AcquireRequest {
        group,
        database,
        session: OWN_SESSION,
        tenant: TenantName::new(OWN_TENANT),
        zone,
        wait: QUERY_TIMEOUT,
    }
}

#[async_trait]
impl StatusSource for LocalPools {
    async fn query_status(
        &self,
        _group: &GroupName,
        database: &DatabaseName,
        wait: Duration,
    ) -> Result<BackendStatus, StatusError> {
        let answer = self.statuses().call(database.clone());
        within(wait, answer).await
    }
}

/// Asks for the status on `lease` and gives the connection back. A lease dropped midway
/// closes its connection.
async fn ask(mut lease: BackendLease) -> Result<BackendStatus, StatusError> {
    let query = BackendCommand::Frames(vec![extended::query(STATUS_QUERY)]);
    let sent = lease.commands.send(query).await;
    sent.map_err(|_| StatusError::Lost)?;
    let mut collector = StatusCollector::new();
    loop {
        let Some(BackendReply::Frames(frames)) = lease.replies.recv().await else {
            return Err(StatusError::Lost);
        };
        for frame in &frames {
            if let Some(answer) = collector.push(frame) {
                let release = BackendCommand::Release {
                    reusable: true,
                    discard: false,
                };
                let _lost = lease.commands.send(release).await;
                return Ok(answer?);
            }
        }
    }
}
