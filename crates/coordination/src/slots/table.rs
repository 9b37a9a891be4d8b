//! The slot table of one database.

use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_state::{Refusal, Timestamp};

use super::event::{
    ConnectionNumber, Lane, OpenFailure, RequestNumber, SlotAction, SlotEvent, WaitingRequest,
};
use super::policy::SlotPolicy;
use super::queue::FairQueue;
use crate::limits::QueueState;
use crate::retry::{Backoff, BackoffPolicy};

/// Observers that may wait for one database.
const OBSERVER_QUEUE_LIMIT: usize = 8;
/// Pauses after a failure to open a connection.
const OPEN_BACKOFF: BackoffPolicy = BackoffPolicy {
    first: Duration::from_millis(20),
    maximum: Duration::from_millis(500),
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Opening,
    Idle { since: Timestamp },
    Held,
    Closing,
}

#[derive(Clone, Debug)]
struct Connection {
    state: ConnectionState,
    outdated: bool,
}

/// Numbers of connections and waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Connections being opened.
    pub opening: usize,
    /// Connections nobody holds.
    pub idle: usize,
    /// Connections a session holds.
    pub held: usize,
    /// Connections whose end is not confirmed.
    pub closing: usize,
    /// Requests that wait.
    pub waiting: usize,
}

impl SlotCounts {
    /// Connections that take a slot.
    pub fn connections(&self) -> usize {
        self.opening + self.idle + self.held + self.closing
    }
}

/// Why opening is held back.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenHold {
    until: Timestamp,
    failure: OpenFailure,
}

/// Connections and waiting requests of one database.
#[derive(Clone, Debug)]
pub struct SlotTable {
    policy: SlotPolicy,
    connections: BTreeMap<ConnectionNumber, Connection>,
    idle: Vec<ConnectionNumber>,
    queue: FairQueue,
    next_connection: u64,
    draining: bool,
    home: bool,
    backoff: Backoff,
    hold: Option<OpenHold>,
}

impl SlotTable {
    /// A table without connections on a node that is the database's home. Jitter is
    /// drawn from `seed`.
    pub fn new(policy: SlotPolicy, seed: u64) -> Self {
        Self {
            policy,
            connections: BTreeMap::new(),
            idle: Vec::new(),
            queue: FairQueue::new(),
            next_connection: 0,
            draining: false,
            home: true,
            backoff: Backoff::new(OPEN_BACKOFF, seed),
            hold: None,
        }
    }

    /// Takes an event and appends the actions it causes to `actions`, to be carried out
    /// in order.
    pub fn handle(&mut self, now: Timestamp, event: SlotEvent, actions: &mut Vec<SlotAction>) {
        match event {
            SlotEvent::Request(request) => self.request(now, request, actions),
            SlotEvent::Cancelled(number) => {
                self.queue.remove(number);
            }
            SlotEvent::ConnectionOpened(connection) => self.opened(now, connection),
            SlotEvent::ConnectionFailed {
                connection,
                failure,
            } => self.failed(now, connection, failure, actions),
            SlotEvent::ConnectionReturned {
                connection,
                reusable,
            } => self.returned(now, connection, reusable, actions),
            SlotEvent::ConnectionClosed(connection) => self.closed(connection),
            SlotEvent::GrantFailed {
                connection,
                request,
            } => {
                self.closed(connection);
                self.queue.push_front(request);
            }
            SlotEvent::PolicyChanged(policy) => self.policy = policy,
            SlotEvent::Renew => self.renew(),
            SlotEvent::Drain => self.draining = true,
            SlotEvent::Undrain => self.draining = false,
            SlotEvent::Reroute => self.refuse_work(actions),
            SlotEvent::Home(home) => self.home = home,
            SlotEvent::Timer => {}
        }
        self.settle(now, actions);
    }

