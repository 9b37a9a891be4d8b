//! Serves one lease of a connection: commands in, replies out, with back-pressure in both
//! directions.

use std::time::Duration;

use futures::{FutureExt, StreamExt};
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::extended;
use hookpoint_protocol::frame::{Frame, FrameError};
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::connection::{Connection, ConnectionContext};
use super::ledger::MessageAction;
use super::message::{Grant, Order};
use super::outgoing;
use super::prepared::Preparation;
use super::run_settings;
use crate::lease::{BackendLease, LEASE_COMMAND_BUFFER, LEASE_REPLY_BUFFER};
use hookpoint_protocol::tags::backend;

/// Output bytes waiting to be written at which no more commands are accepted.
const OUTGOING_LIMIT: usize = 256 * 1024;
/// Bytes of a reply batch at which no more messages are read until the batch is
/// delivered.
const BATCH_LIMIT: usize = 64 * 1024;
/// How long a request may still run without any message from a database that is no longer
/// the primary.
const MAXIMUM_SILENCE: Duration = Duration::from_millis(500);
/// Command tags of statements that leave state on the connection.
const TAINTING_TAGS: [&[u8]; 7] = [
    b"SET\0",
    b"RESET\0",
    b"DISCARD",
    b"DEALLOCATE",
    b"PREPARE\0",
    b"LISTEN\0",
    b"DECLARE CURSOR\0",
];

/// How a lease ended.
#[derive(Debug)]
pub(super) enum ServeEnd {
    /// The session released the connection.
    Released { reusable: bool, discard: bool },
    /// The session dropped the lease without a release before it sent anything.
    Unused,
    /// The session dropped the lease without a release.
    Abandoned,
    /// The connection can no longer be used; the session is notified.
    Lost,
}

/// The event that completed first.
enum Step {
    Command(Option<BackendCommand>),
    Written(bool),
    Message(Option<Result<Frame, FrameError>>),
    Delivered,
    AbortIfSilent,
    AbortDue,
    SessionDropped,
}

struct Lease<'a> {
    connection: &'a mut Connection,
    context: &'a ConnectionContext,
    commands: mpsc::Receiver<BackendCommand>,
    replies: mpsc::Sender<BackendReply>,
    orders: &'a mut mpsc::Receiver<Order>,
    /// When the lease is broken unless the database sends a message before.
    abort_at: Option<Instant>,
    batch: Vec<Frame>,
    batch_bytes: usize,
    used: bool,
}

/// Hands the connection to the session of `grant` and serves it until the lease ends.
pub(super) async fn serve(
    connection: &mut Connection,
    context: &ConnectionContext,
    grant: Grant,
    orders: &mut mpsc::Receiver<Order>,
) -> ServeEnd {
    let (command_sender, commands) = mpsc::channel(LEASE_COMMAND_BUFFER);
    let (replies, reply_receiver) = mpsc::channel(LEASE_REPLY_BUFFER);
    let lease = BackendLease {
        database: context.database.clone(),
        commands: command_sender,
        replies: reply_receiver,
    };
    if grant.reply.send(Ok(lease)).is_err() {
        return ServeEnd::Unused;
    }
    let mut lease = Lease {
        connection,
        context,
        commands,
        replies,
        orders,
        abort_at: None,
        batch: Vec::new(),
        batch_bytes: 0,
        used: false,
    };
    let end = lease.run().await;
    if matches!(end, ServeEnd::Lost) {
        lease.send_lost();
    }
    end
}

