//! Clients: the requests they send and how they handle the answers.

use std::time::Duration;

use hookpoint_state::{Position, Refusal};
use rand::Rng as _;

use super::World;
use super::event::{ClientMessage, Event, ProxyEvent, SessionNumber};
use crate::checker::{Attempt, ReportedOutcome};
use crate::database::unit::{Answer, AnswerBody, AttemptId, Key, UnitCall, Work};

/// Keys from this number on are shared by all clients of a group; each group has one.
const FIRST_SHARED_KEY: u32 = 1_000_000;
/// Maximum number of attempts at a request that is not repeatable.
const MAX_NON_REPEATABLE_ATTEMPTS: u32 = 6;
/// One-way latency between a client and the proxies of its zone.
const CLIENT_LATENCY: Duration = Duration::from_millis(3);
/// Pause before a client reconnects.
const RECONNECT_PAUSE: Duration = Duration::from_millis(40);

/// A simulated client.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) group: usize,
    pub(crate) zone: usize,
    pub(crate) place: usize,
    /// Number and proxy of the current session.
    pub(crate) session: Option<(SessionNumber, usize)>,
    token: Option<Position>,
    pub(crate) request: Option<Request>,
    /// Identifier of a non-repeatable request whose outcome is not known, and the number of
    /// failed attempts so far.
    unresolved: Option<(u64, u32)>,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) attempt: AttemptId,
    units: Vec<Work>,
    next: usize,
    failed: bool,
    non_repeatable_id: Option<u64>,
}

impl Client {
    pub(crate) fn new(group: usize, zone: usize, place: usize) -> Self {
        Self {
            group,
            zone,
            place,
            session: None,
            token: None,
            request: None,
            unresolved: None,
        }
    }

    fn call(&self) -> Option<UnitCall> {
        let request = self.request.as_ref()?;
        Some(UnitCall {
            attempt: request.attempt,
            index: request.next,
            work: *request.units.get(request.next)?,
        })
    }
}

impl World {
    pub(crate) fn client_latency(&self, client: usize, proxy: usize) -> Duration {
        let zone = self.clients[client].zone;
        let other = self.proxies[proxy].zone;
        let between = self.network.latency(zone, other);
        if zone == other {
            CLIENT_LATENCY
        } else {
            CLIENT_LATENCY + between
        }
    }

    /// Sends a message to the client of a session.
    pub(crate) fn send_to_client(&mut self, session: SessionNumber, message: ClientMessage) {
        let Some(state) = self.sessions.get(&session) else {
            return;
        };
        let (client, proxy) = (state.client, state.proxy);
        let at = self.now() + self.client_latency(client, proxy);
        let event = Event::ClientReceives {
            client,
            session,
            message,
        };
        self.schedule.at(at, event);
    }

    pub(crate) fn client_timer(&mut self, client: usize, session: SessionNumber) {
        let current = self.clients[client].session.map_or(0, |(number, _)| number);
        let stale = current != session || self.clients[client].request.is_some();
        if stale || self.now() >= self.load_end {
            return;
        }
        let reconnects = self.random.random_range(0..20) == 0;
        if reconnects && self.clients[client].session.is_some() {
            self.leave_session(client);
        }
        if self.clients[client].session.is_none() {
            self.open_session(client);
        }
        self.new_request(client);
        self.send_unit(client);
    }

    fn open_session(&mut self, client: usize) {
        let moves = self.random.random_range(0..4) == 0;
        let place = if moves {
            self.random.random_range(0..self.places.len())
        } else {
            self.clients[client].place
        };
        let proxy = self.places[place];
        self.session_count += 1;
        let session = self.session_count;
        let keeps_token = self.random.random_range(0..10) < 7;
        let token = self.clients[client].token.filter(|_| keeps_token);
        self.clients[client].place = place;
        self.clients[client].session = Some((session, proxy));
        let at = self.now() + self.client_latency(client, proxy);
        let event = ProxyEvent::SessionOpens {
            client,
            session,
            token,
        };
        self.schedule.at(at, Event::Proxy { proxy, event });
    }

    /// Closes the session from the client's side.
    pub(crate) fn leave_session(&mut self, client: usize) {
        let Some((session, proxy)) = self.clients[client].session.take() else {
            return;
        };
        let at = self.now() + self.client_latency(client, proxy);
        let event = ProxyEvent::ClientGone { session };
        self.schedule.at(at, Event::Proxy { proxy, event });
    }

