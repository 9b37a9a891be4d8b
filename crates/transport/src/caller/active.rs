//! One transaction in progress: its request machine, its connection and what is in
//! flight on it.

use std::collections::{BTreeSet, VecDeque};
use std::future::Future;
use std::pin::Pin;

use hookpoint_coordination::request::{Access, RequestEvent, RequestMachine, UnitResult};
use hookpoint_coordination::status::{BackendStatus, Role};
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::errors::BackendError;
use hookpoint_protocol::extended;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::reply::{self, TransactionStatus};
use hookpoint_protocol::status_query::StatusCollector;
use hookpoint_protocol::tags::{backend, frontend};
use hookpoint_state::{DatabaseName, Position, Refusal, RequestId, Timestamp, UnknownCause};
use tokio::sync::mpsc;

use crate::caller::answer::{Answer, Step};
use crate::caller::drain;
use crate::caller::flight::{Flight, Section};
use crate::caller::unit::{Translation, UnitPlan};
use crate::lease::BackendLease;

/// A wait that can be given up by dropping it.
pub type Pending<T> = Option<Pin<Box<dyn Future<Output = T> + Send>>>;

/// How often a read begins anew after its connection broke.
const RESTART_LIMIT: u32 = 4;
/// How often a status query behind a unit may fail.
const PROBE_FAILURE_LIMIT: u32 = 3;
/// SQLSTATE of a duplicate key.
const UNIQUE_VIOLATION: &str = "23505";

/// How a transaction ended without an answer of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It did not run.
    Refused(Refusal),
    /// Nobody can tell.
    Unknown(UnknownCause),
    /// The caller cancelled it before it was sent.
    Cancelled,
    /// The caller has been told already.
    Told,
}

/// One transaction in progress.
pub struct ActiveTransaction {
    /// The machine that decides.
    pub machine: RequestMachine,
    /// The unit in progress.
    pub plan: UnitPlan,
    /// Its answer.
    pub answer: Answer,
    /// Whether it began as a read and is carried as one to its end.
    pub reads: bool,
    /// Whether its connection leads to a replica.
    pub by_replica: bool,
    /// Whether it has used savepoints.
    pub savepoints: bool,
    /// What is in flight.
    pub flight: Flight,
    /// The connection, once granted.
    pub lease: Option<BackendLease>,
    /// Whether the connection has the session's parameters.
    pub settled: bool,
    /// Whether state may have been left on the connection.
    pub dirty: bool,
    /// Database the wait for a connection is about.
    pub acquiring: Option<DatabaseName>,
    /// The wait for a connection.
    pub acquire: Pending<Result<BackendLease, Refusal>>,
    /// The wait for a verified term.
    pub verify: Pending<Option<Position>>,
    /// The wait for a database's status, on another connection than the released one.
    pub evidence: Pending<(DatabaseName, Option<BackendStatus>)>,
    /// When the machine's timer fires; while set, changes of view are reported too.
    pub timer: Option<Timestamp>,
    /// When the next status query is sent.
    pub probe_at: Option<Timestamp>,
    /// When the status query ahead of a read has to be answered.
    pub check_due: Option<Timestamp>,
    /// How it ended without an answer.
    pub failure: Option<Failure>,
    /// Whether the machine has ended.
    pub finished: bool,
    /// Whether the connection broke between two units.
    pub lost_while_idle: bool,
    /// Connections that broke while they served this transaction.
    pub losses: u32,
    /// Whether one broke since a connection was last asked for.
    pub lost_last: bool,
    /// Identifier to be put into the ledger with the current unit.
    pub mark: Option<RequestId>,
    /// Identifiers already in the ledger by this transaction.
    pub marked: BTreeSet<RequestId>,
    restarts: u32,
    failed_probes: u32,
    collector: StatusCollector,
    ledger_error: Option<String>,
    commit_error: Option<Frame>,
    commit_rolled_back: bool,
}

/// What a reply told.
pub enum Observed {
    /// An event for the machine.
    Event(RequestEvent),
    /// A status of the database, to be shared.
    Status(DatabaseName, BackendStatus),
}