    /// When [`SlotEvent::Timer`] is due, if ever.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let opening = self
            .hold
            .as_ref()
            .filter(|_| !self.queue.is_empty())
            .map(|hold| hold.until);
        let deadline = self.queue.first_deadline();
        [opening, deadline, self.first_idle_expiry()]
            .into_iter()
            .flatten()
            .min()
    }

    /// How many connections and requests there are.
    pub fn counts(&self) -> SlotCounts {
        let mut counts = SlotCounts {
            waiting: self.queue.len(),
            ..SlotCounts::default()
        };
        for connection in self.connections.values() {
            match connection.state {
                ConnectionState::Opening => counts.opening += 1,
                ConnectionState::Idle { .. } => counts.idle += 1,
                ConnectionState::Held => counts.held += 1,
                ConnectionState::Closing => counts.closing += 1,
            }
        }
        counts
    }

    fn request(&mut self, now: Timestamp, request: WaitingRequest, actions: &mut Vec<SlotAction>) {
        let number = request.number;
        if let Err(refusal) = self.admit(now, &request) {
            refuse(number, refusal, actions);
            return;
        }
        let weight = self.policy.weight(&request.tenant);
        self.queue.push(request, weight);
    }

    fn admit(&self, now: Timestamp, request: &WaitingRequest) -> Result<(), Refusal> {
        if request.deadline <= now {
            return Err(Refusal::WaitDeadline);
        }
        if request.lane == Lane::Observer {
            let full = self.queue.observers() >= OBSERVER_QUEUE_LIMIT;
            return if full {
                Err(Refusal::QueueFull)
            } else {
                Ok(())
            };
        }
        if self.draining {
            return Err(Refusal::NoDatabase);
        }
        if let Some(refusal) = self.outage(now) {
            return Err(refusal);
        }
        if self.queue.is_empty() && !self.idle.is_empty() {
            return Ok(());
        }
        self.queue_state(request).admit()
    }

    fn queue_state(&self, request: &WaitingRequest) -> QueueState {
        let weight = self.policy.weight(&request.tenant);
        QueueState {
            length: self.queue.len(),
            capacity: self.policy.queue_limit,
            tenant_length: self.queue.tenant_length(&request.tenant),
            tenant_capacity: self.policy.waiting_limit(&request.tenant),
            tenant_weight: weight,
            total_weight: self.queue.total_weight_with(&request.tenant, weight),
        }
    }

    /// The refusal of all work while the database cannot be reached or rejects this
    /// proxy, and no connection to it is left.
    fn outage(&self, now: Timestamp) -> Option<Refusal> {
        let hold = self.hold.as_ref().filter(|hold| now < hold.until)?;
        if self.usable_connections() > 0 {
            return None;
        }
        outage_refusal(&hold.failure)
    }

    fn usable_connections(&self) -> usize {
        self.connections
            .values()
            .filter(|connection| connection.state != ConnectionState::Closing)
            .count()
    }

    fn opened(&mut self, now: Timestamp, number: ConnectionNumber) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.state != ConnectionState::Opening {
            return;
        }
        connection.state = ConnectionState::Idle { since: now };
        self.idle.push(number);
        self.backoff.succeeded();
        self.hold = None;
    }

    fn failed(
        &mut self,
        now: Timestamp,
        connection: ConnectionNumber,
        failure: OpenFailure,
        actions: &mut Vec<SlotAction>,
    ) {
        self.closed(connection);
        let until = now + self.backoff.failed();
        if let Some(refusal) = outage_refusal(&failure)
            && self.usable_connections() == 0
        {
            while let Some(request) = self.queue.pop() {
                refuse(request.number, refusal.clone(), actions);
            }
        }
        self.hold = Some(OpenHold { until, failure });
    }

    fn returned(
        &mut self,
        now: Timestamp,
        number: ConnectionNumber,
        reusable: bool,
        actions: &mut Vec<SlotAction>,
    ) {
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        if connection.state != ConnectionState::Held {
            return;
        }
        if reusable && !connection.outdated {
            connection.state = ConnectionState::Idle { since: now };
            self.idle.push(number);
        } else {
            connection.state = ConnectionState::Closing;
            actions.push(SlotAction::CloseConnection(number));
        }
    }

    fn closed(&mut self, number: ConnectionNumber) {
        self.connections.remove(&number);
        self.idle.retain(|candidate| *candidate != number);
    }

    fn renew(&mut self) {
        for connection in self.connections.values_mut() {
            connection.outdated = true;
        }
        self.hold = None;
    }

    fn settle(&mut self, now: Timestamp, actions: &mut Vec<SlotAction>) {
        while let Some(request) = self.queue.pop_expired(now) {
            refuse(request.number, Refusal::WaitDeadline, actions);
        }
        if self.draining {
            self.refuse_work(actions);
        }
        self.close_outdated(actions);
        self.close_surplus(actions);
        self.grant(actions);
        self.open(now, actions);
        self.close_idle(now, actions);
    }

    fn refuse_work(&mut self, actions: &mut Vec<SlotAction>) {
        while let Some(request) = self.queue.pop_lane(Lane::Work) {
            refuse(request.number, Refusal::NoDatabase, actions);
        }
    }

    fn grant(&mut self, actions: &mut Vec<SlotAction>) {
        while !self.queue.is_empty() {
            let Some(number) = self.idle.pop() else {
                return;
            };
            let Some(request) = self.queue.pop() else {
                return;
            };
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.state = ConnectionState::Held;
            }
            actions.push(SlotAction::Grant {
                request: request.number,
                connection: number,
            });
        }
    }

    fn open(&mut self, now: Timestamp, actions: &mut Vec<SlotAction>) {
        let counts = self.counts();
        let room = self.policy.slots.saturating_sub(counts.connections());
        let wanted = self.queue.len().saturating_sub(counts.opening);
        let mut number = wanted.min(room);
        if let Some(hold) = &self.hold {
            let probing = hold.failure != OpenFailure::SlotsTaken && self.queue.observers() > 0;
            let allowed = now >= hold.until || probing;
            // One attempt at a time until one succeeds.
            let limit = usize::from(allowed && counts.opening == 0);
            number = number.min(limit);
        }
        for _ in 0..number {
            let connection = ConnectionNumber(self.next_connection);
            self.next_connection += 1;
            self.connections.insert(
                connection,
                Connection {
                    state: ConnectionState::Opening,
                    outdated: false,
                },
            );
            actions.push(SlotAction::OpenConnection(connection));
        }
    }

    fn close_outdated(&mut self, actions: &mut Vec<SlotAction>) {
        let outdated: Vec<ConnectionNumber> = self
            .idle
            .iter()
            .filter(|number| self.connections.get(number).is_some_and(|c| c.outdated))
            .copied()
            .collect();
        for number in outdated {
            self.close(number, actions);
        }
    }

    fn close_surplus(&mut self, actions: &mut Vec<SlotAction>) {
        let live = self.usable_connections();
        for _ in self.policy.slots..live {
            let Some(number) = self.idle.first().copied() else {
                return;
            };
            self.close(number, actions);
        }
    }

    fn close_idle(&mut self, now: Timestamp, actions: &mut Vec<SlotAction>) {
        let keeps_idle = self.home && !self.draining;
        while let Some(number) = self.idle.first().copied() {
            let expired = self.idle_expiry(number).is_some_and(|expiry| expiry <= now);
            let above_minimum = self.idle.len() > self.policy.minimum_idle;
            if keeps_idle && !(expired && above_minimum) {
                return;
            }
            self.close(number, actions);
        }
    }

    fn close(&mut self, number: ConnectionNumber, actions: &mut Vec<SlotAction>) {
        self.idle.retain(|candidate| *candidate != number);
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.state = ConnectionState::Closing;
            actions.push(SlotAction::CloseConnection(number));
        }
    }

    /// When the connection that has been idle longest may be closed. Connections are
    /// taken from the end of the list, so the first has been idle longest.
    fn first_idle_expiry(&self) -> Option<Timestamp> {
        if self.idle.len() <= self.policy.minimum_idle {
            return None;
        }
        self.idle_expiry(*self.idle.first()?)
    }

    fn idle_expiry(&self, number: ConnectionNumber) -> Option<Timestamp> {
        match self.connections.get(&number)?.state {
            ConnectionState::Idle { since } => Some(since + self.policy.idle_time),
            _ => None,
        }
    }
}

fn refuse(request: RequestNumber, refusal: Refusal, actions: &mut Vec<SlotAction>) {
    actions.push(SlotAction::Refuse { request, refusal });
}

fn outage_refusal(failure: &OpenFailure) -> Option<Refusal> {
    match failure {
        OpenFailure::SlotsTaken => None,
        OpenFailure::Unreachable => Some(Refusal::NoDatabase),
        OpenFailure::Rejected(sqlstate) => Some(Refusal::BackendRefused {
            sqlstate: sqlstate.clone(),
        }),
    }
}
