//! One connection to a database and its state.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use futures::{FutureExt, StreamExt};
use hookpoint_protocol::extended;
use hookpoint_protocol::frame::{Frame, FrameCodec, FrameError};
use hookpoint_protocol::status_query::STATUS_QUERY;
use hookpoint_state::{DatabaseName, GroupName};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use super::cancel::{self, CancelKey};
use super::error::ConnectError;
use super::ledger::{MessageAction, OutstandingAnswers};
use super::message::Target;
use super::outgoing;
use super::prepared::PreparedStatements;
use super::settings::BackendSettings;
use crate::shared::Shared;
use hookpoint_protocol::tags::backend;

/// Transaction status of a connection outside a transaction block.
const STATUS_IDLE: u8 = b'I';
/// Statement that removes all session state.
const DISCARD_ALL: &str = "DISCARD ALL";

/// Data shared by all connections of one pool.
pub(super) struct ConnectionContext {
    pub shared: Arc<Shared>,
    pub settings: Arc<BackendSettings>,
    pub group: GroupName,
    pub database: DatabaseName,
    pub target: Arc<Target>,
}

impl ConnectionContext {
    /// Returns the address of the database as this node reaches it.
    pub fn address(&self) -> Result<SocketAddr, ConnectError> {
        match &self.target.address {
            Ok(address) => Ok(self.shared.addresses.resolve(*address)),
            Err(text) => Err(ConnectError::BadAddress {
                address: text.clone(),
            }),
        }
    }
}

/// An open connection and its tracked state.
pub(super) struct Connection {
    pub reader: FramedRead<OwnedReadHalf, FrameCodec>,
    pub writer: OwnedWriteHalf,
    /// Bytes not yet written.
    pub outgoing: BytesMut,
    pub outstanding: OutstandingAnswers,
    pub prepared: PreparedStatements,
    /// Run-time parameters set by the proxy.
    pub parameters: BTreeMap<String, String>,
    /// Transaction status of the last `ReadyForQuery`.
    pub status: u8,
    /// Whether a session may have left state that only `DISCARD ALL` clears.
    pub tainted: bool,
    pub cancels: Vec<JoinHandle<bool>>,
    key: Option<CancelKey>,
    last_used: Instant,
}

impl Connection {
    /// Creates a connection that has just become ready.
    pub fn new(
        reader: FramedRead<OwnedReadHalf, FrameCodec>,
        writer: OwnedWriteHalf,
        key: Option<CancelKey>,
        prepared_statements: usize,
    ) -> Self {
        Self {
            reader,
            writer,
            outgoing: BytesMut::new(),
            outstanding: OutstandingAnswers::default(),
            prepared: PreparedStatements::new(prepared_statements),
            parameters: BTreeMap::new(),
            status: STATUS_IDLE,
            tainted: false,
            cancels: Vec::new(),
            key,
            last_used: Instant::now(),
        }
    }

    /// Records that the proxy has just used the connection, which restarts the database's
    /// idle timer.
    pub fn mark_used(&mut self) {
        self.last_used = Instant::now();
    }

    /// Returns when the connection has to be used next if it may stay unused for
    /// `interval`.
    pub fn next_use_due(&self, interval: Duration) -> Instant {
        self.last_used + interval
    }

    /// Returns whether another session may use the connection as it is.
    pub fn is_clean(&self) -> bool {
        self.outstanding.is_complete()
            && !self.outstanding.is_out_of_sync()
            && self.outgoing.is_empty()
            && self.status == STATUS_IDLE
    }

    /// Sends a cancel request for the running query, if there is one.
    pub fn cancel(&mut self, limit: Duration) {
        if self.outstanding.is_complete() {
            return;
        }
        if let Some(key) = self.key {
            let task = actix_rt::spawn(cancel::cancel(key, limit));
            self.cancels.push(task);
        }
    }

    /// Matches a message with the messages sent and updates the connection state from it.
    pub fn receive(&mut self, frame: &Frame) -> MessageAction {
        let action = self.outstanding.received(frame.tag);
        for outcome in self.outstanding.take_outcomes() {
            self.prepared.apply_outcome(outcome);
        }
        if frame.tag == backend::READY_FOR_QUERY {
            self.status = frame.body.first().copied().unwrap_or_default();
            self.mark_used();
        }
        action
    }

