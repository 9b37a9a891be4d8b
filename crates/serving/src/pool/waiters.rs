//! The queue of requests that wait for a connection to one database.

use std::collections::BTreeMap;

use hookpoint_coordination::serving::queue_order::{QueuedRequest, next_waiter_index};
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::Timestamp;
use tokio::sync::oneshot;

use super::open_permit::OpenPermit;
use crate::lease::Lease;

/// Key in the queue: priority, then order of arrival.
pub(super) type Ticket = (u8, u64);

/// What a waiting request receives.
pub(super) enum Grant {
    /// A connection that the request may use.
    Connection(Box<Lease>),
    /// A permit to open a connection, because another one was closed.
    OpenPermit(OpenPermit),
}

/// A request that waits for a connection or a permit to open one.
pub(super) struct Waiter {
    /// `None` for a query of this node itself, which any connection can serve.
    pub(super) principal: Option<Principal>,
    since: Timestamp,
    pub(super) sender: oneshot::Sender<Grant>,
}

impl Waiter {
    /// Returns whether the request cannot use a connection of `principal`.
    pub(super) fn needs_other_principal(&self, principal: &Principal) -> bool {
        self.principal
            .as_ref()
            .is_some_and(|wanted| wanted != principal)
    }
}

/// The wait queue, ordered by priority and arrival.
#[derive(Default)]
pub(super) struct Waiters {
    queue: BTreeMap<Ticket, Waiter>,
    next: u64,
}

impl Waiters {
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns how many requests wait for a connection of `principal`.
    pub(super) fn len_for(&self, principal: &Principal) -> usize {
        let own = |waiter: &&Waiter| waiter.principal.as_ref() == Some(principal);
        self.queue.values().filter(own).count()
    }

    /// Returns how many requests are ahead of a request of `priority` that joins now.
    pub(super) fn ahead_of(&self, priority: u8) -> usize {
        self.queue.range(..=(priority, u64::MAX)).count()
    }

    pub(super) fn join(
        &mut self,
        priority: u8,
        principal: Option<&Principal>,
        now: Timestamp,
    ) -> (Ticket, oneshot::Receiver<Grant>) {
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

    /// Removes all requests without giving them a connection.
    pub(super) fn fail_all(&mut self) {
        self.queue.clear();
    }

    pub(super) fn leave(&mut self, ticket: Ticket) {
        self.queue.remove(&ticket);
    }

    /// Removes and returns the request that is next when a connection of `principal` becomes free.
    pub(super) fn take_next(&mut self, principal: &Principal, now: Timestamp) -> Option<Waiter> {
        let waiting = self
            .queue
            .iter()
            .map(|((priority, _), waiter)| QueuedRequest {
                priority: *priority,
                principal: waiter.principal.as_ref(),
                waited: now.since(waiter.since),
            });
        let index = next_waiter_index(waiting, principal)?;
        let ticket = *self.queue.keys().nth(index)?;
        self.queue.remove(&ticket)
    }
}
