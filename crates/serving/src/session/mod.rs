//! One caller's session: its messages in, its answers out, in order.

mod admission;

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hookpoint_coordination::serving::leadership::ReignPosition;
use hookpoint_coordination::serving::session::{Access, Phase, SessionState};
use hookpoint_coordination::serving::tenancy::{KeyDigest, Principal};
use hookpoint_coordination::serving::topology::Route;
use hookpoint_state::Timestamp;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::connection::Answer;
use crate::lease::Lease;
use crate::message::{CallerInput, CallerOutput, Failure, FailureCode, Statement};
use crate::node::Node;
use crate::shutdown::StopStage;
use crate::statement::{Request, Work, WorkBody, rolled_back};

/// How long a new session waits for the first configuration.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// How long one answer may take to be written to a slow caller.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// How long a new connection may stay silent before its first message.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Bytes read at once.
const READ_CHUNK: usize = 4 << 10;
/// Prepared names and values that one session may hold.
const MAX_SESSION_ENTRIES: usize = 256;

/// An open transaction of the caller's.
struct Transaction {
    route: Rc<Route>,
    principal: Principal,
    began_at: Timestamp,
    read_only: bool,
    /// Whether its connection is one for reading, asked for or not.
    reads_only: bool,
    wrote: bool,
    lease: Option<Lease>,
    /// Whether it was ended because its database is shut; its caller learns that with the next
    /// statement.
    ended: bool,
}

impl Transaction {
    /// Whether it was opened to write and cannot, as the primary stands outside the regions
    /// that it is confined to.
    fn lacks_primary(&self, access: Access) -> bool {
        access == Access::Write && self.reads_only && !self.read_only
    }
}

/// Serves one accepted connection until it ends.
pub async fn serve(node: Rc<Node>, stream: TcpStream) {
    node.sessions.set(node.sessions.get() + 1);
    node.counters.count("sessions", "accepted");
    let _ = stream.set_nodelay(true);
    let mut session = Session {
        node: Rc::clone(&node),
        began_at: node.now(),
        stream,
        incoming: BytesMut::new(),
        outgoing: BytesMut::new(),
        database: String::new(),
        key: KeyDigest::of(&[]),
        state: SessionState::default(),
        own_position: None,
        transaction: None,
    };
    let outcome = session.run().await;
    if outcome.is_err() {
        node.counters.count("sessions", "broken");
    }
    node.sessions.set(node.sessions.get() - 1);
}

/// What the session loop does next.
enum Next {
    Input(CallerInput),
    Close,
    TransactionRested,
}

struct Session {
    node: Rc<Node>,
    began_at: Timestamp,
    stream: TcpStream,
    incoming: BytesMut,
    outgoing: BytesMut,
    database: String,
    /// Which key the caller named.
    key: KeyDigest,
    state: SessionState,
    own_position: Option<ReignPosition>,
    transaction: Option<Transaction>,
}

impl Session {
    async fn run(&mut self) -> io::Result<()> {
        if !self.start().await? {
            return Ok(());
        }
        loop {
            match self.next().await? {
                Next::Close => break,
                Next::TransactionRested => self.fail_transaction(),
                Next::Input(CallerInput::End) => break,
                Next::Input(CallerInput::Query { id, statement }) => {
                    self.answer(id, statement).await;
                    self.flush().await?;
                }
                Next::Input(CallerInput::TooLarge) => {
                    self.fail(Failure::new(FailureCode::TooLarge, "message too large"));
                    self.flush().await?;
                    break;
                }
                Next::Input(CallerInput::Malformed | CallerInput::Start { .. }) => {
                    self.fail(malformed());
                    self.ready();
                    self.flush().await?;
                }
            }
        }
        self.stream.shutdown().await
    }