impl ActiveTransaction {
    /// A transaction whose first unit is `plan`.
    pub fn new(machine: RequestMachine, plan: UnitPlan, mark: Option<RequestId>) -> Self {
        Self {
            reads: plan.unit(false, mark.is_some()).access == Access::Read,
            by_replica: false,
            savepoints: plan.traits.savepoints,
            machine,
            plan,
            answer: Answer::default(),
            flight: Flight::default(),
            lease: None,
            settled: false,
            dirty: false,
            acquiring: None,
            acquire: None,
            verify: None,
            timer: None,
            evidence: None,
            probe_at: None,
            check_due: None,
            failure: None,
            finished: false,
            lost_while_idle: false,
            losses: 0,
            lost_last: false,
            mark,
            marked: BTreeSet::new(),
            restarts: 0,
            failed_probes: 0,
            collector: StatusCollector::default(),
            ledger_error: None,
            commit_error: None,
            commit_rolled_back: false,
        }
    }

    /// Takes the next unit of the transaction.
    pub fn next_unit(&mut self, plan: UnitPlan, mark: Option<RequestId>) {
        self.savepoints |= plan.traits.savepoints;
        self.plan = plan;
        self.mark = mark.filter(|request| !self.marked.contains(request));
        self.answer = Answer::default();
        self.ledger_error = None;
    }

    /// Prepares for an attempt to send the current unit.
    pub fn begin_attempt(&mut self, hold_end: bool) {
        self.answer = Answer::new(self.plan.simple, self.plan.steps.clone(), hold_end);
        self.ledger_error = None;
        self.commit_error = None;
        self.commit_rolled_back = false;
    }

    /// The end of the wait for a connection.
    pub fn leased(&mut self, result: Result<BackendLease, Refusal>) -> RequestEvent {
        let asked = self.acquiring.take().unwrap_or_default();
        match result {
            Ok(lease) => {
                let database = lease.database.clone();
                self.lease = Some(lease);
                RequestEvent::LeaseGranted { database }
            }
            Err(refusal) => RequestEvent::LeaseRefused {
                database: asked,
                refusal,
            },
        }
    }

    /// Relays a message of the caller as it is.
    pub fn relay(&mut self, frame: &Frame) {
        let command = BackendCommand::Frames(vec![frame.clone()]);
        self.flight.outgoing.push_back(command);
    }

    /// Sends a further message of a unit that goes on.
    pub fn follow(&mut self, tag: u8, translation: Translation) {
        if tag == frontend::SYNC {
            self.plan.open = false;
            self.plan.ready = true;
        }
        let traits = &self.plan.traits;
        self.dirty |= traits.leaves_state || !traits.settings.is_empty();
        if let Some(step) = translation.step {
            self.answer.expect(step);
        }
        self.flight.outgoing.extend(translation.commands);
    }

    /// Whether a read whose connection broke may begin anew: nothing of its answer has
    /// reached the caller.
    pub fn may_begin_anew(&self) -> bool {
        let unit = self.plan.unit(false, self.mark.is_some());
        unit.access == Access::Read
            && self.restarts < RESTART_LIMIT
            && self.answer.is_delivering()
            && !self.answer.has_flowed()
            && self.answer.ending().is_none()
    }

    /// Begins the transaction anew with `machine`.
    pub fn begin_anew(&mut self, machine: RequestMachine) {
        self.restarts += 1;
        self.machine = machine;
        self.begin_attempt(false);
        self.release(false);
    }

    /// A simple query ends the messages of a unit that is open, as a `Sync` would, but
    /// without an answer of its own.
    pub fn end_by_query(&mut self) {
        self.plan.open = false;
        self.plan.ready = false;
        self.answer.expect(Step::Sync);
        self.relay(&extended::sync());
    }

    /// Whether nothing that is still to come could move the unit on.
    pub fn waits_for_nothing(&self) -> bool {
        self.lease.is_none() && !self.machine_is_busy()
    }

