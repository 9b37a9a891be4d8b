//! Slot table of one database: the connections that this proxy may open to the database, and
//! the requests that wait for them.

use std::time::Duration;

use hookpoint_state::{Refusal, Timestamp};

use super::connections::{Connections, SlotCounts};
use super::event::{
    ConnectionNumber, Lane, OpenFailure, RequestNumber, SlotAction, SlotEvent, WaitingRequest,
};
use super::policy::SlotPolicy;
use super::queue::FairQueue;
use crate::limits::QueueState;
use crate::retry::{Backoff, BackoffPolicy};

/// Maximum number of requests in [`Lane::Observer`] that may wait for one database.
const OBSERVER_QUEUE_LIMIT: usize = 8;
/// Pauses after a failed attempt to open a connection.
const OPEN_BACKOFF: BackoffPolicy = BackoffPolicy {
    first: Duration::from_millis(20),
    maximum: Duration::from_millis(500),
};

/// Suspension of attempts to open connections after a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
struct OpenHold {
    until: Timestamp,
    failure: OpenFailure,
}

/// Connections and waiting requests of one database.
#[derive(Clone, Debug)]
pub struct SlotTable {
    policy: SlotPolicy,
    connections: Connections,
    queue: FairQueue,
    draining: bool,
    home: bool,
    backoff: Backoff,
    hold: Option<OpenHold>,
}

impl SlotTable {
    /// Creates a table without connections, on a node that is the database's home.
    /// Jitter is drawn from `seed`.
    pub fn new(policy: SlotPolicy, seed: u64) -> Self {
        Self {
            policy,
            connections: Connections::default(),
            queue: FairQueue::new(),
            draining: false,
            home: true,
            backoff: Backoff::new(OPEN_BACKOFF, seed),
            hold: None,
        }
    }

    /// Processes an event and appends the resulting actions to `actions`, to be carried
    /// out in order.
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
            SlotEvent::ConnectionClosed(connection) => self.connections.remove(connection),
            SlotEvent::GrantFailed {
                connection,
                request,
            } => {
                self.connections.remove(connection);
                self.queue.push_front(request);
            }
            SlotEvent::PolicyChanged(policy) => self.policy = policy,
            SlotEvent::ReplaceConnections => self.replace_connections(),
            SlotEvent::Drain => self.draining = true,
            SlotEvent::Undrain => self.draining = false,
            SlotEvent::Reroute => self.refuse_work(actions),
            SlotEvent::Home(home) => self.home = home,
            SlotEvent::Timer => {}
        }
        self.advance(now, actions);
    }

    /// Returns when [`SlotEvent::Timer`] is due; `None` if no timer is needed.
    pub fn next_timer(&self) -> Option<Timestamp> {
        let opening = self
            .hold
            .as_ref()
            .filter(|_| self.could_open())
            .map(|hold| hold.until);
        let deadline = self.queue.first_deadline();
        [opening, deadline, self.first_idle_expiry()]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns whether a connection would be opened at the end of a hold. While an
    /// attempt is running or no slot is free, only an event can end the wait; a timer in
    /// the past would make the driver spin.
    fn could_open(&self) -> bool {
        let counts = self.connections.counts();
        !self.queue.is_empty() && counts.opening == 0 && counts.connections() < self.policy.slots
    }

    /// Returns the numbers of connections and waiting requests.
    pub fn counts(&self) -> SlotCounts {
        SlotCounts {
            waiting: self.queue.len(),
            ..self.connections.counts()
        }
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

    /// Checks whether `request` may join the queue for a connection; otherwise returns the
    /// reason why it is refused.
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
        if self.queue.is_empty() && self.connections.idle() > 0 {
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

    /// Returns the refusal for all work while the database is unreachable or rejects
    /// this proxy, and no usable connection to it is left.
    fn outage(&self, now: Timestamp) -> Option<Refusal> {
        let hold = self.hold.as_ref().filter(|hold| now < hold.until)?;
        if self.connections.counts().usable() > 0 {
            return None;
        }
        outage_refusal(&hold.failure)
    }

    fn opened(&mut self, now: Timestamp, number: ConnectionNumber) {
        if self.connections.opened(now, number) {
            self.backoff.succeeded();
            self.hold = None;
        }
    }

    fn failed(
        &mut self,
        now: Timestamp,
        connection: ConnectionNumber,
        failure: OpenFailure,
        actions: &mut Vec<SlotAction>,
    ) {
        self.connections.remove(connection);
        let until = now + self.backoff.failed();
        if let Some(refusal) = outage_refusal(&failure)
            && self.connections.counts().usable() == 0
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
        if self.connections.returned(now, number) && !reusable {
            self.close(number, actions);
        }
    }

    fn replace_connections(&mut self) {
        self.connections.mark_all_outdated();
        self.hold = None;
    }

    fn advance(&mut self, now: Timestamp, actions: &mut Vec<SlotAction>) {
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
            let Some(connection) = self.connections.take_idle() else {
                return;
            };
            let Some(request) = self.queue.pop() else {
                return;
            };
            actions.push(SlotAction::Grant {
                request: request.number,
                connection,
            });
        }
    }

    fn open(&mut self, now: Timestamp, actions: &mut Vec<SlotAction>) {
        let counts = self.counts();
        let free_slots = self.policy.slots.saturating_sub(counts.connections());
        let wanted = self.queue.len().saturating_sub(counts.opening);
        let mut number = wanted.min(free_slots);
        if let Some(hold) = &self.hold {
            let observer_waits =
                hold.failure != OpenFailure::SlotsTaken && self.queue.observers() > 0;
            let allowed = now >= hold.until || observer_waits;
            // Only one attempt at a time until an attempt succeeds.
            let limit = usize::from(allowed && counts.opening == 0);
            number = number.min(limit);
        }
        for _ in 0..number {
            actions.push(SlotAction::OpenConnection(self.connections.start_opening()));
        }
    }

    fn close_outdated(&mut self, actions: &mut Vec<SlotAction>) {
        while let Some(number) = self.connections.outdated_idle() {
            self.close(number, actions);
        }
    }

    fn close_surplus(&mut self, actions: &mut Vec<SlotAction>) {
        for _ in self.policy.slots..self.connections.counts().usable() {
            let Some((number, _)) = self.connections.oldest_idle() else {
                return;
            };
            self.close(number, actions);
        }
    }

    fn close_idle(&mut self, now: Timestamp, actions: &mut Vec<SlotAction>) {
        let keeps_idle = self.home && !self.draining;
        while let Some((number, since)) = self.connections.oldest_idle() {
            let expired = since + self.policy.idle_time <= now;
            let spare = self.connections.idle() > self.policy.minimum_idle;
            if keeps_idle && !(expired && spare) {
                return;
            }
            self.close(number, actions);
        }
    }

    fn close(&mut self, number: ConnectionNumber, actions: &mut Vec<SlotAction>) {
        self.connections.close(number);
        actions.push(SlotAction::CloseConnection(number));
    }

    /// Returns when the connection that has been idle longest may be closed.
    fn first_idle_expiry(&self) -> Option<Timestamp> {
        let spare = self.connections.idle() > self.policy.minimum_idle;
        let (_, since) = self.connections.oldest_idle().filter(|_| spare)?;
        Some(since + self.policy.idle_time)
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
