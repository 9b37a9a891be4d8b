//! Status queries to a single database.

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

use super::shared_rounds::SharedRounds;
use crate::backend::LocalPools;
use crate::lease::{AcquireRequest, BackendLease, LeaseSource};
use crate::shared::Shared;

/// Session number of the proxy's own status queries; caller sessions count from 1.
/// Requests of this session take precedence over caller requests.
pub(crate) const OWN_SESSION: SessionId = SessionId(0);
/// Tenant of the proxy's own status queries.
const OWN_TENANT: &str = "hookpoint";

/// Why the status of a database could not be determined.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StatusError {
    /// No connection was granted.
    #[error("no connection: {0}")]
    Refused(#[from] Refusal),
    /// The connection broke before the answer was complete.
    #[error("the connection broke")]
    Lost,
    /// The answer did not arrive in time.
    #[error("the answer did not come in time")]
    Timeout,
    /// The answer could not be decoded.
    #[error(transparent)]
    Unreadable(#[from] StatusQueryError),
}

/// Queries databases for their status, from this node or through another node.
#[async_trait]
pub trait StatusSource: Send + Sync {
    /// Returns the status of `database`, which the database evaluates after the call.
    /// Waits for at most `wait`.
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

/// Status queries to local databases: at most one per database at a time, shared by
/// concurrent callers.
pub(crate) type SharedStatuses = SharedRounds<DatabaseName, Result<BackendStatus, StatusError>>;

/// Longest wait for a connection, and again for the answer on it.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);
/// A status query waits for the running one to end.
const QUERY_POLICY: RoundPolicy = RoundPolicy {
    overlap_delay: Duration::MAX,
    maximum: 1,
};

/// Creates the shared status queries of `pools`.
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

/// Queries the status on a connection acquired from `leases`.
async fn query_within(
    leases: &dyn LeaseSource,
    request: AcquireRequest,
) -> Result<BackendStatus, StatusError> {
    let lease = leases.acquire(request).await?;
    let answer = tokio::time::timeout(QUERY_TIMEOUT, query_on(lease)).await;
    answer.map_err(|_| StatusError::Timeout)?
}

/// Status queries to any database of the fleet, on connections that its home node holds.
pub struct FleetStatuses {
    rounds: Arc<SharedRounds<(GroupName, DatabaseName), Result<BackendStatus, StatusError>>>,
}

impl FleetStatuses {
    /// Creates status queries on connections of `leases`, run on `arbiter`.
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
        with_timeout(wait, answer).await
    }
}

async fn with_timeout(
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
        with_timeout(wait, answer).await
    }
}

/// Queries the status on `lease` and releases the connection. A lease that is dropped
/// before closes its connection.
async fn query_on(mut lease: BackendLease) -> Result<BackendStatus, StatusError> {
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