    /// Whether the machine waits for something although the answer is complete.
    pub fn machine_is_busy(&self) -> bool {
        self.acquire.is_some()
            || self.verify.is_some()
            || self.evidence.is_some()
            || self.timer.is_some()
    }

    /// Whether what the caller sends belongs to the current unit.
    pub fn takes_input(&self) -> bool {
        self.lease.is_some()
            && self.answer.ending().is_none()
            && (self.plan.open || self.answer.is_copying())
    }

    /// Hands commands to the connection as far as it has room.
    pub fn hand_over(&mut self) {
        let Some(lease) = &self.lease else {
            return;
        };
        while let Some(command) = self.flight.outgoing.pop_front() {
            match lease.commands.try_send(command) {
                Ok(()) => {}
                Err(mpsc::error::TrySendError::Full(command)) => {
                    self.flight.outgoing.push_front(command);
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(_)) => return,
            }
        }
    }

    /// Takes a reply of the connection, or its end.
    pub fn reply(&mut self, reply: Option<BackendReply>, observed: &mut VecDeque<Observed>) {
        match reply {
            Some(BackendReply::Frames(frames)) => {
                for frame in frames {
                    self.frame(frame, observed);
                }
                if self.answer.overflowed() || self.is_stuck() {
                    log::warn!("caller: an answer is larger than what may be held back.");
                    self.lose_connection(observed);
                }
                self.hand_over();
            }
            Some(BackendReply::Refused(refusal)) => self.lose_lease(refusal, observed),
            Some(BackendReply::Lost) | None => self.lose_connection(observed),
        }
    }

    /// Takes a reply that comes between two units: the rest of one that failed, or the
    /// end of the connection.
    pub fn reply_while_idle(&mut self, reply: Option<BackendReply>) {
        let mut observed = VecDeque::new();
        self.reply(reply, &mut observed);
        let lost = |item: &Observed| matches!(item, Observed::Event(RequestEvent::ConnectionLost));
        self.lost_while_idle |= observed.iter().any(lost);
    }

    /// Whether nothing can move any more: the answer fills its buffer while the
    /// machine still waits for its end.
    fn is_stuck(&self) -> bool {
        !self.answer.has_room()
            && !self.answer.is_delivering()
            && self.flight.sections.front() == Some(&Section::Unit)
    }

    /// The home refused a lease on which commands were sent early; none of them ran.
    fn lose_lease(&mut self, refusal: Refusal, observed: &mut VecDeque<Observed>) {
        let lease = self.lease.take();
        self.flight = Flight::default();
        observed.push_back(Observed::Event(RequestEvent::LeaseRefused {
            database: lease.map(|lease| lease.database).unwrap_or_default(),
            refusal,
        }));
    }

    fn lose_connection(&mut self, observed: &mut VecDeque<Observed>) {
        self.lease = None;
        self.check_due = None;
        self.flight = Flight::default();
        observed.push_back(Observed::Event(RequestEvent::ConnectionLost));
    }

    fn frame(&mut self, frame: Frame, observed: &mut VecDeque<Observed>) {
        if BackendError::from_frame(&frame).is_some_and(|error| error.is_fatal()) {
            return;
        }
        let Some(section) = self.flight.sections.front().copied() else {
            return;
        };
        let ends = frame.tag == backend::READY_FOR_QUERY;
        match section {
            Section::Check | Section::Probe => self.status_frame(section, &frame, observed),
            Section::Stale => {}
            Section::Begin | Section::Ledger => self.ledger_frame(&frame),
            Section::Unit => self.unit_frame(frame, observed),
            Section::Commit => self.commit_frame(frame, observed),
        }
        if ends {
            self.flight.sections.pop_front();
        }
    }

    fn status_frame(&mut self, section: Section, frame: &Frame, observed: &mut VecDeque<Observed>) {
        let Some(result) = self.collector.push(frame) else {
            return;
        };
        self.check_due = None;
        let Ok(status) = result else {
            return self.status_failed(section, observed);
        };
        self.by_replica = status.role == Role::Replica;
        if let Some(lease) = &self.lease {
            observed.push_back(Observed::Status(lease.database.clone(), status.clone()));
        }
        observed.push_back(Observed::Event(match section {
            Section::Check => RequestEvent::CheckAnswered { status },
            _ => RequestEvent::ProbeAnswered { status },
        }));
    }

