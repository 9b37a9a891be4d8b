//! One client's session: takes messages in and answers them.

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
use super::working::WriteTransaction;

/// Who a session is.
pub struct Identity {
    /// Its slot.
    pub slot: Slot,
    /// Its user.
    pub user: String,
    /// The database name it gave.
    pub database: String,
    /// Its first settings.
    pub settings: SessionSettings,
}

/// Why a session ends.
#[derive(Debug, thiserror::Error)]
pub enum End {
    /// The connection failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The client must be told.
    #[error(transparent)]
    Fatal(SqlError),
    /// The client said good-bye.
    #[error("the client closed the session")]
    Closed,
}

/// One client's session.
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
    skipping: bool,
}

impl Session {
    /// A session that was opened in `epoch`.
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
            skipping: false,
        }
    }

    /// Serves the client until it leaves or the connections of its epoch end.
    pub async fn run_until(&mut self, mut epochs: watch::Receiver<Epoch>) {
        let end = tokio::select! {
            end = self.run() => end,
            _ = epochs.changed() => {
                if epochs.borrow().abrupt {
                    self.wire.reset();
                    return;
                }
                Err(End::Fatal(SqlError::terminated()))
            }
        };
        self.transaction.write = None;
        if let Err(End::Fatal(error)) = end {
            let told = tokio::time::timeout(FAREWELL_WAIT, self.wire.farewell(&error)).await;
            log::debug!(
                "database: a session ends with {error}; told: {}.",
                told.is_ok()
            );
        }
    }

    async fn run(&mut self) -> Result<(), End> {
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
                Err(End::Closed) => return Ok(()),
                Err(end) => return Err(end),
            }
        }
    }

    /// The next message. While the client is waited for, a transaction gives
    /// way to others that want to write.
    async fn next_message(&mut self) -> Result<Option<PgWireFrontendMessage>, End> {
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

    async fn read_message(&mut self) -> Result<Option<PgWireFrontendMessage>, End> {
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
            Err(_) => Err(End::Fatal(SqlError::fatal(state, message))),
        }
    }

    async fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), End> {
        match message {
            PgWireFrontendMessage::Terminate(_) => return Err(End::Closed),
            PgWireFrontendMessage::Sync(_) => return self.sync().await,
            PgWireFrontendMessage::Query(query) if !self.skipping => {
                return self.simple_query(&query.query).await;
            }
            PgWireFrontendMessage::Flush(_) => return Ok(self.wire.flush().await?),
            // These belong to a copy that has failed already.
            PgWireFrontendMessage::CopyData(_)
            | PgWireFrontendMessage::CopyDone(_)
            | PgWireFrontendMessage::CopyFail(_) => return Ok(()),
            _ if self.skipping => return Ok(()),
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
                self.skipping = true;
                Ok(())
            }
        }
    }

    async fn sync(&mut self) -> Result<(), End> {
        let skipped = std::mem::take(&mut self.skipping);
        if !skipped && let Err(error) = self.finish_implicit().await {
            self.fail(&error)?;
        }
        self.ready().await
    }

    async fn simple_query(&mut self, sql: &str) -> Result<(), End> {
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

    /// Sends up to `limit` rows of an answer; returns how many.
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

    /// Tells the client of an error and marks the transaction.
    fn fail(&mut self, error: &SqlError) -> Result<(), End> {
        self.fail_transaction();
        if error.fatal {
            return Err(End::Fatal(error.clone()));
        }
        Ok(self.wire.push_error(error)?)
    }

    async fn ready(&mut self) -> Result<(), End> {
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

/// How long a client may take to read why it is disconnected.
const FAREWELL_WAIT: Duration = Duration::from_millis(500);

/// Why a message could not be answered as asked.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The connection failed.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The statement failed.
    #[error(transparent)]
    Sql(#[from] SqlError),
}
