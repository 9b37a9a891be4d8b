//! Who waits for a connection of one database.

use std::collections::BTreeMap;

use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_coordination::serving::turns::{Waiting, next_turn};
use hookpoint_state::Timestamp;
use tokio::sync::oneshot;

use super::place::Place;
use crate::lease::Lease;

/// Priority, then order of arrival.
pub(super) type Ticket = (u8, u64);

/// What a waiting request gets.
pub(super) enum Turn {
    /// A connection of its principal.
    Connection(Box<Lease>),
    /// Leave to open one, as one of another principal was closed.
    Place(Place),
}

/// A request that waits.
pub(super) struct Waiter {
    /// None for a question of the node's own, which any connection serves.
    pub(super) principal: Option<Principal>,
    since: Timestamp,
    pub(super) sender: oneshot::Sender<Turn>,
}

impl Waiter {
    /// Whether a connection of `principal` is of no use to it.
    pub(super) fn needs_another_than(&self, principal: &Principal) -> bool {
        self.principal
            .as_ref()
            .is_some_and(|wanted| wanted != principal)
    }
}

/// The queue.
#[derive(Default)]
pub(super) struct Waiters {
    queue: BTreeMap<Ticket, Waiter>,
    next: u64,
}

impl Waiters {
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// How many wait for a connection of `principal`.
    pub(super) fn len_of(&self, principal: &Principal) -> usize {
        let own = |waiter: &&Waiter| waiter.principal.as_ref() == Some(principal);
        self.queue.values().filter(own).count()
    }

    /// How many go before one of `priority` that comes now.
    pub(super) fn ahead_of(&self, priority: u8) -> usize {
        self.queue.range(..=(priority, u64::MAX)).count()
    }

    pub(super) fn join(
        &mut self,
        priority: u8,
        principal: Option<&Principal>,
        now: Timestamp,
    ) -> (Ticket, oneshot::Receiver<Turn>) {
        let ticket = (priority, self.next);
        self.next += 1;
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            principal: principal.cloned(),
            since: now,
            sender,
        };
        self.queue.insert(ticket, waiter);
        (ticket, receiver)
    }

    /// Drops all: they get nothing.
    pub(super) fn dismiss_all(&mut self) {
        self.queue.clear();
    }

    pub(super) fn leave(&mut self, ticket: Ticket) {
        self.queue.remove(&ticket);
    }

    /// Takes the one that is next when a connection of `principal` becomes free.
    pub(super) fn take_next(&mut self, principal: &Principal, now: Timestamp) -> Option<Waiter> {
        let waiting = self.queue.iter().map(|((priority, _), waiter)| Waiting {
            priority: *priority,
            principal: waiter.principal.as_ref(),
            waited: now.since(waiter.since),
        });
        let place = next_turn(waiting, principal)?;
        let ticket = *self.queue.keys().nth(place)?;
        self.queue.remove(&ticket)
    }
}
