//! A minimal pool that carries out the actions of a slot table and checks each of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{Refusal, SessionId, Timestamp};

use crate::slots::*;

pub fn policy(slots: usize) -> SlotPolicy {
    SlotPolicy {
        slots,
        queue_limit: 50,
        tenants: BTreeMap::new(),
        minimum_idle: 1,
        idle_time: Duration::from_secs(30),
    }
}

/// State of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestState {
    Waiting,
    Granted(ConnectionNumber),
    Refused(Refusal),
}

pub struct Model {
    pub table: SlotTable,
    pub now: Timestamp,
    pub slots: usize,
    pub draining: bool,
    pub opening: BTreeSet<ConnectionNumber>,
    pub idle: BTreeSet<ConnectionNumber>,
    pub held: BTreeMap<ConnectionNumber, WaitingRequest>,
    pub closing: BTreeSet<ConnectionNumber>,
    pub requests: BTreeMap<RequestNumber, (WaitingRequest, RequestState)>,
    pub grants: Vec<WaitingRequest>,
    next: u64,
}

impl Model {
    pub fn new(policy: SlotPolicy, seed: u64) -> Self {
        Self {
            slots: policy.slots,
            table: SlotTable::new(policy, seed),
            now: Timestamp::from_millis(1),
            draining: false,
            opening: BTreeSet::new(),
            idle: BTreeSet::new(),
            held: BTreeMap::new(),
            closing: BTreeSet::new(),
            requests: BTreeMap::new(),
            grants: Vec::new(),
            next: 0,
        }
    }

    pub fn connections(&self) -> usize {
        self.opening.len() + self.idle.len() + self.held.len() + self.closing.len()
    }

    pub fn state(&self, number: RequestNumber) -> &RequestState {
        &self.requests[&number].1
    }

    pub fn waiting(&self) -> usize {
        let states = self.requests.values();
        states
            .filter(|(_, state)| *state == RequestState::Waiting)
            .count()
    }

    pub fn request(&mut self, tenant: &str, zone: &str, wait: Duration) -> RequestNumber {
        self.request_in(Lane::Work, tenant, zone, wait)
    }

    pub fn request_in(
        &mut self,
        lane: Lane,
        tenant: &str,
        zone: &str,
        wait: Duration,
    ) -> RequestNumber {
        let number = RequestNumber(self.next);
        self.next += 1;
        let request = WaitingRequest {
            number,
            tenant: tenant.into(),
            zone: zone.into(),
            session: SessionId(number.0),
            deadline: self.now + wait,
            lane,
        };
        self.requests
            .insert(number, (request.clone(), RequestState::Waiting));
        self.event(SlotEvent::Request(request));
        number
    }

    /// Ends the running attempt with the lowest number to open a connection, if there is
    /// one.
    pub fn opened(&mut self, failure: Option<OpenFailure>) {
        let Some(connection) = self.opening.pop_first() else {
            return;
        };
        match failure {
            None => {
                self.idle.insert(connection);
                self.event(SlotEvent::ConnectionOpened(connection));
            }
            Some(failure) => self.event(SlotEvent::ConnectionFailed {
                connection,
                failure,
            }),
        }
    }

    /// Returns the held connection with the lowest number to the pool.
    pub fn returned(&mut self, reusable: bool) {
        let Some((connection, _)) = self.held.pop_first() else {
            return;
        };
        self.idle.insert(connection);
        self.event(SlotEvent::ConnectionReturned {
            connection,
            reusable,
        });
    }

    pub fn confirm_close(&mut self) {
        if let Some(connection) = self.closing.pop_first() {
            self.event(SlotEvent::ConnectionClosed(connection));
        }
    }

    /// Reports that the held connection with the highest number was found closed before
    /// use.
    pub fn grant_failed(&mut self) {
        if let Some((connection, request)) = self.held.pop_last() {
            self.requests
                .insert(request.number, (request.clone(), RequestState::Waiting));
            self.event(SlotEvent::GrantFailed {
                connection,
                request,
            });
        }
    }

    /// Reports that an idle connection has broken.
    pub fn idle_connection_broken(&mut self) {
        if let Some(connection) = self.idle.pop_first() {
            self.event(SlotEvent::ConnectionClosed(connection));
        }
    }

    pub fn cancel(&mut self, number: RequestNumber) {
        if let Some((_, state)) = self.requests.get(&number)
            && *state == RequestState::Waiting
        {
            self.requests.remove(&number);
            self.event(SlotEvent::Cancelled(number));
        }
    }

    pub fn set_slots(&mut self, policy: SlotPolicy) {
        self.slots = policy.slots;
        self.event(SlotEvent::PolicyChanged(policy));
    }

    pub fn drain(&mut self, draining: bool) {
        self.draining = draining;
        self.event(if draining {
            SlotEvent::Drain
        } else {
            SlotEvent::Undrain
        });
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        self.event(SlotEvent::Timer);
    }

    pub fn event(&mut self, event: SlotEvent) {
        let mut actions = Vec::new();
        self.table.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(action);
        }
        let counts = self.table.counts();
        assert_eq!(counts.opening, self.opening.len());
        assert_eq!(counts.idle, self.idle.len());
        assert_eq!(counts.held, self.held.len());
        assert_eq!(counts.closing, self.closing.len());
        assert_eq!(counts.waiting, self.waiting());
        let timer = self.table.next_timer();
        let stuck = self.waiting() > 0 && timer.is_none();
        assert!(!stuck, "a request waits without a timer");
    }

    fn perform(&mut self, action: SlotAction) {
        match action {
            SlotAction::OpenConnection(connection) => {
                assert!(self.connections() < self.slots, "the slots are exceeded");
                assert!(self.opening.insert(connection));
            }
            SlotAction::Grant {
                request,
                connection,
            } => {
                assert!(self.idle.remove(&connection), "granted while not idle");
                let (waiting, state) = self.requests.get_mut(&request).unwrap();
                assert_eq!(*state, RequestState::Waiting, "answered twice");
                assert!(waiting.deadline > self.now, "granted after the deadline");
                assert!(!self.draining || waiting.lane == Lane::Observer);
                *state = RequestState::Granted(connection);
                self.grants.push(waiting.clone());
                self.held.insert(connection, waiting.clone());
            }
            SlotAction::Refuse { request, refusal } => {
                let (_, state) = self.requests.get_mut(&request).unwrap();
                assert_eq!(*state, RequestState::Waiting, "answered twice");
                *state = RequestState::Refused(refusal);
            }
            SlotAction::CloseConnection(connection) => {
                assert!(self.idle.remove(&connection), "closed while in use");
                self.closing.insert(connection);
            }
        }
    }
}