    /// A cancel request that came late may have hit the status query behind the unit;
    /// it is asked again then.
    fn status_failed(&mut self, section: Section, observed: &mut VecDeque<Observed>) {
        if section == Section::Probe && self.failed_probes < PROBE_FAILURE_LIMIT {
            self.failed_probes += 1;
            self.flight.probe();
        } else {
            self.lose_connection(observed);
        }
    }

    fn ledger_frame(&mut self, frame: &Frame) {
        if self.ledger_error.is_none() {
            self.ledger_error = BackendError::from_frame(frame).map(|error| error.sqlstate);
        }
    }

    fn unit_frame(&mut self, frame: Frame, observed: &mut VecDeque<Observed>) {
        let ends = frame.tag == backend::READY_FOR_QUERY;
        if frame.tag == backend::COPY_IN_RESPONSE && !self.plan.simple {
            self.plan.open = true;
        }
        if self.ledger_error.is_none() || ends {
            self.answer.push(frame);
        }
        if ends {
            self.flight.unit_sent();
        }
        let wrapped = self.flight.sections.get(1) == Some(&Section::Commit);
        if ends && !wrapped {
            self.unit_ended(observed);
        }
    }

    fn commit_frame(&mut self, frame: Frame, observed: &mut VecDeque<Observed>) {
        match frame.tag {
            backend::ERROR => self.commit_error = Some(frame),
            backend::COMMAND_COMPLETE => {
                self.commit_rolled_back = reply::command_tag(&frame) == Some("ROLLBACK");
            }
            backend::READY_FOR_QUERY => {
                let failed = self
                    .answer
                    .ending()
                    .is_some_and(|end| end.sqlstate.is_some());
                if let Some(error) = self.commit_error.take() {
                    self.answer.fail_end(error, TransactionStatus::Idle);
                } else if self.commit_rolled_back && !failed && self.ledger_error.is_none() {
                    self.lose_connection(observed);
                    return;
                } else {
                    self.answer.set_status(TransactionStatus::Idle);
                }
                self.unit_ended(observed);
            }
            _ => {}
        }
    }

    fn unit_ended(&mut self, observed: &mut VecDeque<Observed>) {
        let Some(ending) = self.answer.ending() else {
            return;
        };
        let sqlstate = self
            .ledger_error
            .clone()
            .or_else(|| ending.sqlstate.clone());
        let result = match sqlstate {
            Some(sqlstate) if !ending.committed => UnitResult::Failed { sqlstate },
            _ => UnitResult::Succeeded,
        };
        let in_transaction = ending.status.is_open();
        if in_transaction && matches!(result, UnitResult::Failed { .. }) {
            self.answer.release_end();
            self.flight.forget_probes();
        }
        observed.push_back(Observed::Event(RequestEvent::UnitFinished {
            result,
            in_transaction,
        }));
    }

    /// Why the ledger did not take the request's identifier, if it did not.
    pub fn ledger_refusal(&self) -> Option<Refusal> {
        let sqlstate = self.ledger_error.as_deref()?;
        Some(if sqlstate == UNIQUE_VIOLATION {
            Refusal::AlreadyRan
        } else {
            Refusal::BackendRefused {
                sqlstate: sqlstate.to_owned(),
            }
        })
    }

    /// Gives the connection back. What is still in flight on it is read to its end
    /// first, by a task of its own.
    pub fn release(&mut self, reusable: bool) {
        self.check_due = None;
        let flight = std::mem::take(&mut self.flight);
        self.settled = false;
        self.collector = StatusCollector::default();
        let Some(lease) = self.lease.take() else {
            return;
        };
        let discard = std::mem::take(&mut self.dirty);
        let whole = flight.outgoing.is_empty();
        drain::release(lease, flight.sections.len(), reusable && whole, discard);
    }
}
