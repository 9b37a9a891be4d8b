//! Sessions: drives the production request machine as the transport layer does.

use std::collections::VecDeque;
use std::time::Duration;

use hookpoint_coordination::explain::Decision;
use hookpoint_coordination::request::{
    Access, RequestAction, RequestEvent, RequestMachine, RequestProfile, SafetyChecks, Unit,
    UnitResult,
};
use hookpoint_coordination::status::BackendStatus;
use hookpoint_state::{
    GroupName, Position, Refusal, SessionId, TenantName, Timestamp, UnknownCause, ZoneName,
};

use super::World;
use super::event::{
    BackendAnswer, BackendWork, ClientMessage, Event, LeaseCommand, LeaseReply, ProxyEvent,
    SessionNumber,
};
use super::proxy::{Expected, Session};
use crate::database::execute::UNIQUE_VIOLATION;
use crate::database::unit::{Answer, AnswerBody, UnitCall, Work};
use crate::report::Invariant;
use crate::settings::Mutation;

/// Longest time that a request waits for a connection or a primary.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Longest time to collect evidence of a commit.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(2);

impl World {
    pub(crate) fn session_opens(
        &mut self,
        proxy: usize,
        client: usize,
        number: SessionNumber,
        token: Option<Position>,
    ) {
        let forged = self.settings.mutated(Mutation::EmptyToken);
        let required = token.map(|position| {
            if forged {
                Position::default()
            } else {
                position
            }
        });
        let group = self.clients[client].group;
        if let Some(position) = required {
            let name = self.groups[group].name.clone();
            let term_is_new = self.proxies[proxy].terms.raise_term(&name, position.term);
            if term_is_new {
                self.view_changed(proxy);
            }
        }
        let session = Session {
            client,
            proxy,
            group,
            required,
            machine: None,
            request: 0,
            non_repeatable: false,
            call: None,
            lease: None,
            failed_homes: Vec::new(),
            deadline: Timestamp::default(),
            target_database: None,
            evidence_query: None,
            expected: VecDeque::new(),
            verification: None,
            held_answer: None,
            may_deliver: false,
            awaiting_evidence: false,
            granted: false,
            awaiting_answer: false,
            lost_transaction: None,
            resend: false,
        };
        self.sessions.insert(number, session);
        self.proxies[proxy].sessions.insert(number);
    }

