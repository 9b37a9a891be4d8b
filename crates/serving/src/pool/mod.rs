//! The connections of one database: open ones at rest, and who waits for one.
//!
//! A connection is opened on behalf of one principal and serves no other.

mod idle;
mod waiters;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hookpoint_coordination::serving::admission::{ConnectionQueue, ConnectionUse};
use hookpoint_coordination::serving::demand::Demand;
use hookpoint_coordination::serving::reliability::Reliability;
use hookpoint_coordination::serving::response_time::ResponseTime;
use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::{DatabaseName, Timestamp};
use thiserror::Error;

use self::idle::IdleConnections;
use self::waiters::{Ticket, Turn, Waiter, Waiters};
use crate::connection::{Connection, ConnectionError};
use crate::lease::{Lease, roll_back};
use crate::message::{Command, FailureCode};
use crate::node::Node;
use crate::relay::{self, NoLease};
use crate::second_way;

/// Limit for connecting and opening a session.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Limit for answers that need no slot.
pub const CONTROL_LIMIT: Duration = Duration::from_millis(450);
/// How long a database that failed to answer is avoided.
const SUSPECT_TIME: Duration = Duration::from_millis(800);
/// How long a database that lacked a position is avoided.
const LAGGING_TIME: Duration = Duration::from_millis(150);
/// How long no connection is opened after the database refused one for their number.
const LIMIT_PAUSE: Duration = Duration::from_millis(400);
/// Connections of a node that is not home of a database while no home node answers: all nodes
/// of a fleet parted from the homes may need one, and a database takes a bounded number.
const SUBSTITUTE_CONNECTIONS: usize = 1;
/// Service time assumed before any is measured.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// How long a connection is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// A queue in which it is expected to take longer is not joined.
    pub patience: Duration,
    /// What the connection is wanted for.
    pub wanted: ConnectionUse,
    /// After this time the queue is left.
    pub limit: Duration,
}

impl WaitLimits {
    /// Any queue is joined, and left after `limit`.
    pub fn patient(limit: Duration) -> Self {
        Self {
            patience: Duration::MAX,
            wanted: ConnectionUse::Statement,
            limit,
        }
    }
}

/// What a connection is asked for.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest<'a> {
    /// On whose behalf statements will run on it; none for a question of this node's own,
    /// which is nobody's statement: any connection serves.
    pub principal: Option<&'a Principal>,
    /// 0 is served first.
    pub priority: u8,
    /// Session values that it should have already.
    pub values: &'a SessionValues,
    /// How long it is waited for.
    pub limits: WaitLimits,
}

/// Why no connection was had.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// None became free in time.
    #[error("no connection became free in time")]
    TimedOut,
    /// One could not be opened.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// This node holds no connections to the database, or cannot reach it.
    #[error("this node cannot reach the database by itself")]
    NotHeld,
    /// The queue for its connections is too long.
    #[error("the queue for the database's connections is too long")]
    Overloaded,
    /// The database takes no more connections at the moment, and this node has none.
    #[error("the database takes no more connections")]
    Crowded,
    /// The database is not listed any more.
    #[error("the database is not listed")]
    Unlisted,
}

/// The pool of one database.
pub struct Pool {
    node: Weak<Node>,
    database: DatabaseName,
    idle: RefCell<IdleConnections>,
    open: Cell<usize>,
    leased: Cell<usize>,
    waiters: RefCell<Waiters>,
    suspect_until: Cell<Timestamp>,
    lagging_until: Cell<Timestamp>,
    no_opening_until: Cell<Timestamp>,
    reachable: Cell<bool>,
    verifying: Cell<bool>,
    refused: Cell<bool>,
    service_time: Cell<ResponseTime>,
    wait: Cell<ResponseTime>,
    held: Cell<ResponseTime>,
    in_use: RefCell<BTreeMap<Principal, usize>>,
    demand: RefCell<Demand>,
    reliability: Cell<Reliability>,
}

impl Pool {
    /// An empty pool.
    pub fn new(node: Weak<Node>, database: DatabaseName) -> Self {
        Self {
            node,
            database,
            idle: RefCell::default(),
            open: Cell::new(0),
            leased: Cell::new(0),
            waiters: RefCell::default(),
            suspect_until: Cell::default(),
            lagging_until: Cell::default(),
            no_opening_until: Cell::default(),
            reachable: Cell::new(true),
            verifying: Cell::new(false),
            refused: Cell::new(false),
            service_time: Cell::new(ResponseTime::new(INITIAL_SERVICE_TIME)),
            wait: Cell::new(ResponseTime::new(Duration::ZERO)),
            held: Cell::new(ResponseTime::new(INITIAL_SERVICE_TIME)),
            in_use: RefCell::default(),
            demand: RefCell::default(),
            reliability: Cell::default(),
        }
    }

