//! Leases of connections wherever they are: local when this node is the database's
//! home, forwarded to the home otherwise.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hookpoint_coordination::node::{NodeEvent, Route};
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::peer::{Assembler, OpenRequest};
use hookpoint_state::{NodeId, Refusal};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::core::Core;
use super::error::OpenError;
use super::link::{self, StreamEvent, StreamReceiver, StreamSender};
use super::status::count;
use crate::lease::{
    AcquireRequest, BackendLease, LEASE_COMMAND_BUFFER, LEASE_REPLY_BUFFER, LeaseSource,
};

/// Other nodes tried for one request.
const MAXIMUM_PEERS: usize = 2;
/// How much longer than the request's own wait the home's refusal may take.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// Grants leases of connections that any node of the fleet holds.
pub struct FleetLeases {
    core: Arc<Core>,
}

impl FleetLeases {
    pub(super) fn new(core: Arc<Core>) -> Self {
        Self { core }
    }
}

#[async_trait]
impl LeaseSource for FleetLeases {
    async fn acquire(&self, mut request: AcquireRequest) -> Result<BackendLease, Refusal> {
        let deadline = Instant::now() + request.wait;
        let mut failed = Vec::new();
        let mut route = self.core.route(&request.group, &request.database);
        loop {
            request.wait = deadline.saturating_duration_since(Instant::now());
            let Some(Route::Peer { node, .. }) = route else {
                return self.core.local.acquire(request).await;
            };
            match self.acquire_from(node, &request).await {
                Ok(lease) => return Ok(lease),
                Err(OpenError::Refused(Refusal::Stopping) | OpenError::Unreachable) => {}
                Err(OpenError::Refused(refusal)) => return Err(refusal),
            }
            // Nothing was sent to the database, so another node may take the request.
            failed.push(node);
            if Instant::now() >= deadline {
                return Err(Refusal::WaitDeadline);
            }
            route = self.next_route(&request, &failed);
        }
    }
}

impl FleetLeases {
    fn next_route(&self, request: &AcquireRequest, failed: &[NodeId]) -> Option<Route> {
        if failed.len() >= MAXIMUM_PEERS {
            return Some(Route::Here);
        }
        self.core
            .with_machine(|machine| machine.route_after(&request.database, failed))
    }

    async fn acquire_from(
        &self,
        node: NodeId,
        request: &AcquireRequest,
    ) -> Result<BackendLease, OpenError> {
        let started = Instant::now();
        let limit = request.wait + ANSWER_GRACE;
        let link = tokio::time::timeout(limit, link::connect(&self.core, node))
            .await
            .map_err(|_| OpenError::Unreachable)?
            .map_err(|_| OpenError::Unreachable)?;
        let (sender, mut receiver) = link.open_stream().ok_or(OpenError::Unreachable)?;
        let wait = request.wait.saturating_sub(started.elapsed());
        sender
            .open(open_request(request, wait))
            .await
            .map_err(|_| OpenError::Unreachable)?;
        let answer = tokio::time::timeout(wait + ANSWER_GRACE, receiver.next()).await;
        let database = match answer {
            Ok(Some(StreamEvent::Granted(database))) => database,
            Ok(Some(StreamEvent::Refused(refusal))) => return Err(OpenError::Refused(refusal)),
            Ok(Some(StreamEvent::Data { .. } | StreamEvent::Closed) | None) => {
                self.core.tell(NodeEvent::PeerLost(node));
                return Err(OpenError::Unreachable);
            }
            Err(_) => return Err(OpenError::Refused(Refusal::WaitDeadline)),
        };
        count(&self.core.counters.leases_forwarded, 1);
        let (commands, command_queue) = mpsc::channel(LEASE_COMMAND_BUFFER);
        let (reply_queue, replies) = mpsc::channel(LEASE_REPLY_BUFFER);
        tokio::spawn(relay(sender, receiver, command_queue, reply_queue));
        Ok(BackendLease {
            database,
            commands,
            replies,
        })
    }
}

fn open_request(request: &AcquireRequest, wait: Duration) -> OpenRequest {
    OpenRequest {
        group: request.group.clone(),
        database: request.database.clone(),
        session: request.session,
        tenant: request.tenant.clone(),
        zone: request.zone.clone(),
        wait_micros: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
    }
}

/// Carries one lease until either end is done.
async fn relay(
    sender: StreamSender,
    receiver: StreamReceiver,
    commands: mpsc::Receiver<BackendCommand>,
    replies: mpsc::Sender<BackendReply>,
) {
    tokio::select! {
        () = relay_commands(commands, sender) => {}
        () = relay_replies(receiver, replies) => {}
    }
}

/// Sends commands until the session is done with the lease.
async fn relay_commands(mut commands: mpsc::Receiver<BackendCommand>, sender: StreamSender) {
    while let Some(command) = commands.recv().await {
        if sender.send_message(&command).await.is_err() {
            // The other half notices the loss and tells the session.
            std::future::pending::<()>().await;
        }
    }
}

/// Hands replies to the session until the stream ends.
async fn relay_replies(mut receiver: StreamReceiver, replies: mpsc::Sender<BackendReply>) {
    let mut assembler = Assembler::default();
    loop {
        let Some(StreamEvent::Data { last, bytes }) = receiver.next().await else {
            let _ = replies.send(BackendReply::Lost).await;
            return;
        };
        let reply = match assembler.push::<BackendReply>(last, &bytes) {
            Ok(Some(reply)) => reply,
            Ok(None) => continue,
            Err(error) => {
                log::warn!("fleet: a forwarded reply cannot be read: {error}.");
                let _ = replies.send(BackendReply::Lost).await;
                return;
            }
        };
        let lost = reply == BackendReply::Lost;
        if replies.send(reply).await.is_err() || lost {
            return;
        }
    }
}
