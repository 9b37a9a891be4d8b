//! Sessions: drives the shipped request machine as the transport layer does.

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
    BackendAnswer, BackendWork, ClientNews, Event, LeaseCommand, LeaseReply, ProxyEvent,
    SessionNumber,
};
use super::proxy::{Expected, Session};
use crate::database::execute::UNIQUE_VIOLATION;
use crate::database::unit::{Answer, AnswerBody, UnitCall, Work};
use crate::report::Invariant;
use crate::settings::Mutation;

/// Longest wait for a connection or a primary.
const WAIT: Duration = Duration::from_secs(3);
/// Longest search for the evidence of a commit.
const ACKNOWLEDGE_WITHIN: Duration = Duration::from_secs(2);

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
            let news = self.proxies[proxy].terms.raise_term(&name, position.term);
            if news {
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
            once: false,
            call: None,
            lease: None,
            failed_homes: Vec::new(),
            deadline: Timestamp::default(),
            wanted: None,
            evidence: None,
            expected: VecDeque::new(),
            verification: None,
            held_answer: None,
            delivering: false,
            awaiting_evidence: false,
            granted: false,
            asked: false,
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
        session.asked = true;
        if let Some(refusal) = session.lost_transaction.take() {
            return self.refuse(number, refusal);
        }
        if session.machine.is_some() {
            let unit = unit_of(call.work, true);
            return self.feed(number, RequestEvent::NextUnit { unit });
        }
        let proxy = session.proxy;
        if self.proxies[proxy].stopping {
            self.refuse(number, Refusal::Stopping);
            return self.say_goodbye(number);
        }
        self.begin_request(number, call);
    }

    fn begin_request(&mut self, number: SessionNumber, call: UnitCall) {
        let deadline = self.now() + WAIT;
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.request += 1;
        session.once = matches!(call.work, Work::AppendOnce(..));
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
            unit: unit_of(call.work, false),
            required,
            deadline,
        };
        let checks = SafetyChecks {
            position: !self.settings.mutated(Mutation::SkipPositionCheck),
            majority: !self.settings.mutated(Mutation::SkipEvidence),
            ..SafetyChecks::default()
        };
        let machine = RequestMachine::with_checks(profile, ACKNOWLEDGE_WITHIN, checks);
        session.machine = Some(machine);
        self.feed(number, RequestEvent::Begin);
    }

    /// Feeds the machine and carries out its actions.
    pub(crate) fn feed(&mut self, number: SessionNumber, event: RequestEvent) {
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
            self.carry_out(number, action);
        }
        self.deliver(number);
    }

    fn carry_out(&mut self, number: SessionNumber, action: RequestAction) {
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
            RequestAction::Deliver => session.delivering = true,
            RequestAction::Discard => {
                session.held_answer = None;
                session.delivering = false;
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
                self.ask_evidence(number, &database, after);
            }
            RequestAction::Acknowledge { position } => self.acknowledge(number, position),
            RequestAction::Require { position } => require(session, position),
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

    /// Tells the client that its request did not run; while it has asked nothing, the
    /// protocol has no place for an error, so the next unit gets it.
    fn refuse(&mut self, number: SessionNumber, refusal: Refusal) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        if std::mem::replace(&mut session.asked, false) {
            self.tell_client(number, ClientNews::NotRun(refusal));
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
            self.tell_client(number, ClientNews::NotRun(Refusal::WaitDeadline));
        } else {
            self.tell_client(number, ClientNews::Unknown);
        }
    }

    fn request_finished(&mut self, number: SessionNumber) {
        self.deliver(number);
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        session.machine = None;
        session.held_answer = None;
        session.delivering = false;
        session.awaiting_evidence = false;
        let proxy = session.proxy;
        let resend = std::mem::take(&mut session.resend);
        if let (true, Some(call)) = (resend, session.call) {
            return self.begin_request(number, call);
        }
        if self.proxies[proxy].stopping {
            self.say_goodbye(number);
        }
    }

    /// Ends a session cleanly.
    pub(crate) fn say_goodbye(&mut self, number: SessionNumber) {
        self.tell_client(number, ClientNews::Goodbye);
        self.drop_session(number);
    }

    /// Forgets a session, giving back what it holds.
    pub(crate) fn drop_session(&mut self, number: SessionNumber) {
        self.feed_gone(number);
        if let Some(session) = self.sessions.remove(&number) {
            self.proxies[session.proxy].sessions.remove(&number);
        }
    }

    fn feed_gone(&mut self, number: SessionNumber) {
        let active = self
            .sessions
            .get(&number)
            .is_some_and(|session| session.machine.is_some());
        if active {
            self.feed(number, RequestEvent::CallerDisconnected);
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
        session.delivering = false;
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
            self.feed(number, RequestEvent::TimerFired);
        }
    }

    /// A reply has come over the session's lease.
    pub(crate) fn take_reply(&mut self, number: SessionNumber, holder: usize, reply: LeaseReply) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let wanted = session
            .wanted
            .map(|database| self.database_names[database].clone());
        let database = wanted.unwrap_or_default();
        match reply {
            LeaseReply::Granted => {
                session.granted = true;
                self.feed(number, RequestEvent::LeaseGranted { database });
            }
            LeaseReply::Refused(refusal) => {
                session.lease = None;
                self.feed(number, RequestEvent::LeaseRefused { database, refusal });
            }
            // The grant itself may have been lost on the way.
            LeaseReply::Moved | LeaseReply::Lost if !session.granted => {
                self.try_next_home(number, holder);
            }
            LeaseReply::Moved | LeaseReply::Lost => {
                session.lease = None;
                session.expected.clear();
                self.feed(number, RequestEvent::ConnectionLost);
            }
            LeaseReply::Answer(answer) => self.take_backend_answer(number, answer),
        }
    }

    fn take_backend_answer(&mut self, number: SessionNumber, answer: BackendAnswer) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        let expected = session.expected.pop_front();
        let (proxy, group) = (session.proxy, session.group);
        let database = session.wanted.unwrap_or_default();
        match (expected, answer) {
            (Some(Expected::Check), BackendAnswer::Status(status)) => {
                self.observe(proxy, group, database, &status);
                self.feed(number, RequestEvent::CheckAnswered { status });
            }
            (Some(Expected::Probe), BackendAnswer::Status(status)) => {
                self.observe(proxy, group, database, &status);
                self.feed(number, RequestEvent::ProbeAnswered { status });
            }
            (Some(Expected::Unit), BackendAnswer::Unit(answer)) => {
                self.unit_answered(number, answer)
            }
            (expected, answer) => {
                // A real connection would have shifted messages here; the caller would
                // see an answer that is not its own.
                let now = self.now();
                let detail = format!("session {number} expected {expected:?}, got {answer:?}");
                self.checker.violate(now, Invariant::OwnAnswer, detail);
                self.feed(number, RequestEvent::ConnectionLost);
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
        self.feed(number, event);
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
        require(session, position);
        let (group, answer) = (session.group, session.held_answer.clone());
        let wrote = |answer: &Answer| {
            answer.body == AnswerBody::Done
                && matches!(answer.call.work, Work::Append(_) | Work::AppendOnce(..))
        };
        if let Some(answer) = answer.filter(wrote)
            && self.replaced_without(group, position.term.0, &answer)
        {
            let detail = format!("{:?} acknowledged on {position:?}", answer.call);
            self.checker
                .violate(now, Invariant::NoAcknowledgementByReplaced, detail);
        }
    }

    /// Delivers an answer that may be delivered.
    fn deliver(&mut self, number: SessionNumber) {
        let Some(session) = self.sessions.get_mut(&number) else {
            return;
        };
        if !session.delivering || session.awaiting_evidence {
            return;
        }
        let Some(answer) = session.held_answer.take() else {
            return;
        };
        session.asked = false;
        let token = session.required;
        let repeated = session.once && answer.body == AnswerBody::Error(UNIQUE_VIOLATION);
        let news = if repeated {
            ClientNews::NotRun(Refusal::AlreadyRan)
        } else {
            ClientNews::Answer { answer, token }
        };
        self.tell_client(number, news);
    }

    /// Takes a status answer into a proxy's view.
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

    /// Wakes the requests that are held on a proxy.
    pub(crate) fn view_changed(&mut self, proxy: usize) {
        let sessions: Vec<SessionNumber> = self.proxies[proxy].sessions.iter().copied().collect();
        for session in sessions {
            self.feed(session, RequestEvent::ViewChanged);
        }
    }

    /// Name of a group.
    pub(crate) fn group_name(&self, group: usize) -> GroupName {
        self.groups[group].name.clone()
    }
}

fn require(session: &mut Session, position: Position) {
    session.required = Some(match session.required {
        Some(required) => required.merge(position),
        None => position,
    });
}

/// What the classifier would have proved.
fn unit_of(work: Work, in_block: bool) -> Unit {
    let (access, may_commit) = match work {
        Work::Read(_) | Work::BeginReadOnly => (Access::Read, false),
        Work::Begin => (Access::Write, false),
        Work::Append(_) | Work::AppendOnce(..) => (Access::Write, !in_block),
        Work::Commit => (Access::Read, true),
    };
    Unit { access, may_commit }
}
