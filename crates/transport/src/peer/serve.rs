//! The home's side of a forwarded lease.

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

/// Longest wait that a peer may request.
const LONGEST_WAIT: Duration = Duration::from_secs(600);
/// How long a connection may refuse a command before the lease is dropped.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// Commands that arrived before the lease was granted. Their number is bounded by the
/// credit, which is not returned before the lease is granted.
#[derive(Default)]
struct EarlyCommands {
    fragments: VecDeque<(bool, Bytes)>,
}

impl EarlyCommands {
    /// Collects commands until the stream ends.
    async fn collect(&mut self, receiver: &mut StreamReceiver) {
        while let Some(StreamEvent::Data { last, bytes }) = receiver.next_unacknowledged().await {
            self.fragments.push_back((last, bytes));
        }
    }

    /// Returns the next fragment, early ones first.
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
    let mut early = EarlyCommands::default();
    let acquired = tokio::select! {
        acquired = acquiring => acquired,
        // The peer has closed the stream, is lost, or has violated the protocol.
        () = early.collect(&mut receiver) => return,
    };
    let lease = match acquired {
        Ok(lease) => lease,
        Err(refusal) => {
            let _ = sender.refuse(refusal).await;
            return;
        }
    };
    count(&core.counters.leases_served, 1);
    relay(sender, receiver, early, lease).await;
}

async fn relay(
    sender: StreamSender,
    receiver: StreamReceiver,
    early: EarlyCommands,
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
            used = relay_commands(receiver, early, &commands) => used,
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

/// Relays commands until the stream ends. Returns whether there were any.
async fn relay_commands(
    mut receiver: StreamReceiver,
    mut early: EarlyCommands,
    commands: &mpsc::Sender<BackendCommand>,
) -> bool {
    let mut assembler = Assembler::default();
    let mut used = false;
    while let Some((last, bytes)) = early.next(&mut receiver).await {
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

/// Relays replies until the connection ends.
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