    async fn start(&mut self) -> io::Result<bool> {
        let input = timeout(START_LIMIT, self.read_input()).await;
        let (database, key) = match input {
            Ok(Ok(Some(CallerInput::Start { database, key }))) => (database, key),
            Ok(Ok(Some(CallerInput::End) | None)) | Err(_) => return Ok(false),
            Ok(Ok(Some(_))) => {
                self.fail(malformed());
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
        self.ready();
        self.flush().await?;
        Ok(true)
    }

    /// Answers the first message with a failure and closes.
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
        self.fail(failure);
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

    /// Waits for a message, the end of a rest, or a stop that concerns this session.
    async fn next(&mut self) -> io::Result<Next> {
        loop {
            if let Some(input) = self.node.protocol.decode_caller(&mut self.incoming)? {
                return Ok(Next::Input(input));
            }
            self.end_evacuated_transaction();
            let stage = self.node.stop_stage();
            match self.state.phase {
                Phase::Idle if stage >= StopStage::CloseIdle => return Ok(Next::Close),
                Phase::Idle if self.moves() => return Ok(Next::Close),
                _ if stage >= StopStage::EndTransactions => return Ok(Next::Close),
                _ => {}
            }
            let holds = self
                .transaction
                .as_ref()
                .is_some_and(|transaction| transaction.lease.is_some());
            let rest_limit = if holds {
                self.node.transaction_idle()
            } else {
                Duration::from_secs(3_600)
            };
            self.incoming.reserve(READ_CHUNK);
            let node = Rc::clone(&self.node);
            tokio::select! {
                read = self.stream.read_buf(&mut self.incoming) => {
                    if read? == 0 {
                        return Ok(Next::Close);
                    }
                }
                () = node.stop_advanced.notified() => {}
                () = sleep(rest_limit) => return Ok(Next::TransactionRested),
            }
        }
    }

    /// Whether the session should go on at another node: this one has been cut off since
    /// the session began.
    fn moves(&self) -> bool {
        let since = self.node.sessions_move_since();
        since.is_some_and(|since| self.began_at < since)
    }

    async fn read_input(&mut self) -> io::Result<Option<CallerInput>> {
        loop {
            if let Some(input) = self.node.protocol.decode_caller(&mut self.incoming)? {
                return Ok(Some(input));
            }
            if self.stream.read_buf(&mut self.incoming).await? == 0 {
                return Ok(None);
            }
        }
    }

    fn fail_transaction(&mut self) {
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

    /// Ends a transaction that is open at a database which is shut: its connection closes, and
    /// the database rolls back.
    fn end_evacuated_transaction(&mut self) {
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        let database = transaction
            .lease
            .as_ref()
            .map(|lease| lease.pool().database());
        let Some(database) = database
            .filter(|database| self.node.is_shut(database))
            .cloned()
        else {
            return;
        };
        transaction.lease = None;
        transaction.ended = true;
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
                    self.refuse_locally(malformed());
                } else {
                    self.state.prepared.insert(name, shape);
                    self.done_locally();
                }
            }
            Statement::Deallocate { name } => {
                self.state.prepared.remove(&name);
                self.done_locally();
            }
            Statement::Run { access, text } => {
                let body = WorkBody::Text(text);
                self.run_work(Work { id, access, body }, arrived).await;
            }
            Statement::Execute { name, arguments } => {
                let Some(shape) = self.state.prepared.get(&name).cloned() else {
                    let text = "prepared name is not known";
                    self.refuse_locally(Failure::new(FailureCode::UnknownPrepared, text));
                    return;
                };
                let access = shape.access;
                let body = WorkBody::Prepared { shape, arguments };
                self.run_work(Work { id, access, body }, arrived).await;
            }
            Statement::Unknown => self.refuse_locally(malformed()),
        }
        let elapsed = self.node.now().since(arrived);
        self.node.counters.observe("statement", elapsed);
    }

    fn answer_failed(&mut self, statement: &Statement) {
        match statement {
            Statement::Rollback => {
                self.state.phase = Phase::Idle;
                self.done_locally();
            }
            Statement::Commit => {
                self.state.phase = Phase::Idle;
                self.fail(rolled_back());
                self.ready();
            }
            _ => {
                self.fail(malformed());
                self.ready();
            }
        }
    }

    fn begin(&mut self, read_only: bool, arrived: Timestamp) {
        if self.state.phase == Phase::InTransaction {
            self.refuse_locally(malformed());
            return;
        }
        let (route, principal) = match self.admission() {
            Ok(admitted) => admitted,
            Err(failure) => return self.refuse_locally(failure),
        };
        self.transaction = Some(Transaction {
            route,
            principal,
            began_at: arrived,
            read_only,
            reads_only: read_only,
            wrote: false,
            lease: None,
            ended: false,
        });
        self.state.phase = Phase::InTransaction;
        self.done_locally();
    }

    fn rollback(&mut self) {
        self.transaction = None;
        self.state.phase = Phase::Idle;
        self.done_locally();
    }

    fn set(&mut self, name: String, value: String) {
        let known = self.state.values.contains_key(&name);
        if !known && self.state.values.len() >= MAX_SESSION_ENTRIES {
            self.refuse_locally(malformed());
            return;
        }
        self.state.values.insert(name, value);
        self.done_locally();
    }

    async fn run_work(&mut self, work: Work, arrived: Timestamp) {
        match self.transaction.take() {
            Some(transaction) => self.run_in_transaction(work, arrived, transaction).await,
            None => self.run_single(work, arrived).await,
        }
    }

