//! Acquires a connection: an idle one, a new one, the next that becomes free, or one that a peer
//! node holds.

use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::Timestamp;

use super::open_permit::OpenPermit;
use super::waiters::{Grant, Ticket, Waiters};
use super::{AcquireError, ConnectionRequest, Pool};
use crate::connection::Connection;
use crate::exchange_error::ConnectionError;
use crate::lease::Lease;
use crate::message::FailureCode;
use crate::node::Node;
use crate::relay::{self, NoLease};

/// Time limit for connecting to a database and opening a session.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long no connection is opened after the database refused one for its connection limit.
const CONNECTION_LIMIT_PAUSE: Duration = Duration::from_millis(400);
/// Maximum number of connections that a node that is not a home of a database opens while no home
/// node answers. Every node of a fleet that is partitioned from the homes may need one, and a
/// database accepts a limited number.
const MAX_SUBSTITUTE_CONNECTIONS: usize = 1;

impl Pool {
    /// Acquires a connection of this node, or leases one from a peer node that holds connections to
    /// the database.
    pub async fn acquire(
        self: &Rc<Self>,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        let node = self.node.upgrade().ok_or(AcquireError::Unlisted)?;
        if node.is_in_evacuated_zone(&self.database) {
            return Err(AcquireError::ZoneEvacuated);
        }
        self.note_demand(node.now(), request.principal);
        if !node.is_cold(&self.database)
            && let Some(lease) = self.try_acquire(request.principal, request.values)
        {
            return Ok(lease);
        }
        let is_home = self.reachable.get() && node.connection_cap(&self.database) > 0;
        let principal = request.principal.unwrap_or(&Principal::Anonymous);
        let placement = request.placement;
        if is_home && !node.keeps_connections_of(&self.database, principal, placement) {
            return match relay::lease(&node, self, request).await {
                Ok(lease) => Ok(lease),
                Err(_) => self.acquire_direct(&node, request).await,
            };
        }
        let direct = if is_home {
            self.acquire_direct(&node, request).await
        } else {
            Err(AcquireError::Unreachable)
        };
        match direct {
            Err(AcquireError::Connection(ConnectionError::Rejected(_)))
            | Err(AcquireError::TimedOut | AcquireError::Overloaded)
            | Ok(_) => direct,
            Err(error) => match relay::lease(&node, self, request).await {
                Err(NoLease::NoAnswer) => self.acquire_as_substitute(&node, request).await,
                outcome => outcome.map_err(|refusal| refusal.or(error)),
            },
        }
    }

    /// Acquires a connection of this node although it is not a home of the database, because no
    /// home node that may carry the statement answers.
    async fn acquire_as_substitute(
        self: &Rc<Self>,
        node: &Rc<Node>,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        if !self.reachable.get() && self.is_suspect(node.now()) {
            return Err(AcquireError::Unreachable);
        }
        if let Some(refusal) = node.refusal_if_cold(&self.database) {
            return Err(refusal);
        }
        node.counters.count("connections", "substitute");
        self.acquire_within(node, MAX_SUBSTITUTE_CONNECTIONS, request)
            .await
    }

    /// Checks out a connection that a peer node holds.
    pub fn check_out_relayed(self: &Rc<Self>, connection: Connection) -> Lease {
        self.check_out(connection)
    }

    /// Acquires a connection of this node: an idle one, a new one, or the next that becomes free.
    /// If the database is cold, first waits for a token of its request budget.
    pub async fn acquire_direct(
        self: &Rc<Self>,
        node: &Rc<Node>,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        if node.is_in_evacuated_zone(&self.database) {
            return Err(AcquireError::ZoneEvacuated);
        }
        if !self.reachable.get() {
            return Err(AcquireError::Unreachable);
        }
        if node.connection_cap(&self.database) == 0 && node.is_cold(&self.database) {
            return Err(AcquireError::Unreachable);
        }
        let asked_at = node.now();
        let admitted = node.admit_to_cold(&self.database, &request).await?;
        let waited = node.now().since(asked_at);
        let request = ConnectionRequest {
            limits: request.limits.after(waited),
            ..request
        };
        let cap = node.connection_cap(&self.database);
        let mut lease = self.acquire_within(node, cap, request).await?;
        lease.set_admitted_requests(admitted);
        Ok(lease)
    }

    /// Acquires a connection of this node with at most `cap` connections open.
    async fn acquire_within(
        self: &Rc<Self>,
        node: &Rc<Node>,
        cap: usize,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        if self.is_retired() {
            return Err(AcquireError::Unlisted);
        }
        self.note_demand(node.now(), request.principal);
        if let Some(lease) = self.try_acquire(request.principal, request.values) {
            return Ok(lease);
        }
        if self.may_open_within(cap, node.now()) || self.evict_idle(cap, node.now()) {
            match self.open(node, request.principal).await {
                Err(AcquireError::ConnectionLimitReached) => {}
                other => return other,
            }
        }
        if self.open.get() == 0 {
            return Err(AcquireError::ConnectionLimitReached);
        }
        if !self
            .queue(node.now(), request.priority)
            .admits(request.limits.max_expected_wait, request.limits.purpose)
        {
            return Err(AcquireError::Overloaded);
        }
        self.wait(node, request).await
    }

