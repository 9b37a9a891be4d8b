//! A client session: it lasts, retries what did not run, resubmits what must run at
//! most once, and roams between proxies with its token.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_state::GroupName;
use parking_lot::RwLock;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::types::{ToSql, Type};

use crate::answers::{counted_rows, malformed, read, read_rows, written};
use crate::connection::{ClientConnection, Credentials, Failure, TokenDelivery};
use crate::deployment::Application;
use crate::history::{
    Ending, Operation, OperationResult, ProxyIndex, Record, Recorder, SessionNumber, WriteKind,
};
use crate::sql::{self, BillingLine, EntryWrite};

/// Rows that a read-back asks for.
const READ_LIMIT: usize = 20;
/// Attempts of one write.
const MAXIMUM_ATTEMPTS: u32 = 30;
/// Pause between two tries to connect.
const CONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Share of not-repeatable writes whose caller gives up early and asks again elsewhere.
const IMPATIENT_SHARE: f64 = 0.1;
/// Longest patience of such a caller, in microseconds.
const IMPATIENCE_MICROS: u64 = 200_000;
/// Share of moves to another proxy on which the token is left behind.
const FORGETFUL_SHARE: f64 = 0.1;

/// Addresses at which the proxies take callers; replaced when a proxy is.
pub type ProxyAddresses = Arc<RwLock<Vec<SocketAddr>>>;

/// What a session is made of.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// Its number.
    pub number: SessionNumber,
    /// Its group.
    pub group: GroupName,
    /// Whom it connects as.
    pub credentials: Credentials,
    /// Where the proxies are.
    pub proxies: ProxyAddresses,
    /// The proxy it starts on.
    pub home: ProxyIndex,
    /// What it runs.
    pub application: Application,
    /// Seed of the run; each session has its own stream of it.
    pub seed: u64,
    /// How long it waits for an answer.
    pub patience: Duration,
    /// How it sends its single statements; transactions go by the simple protocol.
    pub protocol: Protocol,
}

/// Which part of the PostgreSQL protocol carries a session's statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// Simple queries.
    Simple,
    /// Parameters; reads are prepared under a name.
    Extended,
}

