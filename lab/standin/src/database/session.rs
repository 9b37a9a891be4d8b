//! A client session: handles protocol messages and sends the responses.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use pgwire::messages::response::{CommandComplete, EmptyQueryResponse, ReadyForQuery};
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::{PgWireBackendMessage, PgWireFrontendMessage};
use tokio::sync::watch;

use super::connections::Slot;
use super::error::{SqlError, SqlState};
use super::extended::{Portal, Prepared};
use super::lexer;
use super::node::{Epoch, Node};
use super::outcome::{self, Outcome};
use super::session_settings::SessionSettings;
use super::statement::Statement;
use super::transaction::{Stage, Transaction};
use super::wire::{Wire, WireError};
use super::working_rows::WriteTransaction;

/// User, database and connection slot of a session, with its settings.
pub struct Identity {
    /// Connection slot of the session.
    pub slot: Slot,
    /// User name.
    pub user: String,
    /// Database name that the client requested.
    pub database: String,
    /// Current settings of the session.
    pub settings: SessionSettings,
}

/// Reasons why a session ends.
#[derive(Debug, thiserror::Error)]
pub enum SessionEnd {
    /// The connection failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The session ends with an error that is sent to the client.
    #[error(transparent)]
    Fatal(SqlError),
    /// The client sent Terminate.
    #[error("the client closed the session")]
    Closed,
}

/// A client session on one connection to the database.
pub struct Session {
    pub(super) node: Arc<Node>,
    pub(super) wire: Wire,
    pub(super) identity: Identity,
    pub(super) epoch: u64,
    pub(super) transaction: Transaction,
    pub(super) statements: HashMap<String, Arc<Prepared>>,
    pub(super) portals: HashMap<String, Portal>,
    pub(super) cursors: HashMap<String, Outcome>,
    reported: Vec<(&'static str, String)>,
    skipping_until_sync: bool,
}

impl Session {
    /// Creates a session whose connection was opened in epoch number `epoch`. The number
    /// increases when the database closes all client connections (see [`Epoch`]); reads of
    /// a session with an older number are rejected, so that a session whose connection is
    /// about to be closed returns no rows.
    pub fn new(node: Arc<Node>, wire: Wire, identity: Identity, epoch: u64) -> Self {
        Self {
            reported: identity.settings.reported(),
            node,
            wire,
            identity,
            epoch,
            transaction: Transaction::default(),
            statements: HashMap::new(),
            portals: HashMap::new(),
            cursors: HashMap::new(),
            skipping_until_sync: false,
        }
    }

    /// Serves the client until it disconnects or the database closes all client
    /// connections, which changes `epochs`. If the change is abrupt, as in a crash, the
    /// connection is reset without an error message.
    pub async fn run_until(&mut self, mut epochs: watch::Receiver<Epoch>) {
        let end = tokio::select! {
            end = self.run() => end,
            _ = epochs.changed() => {
                if epochs.borrow().abrupt {
                    self.wire.reset();
                    return;
                }
                Err(SessionEnd::Fatal(SqlError::terminated()))
            }
        };
        self.transaction.write = None;
        if let Err(SessionEnd::Fatal(error)) = end {
            let sent_in_time =
                tokio::time::timeout(DISCONNECT_TIMEOUT, self.wire.disconnect(&error)).await;
            log::debug!(
                "database: a session ended with an error: {error}; sent to the client: {}.",
                sent_in_time.is_ok()
            );
        }
    }

    async fn run(&mut self) -> Result<(), SessionEnd> {
        self.ready().await?;
        loop {
            let Some(message) = self.next_message().await? else {
                return Ok(());
            };
            let cancellation = self.identity.slot.cancellation.clone();
            cancellation.begin();
            let handled = self.handle(message).await;
            cancellation.end();
            match handled {
                Ok(()) => {}
                Err(SessionEnd::Closed) => return Ok(()),
                Err(end) => return Err(end),
            }
        }
    }

    /// Returns the next message. While waiting for it, suspends the open transaction
    /// when other transactions want to write.
    async fn next_message(&mut self) -> Result<Option<PgWireFrontendMessage>, SessionEnd> {
        let write = self.transaction.write.as_ref();
        let contention = write.and_then(WriteTransaction::contention);
        if let Some(mut waiting) = contention {
            tokio::select! {
                biased;
                message = self.read_message() => return message,
                _ = waiting.wait_for(|count| *count > 0) => {}
            }
            if let Some(write) = &mut self.transaction.write {
                write.suspend();
            }
        }
        self.read_message().await
    }

