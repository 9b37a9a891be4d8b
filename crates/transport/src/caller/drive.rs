//! Carrying one unit through its request machine: events in, actions out.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use hookpoint_coordination::request::{
    RequestAction, RequestEvent, RequestMachine, RequestProfile, Unit,
};
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::frame::Frame;
use hookpoint_protocol::tags::frontend;
use hookpoint_state::{DatabaseName, Position, Refusal, Timestamp};

use crate::caller::active::{ActiveTransaction, Failure, Observed};
use crate::caller::error::{self, SessionEnd};
use crate::caller::flight::Wrapping;
use crate::caller::session::Session;
use crate::caller::stream::{CallerGone, CallerStream};
use crate::caller::unit::UnitPlan;
use crate::lease::{AcquireRequest, BackendLease};

/// Output that is sent even while more of a short answer may still come.
const FLUSH_THRESHOLD: usize = 8 * 1024;

/// Something that happened while a unit is in progress.
enum Input {
    Lease(Result<BackendLease, Refusal>),
    Verified(Option<Position>),
    Timer,
    ProbeDue,
    ViewChanged,
    Reply(Option<BackendReply>),
    Room,
    Message(Frame),
    Gone(CallerGone),
    Idle,
    Cancelled,
}

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
        let machine = self.machine(unit, mark.is_none());
        self.transaction = Some(ActiveTransaction::new(machine, plan, mark));
        self.guard.entry.waits();
        Some(RequestEvent::Begin)
    }

    fn machine(&self, unit: Unit, repeatable: bool) -> RequestMachine {
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
            repeatable,
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
            let machine = self.machine(unit, true);
            if let Some(active) = &mut self.transaction {
                active.begin_anew(machine);
            }
        }
        RequestEvent::Begin
    }

    fn handle(&mut self, event: RequestEvent) {
        let shared = &self.context.shared;
        let now = shared.now();
        let mut actions = Vec::new();
        if let Some(active) = &mut self.transaction {
            let machine = &mut active.machine;
            shared.with_view(&self.group, |view| {
                machine.handle(now, view, event, &mut actions);
            });
        }
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: RequestAction) {
        match &action {
            RequestAction::Record(decision) => {
                let session = Some(self.guard.entry.id);
                self.context.shared.record(session, decision.clone());
            }
            RequestAction::Require { position }
            | RequestAction::Acknowledge {
                position: Some(position),
            } => self.require(*position),
            RequestAction::Release { .. } => self.guard.entry.rests(),
            _ => {}
        }
        let Some(active) = &mut self.transaction else {
            return;
        };
        match action {
            RequestAction::VerifyTerm => self.verify_term(),
            RequestAction::Acquire { database, deadline } => self.acquire(database, deadline),
            RequestAction::Send { check, probe } => self.send(check, probe),
            RequestAction::Deliver => active.answer.deliver(),
            RequestAction::Discard => active.begin_attempt(false),
            RequestAction::Probe { after } => {
                active.probe_at = Some(self.context.shared.now() + after);
            }
            RequestAction::Acknowledge { .. } => active.answer.release_end(),
            RequestAction::Release { reusable } => active.release(reusable),
            RequestAction::Wait { until } => active.timer = Some(until),
            RequestAction::Refuse { refusal } => active.failure = Some(Failure::Refused(refusal)),
            RequestAction::Unknown { cause } => active.failure = Some(Failure::Unknown(cause)),
            RequestAction::Finished => active.finished = true,
            RequestAction::Record(_) | RequestAction::Require { .. } => {}
        }
    }

    fn verify_term(&mut self) {
        let verifier = Arc::clone(&self.context.verifier);
        let group = self.group.clone();
        if let Some(active) = &mut self.transaction {
            active.verify = Some(Box::pin(async move { verifier.verify(&group).await }));
        }
    }

    fn acquire(&mut self, database: DatabaseName, deadline: Timestamp) {
        let request = AcquireRequest {
            group: self.group.clone(),
            database,
            session: self.guard.entry.id,
            tenant: self.tenant.clone(),
            zone: self.context.shared.zone.clone(),
            wait: deadline.since(self.context.shared.now()),
        };
        let leases = Arc::clone(&self.context.leases);
        self.guard.entry.waits();
        let pause = self.retry_pause(deadline);
        if let Some(active) = &mut self.transaction {
            active.acquiring = Some(request.database.clone());
            active.acquire = Some(Box::pin(async move {
                if let Some(pause) = pause? {
                    tokio::time::sleep(pause).await;
                }
                leases.acquire(request).await
            }));
        }
    }

    /// How long to wait before the next connection is asked for: after a lost one the
    /// retry policy decides.
    fn retry_pause(&mut self, deadline: Timestamp) -> Result<Option<Duration>, Refusal> {
        let Some(active) = &mut self.transaction else {
            return Ok(None);
        };
        if !std::mem::take(&mut active.lost_last) {
            return Ok(None);
        }
        let attempts = active.losses;
        let shared = &self.context.shared;
        let now = shared.now();
        let next = shared
            .retries
            .next_attempt(now, deadline, attempts, &self.tenant)?;
        Ok(Some(next.since(now)))
    }

    fn send(&mut self, check: bool, probe: bool) {
        let Some(active) = &mut self.transaction else {
            return;
        };
        let block = active.mark.is_some() && !self.status.is_open();
        let wrapping = Wrapping {
            check,
            probe,
            ledger: active.mark.clone(),
            block,
            defer: active.plan.open || active.plan.traits.copies_in,
        };
        active.begin_attempt(probe || block);
        active.marked.extend(active.mark.clone());
        let traits = &active.plan.traits;
        active.dirty |= traits.leaves_state || !traits.settings.is_empty();
        if !std::mem::replace(&mut active.settled, true) {
            let settings = self.settings.current().clone();
            let command = BackendCommand::EnsureSettings(settings);
            active.flight.outgoing.push_back(command);
        }
        active.flight.launch(&active.plan.commands, &wrapping);
        if let Some(lease) = &active.lease {
            self.guard.entry.runs(lease.commands.clone());
        }
        active.hand_over();
    }

    /// Writes what may flow.
    async fn pump(&mut self) -> Result<(), SessionEnd> {
        let Some(active) = &mut self.transaction else {
            return Ok(());
        };
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

    async fn next_input(&mut self) -> Input {
        let idle_limit = self.idle_limit();
        let Session {
            stream,
            transaction,
            guard,
            context,
            views,
            ..
        } = self;
        let Some(active) = transaction else {
            return Input::Timer;
        };
        let now = context.shared.now();
        let takes_input = active.takes_input() && active.flight.outgoing.is_empty();
        let has_room = active.answer.has_room();
        let unsent = active.lease.is_none() && !active.answer.has_flowed();
        let blocked = !active.flight.outgoing.is_empty();
        let commands = active.lease.as_ref().map(|lease| lease.commands.clone());
        tokio::select! {
            lease = pending(&mut active.acquire) => {
                active.acquire = None;
                Input::Lease(lease)
            }
            position = pending(&mut active.verify) => {
                active.verify = None;
                Input::Verified(position)
            }
            () = sleep_until(now, active.timer) => Input::Timer,
            () = sleep_until(now, active.probe_at) => Input::ProbeDue,
            _ = views.changed(), if active.timer.is_some() => Input::ViewChanged,
            reply = reply_of(&mut active.lease), if has_room => Input::Reply(reply),
            () = room_of(commands), if blocked => Input::Room,
            input = caller_input(stream, takes_input) => input,
            () = tokio::time::sleep(idle_limit), if takes_input => Input::Idle,
            () = guard.entry.cancelled(), if unsent => Input::Cancelled,
        }
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
                if let Some(active) = &mut self.transaction {
                    active.failure = Some(Failure::Cancelled);
                }
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
                if let Some(feature) = active.plan.traits.unsupported.clone() {
                    let refusal = Refusal::Unsupported { feature };
                    self.tell_refusal(&refusal);
                    self.abandon_unit();
                    return Ok(());
                }
            }
        }
        active.hand_over();
        Ok(())
    }

    /// Gives up a unit in the middle of its messages; closing the connection undoes
    /// what it did so far.
    fn abandon_unit(&mut self) {
        self.handle(RequestEvent::CallerGone);
        if let Some(active) = &mut self.transaction {
            active.failure = Some(Failure::Told);
        }
    }
}

/// Waits for the caller's next message where it belongs to the unit in progress, and
/// otherwise only for its going away.
async fn caller_input(stream: &mut CallerStream, takes_input: bool) -> Input {
    if !takes_input {
        return Input::Gone(stream.read_ahead().await);
    }
    match stream.frame().await {
        Ok(frame) => Input::Message(frame),
        Err(gone) => Input::Gone(gone),
    }
}

/// Waits for a pending result; for ever if there is none.
async fn pending<T>(slot: &mut crate::caller::active::Pending<T>) -> T {
    match slot {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(now: Timestamp, until: Option<Timestamp>) {
    match until {
        Some(until) => tokio::time::sleep(until.since(now)).await,
        None => std::future::pending().await,
    }
}

async fn reply_of(lease: &mut Option<BackendLease>) -> Option<BackendReply> {
    match lease {
        Some(lease) => lease.replies.recv().await,
        None => std::future::pending().await,
    }
}

async fn room_of(commands: Option<tokio::sync::mpsc::Sender<BackendCommand>>) {
    match commands {
        Some(commands) => {
            if commands.reserve().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
        None => std::future::pending().await,
    }
}
