//! One caller's session: reads its messages and answers them in order.

mod admission;
mod refusals;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hookpoint_coordination::serving::leadership::PeriodPosition;
use hookpoint_coordination::serving::own_writes::OwnWrites;
use hookpoint_coordination::serving::session::{Access, Phase, SessionState};
use hookpoint_coordination::serving::tenancy::{KeyDigest, Principal};
use hookpoint_coordination::serving::topology::Route;
use hookpoint_state::Timestamp;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use self::refusals::malformed;
use crate::connection::Answer;
use crate::lease::Lease;
use crate::message::{CallerInput, CallerOutput, Failure, FailureCode, Statement};
use crate::node::Node;
use crate::receive_buffer::ReceiveBuffer;
use crate::shutdown::StopStage;
use crate::statement::{Request, Work, WorkBody, rolled_back};

/// How long a new session waits for the first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// Time limit for writing one answer to a slow caller.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// Time limit for the first message on a new connection.
const FIRST_MESSAGE_LIMIT: Duration = Duration::from_secs(20);
/// Buffer space reserved for one read, in bytes.
const READ_CHUNK: usize = 4 << 10;
/// Maximum number of prepared statements, and of session values, in one session.
const MAX_SESSION_ENTRIES: usize = 256;

/// The caller's open transaction.
struct Transaction {
    route: Rc<Route>,
    principal: Principal,
    began_at: Timestamp,
    /// Whether the caller asked for a read-only transaction.
    read_only: bool,
    /// Whether the transaction is read-only at the database, even if the caller did not ask for it.
    opened_read_only: bool,
    wrote: bool,
    /// The connection on which it is open; `None` before its first statement and after an
    /// evacuation.
    lease: Option<Lease>,
    /// Whether it was ended because its database was evacuated; the next statement is answered
    /// with that failure.
    evacuated: bool,
}

impl Transaction {
    /// Returns whether this is a write that the transaction cannot run: it was begun as read-write
    /// but opened read-only, because the primary is outside the allowed regions.
    fn is_write_without_primary(&self, access: Access) -> bool {
        access == Access::Write && self.opened_read_only && !self.read_only
    }
}

/// Serves one accepted caller connection until the session ends.
pub async fn serve(node: Rc<Node>, stream: TcpStream) {
    node.sessions.set(node.sessions.get() + 1);
    node.counters.count("sessions", "accepted");
    let _ = stream.set_nodelay(true);
    let mut session = Session {
        node: Rc::clone(&node),
        began_at: node.now(),
        stream,
        incoming: ReceiveBuffer::default(),
        outgoing: BytesMut::new(),
        database: String::new(),
        key: KeyDigest::of(&[]),
        state: SessionState::default(),
        own_writes: OwnWrites::default(),
        transaction: None,
    };
    let outcome = session.run().await;
    if outcome.is_err() {
        node.counters.count("sessions", "broken");
    }
    node.sessions.set(node.sessions.get() - 1);
}

/// What the session loop handles next.
enum SessionEvent {
    Input(CallerInput),
    Close,
    TransactionIdle,
}

struct Session {
    node: Rc<Node>,
    began_at: Timestamp,
    stream: TcpStream,
    incoming: ReceiveBuffer,
    outgoing: BytesMut,
    database: String,
    /// Digest of the key that the caller sent.
    key: KeyDigest,
    state: SessionState,
    own_writes: OwnWrites,
    transaction: Option<Transaction>,
}

impl Session {
    async fn run(&mut self) -> io::Result<()> {
        if !self.start().await? {
            return Ok(());
        }
        loop {
            match self.next_event().await? {
                SessionEvent::Close => break,
                SessionEvent::TransactionIdle => self.end_idle_transaction(),
                SessionEvent::Input(CallerInput::End) => break,
                SessionEvent::Input(CallerInput::Query { id, statement }) => {
                    self.answer(id, statement).await;
                    self.flush().await?;
                }
                SessionEvent::Input(CallerInput::TooLarge) => {
                    self.log_refused_message("too_large");
                    self.queue_failure(Failure::new(FailureCode::TooLarge, "message too large"));
                    self.flush().await?;
                    break;
                }
                SessionEvent::Input(CallerInput::Malformed | CallerInput::Start { .. }) => {
                    self.log_refused_message("malformed");
                    self.queue_failure(malformed());
                    self.queue_ready();
                    self.flush().await?;
                }
            }
        }
        self.stream.shutdown().await
    }

