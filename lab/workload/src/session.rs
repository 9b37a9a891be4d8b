//! A long-lived client session. It retries requests that did not run, resubmits requests
//! that are safe to repeat, and switches between proxies with its token.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_state::GroupName;
use parking_lot::RwLock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::types::{ToSql, Type};

use crate::answers::{malformed, parse_billing_count, parse_read, parse_read_rows, parse_write};
use crate::connection::{ClientConnection, Credentials, Failure, TokenDelivery};
use crate::deployment::Application;
use crate::history::{
    Ending, Operation, OperationResult, ProxyIndex, Record, Recorder, SessionNumber, WriteKind,
};
use crate::sql::{self, BillingLine, EntryWrite};

/// Maximum number of rows requested by a read of the session's own rows.
const READ_LIMIT: usize = 20;
/// Maximum number of attempts of one request.
const MAXIMUM_ATTEMPTS: u32 = 30;
/// Pause between two connection attempts.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Probability that the first attempt of a write that must run at most once uses a short
/// timeout, after which the session resubmits it through the next proxy.
const EARLY_TIMEOUT_SHARE: f64 = 0.1;
/// Upper bound of such a short timeout, in microseconds.
const MAXIMUM_EARLY_TIMEOUT_MICROS: u64 = 200_000;
/// Probability that a session with a token connects without passing it.
const TOKEN_OMISSION_SHARE: f64 = 0.1;

/// Client addresses of the proxies, by [`ProxyIndex`]. An address is updated when its proxy
/// is replaced.
pub type ProxyAddresses = Arc<RwLock<Vec<SocketAddr>>>;

/// Settings of a session.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// Number of the session.
    pub number: SessionNumber,
    /// Group of the session.
    pub group: GroupName,
    /// User, password and database of its connections.
    pub credentials: Credentials,
    /// Addresses of the proxies.
    pub proxies: ProxyAddresses,
    /// Proxy that the session connects to first.
    pub initial_proxy: ProxyIndex,
    /// Application whose tables the session uses.
    pub application: Application,
    /// Seed of the run. Each session uses its own random stream of it.
    pub seed: u64,
    /// Timeout of connecting and of each request.
    pub request_timeout: Duration,
    /// Protocol of single statements. Transactions always use the simple query protocol.
    pub protocol: Protocol,
}

/// The PostgreSQL subprotocol used for a session's statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Simple query protocol.
    Simple,
    /// Extended query protocol with parameters. Reads use named prepared statements.
    Extended,
}

/// A client session that records each of its operations.
pub struct ClientSession {
    settings: SessionSettings,
    recorder: Recorder,
    random: ChaCha8Rng,
    proxy: ProxyIndex,
    connection: Option<ClientConnection>,
    token: Option<String>,
    next_sequence: u64,
    next_run: u64,
    next_nonce: u64,
}

