//! Serves leases that other nodes request from this node as the home of a database, which is
//! the node that holds the fleet's connections to the database. Each lease uses one stream of
//! the link to the peer: commands arrive on it, and replies are sent back.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hookpoint_protocol::backend_command::BackendCommand;
use hookpoint_protocol::peer::{Assembler, OpenRequest};
use hookpoint_state::Refusal;
use tokio::sync::mpsc;

use super::core::Core;
use super::link::{Link, StreamEvent, StreamReceiver, StreamSender};
use super::status::count;
use crate::lease::{AcquireRequest, BackendLease};

/// Maximum time for which a peer's request may wait for a connection.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// How long the command channel of a connection may stay full before the lease is dropped.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// Command fragments that the peer sent before the lease was granted. Their size is bounded by
/// the stream's flow-control credit, which the peer gets back only after the lease is granted.
#[derive(Default)]
struct EarlyCommands {
    fragments: VecDeque<(bool, Bytes)>,
}

impl EarlyCommands {
    /// Buffers command fragments until the stream ends.
    async fn collect(&mut self, receiver: &mut StreamReceiver) {
        while let Some(StreamEvent::Data { last, bytes }) = receiver.next_unacknowledged().await {
            self.fragments.push_back((last, bytes));
        }
    }

    /// Returns the next fragment: first the buffered ones, then those that arrive on the
    /// stream. `None` when the stream has ended.
    async fn next(&mut self, receiver: &mut StreamReceiver) -> Option<(bool, Bytes)> {
        if let Some((last, bytes)) = self.fragments.pop_front() {
            receiver.acknowledge(&bytes).await;
            return Some((last, bytes));
        }
        match receiver.next().await {
            Some(StreamEvent::Data { last, bytes }) => Some((last, bytes)),
            _ => None,
        }
    }
}

/// Serves a stream that a peer has opened.
pub(super) fn open(core: &Arc<Core>, link: &Arc<Link>, stream: u32, request: OpenRequest) {
    let Some((sender, receiver)) = link.accept_stream(stream) else {
        link.refuse_stream(stream, Refusal::QueueFull);
        return;
    };
    let core = core.clone();
    tokio::spawn(async move { serve(&core, sender, receiver, request).await });
}

fn acquire_request(request: OpenRequest) -> AcquireRequest {
    AcquireRequest {
        group: request.group,
        database: request.database,
        session: request.session,
        tenant: request.tenant,
        zone: request.zone,
        wait: Duration::from_micros(request.wait_micros).min(LONGEST_WAIT),
    }
}

async fn serve(
    core: &Core,
    sender: StreamSender,
    mut receiver: StreamReceiver,
    request: OpenRequest,
) {
    if core.is_stopping() {
        let _ = sender.refuse(Refusal::Stopping).await;
        return;
    }
    let acquiring = core.local.acquire(acquire_request(request));
    let mut early_commands = EarlyCommands::default();
    let acquired = tokio::select! {
        acquired = acquiring => acquired,
        // Buffers the commands that arrive before the lease is granted. This future completes
        // only when the stream ends: the peer has closed it or violated the protocol, or the
        // link to the peer is lost.
        () = early_commands.collect(&mut receiver) => return,
    };
    let lease = match acquired {
        Ok(lease) => lease,
        Err(refusal) => {
            let _ = sender.refuse(refusal).await;
            return;
        }
    };
    count(&core.counters.leases_served, 1);
    relay(sender, receiver, early_commands, lease).await;
}

async fn relay(
    sender: StreamSender,
    receiver: StreamReceiver,
    early_commands: EarlyCommands,
    lease: BackendLease,
) {
    let BackendLease {
        commands,
        mut replies,
        ..
    } = lease;
    let granted = sender.grant().await.is_ok();
    let used = if granted {
        tokio::select! {
            used = relay_commands(receiver, early_commands, &commands) => used,
            () = relay_replies(&mut replies, sender) => true,
        }
    } else {
        false
    };
    if !used {
        // Nothing was sent on the connection, so it may serve another session.
        let release = BackendCommand::Release {
            reusable: true,
            discard: false,
        };
        let _ = commands.try_send(release);
    }
}

/// Relays the peer's commands to the connection until the stream ends, a command cannot be
/// decoded or the connection accepts no command. Returns whether the peer sent any.
async fn relay_commands(
    mut receiver: StreamReceiver,
    mut early_commands: EarlyCommands,
    commands: &mpsc::Sender<BackendCommand>,
) -> bool {
    let mut assembler = Assembler::default();
    let mut used = false;
    while let Some((last, bytes)) = early_commands.next(&mut receiver).await {
        used = true;
        let command = match assembler.push::<BackendCommand>(last, &bytes) {
            Ok(Some(command)) => command,
            Ok(None) => continue,
            Err(error) => {
                log::warn!("fleet: a forwarded command cannot be decoded: {error}.");
                break;
            }
        };
        let sent = commands.send_timeout(command, COMMAND_TIMEOUT).await;
        if sent.is_err() {
            break;
        }
    }
    used
}

/// Relays replies to the peer until the lease or the stream ends.
async fn relay_replies(
    replies: &mut mpsc::Receiver<hookpoint_protocol::backend_command::BackendReply>,
    sender: StreamSender,
) {
    while let Some(reply) = replies.recv().await {
        if sender.send_message(&reply).await.is_err() {
            return;
        }
    }
}