    pub(crate) fn unit_arrives(&mut self, number: SessionNumber, call: UnitCall) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.call = Some(call);
        session.awaiting_answer = true;
        if let Some(refusal) = session.lost_transaction.take() {
            return self.refuse(number, refusal);
        }
        if session.machine.is_some() {
            let unit = unit_properties(call.work, true);
            return self.request_event(number, RequestEvent::NextUnit { unit });
        }
        let proxy = session.proxy;
        if self.proxies[proxy].stopping {
            self.refuse(number, Refusal::Stopping);
            return self.close_session(number);
        }
        self.begin_request(number, call);
    }

    fn begin_request(&mut self, number: SessionNumber, call: UnitCall) {
        let deadline = self.now() + MAX_WAIT;
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.request += 1;
        session.non_repeatable = matches!(call.work, Work::AppendOnce(..));
        session.failed_homes.clear();
        let unverified = self.settings.mutated(Mutation::SkipVerification);
        let required = session.required.or(unverified.then(Position::default));
        let profile = RequestProfile {
            session: SessionId(number),
            tenant: TenantName::new("tenant"),
            group: self.groups[session.group].name.clone(),
            zone: ZoneName::new(
                self.settings.deployment.zones()[self.proxies[session.proxy].zone].0,
            ),
            unit: unit_properties(call.work, false),
            required,
            deadline,
        };
        let checks = SafetyChecks {
            position: !self.settings.mutated(Mutation::SkipPositionCheck),
            majority: !self.settings.mutated(Mutation::SkipEvidence),
            ..SafetyChecks::default()
        };
        let machine = RequestMachine::with_checks(profile, ACKNOWLEDGE_TIMEOUT, checks);
        session.machine = Some(machine);
        self.request_event(number, RequestEvent::Begin);
    }

    /// Passes an event to the session's request machine and performs its actions.
    pub(crate) fn request_event(&mut self, number: SessionNumber, event: RequestEvent) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let Some(machine) = session.machine.as_mut() else {
            return;
        };
        let name = &self.groups[session.group].name;
        let Some(view) = self.proxies[session.proxy].terms.view(name) else {
            return;
        };
        let mut actions = Vec::new();
        machine.handle(now, view, event, &mut actions);
        for action in actions {
            self.request_action(number, action);
        }
        self.deliver(number);
    }

    fn request_action(&mut self, number: SessionNumber, action: RequestAction) {
        self.trace.value(&(number, &action));
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let (proxy, request) = (session.proxy, session.request);
        match action {
            RequestAction::VerifyTerm => self.verify(number),
            RequestAction::Acquire { database, deadline } => {
                self.acquire(number, &database, deadline);
            }
            RequestAction::Send { check, probe } => {
                self.send_unit_to_database(number, check, probe)
            }
            RequestAction::Deliver => session.may_deliver = true,
            RequestAction::Discard => {
                session.held_answer = None;
                session.may_deliver = false;
            }
            RequestAction::Probe { after } => {
                let event = ProxyEvent::ProbeDue {
                    session: number,
                    request,
                };
                self.schedule.at(now + after, Event::Proxy { proxy, event });
            }
            RequestAction::MarkUnconfirmed { database, position } => {
                let group = session.group;
                let group = self.group_name(group);
                let terms = &mut self.proxies[proxy].terms;
                terms.mark_unconfirmed(&group, &database, position);
            }
            RequestAction::QueryStatus { database, after } => {
                self.query_evidence(number, &database, after);
            }
            RequestAction::Acknowledge { position } => self.acknowledge(number, position),
            RequestAction::Require { position } => raise_required(session, position),
            RequestAction::Release { reusable } => self.release(number, reusable),
            RequestAction::Wait { until } => {
                let event = ProxyEvent::RequestTimer {
                    session: number,
                    request,
                };
                self.schedule.at(until, Event::Proxy { proxy, event });
            }
            RequestAction::Refuse { refusal } => self.refuse(number, refusal),
            RequestAction::Unknown { cause } => self.outcome_unknown(number, cause),
            RequestAction::Record(decision) => self.record(number, decision),
            RequestAction::Finished => self.request_finished(number),
        }
    }

    /// Reports to the client that its request did not run. While the client awaits no answer,
    /// the protocol allows no error, so the refusal becomes the answer to the next unit.
    fn refuse(&mut self, number: SessionNumber, refusal: Refusal) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        if std::mem::replace(&mut session.awaiting_answer, false) {
            self.send_to_client(number, ClientMessage::NotRun(refusal));
        } else {
            session.lost_transaction = Some(refusal);
        }
    }

    fn record(&mut self, number: SessionNumber, decision: Decision) {
        let now = self.now();
        if self.checker.violations.is_empty() {
            self.explain.record(now, Some(SessionId(number)), decision);
        }
    }

    fn outcome_unknown(&mut self, number: SessionNumber, _cause: UnknownCause) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.held_answer = None;
        let resend = self.settings.mutated(Mutation::ResendUnknown)
            && session
                .call
                .is_some_and(|call| matches!(call.work, Work::Append(_)) && call.index == 0);
        if resend {
            session.resend = true;
        } else if self.settings.mutated(Mutation::FalseNotRun) {
            self.send_to_client(number, ClientMessage::NotRun(Refusal::WaitDeadline));
        } else {
            self.send_to_client(number, ClientMessage::Unknown);
        }
    }

    fn request_finished(&mut self, number: SessionNumber) {
        self.deliver(number);
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.machine = None;
        session.held_answer = None;
        session.may_deliver = false;
        session.awaiting_evidence = false;
        let proxy = session.proxy;
        let resend = std::mem::take(&mut session.resend);
        if let (true, Some(call)) = (resend, session.call) {
            return self.begin_request(number, call);
        }
        if self.proxies[proxy].stopping {
            self.close_session(number);
        }
    }

    /// Ends a session cleanly and notifies its client.
    pub(crate) fn close_session(&mut self, number: SessionNumber) {
        self.send_to_client(number, ClientMessage::SessionClosed);
        self.drop_session(number);
    }

    /// Removes a session and releases its lease.
    pub(crate) fn drop_session(&mut self, number: SessionNumber) {
        self.abort_request(number);
        if let Some(session) = self.sessions.remove(&number) {
            self.proxies[session.proxy].sessions.remove(&number);
        }
    }

    fn abort_request(&mut self, number: SessionNumber) {
        let active = self
            .sessions
            .get(&number)
            .is_some_and(|session| session.machine.is_some());
        if active {
            self.request_event(number, RequestEvent::CallerDisconnected);
        }
        self.release(number, false);
    }

    fn send_unit_to_database(&mut self, number: SessionNumber, check: bool, probe: bool) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let (Some(lease), Some(call)) = (session.lease, session.call) else {
            return;
        };
        session.may_deliver = false;
        session.held_answer = None;
        session.awaiting_evidence = probe;
        let mut work = Vec::new();
        if check {
            session.expected.push_back(Expected::Check);
            work.push(BackendWork::Status);
        }
        session.expected.push_back(Expected::Unit);
        let call = match call.work {
            Work::AppendOnce(key, _) if self.settings.mutated(Mutation::NoLedger) => UnitCall {
                work: Work::Append(key),
                ..call
            },
            _ => call,
        };
        work.push(BackendWork::Unit(call));
        if probe {
            session.expected.push_back(Expected::Probe);
            work.push(BackendWork::Status);
        }
        for work in work {
            self.send_command(lease, LeaseCommand::Work(work));
        }
    }

    pub(crate) fn probe_due(&mut self, number: SessionNumber, request: u64) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let Some(lease) = session.lease.filter(|_| session.request == request) else {
            return;
        };
        session.expected.push_back(Expected::Probe);
        self.send_command(lease, LeaseCommand::Work(BackendWork::Status));
    }

    pub(crate) fn request_timer(&mut self, number: SessionNumber, request: u64) {
        let current = self.sessions.get(&number).map(|session| session.request);
        if current == Some(request) {
            self.request_event(number, RequestEvent::TimerFired);
        }
    }

    /// Handles a reply received over the session's lease.
    pub(crate) fn handle_lease_reply(
        &mut self,
        number: SessionNumber,
        holder: usize,
        reply: LeaseReply,
    ) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let target_database = session
            .target_database
            .map(|database| self.database_names[database].clone());
        let database = target_database.unwrap_or_default();
        match reply {
            LeaseReply::Granted => {
                session.granted = true;
                self.request_event(number, RequestEvent::LeaseGranted { database });
            }
            LeaseReply::Refused(refusal) => {
                session.lease = None;
                self.request_event(number, RequestEvent::LeaseRefused { database, refusal });
            }
            // The grant itself may have been lost in transit.
            LeaseReply::Moved | LeaseReply::Lost if !session.granted => {
                self.try_next_home(number, holder);
            }
            LeaseReply::Moved | LeaseReply::Lost => {
                session.lease = None;
                session.expected.clear();
                self.request_event(number, RequestEvent::ConnectionLost);
            }
            LeaseReply::Answer(answer) => self.handle_backend_answer(number, answer),
        }
    }

    fn handle_backend_answer(&mut self, number: SessionNumber, answer: BackendAnswer) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let expected = session.expected.pop_front();
        let (proxy, group) = (session.proxy, session.group);
        let database = session.target_database.unwrap_or_default();
        match (expected, answer) {
            (Some(Expected::Check), BackendAnswer::Status(status)) => {
                self.observe(proxy, group, database, &status);
                self.request_event(number, RequestEvent::CheckAnswered { status });
            }
            (Some(Expected::Probe), BackendAnswer::Status(status)) => {
                self.observe(proxy, group, database, &status);
                self.request_event(number, RequestEvent::ProbeAnswered { status });
            }
            (Some(Expected::Unit), BackendAnswer::Unit(answer)) => {
                self.unit_answered(number, answer)
            }
            (expected, answer) => {
                // On a real connection the answers would now be out of step with the requests,
                // and the caller would receive another request's answer.
                let now = self.now();
                let detail = format!("session {number} expected {expected:?}, got {answer:?}");
                self.checker
                    .add_violation(now, Invariant::OwnAnswer, detail);
                self.request_event(number, RequestEvent::ConnectionLost);
            }
        }
    }

    fn unit_answered(&mut self, number: SessionNumber, answer: Answer) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let in_transaction = answer.in_transaction;
        let result = match answer.body {
            AnswerBody::Error(sqlstate) => UnitResult::Failed {
                sqlstate: sqlstate.to_owned(),
            },
            _ => UnitResult::Succeeded,
        };
        session.held_answer = Some(answer);
        self.deliver(number);
        let event = RequestEvent::UnitFinished {
            result,
            in_transaction,
        };
        self.request_event(number, event);
    }

    fn acknowledge(&mut self, number: SessionNumber, position: Option<Position>) {
        let now = self.now();
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.awaiting_evidence = false;
        let Some(position) = position else {
            return;
        };
        raise_required(session, position);
        let (group, answer) = (session.group, session.held_answer.clone());
        let wrote = |answer: &Answer| {
            answer.body == AnswerBody::Done
                && matches!(answer.call.work, Work::Append(_) | Work::AppendOnce(..))
        };
        if let Some(answer) = answer.filter(wrote)
            && self.later_primary_lacks(group, position.term.0, &answer)
        {
            let detail = format!("{:?} acknowledged on {position:?}", answer.call);
            self.checker
                .add_violation(now, Invariant::NoAcknowledgementByReplaced, detail);
        }
    }

    /// Delivers the held answer to the client, if it may be delivered.
    fn deliver(&mut self, number: SessionNumber) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        if !session.may_deliver || session.awaiting_evidence {
            return;
        }
        let Some(answer) = session.held_answer.take() else {
            return;
        };
        session.awaiting_answer = false;
        let token = session.required;
        let repeated = session.non_repeatable && answer.body == AnswerBody::Error(UNIQUE_VIOLATION);
        let message = if repeated {
            ClientMessage::NotRun(Refusal::AlreadyRan)
        } else {
            ClientMessage::Answer { answer, token }
        };
        self.send_to_client(number, message);
    }

    /// Updates a proxy's view of a group with a status answer.
    pub(crate) fn observe(
        &mut self,
        proxy: usize,
        group: usize,
        database: usize,
        status: &BackendStatus,
    ) {
        let now = self.now();
        let name = self.groups[group].name.clone();
        let database = self.database_names[database].clone();
        let change = self.proxies[proxy]
            .terms
            .apply_status(now, &name, &database, status);
        if let Some(change) = change {
            self.leadership_observed(proxy, change);
            self.reroute(proxy, group);
            self.view_changed(proxy);
        }
    }

    /// Notifies all requests on a proxy that its view of a group has changed.
    pub(crate) fn view_changed(&mut self, proxy: usize) {
        let sessions: Vec<SessionNumber> = self.proxies[proxy].sessions.iter().copied().collect();
        for session in sessions {
            self.request_event(session, RequestEvent::ViewChanged);
        }
    }

    /// Returns the name of a group.
    pub(crate) fn group_name(&self, group: usize) -> GroupName {
        self.groups[group].name.clone()
    }
}

/// Raises the session's required position to include `position`.
fn raise_required(session: &mut Session, position: Position) {
    session.required = Some(match session.required {
        Some(required) => required.merge(position),
        None => position,
    });
}

/// Returns the unit's properties that the statement classifier would determine in a real
/// proxy.
fn unit_properties(work: Work, in_block: bool) -> Unit {
    let (access, may_commit) = match work {
        Work::Read(_) | Work::BeginReadOnly => (Access::Read, false),
        Work::Begin => (Access::Write, false),
        Work::Append(_) | Work::AppendOnce(..) => (Access::Write, !in_block),
        Work::Commit => (Access::Read, true),
    };
    Unit { access, may_commit }
}