    async fn start(&mut self) -> io::Result<bool> {
        let input = timeout(FIRST_MESSAGE_LIMIT, self.read_input()).await;
        let (database, key) = match input {
            Ok(Ok(Some(CallerInput::Start { database, key }))) => (database, key),
            Ok(Ok(Some(CallerInput::End) | None)) | Err(_) => return Ok(false),
            Ok(Ok(Some(_))) => {
                self.queue_failure(malformed());
                self.flush().await?;
                return Ok(false);
            }
            Ok(Err(error)) => return Err(error),
        };
        self.await_configuration().await;
        self.database = database;
        self.key = key;
        if let Err(failure) = self.admission() {
            self.refuse_session(failure).await?;
            return Ok(false);
        }
        self.queue_ready();
        self.flush().await?;
        Ok(true)
    }

    /// Answers the first message with a failure and closes the connection.
    async fn refuse_session(&mut self, failure: Failure) -> io::Result<()> {
        self.node.counters.count("sessions", failure.code.as_str());
        let version = self.node.configuration_version();
        self.node.log(
            "session_refused",
            &[
                ("database", self.database.as_str().into()),
                ("configuration", version.into()),
                ("code", failure.code.as_str().into()),
            ],
        );
        self.queue_failure(failure);
        self.flush().await?;
        self.stream.shutdown().await
    }

    async fn await_configuration(&self) {
        if self.node.configuration().is_some() {
            return;
        }
        let changed = self.node.configuration_changed.notified();
        let _ = timeout(CONFIGURATION_WAIT, changed).await;
    }

    /// Waits for the next message, the transaction's idle timeout, or a reason to close the
    /// session.
    async fn next_event(&mut self) -> io::Result<SessionEvent> {
        loop {
            if let Some(input) = self.node.protocol.decode_caller(&mut self.incoming)? {
                return Ok(SessionEvent::Input(input));
            }
            self.end_evacuated_transaction();
            let stage = self.node.stop_stage();
            match self.state.phase {
                Phase::Idle if stage >= StopStage::CloseIdle => return Ok(SessionEvent::Close),
                Phase::Idle if self.caller_must_reconnect() => return Ok(SessionEvent::Close),
                _ if stage >= StopStage::EndTransactions => return Ok(SessionEvent::Close),
                _ => {}
            }
            let holds_connection = self
                .transaction
                .as_ref()
                .is_some_and(|transaction| transaction.lease.is_some());
            let idle_limit = if holds_connection {
                self.node.transaction_idle()
            } else {
                Duration::from_secs(3_600)
            };
            let node = Rc::clone(&self.node);
            tokio::select! {
                read = self.incoming.read_from(&mut self.stream, READ_CHUNK) => {
                    if read? == 0 {
                        return Ok(SessionEvent::Close);
                    }
                }
                () = node.stop_advanced.notified() => {}
                () = sleep(idle_limit) => return Ok(SessionEvent::TransactionIdle),
            }
        }
    }

    /// Returns whether the session should be closed so that its caller reconnects to another node:
    /// this node has been cut off since the session began.
    fn caller_must_reconnect(&self) -> bool {
        let since = self.node.unable_to_serve_since();
        since.is_some_and(|since| self.began_at < since)
    }

    async fn read_input(&mut self) -> io::Result<Option<CallerInput>> {
        loop {
            if let Some(input) = self.node.protocol.decode_caller(&mut self.incoming)? {
                return Ok(Some(input));
            }
            let read = self.incoming.read_from(&mut self.stream, READ_CHUNK);
            if read.await? == 0 {
                return Ok(None);
            }
        }
    }

    fn end_idle_transaction(&mut self) {
        self.node.counters.count("transactions_ended", "rested");
        self.node.log(
            "transaction_ended",
            &[
                ("database", self.database.as_str().into()),
                ("reason", "rested".into()),
            ],
        );
        self.transaction = None;
        self.state.phase = Phase::Failed;
    }

    /// Ends a transaction that is open at an evacuated database: its connection is closed, and the
    /// database rolls back.
    fn end_evacuated_transaction(&mut self) {
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        let database = transaction
            .lease
            .as_ref()
            .map(|lease| lease.pool().database());
        let Some(database) = database
            .filter(|database| self.node.is_in_evacuated_zone(database))
            .cloned()
        else {
            return;
        };
        transaction.lease = None;
        transaction.evacuated = true;
        self.node.note_transaction_evacuated(&database);
        self.node.log(
            "transaction_ended",
            &[
                ("database", self.database.as_str().into()),
                ("reason", "zone_evacuated".into()),
                ("held_at", database.as_str().into()),
            ],
        );
    }