    /// A request of this session that arrived at `arrived`; what it reads is to be as fresh as
    /// asked for at `fresh_from`.
    fn request<'a>(
        &'a self,
        route: &'a Route,
        principal: &'a Principal,
        fresh_from: Timestamp,
        arrived: Timestamp,
    ) -> Request<'a> {
        Request {
            node: &self.node,
            state: &self.state,
            name: &self.database,
            route,
            principal,
            fresh_from,
            arrived,
            own_position: self.own_position,
            reads_timed_out: Cell::default(),
        }
    }

    async fn run_single(&mut self, work: Work, arrived: Timestamp) {
        let (route, principal) = match self.admission() {
            Ok(admitted) => admitted,
            Err(failure) => return self.refuse_locally(failure),
        };
        let request = self.request(&route, &principal, arrived, arrived);
        let outcome = request.run_single(&work).await;
        match outcome {
            Ok((answer, database)) => {
                if work.access == Access::Write {
                    let written = request.written_position(&database, &answer);
                    self.own_position = written.or(self.own_position);
                }
                self.pass_on(answer);
            }
            Err(failure) => self.fail(failure),
        }
        self.ready();
    }

    async fn run_in_transaction(
        &mut self,
        work: Work,
        arrived: Timestamp,
        mut transaction: Transaction,
    ) {
        if let Some(failure) = self.denial_of(&transaction) {
            self.state.phase = Phase::Failed;
            self.fail(failure);
            self.ready();
            return;
        }
        let route = Rc::clone(&transaction.route);
        let principal = transaction.principal.clone();
        let request = self.request(&route, &principal, transaction.began_at, arrived);
        let lacks_primary = transaction.lacks_primary(work.access);
        let outcome = match &mut transaction.lease {
            Some(_) if lacks_primary => Err(request.refuse_write_inside(&work)),
            Some(lease) => request.run_in(&work, lease).await,
            None => {
                let first = request.run_first(&work, transaction.read_only).await;
                first.map(|ran| {
                    transaction.lease = Some(ran.lease);
                    transaction.reads_only |= ran.reads_only;
                    ran.answer
                })
            }
        };
        match outcome {
            Ok(answer) if answer.result.is_ok() && answer.phase == Phase::InTransaction => {
                transaction.wrote |= work.access == Access::Write;
                self.transaction = Some(transaction);
                self.pass_on(answer);
            }
            Ok(answer) => {
                self.state.phase = Phase::Failed;
                self.pass_on(answer);
            }
            Err(failure) => {
                self.state.phase = Phase::Failed;
                self.fail(failure);
            }
        }
        self.ready();
    }

    async fn commit(&mut self, id: Bytes, arrived: Timestamp) {
        let Some(mut transaction) = self.transaction.take() else {
            self.done_locally();
            return;
        };
        self.state.phase = Phase::Idle;
        if transaction.ended {
            self.fail(rolled_back());
            self.ready();
            return;
        }
        let Some(mut lease) = transaction.lease.take() else {
            self.done_locally();
            return;
        };
        if let Some(failure) = self.denial_of(&transaction) {
            drop(lease);
            self.fail(failure);
            self.ready();
            return;
        }
        let route = Rc::clone(&transaction.route);
        let principal = transaction.principal.clone();
        let request = self.request(&route, &principal, transaction.began_at, arrived);
        match request.commit(&id, &mut lease, transaction.wrote).await {
            Ok(answer) => {
                if transaction.wrote {
                    let written = request.written_position(lease.pool().database(), &answer);
                    self.own_position = written.or(self.own_position);
                }
                self.pass_on(answer);
            }
            Err(failure) => self.fail(failure),
        }
        self.ready();
    }

    fn pass_on(&mut self, answer: Answer) {
        for row in answer.rows {
            self.put(&CallerOutput::Row(row));
        }
        match answer.result {
            Ok(signature) => {
                self.node.counters.count("statements", "served");
                self.put(&CallerOutput::Done(signature));
            }
            Err(failure) => self.fail(failure),
        }
    }

    fn done_locally(&mut self) {
        self.put(&CallerOutput::Done(Bytes::new()));
        self.ready();
    }

    /// Refuses a statement that this node judges itself; an open transaction fails.
    fn refuse_locally(&mut self, failure: Failure) {
        if self.state.phase == Phase::InTransaction {
            self.transaction = None;
            self.state.phase = Phase::Failed;
        }
        self.fail(failure);
        self.ready();
    }

    fn fail(&mut self, failure: Failure) {
        self.node
            .counters
            .count("statements_failed", failure.code.as_str());
        self.put(&CallerOutput::Failure(failure));
    }

    fn ready(&mut self) {
        self.put(&CallerOutput::Ready(self.state.phase));
    }

    fn put(&mut self, output: &CallerOutput) {
        self.node.protocol.encode_caller(output, &mut self.outgoing);
    }

    async fn flush(&mut self) -> io::Result<()> {
        let outgoing = self.outgoing.split();
        timeout(WRITE_LIMIT, self.stream.write_all(&outgoing))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

fn malformed() -> Failure {
    Failure::new(FailureCode::Malformed, "not accepted here")
}

/// The answer of a node that does not know yet which routes there are.
fn not_configured() -> Failure {
    let text = "no configuration yet; retry after 500 ms";
    Failure::new(FailureCode::Overloaded, text)
}

fn no_such_database() -> Failure {
    Failure::new(FailureCode::NoSuchDatabase, "no route has this name")
}
