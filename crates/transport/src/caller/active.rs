//! State of one transaction in progress: its request machine, its connection and the
//! commands and replies in flight.

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
use crate::caller::pipeline::{Pipeline, Section};
use crate::caller::unit::{Translation, UnitPlan};
use crate::lease::BackendLease;

/// An optional pending operation; dropping the future cancels it.
pub type Pending<T> = Option<Pin<Box<dyn Future<Output = T> + Send>>>;

/// Maximum number of times a read is restarted after its connection broke.
const RESTART_LIMIT: u32 = 4;
/// Maximum number of times a failed status query behind a unit is sent again.
const PROBE_FAILURE_LIMIT: u32 = 3;
/// SQLSTATE `unique_violation`.
const UNIQUE_VIOLATION: &str = "23505";

/// Why a transaction ended without an answer from a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The request did not run.
    Refused(Refusal),
    /// It is not known whether the request ran.
    Unknown(UnknownCause),
    /// The caller cancelled the request before it was sent.
    Cancelled,
    /// An error was already sent to the caller.
    AlreadyReported,
}

/// One transaction in progress.
pub struct ActiveTransaction {
    /// State machine that decides how the request proceeds.
    pub machine: RequestMachine,
    /// The current unit.
    pub plan: UnitPlan,
    /// Answer to the current unit.
    pub answer: Answer,
    /// Whether the transaction began as a read; it must then stay read-only to its end.
    pub read_only: bool,
    /// Whether the connection leads to a replica, as its last status query reported.
    pub on_replica: bool,
    /// Whether the transaction has used savepoints.
    pub savepoints: bool,
    /// Commands to be sent and replies still to be read for the current unit.
    pub pipeline: Pipeline,
    /// The leased connection; `None` until one is granted and after it is released or
    /// lost.
    pub lease: Option<BackendLease>,
    /// Whether the session's run-time parameters have been applied to the connection.
    pub settings_applied: bool,
    /// Whether the transaction may have left session state on the connection.
    pub dirty: bool,
    /// Database whose connection is being acquired.
    pub requested_database: Option<DatabaseName>,
    /// Pending acquisition of a connection.
    pub acquire: Pending<Result<BackendLease, Refusal>>,
    /// Pending verification of the leadership term.
    pub verify: Pending<Option<Position>>,
    /// Pending status query to a database, on another connection than the released one.
    pub status_query: Pending<(DatabaseName, Option<BackendStatus>)>,
    /// When the machine's timer fires. While it is set, view changes are reported to the
    /// machine too.
    pub timer: Option<Timestamp>,
    /// When the next status query is sent.
    pub probe_at: Option<Timestamp>,
    /// Deadline for the answer to the status query ahead of a read.
    pub check_due: Option<Timestamp>,
    /// Why the transaction ended without an answer, if it did.
    pub failure: Option<Failure>,
    /// Whether the machine has reached its final state.
    pub finished: bool,
    /// Whether the connection broke between two units.
    pub lost_while_idle: bool,
    /// Number of connections that broke while they served this transaction.
    pub lost_connections: u32,
    /// Whether a connection broke since the last acquisition.
    pub lost_since_acquire: bool,
    /// Request identifier to be written to the ledger with the current unit.
    pub ledger_id: Option<RequestId>,
    /// Request identifiers that this transaction has already written to the ledger.
    pub recorded_ids: BTreeSet<RequestId>,
    restarts: u32,
    failed_probes: u32,
    collector: StatusCollector,
    ledger_error: Option<String>,
    commit_error: Option<Frame>,
    commit_rolled_back: bool,
}

/// What a reply of the connection results in.
pub enum Observed {
    /// An event for the request machine.
    Event(RequestEvent),
    /// A database status to be published in the node's shared tables.
    Status(DatabaseName, BackendStatus),
}

impl ActiveTransaction {
    /// Creates a transaction whose first unit is `plan`.
    pub fn new(machine: RequestMachine, plan: UnitPlan, ledger_id: Option<RequestId>) -> Self {
        Self {
            read_only: plan.unit(false, ledger_id.is_some()).access == Access::Read,
            on_replica: false,
            savepoints: plan.traits.savepoints,
            machine,
            plan,
            answer: Answer::default(),
            pipeline: Pipeline::default(),
            lease: None,
            settings_applied: false,
            dirty: false,
            requested_database: None,
            acquire: None,
            verify: None,
            timer: None,
            status_query: None,
            probe_at: None,
            check_due: None,
            failure: None,
            finished: false,
            lost_while_idle: false,
            lost_connections: 0,
            lost_since_acquire: false,
            ledger_id,
            recorded_ids: BTreeSet::new(),
            restarts: 0,
            failed_probes: 0,
            collector: StatusCollector::default(),
            ledger_error: None,
            commit_error: None,
            commit_rolled_back: false,
        }
    }