    async fn answer(&mut self, id: Bytes, statement: Statement) {
        let arrived = self.node.now();
        if self.state.phase == Phase::Failed {
            self.answer_failed(&statement);
            return;
        }
        match statement {
            Statement::Begin { read_only } => self.begin(read_only, arrived),
            Statement::Rollback => self.rollback(),
            Statement::Commit => self.commit(id, arrived).await,
            Statement::Set { name, value } => self.set(name, value),
            Statement::Prepare { name, shape } => {
                if self.state.prepared.len() >= MAX_SESSION_ENTRIES {
                    self.refuse_statement(malformed());
                } else {
                    self.state.prepared.insert(name, shape);
                    self.answer_done();
                }
            }
            Statement::Deallocate { name } => {
                self.state.prepared.remove(&name);
                self.answer_done();
            }
            Statement::Run { access, text } => {
                let body = WorkBody::Text(text);
                self.run_work(Work { id, access, body }, arrived).await;
            }
            Statement::Execute { name, arguments } => {
                let Some(shape) = self.state.prepared.get(&name).cloned() else {
                    let text = "prepared name is not known";
                    self.refuse_statement(Failure::new(FailureCode::UnknownPrepared, text));
                    return;
                };
                let access = shape.access;
                let body = WorkBody::Prepared { shape, arguments };
                self.run_work(Work { id, access, body }, arrived).await;
            }
            Statement::Unknown => self.refuse_statement(malformed()),
        }
        let elapsed = self.node.now().since(arrived);
        self.node.counters.observe("statement", elapsed);
    }

    fn answer_failed(&mut self, statement: &Statement) {
        match statement {
            Statement::Rollback => {
                self.state.phase = Phase::Idle;
                self.answer_done();
            }
            Statement::Commit => {
                self.state.phase = Phase::Idle;
                self.queue_failure(rolled_back());
                self.queue_ready();
            }
            _ => {
                self.queue_failure(malformed());
                self.queue_ready();
            }
        }
    }

    fn begin(&mut self, read_only: bool, arrived: Timestamp) {
        if self.state.phase == Phase::InTransaction {
            self.refuse_statement(malformed());
            return;
        }
        let (route, principal) = match self.admission() {
            Ok(admitted) => admitted,
            Err(failure) => return self.refuse_statement(failure),
        };
        self.transaction = Some(Transaction {
            route,
            principal,
            began_at: arrived,
            read_only,
            opened_read_only: read_only,
            wrote: false,
            lease: None,
            evacuated: false,
        });
        self.state.phase = Phase::InTransaction;
        self.answer_done();
    }

    fn rollback(&mut self) {
        self.transaction = None;
        self.state.phase = Phase::Idle;
        self.answer_done();
    }

    fn set(&mut self, name: String, value: String) {
        let known = self.state.values.contains_key(&name);
        if !known && self.state.values.len() >= MAX_SESSION_ENTRIES {
            self.refuse_statement(malformed());
            return;
        }
        self.state.values.insert(name, value);
        self.answer_done();
    }

    async fn run_work(&mut self, work: Work, arrived: Timestamp) {
        match self.transaction.take() {
            Some(transaction) => self.run_in_transaction(work, arrived, transaction).await,
            None => self.run_single(work, arrived).await,
        }
    }