    /// Runs a query of the proxy itself on an idle connection and passes each message of
    /// the answer to `on_frame`. Returns whether the query succeeded.
    pub async fn query(
        &mut self,
        text: &str,
        limit: Duration,
        on_frame: impl FnMut(&Frame),
    ) -> Result<bool, ConnectError> {
        extended::query(text).write_to(&mut self.outgoing);
        self.outstanding.own_query();
        self.mark_used();
        tokio::time::timeout(limit, self.run_query(on_frame))
            .await
            .map_err(|_| ConnectError::Timeout)?
    }

    async fn run_query(&mut self, mut on_frame: impl FnMut(&Frame)) -> Result<bool, ConnectError> {
        self.writer.write_all_buf(&mut self.outgoing).await?;
        loop {
            let frame = self.reader.next().await.ok_or(ConnectError::Closed)??;
            let action = self.receive(&frame);
            on_frame(&frame);
            if let MessageAction::OwnQueryEnded { succeeded } = action {
                return Ok(succeeded);
            }
        }
    }

    /// Writes the remaining output and discards messages until no answer is outstanding.
    async fn drain(&mut self) -> Result<(), ConnectError> {
        self.writer.write_all_buf(&mut self.outgoing).await?;
        while !self.outstanding.is_complete() {
            let frame = self.reader.next().await.ok_or(ConnectError::Closed)??;
            self.receive(&frame);
        }
        Ok(())
    }

    /// Resets the connection for use by another session. Returns whether that succeeded.
    pub async fn reset(&mut self, discard: bool, limit: Duration) -> Result<bool, ConnectError> {
        tokio::time::timeout(limit, self.drain())
            .await
            .map_err(|_| ConnectError::Timeout)??;
        if !self.is_clean() || !self.await_cancels(limit).await? {
            return Ok(false);
        }
        if discard || std::mem::take(&mut self.tainted) {
            let succeeded = self.query(DISCARD_ALL, limit, |_| {}).await?;
            self.prepared.clear();
            self.parameters.clear();
            return Ok(succeeded && self.is_clean());
        }
        Ok(true)
    }

    /// Waits until no earlier cancel request can hit a later query: the database has
    /// closed the connection of each request, and has answered another query since.
    async fn await_cancels(&mut self, limit: Duration) -> Result<bool, ConnectError> {
        if self.cancels.is_empty() {
            return Ok(true);
        }
        for task in std::mem::take(&mut self.cancels) {
            if !task.await.unwrap_or(false) {
                return Ok(false);
            }
        }
        // The answer may be the error that the cancel request caused.
        self.query(STATUS_QUERY, limit, |_| {}).await?;
        Ok(self.is_clean())
    }

    /// Returns whether the database has closed the connection, or will have done so by
    /// its idle timeout.
    pub fn is_expired(&mut self, limit: Duration) -> bool {
        if self.last_used.elapsed() >= limit {
            return true;
        }
        while let Some(message) = self.reader.next().now_or_never() {
            if !self.accept_idle_message(message) {
                return true;
            }
        }
        false
    }

    /// Processes a message received while idle. Returns whether the connection remains
    /// usable.
    pub fn accept_idle_message(&mut self, message: Option<Result<Frame, FrameError>>) -> bool {
        let Some(Ok(frame)) = message else {
            return false;
        };
        self.receive(&frame);
        frame.tag != backend::ERROR && !self.outstanding.is_out_of_sync()
    }

    /// Closes the connection and waits until the database has closed it too, so that its
    /// slot is free afterwards.
    pub async fn close(mut self, limit: Duration) {
        self.cancel(limit);
        self.outgoing.clear();
        outgoing::terminate().write_to(&mut self.outgoing);
        let closing = async {
            self.writer.write_all_buf(&mut self.outgoing).await?;
            self.writer.shutdown().await?;
            while let Some(Ok(_)) = self.reader.next().await {}
            Ok::<(), std::io::Error>(())
        };
        let _ended = tokio::time::timeout(limit, closing).await;
    }
}
