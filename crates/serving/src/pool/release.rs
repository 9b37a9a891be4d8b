//! Releases a connection: to the next waiting request or to the idle connections.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::tenancy::Principal;

use super::open_permit::OpenPermit;
use super::waiters::{Grant, Waiter};
use super::{Pool, note_time};
use crate::connection::Connection;
use crate::lease::roll_back;
use crate::node::Node;
use crate::relay;

impl Pool {
    /// Releases a connection that was in use for `held`: to the next waiting request, or to the
    /// idle connections. Closes it if it is broken, its pool is retired or its database is
    /// evacuated.
    pub(crate) fn release(self: &Rc<Self>, connection: Connection, held: Duration) {
        self.count_returned(&connection.principal);
        if connection.is_relayed() {
            self.release_relayed(connection);
            return;
        }
        if let Some(node) = self.node.upgrade() {
            note_time(&self.usage_time, node.now(), held);
        }
        if connection.broken || self.is_retired() {
            self.open.set(self.open.get() - 1);
            return;
        }
        let Some(node) = self.node.upgrade() else {
            return;
        };
        if node.is_in_evacuated_zone(&self.database) {
            // Closing the connection makes the database roll back its transaction.
            self.open.set(self.open.get() - 1);
            return;
        }
        if !connection.is_reusable() {
            drop(connection);
            self.replace_closed(&node);
            return;
        }
        let Some(connection) = self.hand_to_waiter(&node, connection) else {
            return;
        };
        if connection.in_transaction {
            self.spawn_roll_back(&node, connection);
        } else {
            self.idle.borrow_mut().put(connection);
        }
    }

    /// Lets the next waiting request open a connection in place of one that was closed although its
    /// database is well.
    fn replace_closed(self: &Rc<Self>, node: &Rc<Node>) {
        let permit = OpenPermit::from_closed(self);
        let next = self
            .waiters
            .borrow_mut()
            .take_next(&Principal::Anonymous, node.now());
        if let Some(waiter) = next {
            self.pass_permit_on(node, permit, waiter);
        }
    }

    /// Rolls back a connection's transaction in a separate task. The connection is marked as broken
    /// until the task runs: if the node stops before that, dropping the lease must not spawn the
    /// rollback again.
    fn spawn_roll_back(self: &Rc<Self>, node: &Rc<Node>, mut connection: Connection) {
        connection.broken = true;
        let mut lease = self.check_out(connection);
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

    /// Hands a connection to the next waiting request. Returns it if no request is waiting.
    fn hand_to_waiter(
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
            if waiter.needs_other_principal(&principal) {
                drop(connection);
                self.pass_permit_on(node, OpenPermit::from_closed(self), waiter);
                return None;
            }
            let lease = Box::new(self.check_out(connection));
            match waiter.sender.send(Grant::Connection(lease)) {
                Ok(()) => return None,
                Err(Grant::Connection(mut lease)) => {
                    self.count_returned(&principal);
                    connection = lease.take()?;
                }
                Err(Grant::OpenPermit(_)) => return None,
            }
        }
    }

    /// Gives the permit of a closed connection to `waiter`, or to the next waiting request if that
    /// one has stopped waiting. The permit is dropped if no request takes it.
    fn pass_permit_on(self: &Rc<Self>, node: &Rc<Node>, permit: OpenPermit, waiter: Waiter) {
        let mut unwanted = waiter.sender.send(Grant::OpenPermit(permit)).err();
        while let Some(Grant::OpenPermit(permit)) = unwanted {
            let next = self
                .waiters
                .borrow_mut()
                .take_next(&Principal::Anonymous, node.now());
            unwanted = next.and_then(|waiter| waiter.sender.send(Grant::OpenPermit(permit)).err());
        }
    }
}
