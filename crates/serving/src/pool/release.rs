//! Giving a connection back: to who is next, or to rest.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::tenancy::Principal;

use super::place::Place;
use super::waiters::{Turn, Waiter};
use super::{Pool, note_time};
use crate::connection::Connection;
use crate::lease::roll_back;
use crate::node::Node;
use crate::relay;

impl Pool {
    /// Gives a connection back that was in use for `held`: to who waits, or to rest.
    pub(crate) fn release(self: &Rc<Self>, connection: Connection, held: Duration) {
        self.take_back(&connection.principal);
        if connection.is_relayed() {
            self.release_relayed(connection);
            return;
        }
        if let Some(node) = self.node.upgrade() {
            note_time(&self.held, node.now(), held);
        }
        if connection.broken || self.is_retired() {
            self.open.set(self.open.get() - 1);
            return;
        }
        let Some(node) = self.node.upgrade() else {
            return;
        };
        if node.is_shut(&self.database) {
            // Closing it ends what it holds.
            self.open.set(self.open.get() - 1);
            return;
        }
        let Some(connection) = self.hand_over(&node, connection) else {
            return;
        };
        if connection.in_transaction {
            self.spawn_roll_back(&node, connection);
        } else {
            self.idle.borrow_mut().put(connection);
        }
    }

    /// Ends a connection's transaction in a task of its own. Until that has begun the
    /// connection counts as broken: a task that never runs, as the node ends, must not give
    /// it back for that again.
    fn spawn_roll_back(self: &Rc<Self>, node: &Rc<Node>, mut connection: Connection) {
        connection.broken = true;
        let mut lease = self.lend(connection);
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            lease.connection().broken = false;
            roll_back(&node, lease).await;
        });
    }

    fn release_relayed(&self, connection: Connection) {
        if connection.broken {
            return;
        }
        if let (Some(node), Some(channel)) = (self.node.upgrade(), connection.into_relayed()) {
            tokio::task::spawn_local(relay::release(node, channel));
        }
    }

    /// Gives a connection to who is next. Returns it if nobody waits.
    fn hand_over(
        self: &Rc<Self>,
        node: &Rc<Node>,
        mut connection: Connection,
    ) -> Option<Connection> {
        loop {
            let principal = connection.principal.clone();
            let next = self.waiters.borrow_mut().take_next(&principal, node.now());
            let Some(waiter) = next else {
                return Some(connection);
            };
            if waiter.needs_another_than(&principal) {
                drop(connection);
                self.pass_place_on(node, Place::of_closed(self), waiter);
                return None;
            }
            let lease = Box::new(self.lend(connection));
            match waiter.sender.send(Turn::Connection(lease)) {
                Ok(()) => return None,
                Err(Turn::Connection(mut lease)) => {
                    self.take_back(&principal);
                    connection = lease.take()?;
                }
                Err(Turn::Place(_)) => return None,
            }
        }
    }

    /// Gives the place of a closed connection to `waiter`, or to who comes after it if that
    /// one has gone. A place that nobody wants is free.
    fn pass_place_on(self: &Rc<Self>, node: &Rc<Node>, place: Place, waiter: Waiter) {
        let mut unwanted = waiter.sender.send(Turn::Place(place)).err();
        while let Some(Turn::Place(place)) = unwanted {
            let next = self
                .waiters
                .borrow_mut()
                .take_next(&Principal::Anonymous, node.now());
            unwanted = next.and_then(|waiter| waiter.sender.send(Turn::Place(place)).err());
        }
    }
}
