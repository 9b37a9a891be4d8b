//! One connection and the task that owns it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use bytes::BytesMut;
use futures::{FutureExt, StreamExt};
use hookpoint_coordination::slots::ConnectionNumber;
use hookpoint_coordination::slots::OpenFailure;
use hookpoint_protocol::frame::{Frame, FrameCodec, FrameError};
use hookpoint_protocol::status_query::{STATUS_QUERY, StatusCollector};
use hookpoint_state::{DatabaseName, GroupName};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::codec::FramedRead;

use super::cancel::{self, CancelKey};
use super::error::ConnectError;
use super::handshake;
use super::ledger::{Ledger, Verdict};
use super::message::{ConnectionEvent, FromConnection, Grant, Order, Target};
use super::outgoing;
use super::pool::PoolActor;
use super::prepared::PreparedStatements;
use super::serve::{self, ServeEnd};
use super::settings::BackendSettings;
use super::tags::backend;
use crate::shared::Shared;

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
        outgoing::query(text).write_to(&mut self.outgoing);
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
    async fn restore(&mut self, discard: bool, limit: Duration) -> Result<bool, ConnectError> {
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
    fn is_gone(&mut self, lapse: Duration) -> bool {
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
    fn is_harmless(&mut self, message: Option<Result<Frame, FrameError>>) -> bool {
        let Some(Ok(frame)) = message else {
            return false;
        };
        self.receive(&frame);
        frame.tag != backend::ERROR && !self.ledger.is_out_of_step()
    }

    /// Ends the connection and waits until the database has ended it too, so that the
    /// slot is free afterwards.
    async fn close(mut self, limit: Duration) {
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

/// The task of one connection.
pub(super) struct ConnectionTask {
    pub context: Arc<ConnectionContext>,
    pub number: ConnectionNumber,
    pub pool: Addr<PoolActor>,
    pub orders: mpsc::Receiver<Order>,
}

/// How the life of a connection ended.
enum LifeEnd {
    Ordered,
    Broken,
    Stale(Box<Grant>),
}

impl ConnectionTask {
    /// Opens the connection and serves until it ends.
    pub async fn run(mut self) {
        let connection = match handshake::connect(&self.context).await {
            Ok(connection) => connection,
            Err(error) => return self.failed(&error),
        };
        self.tell(ConnectionEvent::Opened);
        let limit = self.context.settings.answer_timeout;
        let mut connection = connection;
        let end = self.live(&mut connection).await;
        connection.close(limit).await;
        let last_grant = self.last_grant();
        self.tell(match (end, last_grant) {
            (LifeEnd::Stale(grant), _) | (_, Some(grant)) => ConnectionEvent::GrantFailed(grant),
            (LifeEnd::Ordered, None) => ConnectionEvent::Closed,
            (LifeEnd::Broken, None) => ConnectionEvent::Broken,
        });
    }

    /// A grant that came too late to be served.
    fn last_grant(&mut self) -> Option<Box<Grant>> {
        self.orders.close();
        while let Ok(order) = self.orders.try_recv() {
            if let Order::Serve(grant) = order {
                return Some(grant);
            }
        }
        None
    }

    fn failed(&self, error: &ConnectError) {
        let failure = error.open_failure();
        log::warn!("pool: no connection to {}: {error}.", self.context.database);
        if failure == OpenFailure::Unreachable {
            let ConnectionContext {
                group, database, ..
            } = &*self.context;
            self.context.shared.unreachable(group, database);
        }
        self.tell(ConnectionEvent::Failed(failure));
    }

    fn tell(&self, event: ConnectionEvent) {
        self.pool.do_send(FromConnection {
            connection: self.number,
            event,
        });
    }

    async fn live(&mut self, connection: &mut Connection) -> LifeEnd {
        loop {
            let heartbeat = connection.last_used + self.context.settings.heartbeat_interval();
            tokio::select! {
                order = self.orders.recv() => match order {
                    Some(Order::Serve(grant)) => {
                        if let Some(end) = self.serve(connection, grant).await {
                            return end;
                        }
                    }
                    Some(Order::Doubt) => {}
                    Some(Order::Close) | None => return LifeEnd::Ordered,
                },
                message = connection.reader.next() => {
                    if !connection.is_harmless(message) {
                        return LifeEnd::Broken;
                    }
                }
                () = tokio::time::sleep_until(heartbeat) => {
                    if !self.heartbeat(connection).await {
                        return LifeEnd::Broken;
                    }
                }
            }
        }
    }

    async fn serve(&mut self, connection: &mut Connection, grant: Box<Grant>) -> Option<LifeEnd> {
        let settings = self.context.settings.clone();
        if connection.is_gone(settings.lapse()) {
            return Some(LifeEnd::Stale(grant));
        }
        let end = serve::serve(connection, &self.context, *grant, &mut self.orders).await;
        let reusable = match end {
            ServeEnd::Lost => return Some(LifeEnd::Broken),
            ServeEnd::Unused => Ok(true),
            ServeEnd::Abandoned => Ok(false),
            ServeEnd::Released {
                reusable: false, ..
            } => Ok(false),
            ServeEnd::Released { discard, .. } => {
                connection.restore(discard, settings.answer_timeout).await
            }
        };
        let reusable = reusable.unwrap_or_else(|error| {
            log::info!(
                "pool: a connection to {} is given up: {error}.",
                self.context.database
            );
            false
        });
        self.tell(ConnectionEvent::Returned { reusable });
        (!reusable).then_some(LifeEnd::Ordered)
    }

    /// Shows the database that the holder lives, and takes its status along.
    async fn heartbeat(&self, connection: &mut Connection) -> bool {
        if connection.is_gone(self.context.settings.lapse()) {
            return false;
        }
        let mut collector = StatusCollector::new();
        let mut status = None;
        let limit = self.context.settings.answer_timeout;
        let answered = connection
            .ask(STATUS_QUERY, limit, |frame| {
                if let Some(Ok(answer)) = collector.push(frame) {
                    status = Some(answer);
                }
            })
            .await;
        if let Some(status) = status {
            let ConnectionContext {
                group, database, ..
            } = &*self.context;
            self.context.shared.observe(group, database, &status);
        }
        answered.is_ok() && connection.is_clean()
    }
}
