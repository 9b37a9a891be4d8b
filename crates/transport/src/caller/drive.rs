//! Carrying one unit through its request machine: events in, actions out.

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

/// Output that is sent even while more of a short answer may still come.
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
            self.pump().await?;
            let input = self.next_input().await;
            self.take_input(input, &mut events)?;
        }
    }

    /// Enters the unit into the open transaction, or begins one.
    fn first_event(&mut self, plan: UnitPlan) -> Option<RequestEvent> {
        self.mark_transaction(&plan);
        let mark = self.mark_of(&plan);
        if let Some(active) = &mut self.transaction {
            let lost = std::mem::take(&mut active.lost_while_idle);
            active.next_unit(plan, mark);
            let marked = active.mark.is_some();
            let unit = active.plan.unit(true, marked);
            return Some(if lost {
                RequestEvent::ConnectionLost
            } else {
                RequestEvent::NextUnit { unit }
            });
        }
        let unit = plan.unit(false, mark.is_some());
        let machine = self.machine(unit);
        self.transaction = Some(ActiveTransaction::new(machine, plan, mark));
        self.guard.entry.waits();
        Some(RequestEvent::Begin)
    }

    fn machine(&self, unit: Unit) -> RequestMachine {
        let shared = &self.context.shared;
        let limits = shared.bundle().map(|bundle| bundle.limits.clone());
        let limits = limits.unwrap_or_default();
        // Only a request's first machine is made while no transaction is open.
        if self.transaction.is_none() {
            shared.retries.requested(&self.tenant, limits.retry_percent);
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

    fn note_loss(&mut self) {
        if let Some(active) = &mut self.transaction {
            active.lost_last = true;
            active.losses += 1;
        }
    }

    /// Begins a read anew whose connection broke before any of its answer was told.
    fn begin_anew(&mut self) -> RequestEvent {
        let unit = self
            .transaction
            .as_ref()
            .map(|active| active.plan.unit(false, false));
        if let Some(unit) = unit {
            let machine = self.machine(unit);
            if let Some(active) = &mut self.transaction {
                active.begin_anew(machine);
            }
        }
        RequestEvent::Begin
    }

    /// Writes what may flow.
    async fn pump(&mut self) -> Result<(), SessionEnd> {
        let Some(active) = &mut self.transaction else {
            return Ok(());
        };
        if active.plan.silent {
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

    fn take_input(
        &mut self,
        input: Input,
        events: &mut VecDeque<RequestEvent>,
    ) -> Result<(), SessionEnd> {
        let Some(active) = &mut self.transaction else {
            return Ok(());
        };
        match input {
            Input::Lease(result) => events.push_back(active.leased(result)),
            Input::Verified(position) => events.push_back(match position {
                Some(position) => RequestEvent::TermVerified { position },
                None => RequestEvent::VerifyFailed,
            }),
            Input::Status(database, Some(status)) => {
                self.context.shared.observe(&self.group, &database, &status);
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
                active.flight.probe();
                active.hand_over();
            }
            Input::Room => active.hand_over(),
            Input::CheckLate => {
                let database = active.lease.as_ref().map(|lease| lease.database.clone());
                log::info!("caller: {database:?} did not answer a status query in time.");
                self.observe(None, events);
            }
            Input::Stuck => {
                log::error!("caller: a unit waits for nothing; its outcome is told as unknown.");
                self.handle(RequestEvent::CallerGone);
                self.fail_with(Failure::Unknown(UnknownCause::Deadline));
            }
            Input::Reply(reply) => self.observe(reply, events),
            Input::Message(frame) => self.take_message(&frame)?,
            Input::Gone(gone) => {
                self.handle(RequestEvent::CallerGone);
                return Err(gone.into());
            }
            Input::Idle => {
                self.handle(RequestEvent::CallerGone);
                return Err(SessionEnd::IdleTransaction);
            }
            Input::Cancelled => {
                self.handle(RequestEvent::CallerGone);
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
        active.reply(reply, &mut observed);
        let anew = !self.status.is_open() && active.may_begin_anew();
        for item in observed {
            match item {
                Observed::Event(RequestEvent::ConnectionLost) if anew => {
                    self.note_loss();
                    let event = self.begin_anew();
                    events.push_back(event);
                }
                Observed::Event(event) => {
                    if event == RequestEvent::ConnectionLost {
                        self.note_loss();
                    }
                    events.push_back(event);
                }
                Observed::Status(database, status) => {
                    self.context.shared.observe(&self.group, &database, &status);
                }
            }
        }
    }

    /// A message that belongs to the unit in progress: COPY data, or the rest of
    /// messages that were flushed before their `Sync`.
    fn take_message(&mut self, frame: &Frame) -> Result<(), SessionEnd> {
        let Some(active) = &mut self.transaction else {
            return Ok(());
        };
        match frame.tag {
            frontend::TERMINATE => {
                self.handle(RequestEvent::CallerGone);
                return Err(SessionEnd::Terminated);
            }
            frontend::COPY_DATA => active.relay(frame),
            frontend::COPY_DONE | frontend::COPY_FAIL => {
                active.answer.copy_ended();
                active.relay(frame);
            }
            frontend::FLUSH => active.relay(frame),
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
                    Ok(translation) => active.follow(frame.tag, translation),
                    Err(error) => {
                        self.stream.write(&error::unit_error(&error));
                        self.abandon_unit();
                        return Ok(());
                    }
                }
                if let Some(refusal) = self.open_refusal() {
                    self.tell_refusal(&refusal);
                    self.abandon_unit();
                    return Ok(());
                }
            }
        }
        if let Some(active) = &mut self.transaction {
            active.hand_over();
        }
        Ok(())
    }

    /// Gives up a unit in the middle of its messages; closing the connection undoes
    /// what it did so far.
    fn abandon_unit(&mut self) {
        self.handle(RequestEvent::CallerGone);
        self.fail_with(Failure::Told);
    }

    fn fail_with(&mut self, failure: Failure) {
        if let Some(active) = &mut self.transaction {
            active.failure = Some(failure);
        }
    }
}