    async fn read_message(&mut self) -> Result<Option<PgWireFrontendMessage>, SessionEnd> {
        let (name, state, message) = match self.transaction.stage {
            Stage::Implicit => return Ok(self.wire.read().await?),
            Stage::Idle => (
                "idle_session_timeout",
                SqlState::IdleSessionTimeout,
                "terminating connection due to idle-session timeout",
            ),
            Stage::Explicit | Stage::Failed => (
                "idle_in_transaction_session_timeout",
                SqlState::IdleInTransactionSessionTimeout,
                "terminating connection due to idle-in-transaction timeout",
            ),
        };
        let Some(limit) = self.identity.settings.timeout(name) else {
            return Ok(self.wire.read().await?);
        };
        match tokio::time::timeout(limit, self.wire.read()).await {
            Ok(message) => Ok(message?),
            Err(_) => Err(SessionEnd::Fatal(SqlError::fatal(state, message))),
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), SessionEnd> {
        match message {
            PgWireFrontendMessage::Terminate(_) => return Err(SessionEnd::Closed),
            PgWireFrontendMessage::Sync(_) => return self.sync().await,
            PgWireFrontendMessage::Query(query) if !self.skipping_until_sync => {
                return self.simple_query(&query.query).await;
            }
            PgWireFrontendMessage::Flush(_) => return Ok(self.wire.flush().await?),
            // These messages belong to a COPY that has already failed.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => return Ok(()),
            _ if self.skipping_until_sync => return Ok(()),
            _ => {}
        }
        let result = match message {
            PgWireFrontendMessage::Parse(parse) => self.parse(parse).await,
            PgWireFrontendMessage::Bind(bind) => self.bind(bind),
            PgWireFrontendMessage::Describe(describe) => self.describe(&describe),
            PgWireFrontendMessage::Execute(execute) => self.execute_portal(&execute).await,
            PgWireFrontendMessage::Close(close) => self.close(&close),
            _ => Err(Failure::Sql(SqlError::fatal(
                SqlState::ProtocolViolation,
                "unexpected message",
            ))),
        };
        match result {
            Ok(()) => Ok(()),
            Err(Failure::Wire(error)) => Err(error.into()),
            Err(Failure::Sql(error)) => {
                self.fail(&error)?;
                self.skipping_until_sync = true;
                Ok(())
            }
        }
    }

    async fn sync(&mut self) -> Result<(), SessionEnd> {
        let skipped = std::mem::take(&mut self.skipping_until_sync);
        if !skipped && let Err(error) = self.finish_implicit().await {
            self.fail(&error)?;
        }
        self.ready().await
    }

    async fn simple_query(&mut self, sql: &str) -> Result<(), SessionEnd> {
        match self.run_simple(sql).await {
            Ok(()) => {}
            Err(Failure::Wire(error)) => return Err(error.into()),
            Err(Failure::Sql(error)) => self.fail(&error)?,
        }
        self.ready().await
    }

    async fn run_simple(&mut self, sql: &str) -> Result<(), Failure> {
        let statements = lexer::split(sql)?;
        if statements.is_empty() {
            let empty = EmptyQueryResponse::new();
            self.wire
                .push(PgWireBackendMessage::EmptyQueryResponse(empty))?;
        }
        let last = statements.len().saturating_sub(1);
        for (at, raw) in statements.into_iter().enumerate() {
            let statement = Statement::prepare(raw)?;
            let mut outcome = self.execute(&statement, &[], None).await?;
            if let Some(columns) = &outcome.columns {
                self.wire.push(outcome::describe(columns, &[]))?;
            }
            let sent = self.send_rows(&mut outcome, &[], usize::MAX).await?;
            if at == last {
                self.finish_implicit().await?;
            }
            self.complete(&outcome.final_tag(sent))?;
        }
        Ok(())
    }

    /// Sends up to `limit` rows of a result and returns how many were sent.
    pub(super) async fn send_rows(
        &mut self,
        outcome: &mut Outcome,
        formats: &[i16],
        limit: usize,
    ) -> Result<usize, Failure> {
        let Some(columns) = &outcome.columns else {
            return Ok(0);
        };
        let mut sent = 0;
        while sent < limit {
            let Some(row) = outcome.rows.pop_front() else {
                break;
            };
            self.wire
                .push(outcome::encode_row(&row, columns, formats)?)?;
            sent += 1;
            if self.wire.is_full() {
                if self.identity.slot.cancellation.take() {
                    return Err(SqlError::canceled().into());
                }
                self.wire.flush().await?;
            }
        }
        Ok(sent)
    }

    pub(super) fn complete(&mut self, tag: &str) -> Result<(), WireError> {
        let complete = CommandComplete::new(tag.to_owned());
        self.wire
            .push(PgWireBackendMessage::CommandComplete(complete))
    }

    /// Sends an error to the client and marks the transaction as failed.
    fn fail(&mut self, error: &SqlError) -> Result<(), SessionEnd> {
        self.fail_transaction();
        if error.fatal {
            return Err(SessionEnd::Fatal(error.clone()));
        }
        Ok(self.wire.push_error(error)?)
    }

    async fn ready(&mut self) -> Result<(), SessionEnd> {
        let standby = if self.node.in_recovery() { "on" } else { "off" };
        self.identity
            .settings
            .set_internal("in_hot_standby", standby);
        let reported = self.identity.settings.reported();
        for (now, before) in reported.iter().zip(&self.reported) {
            if now != before {
                let status = ParameterStatus::new(now.0.to_owned(), now.1.clone());
                self.wire
                    .push(PgWireBackendMessage::ParameterStatus(status))?;
            }
        }
        self.reported = reported;
        let ready = ReadyForQuery::new(self.transaction.status());
        self.wire.push(PgWireBackendMessage::ReadyForQuery(ready))?;
        Ok(self.wire.flush().await?)
    }
}

/// Timeout of sending the error that ends a session.
const DISCONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reasons why handling a message failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The statement failed.
    #[error(transparent)]
    Sql(#[from] SqlError),
}
