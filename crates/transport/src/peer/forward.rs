//! Leases of connections on any node. The home of a database is the node that holds the
//! fleet's connections to it. A lease is granted locally if this node is the home, and is
//! requested from the home otherwise.

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

/// Maximum number of other nodes tried for one request.
const MAXIMUM_PEERS: usize = 2;
/// How long this node waits for a link to the home, or for the home's answer, beyond the
/// time for which the request may wait for a connection, so that a refusal sent at the
/// end of that time still arrives.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// Grants leases of connections held by any node of the fleet.
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
            // Nothing was sent to the database, so another node may run the request.
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
        let reply_relay = ReplyRelay {
            core: self.core.clone(),
            home: node,
            limit: wait + ANSWER_GRACE,
            replies: reply_queue,
        };
        tokio::spawn(relay(sender, receiver, command_queue, reply_relay));
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

/// Relays the commands and replies of one lease until the session or the home ends it.
async fn relay(
    sender: StreamSender,
    receiver: StreamReceiver,
    commands: mpsc::Receiver<BackendCommand>,
    reply_relay: ReplyRelay,
) {
    tokio::select! {
        () = relay_commands(commands, sender) => {}
        () = reply_relay.relay(receiver) => {}
    }
}

/// Relays commands until the session ends the lease.
async fn relay_commands(mut commands: mpsc::Receiver<BackendCommand>, sender: StreamSender) {
    while let Some(command) = commands.recv().await {
        if sender.send_message(&command).await.is_err() {
            // The reply relay detects the loss and reports it to the session; only wait
            // here until the session ends the lease.
            while commands.recv().await.is_some() {}
            return;
        }
    }
}

/// Relays the replies of a forwarded lease to its session.
struct ReplyRelay {
    core: Arc<Core>,
    home: NodeId,
    /// Longest wait for the home's decision whether the lease is granted.
    limit: Duration,
    replies: mpsc::Sender<BackendReply>,
}

impl ReplyRelay {
    /// Relays the home's replies to the session until the stream ends.
    async fn relay(self, mut receiver: StreamReceiver) {
        let first = tokio::time::timeout(self.limit, receiver.next()).await;
        let last = match first {
            Ok(Some(StreamEvent::Granted)) => {
                count(&self.core.counters.leases_forwarded, 1);
                self.relay_replies(receiver).await
            }
            Ok(Some(StreamEvent::Refused(refusal))) => Some(reply_of_refusal(refusal)),
            Ok(Some(StreamEvent::Data { .. } | StreamEvent::Closed) | None) | Err(_) => {
                self.core.handle_event(NodeEvent::PeerLost(self.home));
                Some(BackendReply::Lost)
            }
        };
        if let Some(last) = last {
            let _gone = self.replies.send(last).await;
        }
    }

    /// Relays replies; returns the last reply still to be sent when the stream has ended.
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
                    log::warn!("fleet: a forwarded reply cannot be decoded: {error}.");
                    return Some(BackendReply::Lost);
                }
            };
            let lost = reply == BackendReply::Lost;
            if self.replies.send(reply).await.is_err() {
                // The session has ended the lease; its last commands may still be in
                // transit.
                std::future::pending::<()>().await;
            }
            if lost {
                return None;
            }
        }
    }
}

/// Returns the reply for a lease that the home refused. A stopping home is no reason to
/// refuse the caller: the request is routed again, to the database's next home.
fn reply_of_refusal(refusal: Refusal) -> BackendReply {
    BackendReply::Refused(match refusal {
        Refusal::Stopping => Refusal::NoDatabase,
        other => other,
    })
}
