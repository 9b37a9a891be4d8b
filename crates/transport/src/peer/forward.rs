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
use super::error::HomeUnreachable;
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
            if let Ok(lease) = self.acquire_from(node, &request).await {
                return Ok(lease);
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
    ) -> Result<BackendLease, HomeUnreachable> {
        let started = Instant::now();
        let limit = request.wait + ANSWER_GRACE;
        let link = tokio::time::timeout(limit, link::connect(&self.core, node))
            .await
            .map_err(|_| HomeUnreachable)?
            .map_err(|_| HomeUnreachable)?;
        let (sender, receiver) = link.open_stream().ok_or(HomeUnreachable)?;
        let wait = request.wait.saturating_sub(started.elapsed());
        sender
            .open(open_request(request, wait))
            .await
            .map_err(|_| HomeUnreachable)?;
        let (commands, command_queue) = mpsc::channel(LEASE_COMMAND_BUFFER);
        let (reply_queue, replies) = mpsc::channel(LEASE_REPLY_BUFFER);
        let answers = Answers {
            core: self.core.clone(),
            home: node,
            limit: wait + ANSWER_GRACE,
            replies: reply_queue,
        };
        tokio::spawn(relay(sender, receiver, command_queue, answers));
        Ok(BackendLease {
            database: request.database.clone(),
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
    answers: Answers,
) {
    tokio::select! {
        () = relay_commands(commands, sender) => {}
        () = answers.relay(receiver) => {}
    }
}

/// Sends commands until the session is done with the lease.
async fn relay_commands(mut commands: mpsc::Receiver<BackendCommand>, sender: StreamSender) {
    while let Some(command) = commands.recv().await {
        if sender.send_message(&command).await.is_err() {
            // The other half notices the loss and tells the session; here all that is
            // left is to wait for the session to be done.
            while commands.recv().await.is_some() {}
            return;
        }
    }
}

/// The way of a forwarded lease's answers to its session.
struct Answers {
    core: Arc<Core>,
    home: NodeId,
    /// Longest time until the home says whether the lease is granted.
    limit: Duration,
    replies: mpsc::Sender<BackendReply>,
}

impl Answers {
    /// Hands the home's answers to the session until the stream ends.
    async fn relay(self, mut receiver: StreamReceiver) {
        let first = tokio::time::timeout(self.limit, receiver.next()).await;
        let last = match first {
            Ok(Some(StreamEvent::Granted)) => {
                count(&self.core.counters.leases_forwarded, 1);
                self.relay_replies(receiver).await
            }
            Ok(Some(StreamEvent::Refused(refusal))) => Some(refused_by_home(refusal)),
            Ok(Some(StreamEvent::Data { .. } | StreamEvent::Closed) | None) | Err(_) => {
                self.core.tell(NodeEvent::PeerLost(self.home));
                Some(BackendReply::Lost)
            }
        };
        if let Some(last) = last {
            let _gone = self.replies.send(last).await;
        }
    }

    /// Hands on replies; returns what is left to say when the stream has ended.
    async fn relay_replies(&self, mut receiver: StreamReceiver) -> Option<BackendReply> {
        let mut assembler = Assembler::default();
        loop {
            let Some(StreamEvent::Data { last, bytes }) = receiver.next().await else {
                return Some(BackendReply::Lost);
            };
            let reply = match assembler.push::<BackendReply>(last, &bytes) {
                Ok(Some(reply)) => reply,
                Ok(None) => continue,
                Err(error) => {
                    log::warn!("fleet: a forwarded reply cannot be read: {error}.");
                    return Some(BackendReply::Lost);
                }
            };
            let lost = reply == BackendReply::Lost;
            if self.replies.send(reply).await.is_err() {
                // The session is done; what it said last may still be on its way out.
                std::future::pending::<()>().await;
            }
            if lost {
                return None;
            }
        }
    }
}

/// The home's refusal as the session is told. A home that is stopping is no reason to
/// refuse the caller: the request looks for the database again, at its next home.
fn refused_by_home(refusal: Refusal) -> BackendReply {
    BackendReply::Refused(match refusal {
        Refusal::Stopping => Refusal::NoDatabase,
        other => other,
    })
}