impl ClientSession {
    /// Creates a session that is not connected yet.
    pub fn new(settings: SessionSettings, recorder: Recorder) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(u64::from(settings.number.0));
        Self {
            proxy: settings.initial_proxy,
            settings,
            recorder,
            random,
            connection: None,
            token: None,
            next_sequence: 1,
            next_run: 1,
            next_nonce: 1,
        }
    }

    /// Returns the session's random number generator.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Returns the proxy that the session currently uses.
    pub fn proxy(&self) -> ProxyIndex {
        self.proxy
    }

    /// Writes one row and retries as long as that is allowed. Returns whether the write was
    /// acknowledged.
    pub async fn write(&mut self, kind: WriteKind) -> bool {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let request = self.request_identifier(kind, sequence);
        for attempt in 1..=MAXIMUM_ATTEMPTS {
            let write = EntryWrite {
                session: self.settings.number,
                sequence,
                attempt,
                kind,
                request: request.as_deref(),
            };
            self.ensure_connected().await;
            let timeout = self.write_timeout(kind, attempt);
            let started = self.recorder.now();
            let answer = self.send_write(&write, timeout).await;
            let operation = Operation::Write {
                kind,
                sequence,
                attempt,
            };
            let result = answer.clone().unwrap_or_else(|failure| result_of(&failure));
            self.record(started, operation, result);
            match answer {
                Ok(_) | Err(Failure::AlreadyRan) => return true,
                Err(failure) => {
                    if !self.prepare_retry(&failure, kind.not_repeatable()).await {
                        return false;
                    }
                }
            }
        }
        false
    }

    /// Reads the session's own latest rows.
    pub async fn read_own(&mut self) {
        let nonce = self.nonce();
        self.read(Operation::ReadOwn {
            nonce,
            limit: READ_LIMIT,
        })
        .await;
    }

    /// Reads the highest sequence of `subject`.
    pub async fn read_other(&mut self, subject: SessionNumber) {
        let nonce = self.nonce();
        self.read(Operation::ReadOther { subject, nonce }).await;
    }

    /// Runs a billing run of `lines` rows in an explicit transaction.
    pub async fn billing_run(&mut self, lines: u32, ending: Ending) {
        let run = self.next_run;
        self.next_run += 1;
        for attempt in 1..=MAXIMUM_ATTEMPTS {
            self.ensure_connected().await;
            let started = self.recorder.now();
            let outcome = self.run_once(run, attempt, lines, ending).await;
            let operation = Operation::BillingRun {
                run,
                attempt,
                lines,
                ending,
            };
            let (result, failure) = match outcome {
                Ok(result) => (result, None),
                Err(failed_run) => (failed_run.result(), Some(failed_run.failure)),
            };
            let commit_unknown = outcome_unknown(&result);
            self.record(started, operation, result);
            match failure {
                None => return,
                Some(failure) => {
                    self.roll_back_failed(&failure).await;
                    if commit_unknown || !self.prepare_retry(&failure, true).await {
                        return;
                    }
                }
            }
        }
    }

    /// Switches to the next proxy, usually passing the session's token.
    pub async fn switch_proxy(&mut self) {
        self.ensure_connected().await;
        if let Some(connection) = &mut self.connection
            && let Ok(Some(token)) = connection.show_token().await
        {
            self.token = Some(token);
        }
        self.connection = None;
        self.next_proxy();
        self.ensure_connected().await;
    }

    async fn run_once(
        &mut self,
        run: u64,
        attempt: u32,
        lines: u32,
        ending: Ending,
    ) -> Result<OperationResult, FailedRun> {
        let mut seen = Vec::new();
        let mut backends = Vec::new();
        self.simple("begin")
            .await
            .map_err(FailedRun::before_commit)?;
        for line in 1..=lines {
            let line = BillingLine {
                session: self.settings.number,
                run,
                attempt,
                line,
            };
            let inserted = self.simple(&line.insert()).await;
            inserted.map_err(FailedRun::before_commit)?;
            let counted = self.simple(&line.count()).await;
            let counted = counted.map_err(FailedRun::before_commit)?;
            let Some((rows, backend)) = parse_billing_count(&counted) else {
                return Ok(malformed("the answer to a count has no row of two numbers"));
            };
            seen.push(rows);
            backends.push(backend);
        }
        let end = match ending {
            Ending::Commit => "commit",
            Ending::Rollback => "rollback",
        };
        let ended = self.simple(end).await;
        ended.map_err(|failure| FailedRun::at_end(failure, ending))?;
        Ok(OperationResult::RunEnded { seen, backends })
    }

    /// Rolls back a failed transaction that is still open, so that the next one starts
    /// cleanly. Drops the connection if that fails.
    async fn roll_back_failed(&mut self, failure: &Failure) {
        let open = matches!(failure, Failure::Rejected { .. } | Failure::NotRun { .. });
        if open && self.simple("rollback").await.is_err() {
            self.connection = None;
        }
    }

    async fn read(&mut self, operation: Operation) {
        for _ in 0..MAXIMUM_ATTEMPTS {
            self.ensure_connected().await;
            let started = self.recorder.now();
            let answer = self.send_read(&operation).await;
            let result = answer.clone().unwrap_or_else(|failure| result_of(&failure));
            self.record(started, operation.clone(), result);
            match answer {
                Ok(_) => return,
                Err(failure) => {
                    if !self.prepare_retry(&failure, true).await {
                        return;
                    }
                }
            }
        }
    }

    async fn send_write(
        &mut self,
        write: &EntryWrite<'_>,
        timeout: Duration,
    ) -> Result<OperationResult, Failure> {
        let application = self.settings.application;
        if self.settings.protocol == Protocol::Simple {
            let statement = write.statement(application);
            let messages = self.simple_with_timeout(&statement, timeout).await?;
            return Ok(parse_write(&messages));
        }
        let Some(connection) = &mut self.connection else {
            return Err(Failure::ConnectionLost);
        };
        let statement = sql::write_with_parameters(application, write.request);
        let session = i64::from(write.session.0);
        let (sequence, attempt) = (write.sequence as i64, i64::from(write.attempt));
        let (kind, body) = (write.kind.as_str(), format!("text of {sequence}"));
        let parameters: [(&(dyn ToSql + Sync), Type); 5] = [
            (&session, Type::INT8),
            (&sequence, Type::INT8),
            (&attempt, Type::INT8),
            (&kind, Type::TEXT),
            (&body, Type::TEXT),
        ];
        let rows = connection.execute(&statement, &parameters, timeout).await?;
        Ok(OperationResult::Written { rows })
    }

    async fn send_read(&mut self, operation: &Operation) -> Result<OperationResult, Failure> {
        if self.settings.protocol == Protocol::Simple {
            let messages = self.simple(&self.read_statement(operation)).await?;
            return Ok(parse_read(&messages));
        }
        let application = self.settings.application;
        let own = i64::from(self.settings.number.0);
        let Some(connection) = &mut self.connection else {
            return Err(Failure::ConnectionLost);
        };
        let rows = match operation {
            Operation::ReadOther { subject, nonce } => {
                let statement = sql::read_other_with_parameters(application);
                let subject = i64::from(subject.0);
                connection.query(&statement, &[nonce, &subject]).await?
            }
            Operation::ReadOwn { nonce, limit } => {
                let statement = sql::read_own_with_parameters(application);
                let limit = *limit as i64;
                connection.query(&statement, &[nonce, &own, &limit]).await?
            }
            Operation::Write { .. } | Operation::BillingRun { .. } => Vec::new(),
        };
        Ok(parse_read_rows(&rows))
    }

    /// Returns the text of a read sent by the simple query protocol.
    fn read_statement(&self, operation: &Operation) -> String {
        let application = self.settings.application;
        match operation {
            Operation::ReadOther { subject, nonce } => {
                sql::read_other(application, *subject, nonce)
            }
            Operation::ReadOwn { nonce, limit } => {
                sql::read_own(application, self.settings.number, nonce, *limit)
            }
            Operation::Write { .. } | Operation::BillingRun { .. } => String::new(),
        }
    }

    async fn simple(&mut self, statement: &str) -> Result<Vec<SimpleQueryMessage>, Failure> {
        self.simple_with_timeout(statement, self.settings.request_timeout)
            .await
    }

    async fn simple_with_timeout(
        &mut self,
        statement: &str,
        timeout: Duration,
    ) -> Result<Vec<SimpleQueryMessage>, Failure> {
        match &mut self.connection {
            Some(connection) => connection.simple_with_timeout(statement, timeout).await,
            None => Err(Failure::ConnectionLost),
        }
    }

    /// Returns the timeout of an attempt of a write.
    fn write_timeout(&mut self, kind: WriteKind, attempt: u32) -> Duration {
        let early_timeout =
            attempt == 1 && kind.not_repeatable() && self.random.random_bool(EARLY_TIMEOUT_SHARE);
        if early_timeout {
            return Duration::from_micros(
                self.random
                    .random_range(1_000..MAXIMUM_EARLY_TIMEOUT_MICROS),
            );
        }
        self.settings.request_timeout
    }

    /// Prepares for another attempt after `failure`. Returns whether a retry is allowed: a
    /// request that may have run is retried only if it is `safe_to_repeat`.
    async fn prepare_retry(&mut self, failure: &Failure, safe_to_repeat: bool) -> bool {
        match failure {
            Failure::NotRun { retry_after, .. } => {
                tokio::time::sleep(*retry_after).await;
                true
            }
            Failure::AlreadyRan | Failure::Rejected { .. } => false,
            Failure::Unknown { .. } | Failure::ConnectionLost | Failure::TimedOut => {
                self.leave_proxy().await;
                safe_to_repeat
            }
        }
    }

    /// Drops the connection, keeps its last token and selects the next proxy.
    async fn leave_proxy(&mut self) {
        if let Some(mut connection) = self.connection.take() {
            let token = connection.last_token().await;
            self.token = token.or(self.token.take());
        }
        self.next_proxy();
    }

    fn next_proxy(&mut self) {
        let count = self.settings.proxies.read().len().max(1);
        self.proxy = ProxyIndex((self.proxy.0 + 1) % count);
    }

    async fn ensure_connected(&mut self) {
        if let Some(connection) = &self.connection
            && connection.is_closed()
        {
            self.leave_proxy().await;
        }
        while self.connection.is_none() {
            let delivery = self.token_delivery();
            let address = self.settings.proxies.read().get(self.proxy.0).copied();
            let Some(address) = address else {
                self.next_proxy();
                continue;
            };
            let credentials = &self.settings.credentials;
            let timeout = self.settings.request_timeout;
            let opened = ClientConnection::open(address, credentials, &delivery, timeout).await;
            match opened {
                Ok(connection) => self.connection = Some(connection),
                Err(failure) => {
                    log::debug!("session: cannot connect to a proxy: {failure}.");
                    tokio::time::sleep(CONNECT_PAUSE).await;
                    self.next_proxy();
                }
            }
        }
    }

    fn token_delivery(&mut self) -> TokenDelivery {
        let Some(token) = self.token.clone() else {
            return TokenDelivery::None;
        };
        if self.random.random_bool(TOKEN_OMISSION_SHARE) {
            return TokenDelivery::None;
        }
        if self.random.random_bool(0.5) {
            return TokenDelivery::Startup(token);
        }
        TokenDelivery::Set(token)
    }

    fn request_identifier(&self, kind: WriteKind, sequence: u64) -> Option<String> {
        let settings = &self.settings;
        kind.not_repeatable()
            .then(|| format!("{}-{}-{sequence}", settings.seed, settings.number.0))
    }

    fn nonce(&mut self) -> String {
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        format!("{}-{nonce}", self.settings.number.0)
    }

    fn record(&self, started: u64, operation: Operation, result: OperationResult) {
        self.recorder.add(Record {
            session: self.settings.number,
            group: self.settings.group.clone(),
            proxy: self.proxy,
            started,
            ended: self.recorder.now(),
            operation,
            result,
        });
    }
}