/// A session.
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
    /// A session that is not connected yet.
    pub fn new(settings: SessionSettings, recorder: Recorder) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        random.set_stream(u64::from(settings.number.0));
        Self {
            proxy: settings.home,
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

    /// The session's own source of chance.
    pub fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// The proxy it is on.
    pub fn proxy(&self) -> ProxyIndex {
        self.proxy
    }

    /// Writes one row, asking again as long as that is allowed. Returns whether the
    /// write was acknowledged.
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
            let patience = self.patience_with(kind, attempt);
            let started = self.recorder.now();
            let answer = self.send_write(&write, patience).await;
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
                    if !self.may_ask_again(&failure, kind.not_repeatable()).await {
                        return false;
                    }
                }
            }
        }
        false
    }

    /// Reads back the session's own latest rows.
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

    /// Runs a billing run in an explicit transaction.
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
                Err(broken) => (broken.result(), Some(broken.failure)),
            };
            let committed_unknown = unknown(&result);
            self.record(started, operation, result);
            match failure {
                None => return,
                Some(failure) => {
                    self.drop_transaction(&failure).await;
                    if committed_unknown || !self.may_ask_again(&failure, true).await {
                        return;
                    }
                }
            }
        }
    }

    /// Moves to another proxy with the session's token, or on occasion without it.
    pub async fn roam(&mut self) {
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
    ) -> Result<OperationResult, BrokenRun> {
        let mut seen = Vec::new();
        let mut backends = Vec::new();
        self.simple("begin")
            .await
            .map_err(BrokenRun::before_commit)?;
        for line in 1..=lines {
            let line = BillingLine {
                session: self.settings.number,
                run,
                attempt,
                line,
            };
            let inserted = self.simple(&line.insert()).await;
            inserted.map_err(BrokenRun::before_commit)?;
            let counted = self.simple(&line.count()).await;
            let counted = counted.map_err(BrokenRun::before_commit)?;
            let Some((rows, backend)) = counted_rows(&counted) else {
                return Ok(malformed("a count has no row of two numbers"));
            };
            seen.push(rows);
            backends.push(backend);
        }
        let end = match ending {
            Ending::Commit => "commit",
            Ending::Rollback => "rollback",
        };
        let ended = self.simple(end).await;
        ended.map_err(|failure| BrokenRun::at_end(failure, ending))?;
        Ok(OperationResult::RunEnded { seen, backends })
    }

    /// Leaves a transaction that failed, so that the next one starts cleanly.
    async fn drop_transaction(&mut self, failure: &Failure) {
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
                    if !self.may_ask_again(&failure, true).await {
                        return;
                    }
                }
            }
        }
    }

    async fn send_write(
        &mut self,
        write: &EntryWrite<'_>,
        patience: Duration,
    ) -> Result<OperationResult, Failure> {
        let application = self.settings.application;
        if self.settings.protocol == Protocol::Simple {
            let statement = write.statement(application);
            let messages = self.simple_within(&statement, patience).await?;
            return Ok(written(&messages));
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
        let rows = connection
            .execute(&statement, &parameters, patience)
            .await?;
        Ok(OperationResult::Written { rows })
    }

    async fn send_read(&mut self, operation: &Operation) -> Result<OperationResult, Failure> {
        if self.settings.protocol == Protocol::Simple {
            let messages = self.simple(&self.read_statement(operation)).await?;
            return Ok(read(&messages));
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
        Ok(read_rows(&rows))
    }

    /// The text of a read by the simple protocol.
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
        self.simple_within(statement, self.settings.patience).await
    }

    async fn simple_within(
        &mut self,
        statement: &str,
        patience: Duration,
    ) -> Result<Vec<SimpleQueryMessage>, Failure> {
        match &mut self.connection {
            Some(connection) => connection.simple_within(statement, patience).await,
            None => Err(Failure::ConnectionLost),
        }
    }

    /// How long to wait for the answer to a write.
    fn patience_with(&mut self, kind: WriteKind, attempt: u32) -> Duration {
        let impatient =
            attempt == 1 && kind.not_repeatable() && self.random.random_bool(IMPATIENT_SHARE);
        if impatient {
            return Duration::from_micros(self.random.random_range(1_000..IMPATIENCE_MICROS));
        }
        self.settings.patience
    }

    /// Prepares for another attempt after `failure`. Returns whether there may be one:
    /// what may have run is only sent again when it cannot do harm.
    async fn may_ask_again(&mut self, failure: &Failure, harmless: bool) -> bool {
        match failure {
            Failure::NotRun { retry_after, .. } => {
                tokio::time::sleep(*retry_after).await;
                true
            }
            Failure::AlreadyRan | Failure::Rejected { .. } => false,
            Failure::Unknown { .. } | Failure::ConnectionLost | Failure::TimedOut => {
                self.leave_proxy().await;
                harmless
            }
        }
    }

    /// Drops the connection and turns to the next proxy.
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
            let delivery = self.delivery();
            let address = self.settings.proxies.read().get(self.proxy.0).copied();
            let Some(address) = address else {
                self.next_proxy();
                continue;
            };
            let credentials = &self.settings.credentials;
            let patience = self.settings.patience;
            let opened = ClientConnection::open(address, credentials, &delivery, patience).await;
            match opened {
                Ok(connection) => self.connection = Some(connection),
                Err(failure) => {
                    log::debug!("session: connecting failed: {failure}.");
                    tokio::time::sleep(CONNECT_PAUSE).await;
                    self.next_proxy();
                }
            }
        }
    }

    fn delivery(&mut self) -> TokenDelivery {
        let Some(token) = self.token.clone() else {
            return TokenDelivery::None;
        };
        if self.random.random_bool(FORGETFUL_SHARE) {
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

/// A billing run that did not come to its end.
struct BrokenRun {
    failure: Failure,
    /// Whether its `COMMIT` had been sent.
    commit_sent: bool,
}

impl BrokenRun {
    fn before_commit(failure: Failure) -> Self {
        Self {
            failure,
            commit_sent: false,
        }
    }

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
        // A request cut off by a stop stays visible as such.
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

fn unknown(result: &OperationResult) -> bool {
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