    /// Returns the routing context of a statement that arrived at `arrived`. The staleness bound of
    /// its reads counts back from `freshness_base`.
    fn request<'a>(
        &'a self,
        route: &'a Route,
        principal: &'a Principal,
        freshness_base: Timestamp,
        arrived: Timestamp,
    ) -> Request<'a> {
        Request {
            node: &self.node,
            state: &self.state,
            name: &self.database,
            route,
            principal,
            freshness_base,
            arrived,
            own_writes: &self.own_writes,
            read_timeouts: Cell::default(),
        }
    }

    /// Records a successful write or commit on `route`, for the session's later reads.
    fn record_write(&mut self, route: &Route, position: Option<PeriodPosition>) {
        let answered_at = self.node.now();
        self.own_writes.record(&route.group, position, answered_at);
    }

    async fn run_single(&mut self, work: Work, arrived: Timestamp) {
        let (route, principal) = match self.admission() {
            Ok(admitted) => admitted,
            Err(failure) => return self.refuse_statement(failure),
        };
        let request = self.request(&route, &principal, arrived, arrived);
        let outcome = request.run_single(&work).await;
        match outcome {
            Ok((answer, database)) => {
                if work.access == Access::Write && answer.result.is_ok() {
                    let position = request.written_position(&database, &answer);
                    self.record_write(&route, position);
                }
                self.forward_answer(answer);
            }
            Err(failure) => self.queue_failure(failure),
        }
        self.queue_ready();
    }

    async fn run_in_transaction(
        &mut self,
        work: Work,
        arrived: Timestamp,
        mut transaction: Transaction,
    ) {
        if let Some(failure) = self.transaction_failure(&transaction) {
            self.state.phase = Phase::Failed;
            self.queue_failure(failure);
            self.queue_ready();
            return;
        }
        let route = Rc::clone(&transaction.route);
        let principal = transaction.principal.clone();
        let request = self.request(&route, &principal, transaction.began_at, arrived);
        let is_write_without_primary = transaction.is_write_without_primary(work.access);
        let outcome = match &mut transaction.lease {
            Some(_) if is_write_without_primary => Err(request.refuse_write_outside_regions(&work)),
            Some(lease) => request.run_next_in_transaction(&work, lease).await,
            None => {
                let first = request
                    .run_first_in_transaction(&work, transaction.read_only)
                    .await;
                first.map(|executed| {
                    transaction.lease = Some(executed.lease);
                    transaction.opened_read_only |= executed.opened_read_only;
                    executed.answer
                })
            }
        };
        match outcome {
            Ok(answer) if answer.result.is_ok() && answer.phase == Phase::InTransaction => {
                transaction.wrote |= work.access == Access::Write;
                self.transaction = Some(transaction);
                self.forward_answer(answer);
            }
            Ok(answer) => {
                self.state.phase = Phase::Failed;
                self.forward_answer(answer);
            }
            Err(failure) => {
                self.state.phase = Phase::Failed;
                self.queue_failure(failure);
            }
        }
        self.queue_ready();
    }

    async fn commit(&mut self, id: Bytes, arrived: Timestamp) {
        let Some(mut transaction) = self.transaction.take() else {
            self.answer_done();
            return;
        };
        self.state.phase = Phase::Idle;
        if transaction.evacuated {
            self.queue_failure(rolled_back());
            self.queue_ready();
            return;
        }
        let Some(mut lease) = transaction.lease.take() else {
            self.answer_done();
            return;
        };
        if let Some(failure) = self.transaction_failure(&transaction) {
            drop(lease);
            self.queue_failure(failure);
            self.queue_ready();
            return;
        }
        let route = Rc::clone(&transaction.route);
        let principal = transaction.principal.clone();
        let request = self.request(&route, &principal, transaction.began_at, arrived);
        match request.commit(&id, &mut lease, transaction.wrote).await {
            Ok(answer) => {
                if transaction.wrote && answer.result.is_ok() {
                    let position = request.written_position(lease.pool().database(), &answer);
                    self.record_write(&route, position);
                }
                self.forward_answer(answer);
            }
            Err(failure) => self.queue_failure(failure),
        }
        self.queue_ready();
    }

    fn forward_answer(&mut self, answer: Answer) {
        for row in answer.rows {
            self.queue_output(&CallerOutput::Row(row));
        }
        match answer.result {
            Ok(signature) => {
                self.node.counters.count("statements", "served");
                self.queue_output(&CallerOutput::Done(signature));
            }
            Err(failure) => self.queue_failure(failure),
        }
    }

    fn answer_done(&mut self) {
        self.queue_output(&CallerOutput::Done(Bytes::new()));
        self.queue_ready();
    }

    /// Refuses a statement without sending it to a database; an open transaction fails.
    fn refuse_statement(&mut self, failure: Failure) {
        if self.state.phase == Phase::InTransaction {
            self.transaction = None;
            self.state.phase = Phase::Failed;
        }
        self.queue_failure(failure);
        self.queue_ready();
    }

    /// Counts a failure and queues it as the answer to the statement.
    fn queue_failure(&mut self, failure: Failure) {
        self.node
            .counters
            .count("statements_failed", failure.code.as_str());
        self.queue_output(&CallerOutput::Failure(failure));
    }

    fn queue_ready(&mut self) {
        self.queue_output(&CallerOutput::Ready(self.state.phase));
    }

    fn queue_output(&mut self, output: &CallerOutput) {
        self.node.protocol.encode_caller(output, &mut self.outgoing);
    }

    async fn flush(&mut self) -> io::Result<()> {
        let outgoing = self.outgoing.split();
        timeout(WRITE_LIMIT, self.stream.write_all(&outgoing))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}