/// A billing run that failed before its transaction ended.
struct FailedRun {
    failure: Failure,
    /// Whether the `COMMIT` had been sent.
    commit_sent: bool,
}

impl FailedRun {
    /// Creates the result of a run that failed before its `COMMIT` or `ROLLBACK` was sent.
    fn before_commit(failure: Failure) -> Self {
        Self {
            failure,
            commit_sent: false,
        }
    }

    /// Creates the result of a run whose `COMMIT` or `ROLLBACK` statement failed.
    fn at_end(failure: Failure, ending: Ending) -> Self {
        Self {
            failure,
            commit_sent: ending == Ending::Commit,
        }
    }

    fn result(&self) -> OperationResult {
        let result = result_of(&self.failure);
        if self.commit_sent {
            return result;
        }
        // The checker recognizes a transaction interrupted by a planned stop by the missing
        // SQLSTATE.
        if matches!(result, OperationResult::ConnectionLost) {
            return OperationResult::NotCommitted { sqlstate: None };
        }
        OperationResult::NotCommitted {
            sqlstate: sqlstate_of(&self.failure),
        }
    }
}

fn sqlstate_of(failure: &Failure) -> Option<String> {
    match failure {
        Failure::NotRun { sqlstate, .. }
        | Failure::Rejected { sqlstate, .. }
        | Failure::Unknown { sqlstate } => Some(sqlstate.clone()),
        Failure::AlreadyRan | Failure::ConnectionLost | Failure::TimedOut => None,
    }
}

fn outcome_unknown(result: &OperationResult) -> bool {
    matches!(
        result,
        OperationResult::Unknown { .. }
            | OperationResult::ConnectionLost
            | OperationResult::TimedOut
    )
}

fn result_of(failure: &Failure) -> OperationResult {
    match failure.clone() {
        Failure::NotRun { sqlstate, .. } => OperationResult::NotRun { sqlstate },
        Failure::AlreadyRan => OperationResult::AlreadyRan,
        Failure::Rejected { sqlstate, message } => OperationResult::Rejected { sqlstate, message },
        Failure::Unknown { sqlstate } => OperationResult::Unknown { sqlstate },
        Failure::ConnectionLost => OperationResult::ConnectionLost,
        Failure::TimedOut => OperationResult::TimedOut,
    }
}
