//! Drives one unit through its request machine: feeds events in and performs the
//! resulting actions.

use std::collections::VecDeque;

use hookpoint_coordination::request::{RequestEvent, RequestMachine, RequestProfile, Unit};
use hookpoint_protocol::backend_command::BackendReply;
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::tags::frontend;
use hookpoint_state::UnknownCause;

use crate::caller::active::{ActiveTransaction, Failure, Observed};
use crate::caller::error::{self, SessionEnd};
use crate::caller::input::Input;
use crate::caller::session::Session;
use crate::caller::unit::UnitPlan;

/// Number of buffered output bytes from which output is flushed even after the end of an
/// answer. Less output stays buffered then, because more output may follow.
const FLUSH_THRESHOLD: usize = 8 * 1024;

impl Session {
    /// Runs a unit that needs a connection and writes its answer.
    pub(super) async fn run_unit(&mut self, plan: UnitPlan) -> Result<(), SessionEnd> {
        let mut events = VecDeque::new();
        events.extend(self.first_event(plan));
        loop {
            while let Some(event) = events.pop_front() {
                self.handle(event);
            }
            if self.unit_is_over() {
                return self.finish_unit();
            }
            self.write_available().await?;
            let input = self.next_input().await;
            self.handle_input(input, &mut events)?;
        }
    }

    /// Adds the unit to the open transaction, or begins a new one.
    fn first_event(&mut self, plan: UnitPlan) -> Option<RequestEvent> {
        self.keep_transaction_request_id(&plan);
        let ledger_id = self.ledger_id_of(&plan);
        if let Some(active) = &mut self.transaction {
            let lost = std::mem::take(&mut active.lost_while_idle);
            active.next_unit(plan, ledger_id);
            let has_ledger_id = active.ledger_id.is_some();
            let unit = active.plan.unit(true, has_ledger_id);
            return Some(if lost {
                RequestEvent::ConnectionLost
            } else {
                RequestEvent::NextUnit { unit }
            });
        }
        let unit = plan.unit(false, ledger_id.is_some());
        let machine = self.machine(unit);
        self.transaction = Some(ActiveTransaction::new(machine, plan, ledger_id));
        self.guard.entry.set_waiting();
        Some(RequestEvent::Begin)
    }

    fn machine(&self, unit: Unit) -> RequestMachine {
        let shared = &self.context.shared;
        let limits = shared.bundle().map(|bundle| bundle.limits.clone());
        let limits = limits.unwrap_or_default();
        // A machine is created while a transaction is open only to restart a read; that
        // is not a new request.
        if self.transaction.is_none() {
            shared
                .retries
                .record_request(&self.tenant, limits.retry_percent);
        }
        let profile = RequestProfile {
            session: self.guard.entry.id,
            tenant: self.tenant.clone(),
            group: self.group.clone(),
            zone: shared.zone.clone(),
            unit,
            required: self.required,
            deadline: shared.now() + limits.wait(),
        };
        RequestMachine::with_checks(profile, limits.acknowledge(), self.context.settings.checks)
    }

    /// Counts a database connection that broke while it served the open transaction; the
    /// count determines the pause before the next connection is acquired.
    fn count_lost_connection(&mut self) {
        if let Some(active) = &mut self.transaction {
            active.lost_since_acquire = true;
            active.lost_connections += 1;
        }
    }

    /// Restarts a read whose connection broke before any of its answer was sent to the
    /// caller.
    fn restart_read(&mut self) -> RequestEvent {
        let unit = self
            .transaction
            .as_ref()
            .map(|active| active.plan.unit(false, false));
        if let Some(unit) = unit {
            let machine = self.machine(unit);
            if let Some(active) = &mut self.transaction {
                active.restart_read(machine);
            }
        }
        RequestEvent::Begin
    }

    /// Writes the part of the answer that may be sent.
    async fn write_available(&mut self) -> Result<(), SessionEnd> {
        let Some(active) = &mut self.transaction else {
            return Ok(());
        };
        if active.plan.internal {
            return Ok(());
        }
        for frame in active.answer.take_ready() {
            self.stream.write(&frame);
        }
        let ended = active.answer.ending().is_some();
        let pending = self.stream.pending();
        if pending >= FLUSH_THRESHOLD || (pending > 0 && !ended) {
            self.stream.flush().await?;
        }
        Ok(())
    }

    fn unit_is_over(&self) -> bool {
        self.transaction.as_ref().is_none_or(|active| {
            active.finished || (active.answer.is_deliverable() && !active.machine_is_busy())
        })
    }