    /// Records that the principal needs one more connection than it uses and waits for.
    fn note_demand(&self, now: Timestamp, principal: Option<&Principal>) {
        let principal = principal.unwrap_or(&Principal::Anonymous);
        let in_use = self.in_use.borrow().get(principal).copied();
        let waiting = self.waiters.borrow().len_for(principal);
        let needed = in_use.unwrap_or_default() + waiting + 1;
        self.demand.borrow_mut().note(now, principal, needed);
    }

    /// Closes the connection that has been idle longest to make room for a new one. Called when no
    /// idle connection of the requested principal is left. Returns whether one was closed.
    fn evict_idle(&self, cap: usize, now: Timestamp) -> bool {
        if now < self.opening_paused_until.get() || self.open.get() > cap {
            return false;
        }
        let closed = self.idle.borrow_mut().take_oldest().is_some();
        if closed {
            self.open.set(self.open.get() - 1);
        }
        closed
    }

    /// Returns whether another connection may be opened now.
    pub fn may_open(&self, node: &Rc<Node>) -> bool {
        self.may_open_within(node.connection_cap(&self.database), node.now())
    }

    fn may_open_within(&self, cap: usize, now: Timestamp) -> bool {
        let recently_refused = now < self.opening_paused_until.get();
        !recently_refused && self.open.get() < cap
    }

    /// Opens a connection regardless of the cap; as the anonymous principal if none is given.
    pub async fn open(
        self: &Rc<Self>,
        node: &Rc<Node>,
        principal: Option<&Principal>,
    ) -> Result<Lease, AcquireError> {
        self.open_with(OpenPermit::new(self), node, principal).await
    }

    async fn open_with(
        self: &Rc<Self>,
        permit: OpenPermit,
        node: &Rc<Node>,
        principal: Option<&Principal>,
    ) -> Result<Lease, AcquireError> {
        if node.is_in_evacuated_zone(&self.database) {
            return Err(AcquireError::ZoneEvacuated);
        }
        let (address, group) = node
            .database(&self.database)
            .filter(|_| !self.is_retired())
            .map(|database| (database.address, database.group))
            .ok_or(AcquireError::Unlisted)?;
        node.counters.count("connections_opened", "database");
        let protocol = Rc::clone(&node.protocol);
        let database = &self.database;
        let principal = principal.unwrap_or(&Principal::Anonymous);
        let opening = Connection::open(
            protocol,
            address,
            &group,
            database,
            principal,
            CONNECT_LIMIT,
        );
        let opened = opening.await;
        if self.is_retired() {
            return Err(AcquireError::Unlisted);
        }
        match opened {
            Ok(mut connection) => {
                permit.mark_opened();
                connection.last_received_at = node.now();
                if !self.reachable.replace(true) {
                    node.note_possible_restart(&self.database);
                }
                if self.open.get() == 1 {
                    node.note_first_connection(&self.database);
                }
                Ok(self.check_out(connection))
            }
            Err(ConnectionError::Rejected(failure))
                if failure.code == FailureCode::TooManyConnections =>
            {
                self.opening_paused_until
                    .set(node.now() + CONNECTION_LIMIT_PAUSE);
                Err(AcquireError::ConnectionLimitReached)
            }
            Err(error) => {
                if !matches!(error, ConnectionError::Rejected(_)) {
                    let refused = matches!(error, ConnectionError::Refused(_));
                    self.connection_refused.set(refused);
                    node.note_possible_restart(&self.database);
                    self.note_failure(node.now());
                    self.note_unreachable();
                }
                Err(error.into())
            }
        }
    }

    async fn wait(
        self: &Rc<Self>,
        node: &Rc<Node>,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        let joining =
            |waiters: &mut Waiters| waiters.join(request.priority, request.principal, node.now());
        let (ticket, receiver) = joining(&mut self.waiters.borrow_mut());
        let _guard = WaiterGuard { pool: self, ticket };
        match tokio::time::timeout(request.limits.limit, receiver).await {
            Ok(Ok(Grant::Connection(lease))) => Ok(*lease),
            Ok(Ok(Grant::OpenPermit(permit))) => {
                self.open_with(permit, node, request.principal).await
            }
            Ok(Err(_)) if self.is_retired() => Err(AcquireError::Unlisted),
            _ => Err(AcquireError::TimedOut),
        }
    }
}

struct WaiterGuard<'a> {
    pool: &'a Pool,
    ticket: Ticket,
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.pool.waiters.borrow_mut().leave(self.ticket);
    }
}