    /// Makes `plan` the current unit of the transaction.
    pub fn next_unit(&mut self, plan: UnitPlan, ledger_id: Option<RequestId>) {
        self.savepoints |= plan.traits.savepoints;
        self.plan = plan;
        self.ledger_id = ledger_id.filter(|request| !self.recorded_ids.contains(request));
        self.answer = Answer::default();
        self.ledger_error = None;
    }

    /// Resets the answer for an attempt to send the current unit. With `hold_end` the end
    /// of the answer is held back until it is released.
    pub fn begin_attempt(&mut self, hold_end: bool) {
        self.answer = Answer::new(self.plan.simple, self.plan.steps.clone(), hold_end);
        self.ledger_error = None;
        self.commit_error = None;
        self.commit_rolled_back = false;
    }

    /// Stores a granted connection and returns the event for the result of the
    /// acquisition.
    pub fn on_lease_result(&mut self, result: Result<BackendLease, Refusal>) -> RequestEvent {
        let requested = self.requested_database.take().unwrap_or_default();
        match result {
            Ok(lease) => {
                let database = lease.database.clone();
                self.lease = Some(lease);
                RequestEvent::LeaseGranted { database }
            }
            Err(refusal) => RequestEvent::LeaseRefused {
                database: requested,
                refusal,
            },
        }
    }

    /// Queues a caller message unchanged.
    pub fn queue_frame(&mut self, frame: &Frame) {
        let command = BackendCommand::Frames(vec![frame.clone()]);
        self.pipeline.outgoing.push_back(command);
    }

    /// Queues a further message of an open unit.
    pub fn extend_unit(&mut self, tag: u8, translation: Translation) {
        if tag == frontend::SYNC {
            self.plan.open = false;
            self.plan.ready = true;
        }
        let traits = &self.plan.traits;
        self.dirty |= traits.leaves_state || !traits.settings.is_empty();
        if let Some(step) = translation.step {
            self.answer.expect(step);
        }
        self.pipeline.outgoing.extend(translation.commands);
    }

    /// Returns whether a read whose connection broke may be restarted: nothing of its
    /// answer has been sent to the caller.
    pub fn can_restart(&self) -> bool {
        let unit = self.plan.unit(false, self.ledger_id.is_some());
        unit.access == Access::Read
            && self.restarts < RESTART_LIMIT
            && self.answer.is_delivering()
            && !self.answer.has_started()
            && self.answer.ending().is_none()
    }

    /// Restarts the transaction with `machine`.
    pub fn restart_read(&mut self, machine: RequestMachine) {
        self.restarts += 1;
        self.machine = machine;
        self.begin_attempt(false);
        self.release(false);
    }

    /// Ends an open unit because a simple query follows: the extended messages end as
    /// with a `Sync`, but without a `ReadyForQuery` of their own.
    pub fn end_by_query(&mut self) {
        self.plan.open = false;
        self.plan.ready = false;
        self.answer.expect(Step::Sync);
        self.queue_frame(&extended::sync());
    }

    /// Returns whether no pending event could make the unit progress.
    pub fn cannot_progress(&self) -> bool {
        self.lease.is_none() && !self.machine_is_busy()
    }

    /// Returns whether the machine still waits for something, even if the answer is
    /// complete.
    pub fn machine_is_busy(&self) -> bool {
        self.acquire.is_some()
            || self.verify.is_some()
            || self.status_query.is_some()
            || self.timer.is_some()
    }

    /// Returns whether further caller messages belong to the current unit.
    pub fn takes_input(&self) -> bool {
        self.lease.is_some()
            && self.answer.ending().is_none()
            && (self.plan.open || self.answer.is_copying())
    }

    /// Sends queued commands to the connection until its channel is full.
    pub fn send_queued(&mut self) {
        let Some(lease) = &self.lease else {
            return;
        };
        while let Some(command) = self.pipeline.outgoing.pop_front() {
            match lease.commands.try_send(command) {
                Ok(()) => {}
                Err(mpsc::error::TrySendError::Full(command)) => {
                    self.pipeline.outgoing.push_front(command);
                    return;
                }
                Err(mpsc::error::TrySendError::Closed(_)) => return,
            }
        }
    }