    /// Name of the database.
    pub fn database(&self) -> &DatabaseName {
        &self.database
    }

    /// Connections in use and requests that wait for one.
    pub fn in_flight(&self) -> usize {
        self.leased.get() + self.waiters.borrow().len()
    }

    /// Connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Whether the database failed to answer lately.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until.get()
    }

    /// Whether it lately lacked a position.
    pub fn is_lagging(&self, now: Timestamp) -> bool {
        now < self.lagging_until.get()
    }

    /// Mean time of a statement.
    pub fn service_time(&self, now: Timestamp) -> Duration {
        self.service_time.get().expected(now)
    }

    /// Mean time for which a connection is waited for.
    pub fn expected_wait(&self, now: Timestamp) -> Duration {
        self.wait.get().expected(now)
    }

    /// Notes how long a connection was waited for, in vain or not.
    pub fn note_wait(&self, now: Timestamp, waited: Duration) {
        note_time(&self.wait, now, waited);
    }

    /// The queue that a request of `priority` would join.
    fn queue(&self, now: Timestamp, priority: u8) -> ConnectionQueue {
        ConnectionQueue {
            ahead: self.waiters.borrow().ahead_of(priority),
            connections: self.open.get(),
            held: self.held.get().expected(now),
        }
    }

    /// Share of the statements that failed lately, of [`reliability::WHOLE`].
    ///
    /// [`reliability::WHOLE`]: hookpoint_coordination::serving::reliability::WHOLE
    pub fn failing(&self, now: Timestamp) -> u32 {
        self.reliability.get().failing(now)
    }

    /// Notes whether a statement failed.
    pub fn note_outcome(&self, now: Timestamp, failed: bool) {
        let mut reliability = self.reliability.get();
        reliability.note(now, failed);
        self.reliability.set(reliability);
    }

    /// Notes that the database did not answer.
    pub fn note_failure(&self, now: Timestamp) {
        self.note_outcome(now, true);
        self.suspect_until.set(now + SUSPECT_TIME);
    }

    /// Whether this node can reach the database by itself, as far as it knows.
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Whether its host refused the last connection that could not be opened.
    pub fn was_refused(&self) -> bool {
        self.refused.get()
    }

    /// Notes that the way to the database is lost: connections at rest are of no use.
    pub fn note_unreachable(&self) {
        self.reachable.set(false);
        self.close_idle();
    }

    /// Notes that it lacked a position.
    pub fn note_lagging(&self, now: Timestamp) {
        self.lagging_until.set(now + LAGGING_TIME);
    }

    /// Notes a served statement.
    pub fn note_served(&self, now: Timestamp, elapsed: Duration) {
        self.note_outcome(now, false);
        note_time(&self.service_time, now, elapsed);
        self.suspect_until.set(Timestamp::default());
    }

    /// Takes a connection at rest of a principal, or of any if none is told, if there is a
    /// usable one.
    ///
    /// One that already has the session values `preferred` goes first.
    pub fn try_acquire(
        self: &Rc<Self>,
        principal: Option<&Principal>,
        preferred: &SessionValues,
    ) -> Option<Lease> {
        loop {
            let mut connection = self.idle.borrow_mut().take(principal, preferred)?;
            if connection.is_usable() {
                return Some(self.lend(connection));
            }
            self.open.set(self.open.get() - 1);
        }
    }

    /// Counts a connection as in use.
    fn lend(self: &Rc<Self>, connection: Connection) -> Lease {
        self.leased.set(self.leased.get() + 1);
        let mut in_use = self.in_use.borrow_mut();
        *in_use.entry(connection.principal.clone()).or_default() += 1;
        drop(in_use);
        Lease::new(Rc::clone(self), connection)
    }

    /// Counts a connection of `principal` as no longer in use.
    fn take_back(&self, principal: &Principal) {
        self.leased.set(self.leased.get() - 1);
        let mut in_use = self.in_use.borrow_mut();
        if let Some(count) = in_use.get_mut(principal) {
            *count -= 1;
            if *count == 0 {
                in_use.remove(principal);
            }
        }
    }

    /// Takes a connection of this node's own, or leases one from a node that holds them.
    pub async fn acquire(
        self: &Rc<Self>,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        let node = self.node.upgrade().ok_or(AcquireError::Unlisted)?;
        self.note_demand(node.now(), request.principal);
        if let Some(lease) = self.try_acquire(request.principal, request.values) {
            return Ok(lease);
        }
        let is_home = self.reachable.get() && node.connection_cap(&self.database) > 0;
        let principal = request.principal.unwrap_or(&Principal::Anonymous);
        if is_home && !node.keeps_connections_of(&self.database, principal) {
            return match relay::lease(&node, self, request).await {
                Ok(lease) => Ok(lease),
                Err(_) => self.acquire_direct(&node, request).await,
            };
        }
        let direct = if is_home {
            self.acquire_direct(&node, request).await
        } else {
            Err(AcquireError::NotHeld)
        };
        match direct {
            Err(AcquireError::Connection(ConnectionError::Rejected(_)))
            | Err(AcquireError::TimedOut | AcquireError::Overloaded)
            | Ok(_) => direct,
            Err(error) => match relay::lease(&node, self, request).await {
                Err(NoLease::Silent) => self.acquire_as_substitute(&node, request).await,
                outcome => outcome.map_err(|refusal| refusal.or(error)),
            },
        }
    }

    /// Takes a connection of this node's own though it is not home: none of the nodes that
    /// are answers.
    async fn acquire_as_substitute(
        self: &Rc<Self>,
        node: &Rc<Node>,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        if !self.reachable.get() && self.is_suspect(node.now()) {
            return Err(AcquireError::NotHeld);
        }
        node.counters.count("connections", "substitute");
        self.acquire_within(node, SUBSTITUTE_CONNECTIONS, request)
            .await
    }

    /// Lends a connection that another node holds.
    pub fn lend_relayed(self: &Rc<Self>, connection: Connection) -> Lease {
        self.lend(connection)
    }

    /// Takes a connection of this node's own: one at rest, a new one, or the next that
    /// becomes free.
    pub async fn acquire_direct(
        self: &Rc<Self>,
        node: &Rc<Node>,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        if !self.reachable.get() {
            return Err(AcquireError::NotHeld);
        }
        let cap = node.connection_cap(&self.database);
        self.acquire_within(node, cap, request).await
    }

    /// The same with at most `cap` connections open.
    async fn acquire_within(
        self: &Rc<Self>,
        node: &Rc<Node>,
        cap: usize,
        request: ConnectionRequest<'_>,
    ) -> Result<Lease, AcquireError> {
        self.note_demand(node.now(), request.principal);
        if let Some(lease) = self.try_acquire(request.principal, request.values) {
            return Ok(lease);
        }
        if self.may_open_within(cap, node.now()) || self.make_room(cap, node.now()) {
            match self.open(node, request.principal).await {
                Err(AcquireError::Crowded) => {}
                other => return other,
            }
        }
        if self.open.get() == 0 {
            return Err(AcquireError::Crowded);
        }
        if !self
            .queue(node.now(), request.priority)
            .admits(request.limits.patience, request.limits.wanted)
        {
            return Err(AcquireError::Overloaded);
        }
        self.wait(node, request).await
    }

    /// Notes that one more connection is wanted.
    fn note_demand(&self, now: Timestamp, principal: Option<&Principal>) {
        let principal = principal.unwrap_or(&Principal::Anonymous);
        let in_use = self.in_use.borrow().get(principal).copied();
        let waiting = self.waiters.borrow().len_of(principal);
        let wanted = in_use.unwrap_or_default() + waiting + 1;
        self.demand.borrow_mut().note(now, principal, wanted);
    }

    /// Closes a connection at rest, which is another principal's, for one that is wanted now.
    fn make_room(&self, cap: usize, now: Timestamp) -> bool {
        if now < self.no_opening_until.get() || self.open.get() > cap {
            return false;
        }
        let closed = self.idle.borrow_mut().take_oldest().is_some();
        if closed {
            self.open.set(self.open.get() - 1);
        }
        closed
    }

    /// Whether another connection may be opened now.
    pub fn may_open(&self, node: &Rc<Node>) -> bool {
        self.may_open_within(node.connection_cap(&self.database), node.now())
    }

    fn may_open_within(&self, cap: usize, now: Timestamp) -> bool {
        let refused_lately = now < self.no_opening_until.get();
        !refused_lately && self.open.get() < cap
    }

    /// Opens a connection whatever the cap says; in nobody's name if no principal is told.
    pub async fn open(
        self: &Rc<Self>,
        node: &Rc<Node>,
        principal: Option<&Principal>,
    ) -> Result<Lease, AcquireError> {
        self.open_in(Place::new(self), node, principal).await
    }

    async fn open_in(
        self: &Rc<Self>,
        place: Place,
        node: &Rc<Node>,
        principal: Option<&Principal>,
    ) -> Result<Lease, AcquireError> {
        let (address, group) = node
            .database(&self.database)
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
        match opening.await {
            Ok(mut connection) => {
                place.fill();
                connection.heard_at = node.now();
                self.reachable.set(true);
                Ok(self.lend(connection))
            }
            Err(ConnectionError::Rejected(failure))
                if failure.code == FailureCode::TooManyConnections =>
            {
                self.no_opening_until.set(node.now() + LIMIT_PAUSE);
                Err(AcquireError::Crowded)
            }
            Err(error) => {
                if !matches!(error, ConnectionError::Rejected(_)) {
                    let refused = matches!(error, ConnectionError::Refused(_));
                    self.refused.set(refused);
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
            Ok(Ok(Turn::Connection(lease))) => Ok(*lease),
            Ok(Ok(Turn::Place(place))) => self.open_in(place, node, request.principal).await,
            _ => Err(AcquireError::TimedOut),
        }
    }

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
        if connection.broken {
            self.open.set(self.open.get() - 1);
            return;
        }
        let Some(node) = self.node.upgrade() else {
            return;
        };
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

    /// Closes a connection at rest if more are open than were lately needed.
    pub fn trim(&self, now: Timestamp) {
        if self.open.get() <= self.demand.borrow_mut().kept(now) {
            return;
        }
        if self.idle.borrow_mut().take_oldest().is_some() {
            self.open.set(self.open.get() - 1);
        }
    }

    /// After a time-out: asks something that needs no slot on a connection at rest. If
    /// that is not answered either, the way to the database is lost.
    pub(crate) fn verify(self: &Rc<Self>, node: &Rc<Node>) {
        if self.verifying.replace(true) {
            return;
        }
        let pool = Rc::clone(self);
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            if !pool.answers(&node).await {
                pool.note_unreachable();
                node.log(
                    "dependency_lost",
                    &[("dependency", pool.database.as_str().into())],
                );
            }
            pool.verifying.set(false);
        });
    }

    /// Whether the database answers what needs no slot. Without a connection at rest that is
    /// not found out.
    async fn answers(self: &Rc<Self>, node: &Rc<Node>) -> bool {
        let Some(lease) = self.try_acquire(None, &SessionValues::new()) else {
            return true;
        };
        let question = async |lease: &mut Lease| {
            let commands = [Command::Rollback];
            let answers = lease.connection().exchange(&commands, CONTROL_LIMIT).await;
            answers.map(drop)
        };
        second_way::ask(node, self, lease, question).await.is_ok()
    }

    /// Closes the connections at rest on which nothing was heard since `since`.
    pub(crate) fn close_unheard_since(&self, since: Timestamp) {
        let closed = self.idle.borrow_mut().close_unheard_since(since);
        self.open.set(self.open.get() - closed);
    }

    /// Closes the connections at rest.
    pub fn close_idle(&self) {
        let closed = self.idle.borrow_mut().close_all();
        self.open.set(self.open.get() - closed);
    }
}

fn note_time(estimate: &Cell<ResponseTime>, now: Timestamp, elapsed: Duration) {
    let mut changed = estimate.get();
    changed.note(now, elapsed);
    estimate.set(changed);
}

/// A place among the open connections; free again when dropped before it is filled.
struct Place {
    pool: Rc<Pool>,
    filled: bool,
}

impl Place {
    /// Takes one more.
    fn new(pool: &Rc<Pool>) -> Self {
        pool.open.set(pool.open.get() + 1);
        Self::of_closed(pool)
    }

    /// The place of a connection that was closed and is still counted as open.
    fn of_closed(pool: &Rc<Pool>) -> Self {
        Self {
            pool: Rc::clone(pool),
            filled: false,
        }
    }

    /// A connection stands in it from now on.
    fn fill(mut self) {
        self.filled = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.filled {
            self.pool.open.set(self.pool.open.get() - 1);
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