    fn handle_input(
        &mut self,
        input: Input,
        events: &mut VecDeque<RequestEvent>,
    ) -> Result<(), SessionEnd> {
        let Some(active) = &mut self.transaction else {
            return Ok(());
        };
        match input {
            Input::Lease(result) => events.push_back(active.on_lease_result(result)),
            Input::Verified(position) => events.push_back(match position {
                Some(position) => RequestEvent::TermVerified { position },
                None => RequestEvent::VerifyFailed,
            }),
            Input::Status(database, Some(status)) => {
                self.context
                    .shared
                    .apply_status(&self.group, &database, &status);
                events.push_back(RequestEvent::ProbeAnswered { status });
            }
            Input::Status(_, None) => events.push_back(RequestEvent::ProbeFailed),
            Input::Timer => {
                active.timer = None;
                events.push_back(RequestEvent::TimerFired);
            }
            Input::ViewChanged => {
                active.timer = None;
                events.push_back(RequestEvent::ViewChanged);
            }
            Input::ProbeDue => {
                active.probe_at = None;
                active.pipeline.push_probe();
                active.send_queued();
            }
            Input::HasCapacity => active.send_queued(),
            Input::CheckTimedOut => {
                let database = active.lease.as_ref().map(|lease| lease.database.clone());
                log::info!("caller: database {database:?} did not answer a status query in time.");
                self.observe(None, events);
            }
            Input::Stuck => {
                log::error!(
                    "caller: a unit cannot make progress; its outcome is reported as unknown."
                );
                self.handle(RequestEvent::CallerDisconnected);
                self.fail_with(Failure::Unknown(UnknownCause::Deadline));
            }
            Input::Reply(reply) => self.observe(reply, events),
            Input::Message(frame) => self.handle_message(&frame)?,
            Input::Gone(gone) => {
                self.handle(RequestEvent::CallerDisconnected);
                return Err(gone.into());
            }
            Input::Idle => {
                self.handle(RequestEvent::CallerDisconnected);
                return Err(SessionEnd::IdleTransaction);
            }
            Input::Cancelled => {
                self.handle(RequestEvent::CallerDisconnected);
                self.fail_with(Failure::Cancelled);
            }
        }
        Ok(())
    }

    fn observe(&mut self, reply: Option<BackendReply>, events: &mut VecDeque<RequestEvent>) {
        let Some(active) = &mut self.transaction else {
            return;
        };
        let mut observed = VecDeque::new();
        active.on_reply(reply, &mut observed);
        let restarts = !self.status.is_open() && active.can_restart();
        for item in observed {
            match item {
                Observed::Event(RequestEvent::ConnectionLost) if restarts => {
                    self.count_lost_connection();
                    let event = self.restart_read();
                    events.push_back(event);
                }
                Observed::Event(event) => {
                    if event == RequestEvent::ConnectionLost {
                        self.count_lost_connection();
                    }
                    events.push_back(event);
                }
                Observed::Status(database, status) => {
                    self.context
                        .shared
                        .apply_status(&self.group, &database, &status);
                }
            }
        }
    }

    /// Handles a caller message that belongs to the unit in progress: COPY data, or
    /// further messages of a unit that was flushed before its `Sync`.
    fn handle_message(&mut self, frame: &Frame) -> Result<(), SessionEnd> {
        let Some(active) = &mut self.transaction else {
            return Ok(());
        };
        match frame.tag {
            frontend::TERMINATE => {
                self.handle(RequestEvent::CallerDisconnected);
                return Err(SessionEnd::Terminated);
            }
            frontend::COPY_DATA => active.queue_frame(frame),
            frontend::COPY_DONE | frontend::COPY_FAIL => {
                active.answer.copy_ended();
                active.queue_frame(frame);
            }
            frontend::FLUSH => active.queue_frame(frame),
            frontend::QUERY if !active.answer.is_copying() => {
                self.stream.put_back(frame.clone());
                active.end_by_query();
            }
            _ => {
                let translated =
                    active
                        .plan
                        .translate(frame, &mut self.statements, &self.context.classifier);
                match translated {
                    Ok(translation) => active.extend_unit(frame.tag, translation),
                    Err(error) => {
                        self.stream.write(&error::unit_error(&error));
                        self.abandon_unit();
                        return Ok(());
                    }
                }
                if let Some(refusal) = self.open_refusal() {
                    self.report_refusal(&refusal);
                    self.abandon_unit();
                    return Ok(());
                }
            }
        }
        if let Some(active) = &mut self.transaction {
            active.send_queued();
        }
        Ok(())
    }

    /// Abandons a unit in the middle of its messages; closing the connection rolls back
    /// what it did so far.
    fn abandon_unit(&mut self) {
        self.handle(RequestEvent::CallerDisconnected);
        self.fail_with(Failure::AlreadyReported);
    }

    fn fail_with(&mut self, failure: Failure) {
        if let Some(active) = &mut self.transaction {
            active.failure = Some(failure);
        }
    }
}