    /// Processes a reply of the connection; `None` means that the connection has ended.
    pub fn on_reply(&mut self, reply: Option<BackendReply>, observed: &mut VecDeque<Observed>) {
        match reply {
            Some(BackendReply::Frames(frames)) => {
                for frame in frames {
                    self.on_frame(frame, observed);
                }
                if self.answer.overflowed() || self.is_stuck() {
                    log::warn!(
                        "caller: an answer exceeds the limit on buffered bytes; its connection is closed."
                    );
                    self.lose_connection(observed);
                }
                self.send_queued();
            }
            Some(BackendReply::Refused(refusal)) => self.lose_lease(refusal, observed),
            Some(BackendReply::Lost) | None => self.lose_connection(observed),
        }
    }

    /// Processes a reply that arrives between two units: the rest of the answer to a
    /// failed unit, or the end of the connection.
    pub fn reply_while_idle(&mut self, reply: Option<BackendReply>) {
        let mut observed = VecDeque::new();
        self.on_reply(reply, &mut observed);
        let lost = |item: &Observed| matches!(item, Observed::Event(RequestEvent::ConnectionLost));
        self.lost_while_idle |= observed.iter().any(lost);
    }

    /// Returns whether the unit is deadlocked: the answer fills its buffer, so the
    /// connection is not read, while the machine still waits for the end of the answer.
    fn is_stuck(&self) -> bool {
        !self.answer.has_room()
            && !self.answer.is_delivering()
            && self.pipeline.sections.front() == Some(&Section::Unit)
    }

    /// Handles a refused lease on which commands were sent early; none of them ran.
    fn lose_lease(&mut self, refusal: Refusal, observed: &mut VecDeque<Observed>) {
        let lease = self.lease.take();
        self.pipeline = Pipeline::default();
        observed.push_back(Observed::Event(RequestEvent::LeaseRefused {
            database: lease.map(|lease| lease.database).unwrap_or_default(),
            refusal,
        }));
    }

    fn lose_connection(&mut self, observed: &mut VecDeque<Observed>) {
        self.lease = None;
        self.check_due = None;
        self.pipeline = Pipeline::default();
        observed.push_back(Observed::Event(RequestEvent::ConnectionLost));
    }

    fn on_frame(&mut self, frame: Frame, observed: &mut VecDeque<Observed>) {
        if BackendError::from_frame(&frame).is_some_and(|error| error.is_fatal()) {
            return;
        }
        let Some(section) = self.pipeline.sections.front().copied() else {
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
            self.pipeline.sections.pop_front();
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
        self.on_replica = status.role == Role::Replica;
        if let Some(lease) = &self.lease {
            observed.push_back(Observed::Status(lease.database.clone(), status.clone()));
        }
        observed.push_back(Observed::Event(match section {
            Section::Check => RequestEvent::CheckAnswered { status },
            _ => RequestEvent::ProbeAnswered { status },
        }));
    }

    /// Handles a failed status query. A late cancel request may have hit the query behind
    /// the unit, which is therefore sent again.
    fn status_failed(&mut self, section: Section, observed: &mut VecDeque<Observed>) {
        if section == Section::Probe && self.failed_probes < PROBE_FAILURE_LIMIT {
            self.failed_probes += 1;
            self.pipeline.push_probe();
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
            self.pipeline.push_trailer();
        }
        let wrapped = self.pipeline.sections.get(1) == Some(&Section::Commit);
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
            self.pipeline.mark_probes_stale();
        }
        observed.push_back(Observed::Event(RequestEvent::UnitFinished {
            result,
            in_transaction,
        }));
    }

    /// Returns why the ledger rejected the request's identifier, if it did.
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

    /// Releases the connection. Replies still in flight are read to their end first, by a
    /// task of their own.
    pub fn release(&mut self, reusable: bool) {
        self.check_due = None;
        let pipeline = std::mem::take(&mut self.pipeline);
        self.settings_applied = false;
        self.collector = StatusCollector::default();
        let Some(lease) = self.lease.take() else {
            return;
        };
        let discard = std::mem::take(&mut self.dirty);
        let whole = pipeline.outgoing.is_empty();
        drain::release(lease, pipeline.sections.len(), reusable && whole, discard);
    }
}
