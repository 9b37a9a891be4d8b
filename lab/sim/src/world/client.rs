//! Clients: what they ask for and what they make of the answers.

use std::time::Duration;

use hookpoint_state::{Position, Refusal};
use rand::Rng as _;

use super::World;
use super::event::{ClientNews, Event, ProxyEvent, SessionNumber};
use crate::checker::{Attempt, Fate};
use crate::database::unit::{Answer, AnswerBody, AttemptId, Key, UnitCall, Work};

/// First key that all clients of a group write to.
const SHARED_KEYS: u32 = 1_000_000;
/// Attempts at a request that is not repeatable.
const ONCE_ATTEMPTS: u32 = 6;
/// One-way latency between a client and the proxies of its zone.
const CLIENT_LATENCY: Duration = Duration::from_millis(3);
/// Pause before a client connects anew.
const RECONNECT_PAUSE: Duration = Duration::from_millis(40);

/// A client.
#[derive(Debug)]
pub(crate) struct Client {
    pub(crate) group: usize,
    pub(crate) zone: usize,
    pub(crate) place: usize,
    /// Its session, while it has one.
    pub(crate) session: Option<(SessionNumber, usize)>,
    token: Option<Position>,
    pub(crate) request: Option<Request>,
    /// A request that is not repeatable and whose end is not known.
    unsettled: Option<(u64, u32)>,
}

/// A request under way.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) attempt: AttemptId,
    units: Vec<Work>,
    next: usize,
    failed: bool,
    once: Option<u64>,
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
            unsettled: None,
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

    /// Tells a client something after the latency.
    pub(crate) fn tell_client(&mut self, session: SessionNumber, news: ClientNews) {
        let Some(state) = self.sessions.get(&session) else {
            return;
        };
        let (client, proxy) = (state.client, state.proxy);
        let at = self.now() + self.client_latency(client, proxy);
        let event = Event::ClientHears {
            client,
            session,
            news,
        };
        self.schedule.at(at, event);
    }

    pub(crate) fn client_wakes(&mut self, client: usize, session: SessionNumber) {
        let current = self.clients[client].session.map_or(0, |(number, _)| number);
        let stale = current != session || self.clients[client].request.is_some();
        if stale || self.now() >= self.load_end {
            return;
        }
        let roams = self.random.random_range(0..20) == 0;
        if roams && self.clients[client].session.is_some() {
            self.leave_session(client);
        }
        if self.clients[client].session.is_none() {
            self.open_session(client);
        }
        self.new_request(client);
        self.send_unit(client);
    }

    fn open_session(&mut self, client: usize) {
        let roams = self.random.random_range(0..4) == 0;
        let place = if roams {
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
        let shared = Key(SHARED_KEYS + group as u32);
        self.attempt_count += 1;
        let attempt = AttemptId(self.attempt_count);
        let mut once = None;
        let units = match self.clients[client].unsettled {
            Some((request, _)) => {
                once = Some(request);
                vec![Work::AppendOnce(own, request)]
            }
            None => match self.random.random_range(0..20) {
                0..8 => vec![Work::Read(own)],
                8 => vec![Work::Read(shared)],
                9..13 => vec![Work::Append(own)],
                13 => vec![Work::Append(shared)],
                14..16 => {
                    let request = attempt.0;
                    self.clients[client].unsettled = Some((request, 0));
                    once = Some(request);
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
            once,
            appends: appends.collect(),
            fate: Fate::Open,
        };
        self.checker.begin(attempt, record);
        self.counts.requests += 1;
        self.clients[client].request = Some(Request {
            attempt,
            units,
            next: 0,
            failed: false,
            once,
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

    pub(crate) fn client_hears(&mut self, client: usize, session: SessionNumber, news: ClientNews) {
        if self.clients[client]
            .session
            .is_none_or(|(number, _)| number != session)
        {
            return;
        }
        match news {
            ClientNews::Answer { answer, token } => self.client_answered(client, &answer, token),
            ClientNews::NotRun(refusal) => {
                self.counts.not_run += 1;
                let attempt = self.clients[client]
                    .request
                    .as_ref()
                    .map(|request| request.attempt);
                if let Some(attempt) = attempt {
                    self.checker.not_run(attempt);
                }
                self.request_over(client, refusal == Refusal::AlreadyRan);
            }
            ClientNews::Unknown => {
                self.counts.unknown += 1;
                self.request_over(client, false);
            }
            ClientNews::Goodbye | ClientNews::Broken => {
                self.counts.broken += u64::from(self.clients[client].request.is_some());
                self.clients[client].session = None;
                self.request_over(client, false);
            }
        }
    }

    fn client_answered(&mut self, client: usize, answer: &Answer, token: Option<Position>) {
        let now = self.now();
        if token.is_some() {
            self.clients[client].token = token;
        }
        let Some(call) = self.clients[client].call() else {
            let detail = format!("client {client} got {:?} unasked", answer.call);
            let invariant = crate::report::Invariant::OwnAnswer;
            return self.checker.violate(now, invariant, detail);
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
        self.request_over(client, !failed);
    }

    /// Ends the client's request and plans its next one.
    pub(crate) fn request_over(&mut self, client: usize, settled: bool) {
        let request = self.clients[client].request.take();
        if request.is_some_and(|request| request.once.is_some()) {
            let tries = self.clients[client]
                .unsettled
                .map_or(0, |(_, tries)| tries + 1);
            let done = settled || tries >= ONCE_ATTEMPTS;
            let unsettled = self.clients[client].unsettled.as_mut().filter(|_| !done);
            match unsettled {
                Some((_, count)) => *count = tries,
                None => self.clients[client].unsettled = None,
            }
        }
        let think = self.random.random_range(1..=self.settings.think_ms.max(1));
        let pause = match self.clients[client].session {
            Some(_) => Duration::from_millis(think),
            None => RECONNECT_PAUSE + Duration::from_millis(think / 4),
        };
        let session = self.clients[client].session.map_or(0, |(number, _)| number);
        let at = self.now() + pause;
        self.schedule.at(at, Event::ClientWakes { client, session });
    }
}