    fn new_request(&mut self, client: usize) {
        let group = self.clients[client].group;
        let own = Key(client as u32);
        let shared = Key(FIRST_SHARED_KEY + group as u32);
        self.attempt_count += 1;
        let attempt = AttemptId(self.attempt_count);
        let mut non_repeatable_id = None;
        let units = match self.clients[client].unresolved {
            Some((request, _)) => {
                non_repeatable_id = Some(request);
                vec![Work::AppendOnce(own, request)]
            }
            None => match self.random.random_range(0..20) {
                0..8 => vec![Work::Read(own)],
                8 => vec![Work::Read(shared)],
                9..13 => vec![Work::Append(own)],
                13 => vec![Work::Append(shared)],
                14..16 => {
                    let request = attempt.0;
                    self.clients[client].unresolved = Some((request, 0));
                    non_repeatable_id = Some(request);
                    vec![Work::AppendOnce(own, request)]
                }
                16 => vec![
                    Work::BeginReadOnly,
                    Work::Read(own),
                    Work::Read(shared),
                    Work::Commit,
                ],
                _ => vec![
                    Work::Begin,
                    Work::Append(own),
                    Work::Read(own),
                    Work::Append(shared),
                    Work::Commit,
                ],
            },
        };
        let appends = units.iter().filter_map(|work| match work {
            Work::Append(key) | Work::AppendOnce(key, _) => Some(*key),
            _ => None,
        });
        let record = Attempt {
            client,
            non_repeatable_id,
            appends: appends.collect(),
            outcome: ReportedOutcome::Open,
        };
        self.checker.begin_attempt(attempt, record);
        self.counts.requests += 1;
        self.clients[client].request = Some(Request {
            attempt,
            units,
            next: 0,
            failed: false,
            non_repeatable_id,
        });
    }

    fn send_unit(&mut self, client: usize) {
        let Some(call) = self.clients[client].call() else {
            return;
        };
        let Some((session, proxy)) = self.clients[client].session else {
            return;
        };
        let at = self.now() + self.client_latency(client, proxy);
        let event = ProxyEvent::UnitArrives { session, call };
        self.schedule.at(at, Event::Proxy { proxy, event });
    }

    pub(crate) fn client_receives(
        &mut self,
        client: usize,
        session: SessionNumber,
        message: ClientMessage,
    ) {
        if self.clients[client]
            .session
            .is_none_or(|(number, _)| number != session)
        {
            return;
        }
        match message {
            ClientMessage::Answer { answer, token } => self.client_answered(client, &answer, token),
            ClientMessage::NotRun(refusal) => {
                self.counts.not_run += 1;
                let attempt = self.clients[client]
                    .request
                    .as_ref()
                    .map(|request| request.attempt);
                if let Some(attempt) = attempt {
                    self.checker.not_run(attempt);
                }
                self.end_request(client, refusal == Refusal::AlreadyRan);
            }
            ClientMessage::Unknown => {
                self.counts.unknown += 1;
                self.end_request(client, false);
            }
            ClientMessage::SessionClosed | ClientMessage::ConnectionBroken => {
                self.counts.interrupted += u64::from(self.clients[client].request.is_some());
                self.clients[client].session = None;
                self.end_request(client, false);
            }
        }
    }

    fn client_answered(&mut self, client: usize, answer: &Answer, token: Option<Position>) {
        let now = self.now();
        if token.is_some() {
            self.clients[client].token = token;
        }
        let Some(call) = self.clients[client].call() else {
            let detail = format!(
                "client {client} received an answer to {:?} without a request",
                answer.call
            );
            let invariant = crate::report::Invariant::OwnAnswer;
            return self.checker.add_violation(now, invariant, detail);
        };
        self.checker.answered(now, client, call, answer);
        if matches!(answer.body, AnswerBody::Rows(..)) {
            self.counts.reads += 1;
            self.counts.replica_reads += u64::from(!answer.by_primary);
        }
        let Some(request) = self.clients[client].request.as_mut() else {
            return;
        };
        request.failed |= matches!(answer.body, AnswerBody::Error(_));
        request.next += 1;
        if request.failed && request.next < request.units.len() {
            request.next = request.units.len() - 1;
        }
        if request.next < request.units.len() {
            return self.send_unit(client);
        }
        let (attempt, failed) = (request.attempt, request.failed);
        if !failed {
            let wrote = self.checker.acknowledged(attempt);
            self.counts.acknowledged += u64::from(wrote);
        }
        self.end_request(client, !failed);
    }

    /// Ends the client's request and schedules the next one. `resolved` is true if the outcome
    /// of a non-repeatable request is now known; otherwise the client tries it again, up to
    /// [`MAX_NON_REPEATABLE_ATTEMPTS`] times.
    pub(crate) fn end_request(&mut self, client: usize, resolved: bool) {
        let request = self.clients[client].request.take();
        if request.is_some_and(|request| request.non_repeatable_id.is_some()) {
            let tries = self.clients[client]
                .unresolved
                .map_or(0, |(_, tries)| tries + 1);
            let done = resolved || tries >= MAX_NON_REPEATABLE_ATTEMPTS;
            let unresolved = self.clients[client].unresolved.as_mut().filter(|_| !done);
            match unresolved {
                Some((_, count)) => *count = tries,
                None => self.clients[client].unresolved = None,
            }
        }
        let think = self.random.random_range(1..=self.settings.think_ms.max(1));
        let pause = match self.clients[client].session {
            Some(_) => Duration::from_millis(think),
            None => RECONNECT_PAUSE + Duration::from_millis(think / 4),
        };
        let session = self.clients[client].session.map_or(0, |(number, _)| number);
        let at = self.now() + pause;
        self.schedule.at(at, Event::ClientTimer { client, session });
    }
}