impl Lease<'_> {
    async fn run(&mut self) -> ServeEnd {
        loop {
            let accepts_commands = self.connection.outgoing.len() < OUTGOING_LIMIT;
            let writes = !self.connection.outgoing.is_empty();
            let reads = self.batch_bytes < BATCH_LIMIT;
            let replies = !self.batch.is_empty();
            let Connection {
                reader,
                writer,
                outgoing,
                ..
            } = &mut *self.connection;
            let step = tokio::select! {
                command = self.commands.recv(), if accepts_commands => Step::Command(command),
                written = writer.write_buf(outgoing), if writes => Step::Written(written.is_ok()),
                message = reader.next(), if reads => Step::Message(message),
                permit = self.replies.reserve(), if replies => match permit {
                    Ok(permit) => {
                        permit.send(BackendReply::Frames(std::mem::take(&mut self.batch)));
                        Step::Delivered
                    }
                    Err(_) => Step::SessionDropped,
                },
                Some(_) = self.orders.recv() => Step::AbortIfSilent,
                () = sleep_until(self.abort_at) => Step::AbortDue,
                () = self.replies.closed() => Step::SessionDropped,
            };
            if let Some(end) = self.on_step(step) {
                return end;
            }
        }
    }

    fn on_step(&mut self, step: Step) -> Option<ServeEnd> {
        match step {
            Step::Command(command) => return self.run_commands(command),
            Step::Written(true) => self.connection.mark_used(),
            Step::Written(false) => return Some(ServeEnd::Lost),
            Step::Message(message) => {
                if !self.receive_messages(message) {
                    return Some(ServeEnd::Lost);
                }
            }
            Step::Delivered => self.batch_bytes = 0,
            Step::AbortIfSilent => {
                let waits = !self.connection.outstanding.is_complete();
                self.abort_at = waits.then(|| Instant::now() + MAXIMUM_SILENCE);
            }
            Step::AbortDue => {
                log::info!(
                    "pool: a connection to {} is closed while it runs a request.",
                    self.context.database
                );
                return Some(ServeEnd::Lost);
            }
            Step::SessionDropped => return Some(self.on_session_dropped()),
        }
        None
    }

    /// Handles the session dropping its end; it may have released the connection before.
    fn on_session_dropped(&mut self) -> ServeEnd {
        while let Ok(command) = self.commands.try_recv() {
            if let Some(end) = self.run_command(command) {
                return end;
            }
        }
        self.end_without_release()
    }

    fn end_without_release(&self) -> ServeEnd {
        if self.used {
            ServeEnd::Abandoned
        } else {
            ServeEnd::Unused
        }
    }

    fn run_commands(&mut self, first: Option<BackendCommand>) -> Option<ServeEnd> {
        let Some(first) = first else {
            return Some(self.end_without_release());
        };
        let mut next = Some(first);
        while let Some(command) = next {
            if let Some(end) = self.run_command(command) {
                return Some(end);
            }
            if self.connection.outgoing.len() >= OUTGOING_LIMIT {
                break;
            }
            next = self.commands.try_recv().ok();
        }
        None
    }

    fn run_command(&mut self, command: BackendCommand) -> Option<ServeEnd> {
        if let BackendCommand::Release { reusable, discard } = command {
            return Some(ServeEnd::Released { reusable, discard });
        }
        self.used = true;
        match command {
            BackendCommand::Frames(frames) => {
                for frame in frames {
                    self.connection.outstanding.sent(&frame);
                    frame.write_to(&mut self.connection.outgoing);
                }
            }
            BackendCommand::EnsurePrepared {
                name,
                query,
                parameter_types,
            } => self.ensure_prepared(&name, &query, &parameter_types),
            BackendCommand::EnsureSettings(wanted) => {
                let changes = run_settings::changes(&self.connection.parameters, &wanted);
                match changes {
                    Ok(None) => {}
                    Ok(Some(statements)) => {
                        self.own_query(&statements);
                        self.connection.parameters = wanted;
                    }
                    Err(error) => {
                        log::warn!("pool: the parameters of a session cannot be set: {error}.");
                        return Some(ServeEnd::Lost);
                    }
                }
            }
            BackendCommand::Cancel => {
                self.connection.cancel(self.context.settings.answer_timeout);
            }
            BackendCommand::Release { .. } => {}
        }
        None
    }

    fn own_query(&mut self, text: &str) {
        extended::query(text).write_to(&mut self.connection.outgoing);
        self.connection.outstanding.own_query();
    }

    fn ensure_prepared(&mut self, name: &str, query: &str, types: &[u32]) {
        let connection = &mut *self.connection;
        let section = connection.outstanding.sections();
        let preparation = connection.prepared.ensure(name, section);
        if preparation == Preparation::None {
            return;
        }
        if preparation == Preparation::CloseAndParse {
            close_statement(name, connection);
        }
        while let Some(evicted) = connection.prepared.evict() {
            close_statement(&evicted, connection);
        }
        outgoing::parse(name, query, types).write_to(&mut connection.outgoing);
        connection.outstanding.own_parse(name.to_owned());
    }

    /// Processes a message and all further messages that have already arrived. Returns
    /// whether the connection remains usable.
    fn receive_messages(&mut self, first: Option<Result<Frame, FrameError>>) -> bool {
        self.abort_at = None;
        let mut next = first;
        loop {
            let Some(Ok(frame)) = next else {
                return false;
            };
            if !self.on_message(frame) {
                return false;
            }
            if self.batch_bytes >= BATCH_LIMIT {
                break;
            }
            match self.connection.reader.next().now_or_never() {
                Some(message) => next = message,
                None => break,
            }
        }
        self.send_batch();
        true
    }

    /// Delivers the batch if the reply channel has capacity.
    fn send_batch(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        if let Ok(permit) = self.replies.try_reserve() {
            permit.send(BackendReply::Frames(std::mem::take(&mut self.batch)));
            self.batch_bytes = 0;
        }
    }

    fn on_message(&mut self, frame: Frame) -> bool {
        match self.connection.receive(&frame) {
            MessageAction::Discard => true,
            MessageAction::OwnQueryEnded { succeeded } => {
                if !succeeded {
                    log::warn!(
                        "pool: database {} rejected the parameters of a session.",
                        self.context.database
                    );
                }
                succeeded
            }
            MessageAction::Relay => {
                let leaves_state = frame.tag == backend::COMMAND_COMPLETE
                    && TAINTING_TAGS.iter().any(|tag| frame.body.starts_with(tag));
                self.connection.tainted |= leaves_state;
                self.batch_bytes += frame.wire_length();
                self.batch.push(frame);
                true
            }
        }
    }

    /// Reports to the session that the connection broke, after the messages that it may
    /// still read.
    fn send_lost(&mut self) {
        let replies = self.replies.clone();
        let batch = std::mem::take(&mut self.batch);
        actix_rt::spawn(async move {
            if !batch.is_empty() {
                let _gone = replies.send(BackendReply::Frames(batch)).await;
            }
            let _gone = replies.send(BackendReply::Lost).await;
        });
    }
}

fn close_statement(name: &str, connection: &mut Connection) {
    outgoing::close_statement(name).write_to(&mut connection.outgoing);
    connection.outstanding.own_close(name.to_owned());
}

/// Sleeps until `time`; never resolves without one.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}
