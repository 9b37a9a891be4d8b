//! One connection and its state.

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
use super::ledger::{Ledger, Verdict};
use super::message::Target;
use super::outgoing;
use super::prepared::PreparedStatements;
use super::settings::BackendSettings;
use crate::shared::Shared;
use hookpoint_protocol::tags::backend;

/// Status of a connection outside a transaction block.
const STATUS_IDLE: u8 = b'I';
/// Statement that removes all session state.
const DISCARD_ALL: &str = "DISCARD ALL";

/// What all connections of one pool know.
pub(super) struct ConnectionContext {
    pub shared: Arc<Shared>,
    pub settings: Arc<BackendSettings>,
    pub group: GroupName,
    pub database: DatabaseName,
    pub target: Arc<Target>,
}

impl ConnectionContext {
    /// The address as this node reaches it.
    pub fn address(&self) -> Result<SocketAddr, ConnectError> {
        match &self.target.address {
            Ok(address) => Ok(self.shared.addresses.resolve(*address)),
            Err(text) => Err(ConnectError::BadAddress {
                address: text.clone(),
            }),
        }
    }
}

/// An open connection and what is known of its state.
pub(super) struct Connection {
    pub reader: FramedRead<OwnedReadHalf, FrameCodec>,
    pub writer: OwnedWriteHalf,
    /// Bytes not yet written.
    pub outgoing: BytesMut,
    pub ledger: Ledger,
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
    /// A connection that has just become ready.
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
            ledger: Ledger::default(),
            prepared: PreparedStatements::new(prepared_statements),
            parameters: BTreeMap::new(),
            status: STATUS_IDLE,
            tainted: false,
            cancels: Vec::new(),
            key,
            last_used: Instant::now(),
        }
    }

    /// Notes that the database has just heard from the proxy.
    pub fn used(&mut self) {
        self.last_used = Instant::now();
    }

    /// When it has to be used again to be kept, if it is not used for `interval`.
    pub fn due(&self, interval: Duration) -> Instant {
        self.last_used + interval
    }

    /// Whether another session may have it as it is.
    pub fn is_clean(&self) -> bool {
        self.ledger.is_settled()
            && !self.ledger.is_out_of_step()
            && self.outgoing.is_empty()
            && self.status == STATUS_IDLE
    }

    /// Sends a cancel request for what runs now, if anything does.
    pub fn cancel(&mut self, limit: Duration) {
        if self.ledger.is_settled() {
            return;
        }
        if let Some(key) = self.key {
            let task = actix_rt::spawn(cancel::cancel(key, limit));
            self.cancels.push(task);
        }
    }

    /// Matches a message with what was sent and takes in what it says of the connection.
    pub fn receive(&mut self, frame: &Frame) -> Verdict {
        let verdict = self.ledger.received(frame.tag);
        for fate in self.ledger.take_fates() {
            self.prepared.settle(fate);
        }
        if frame.tag == backend::READY_FOR_QUERY {
            self.status = frame.body.first().copied().unwrap_or_default();
            self.used();
        }
        verdict
    }

    /// Runs a query of the proxy's own on an idle connection and shows each message of
    /// the answer to `look`. Returns whether it succeeded.
    pub async fn ask(
        &mut self,
        text: &str,
        limit: Duration,
        look: impl FnMut(&Frame),
    ) -> Result<bool, ConnectError> {
        extended::query(text).write_to(&mut self.outgoing);
        self.ledger.own_query();
        self.used();
        tokio::time::timeout(limit, self.answer(look))
            .await
            .map_err(|_| ConnectError::Timeout)?
    }

    async fn answer(&mut self, mut look: impl FnMut(&Frame)) -> Result<bool, ConnectError> {
        self.writer.write_all_buf(&mut self.outgoing).await?;
        loop {
            let frame = self.reader.next().await.ok_or(ConnectError::Closed)??;
            let verdict = self.receive(&frame);
            look(&frame);
            if let Verdict::OwnEnded { succeeded } = verdict {
                return Ok(succeeded);
            }
        }
    }

    /// Writes what is left and drops messages until nothing is outstanding.
    async fn settle(&mut self) -> Result<(), ConnectError> {
        self.writer.write_all_buf(&mut self.outgoing).await?;
        while !self.ledger.is_settled() {
            let frame = self.reader.next().await.ok_or(ConnectError::Closed)??;
            self.receive(&frame);
        }
        Ok(())
    }

    /// Makes the connection ready for another session, if that can be done.
    pub async fn restore(&mut self, discard: bool, limit: Duration) -> Result<bool, ConnectError> {
        tokio::time::timeout(limit, self.settle())
            .await
            .map_err(|_| ConnectError::Timeout)??;
        if !self.is_clean() || !self.outlive_cancels(limit).await? {
            return Ok(false);
        }
        if discard || std::mem::take(&mut self.tainted) {
            let succeeded = self.ask(DISCARD_ALL, limit, |_| {}).await?;
            self.prepared.clear();
            self.parameters.clear();
            return Ok(succeeded && self.is_clean());
        }
        Ok(true)
    }

    /// Waits until no cancel request of the past can hit a later query: the database has
    /// closed the connection each came on, and has answered another query since.
    async fn outlive_cancels(&mut self, limit: Duration) -> Result<bool, ConnectError> {
        if self.cancels.is_empty() {
            return Ok(true);
        }
        for task in std::mem::take(&mut self.cancels) {
            if !task.await.unwrap_or(false) {
                return Ok(false);
            }
        }
        // Its answer may be the error that the cancel request has caused.
        self.ask(STATUS_QUERY, limit, |_| {}).await?;
        Ok(self.is_clean())
    }

    /// Whether the database has closed it, or will have by its idle timeout.
    pub fn is_gone(&mut self, lapse: Duration) -> bool {
        if self.last_used.elapsed() >= lapse {
            return true;
        }
        while let Some(message) = self.reader.next().now_or_never() {
            if !self.is_harmless(message) {
                return true;
            }
        }
        false
    }

    /// Whether an idle connection may go on after this message.
    pub fn is_harmless(&mut self, message: Option<Result<Frame, FrameError>>) -> bool {
        let Some(Ok(frame)) = message else {
            return false;
        };
        self.receive(&frame);
        frame.tag != backend::ERROR && !self.ledger.is_out_of_step()
    }

    /// Ends the connection and waits until the database has ended it too, so that the
    /// slot is free afterwards.
    pub async fn close(mut self, limit: Duration) {
        self.cancel(limit);
        self.outgoing.clear();
        outgoing::terminate().write_to(&mut self.outgoing);
        let goodbye = async {
            self.writer.write_all_buf(&mut self.outgoing).await?;
            self.writer.shutdown().await?;
            while let Some(Ok(_)) = self.reader.next().await {}
            Ok::<(), std::io::Error>(())
        };
        let _ended = tokio::time::timeout(limit, goodbye).await;
    }
}
