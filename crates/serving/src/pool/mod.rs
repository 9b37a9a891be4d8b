//! The connections of one database: open ones at rest, and who waits for one.
//!
//! A connection is opened on behalf of one principal and serves no other.

mod acquire;
mod idle;
mod place;
mod release;
mod waiters;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hookpoint_coordination::serving::admission::{ConnectionQueue, ConnectionUse};
use hookpoint_coordination::serving::demand::Demand;
use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::reliability::Reliability;
use hookpoint_coordination::serving::response_time::ResponseTime;
use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_coordination::serving::tenancy::Principal;
use hookpoint_state::{DatabaseName, Timestamp};
use thiserror::Error;

use self::idle::IdleConnections;
use self::waiters::Waiters;
use crate::connection::{Connection, ConnectionError};
use crate::lease::Lease;
use crate::message::Command;
use crate::node::Node;
use crate::second_way;

/// Limit for answers that need no slot.
pub const CONTROL_LIMIT: Duration = Duration::from_millis(450);
/// How long a database that failed to answer is avoided.
const SUSPECT_TIME: Duration = Duration::from_millis(800);
/// How long a database that lacked a position is avoided.
const LAGGING_TIME: Duration = Duration::from_millis(150);
/// How long a pool without connections is kept for what it learnt of its database.
const POOL_MEMORY: Duration = Duration::from_secs(30);
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
    /// What is left of them once a request has waited for `waited`.
    pub(crate) fn after(self, waited: Duration) -> Self {
        Self {
            patience: self.patience.saturating_sub(waited),
            limit: self.limit.saturating_sub(waited),
            ..self
        }
    }

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
    /// Which other nodes the statements may pass through.
    pub placement: &'a Placement,
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
    /// Its zone is evacuated.
    #[error("the database's zone is evacuated")]
    ZoneEvacuated,
    /// It has just started, and this node's part of what it may get is used up.
    #[error("the database has just started and gets no more at the moment")]
    Cold {
        /// When there is a part again.
        retry_after: Duration,
    },
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
    /// Whether the life of the database is over that it was for.
    retired: Cell<bool>,
    /// When the database was last a candidate for a statement, or was asked.
    considered_at: Cell<Timestamp>,
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
            retired: Cell::new(false),
            considered_at: Cell::default(),
        }
    }

    /// Whether the pool holds nothing that is worth more than what a new one begins with: no
    /// connection, nobody who waits, and no experience that still counts.
    pub(crate) fn is_forgettable(&self, now: Timestamp) -> bool {
        self.open.get() == 0
            && self.in_flight() == 0
            && self.is_reachable()
            && !self.is_suspect(now)
            && now.since(self.considered_at.get()) >= POOL_MEMORY
    }

    /// Notes that a statement may go to the database.
    pub(crate) fn note_considered(&self, now: Timestamp) {
        self.considered_at.set(now);
    }

    /// Name of the database.
    pub fn database(&self) -> &DatabaseName {
        &self.database
    }

    /// Connections in use and requests that wait for one.
    pub fn in_flight(&self) -> usize {
        self.leased.get() + self.waiters.borrow().len()
    }

    /// Connections in use, those that another node holds among them.
    pub(crate) fn in_use(&self) -> usize {
        self.leased.get()
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
            self.note_closed();
        }
    }

    /// Notes that the database ended a connection. If none at rest is left either, it may have
    /// restarted.
    pub(crate) fn note_closed(&self) {
        if !self.idle.borrow_mut().any_usable()
            && let Some(node) = self.node.upgrade()
        {
            node.doubt_warmth(&self.database);
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

    /// Closes a connection at rest if more are open than were lately needed.
    pub fn trim(&self, is_home: bool, now: Timestamp) {
        let mut demand = self.demand.borrow_mut();
        let kept = if is_home {
            demand.kept(now)
        } else {
            demand.needed(now)
        };
        if self.open.get() <= kept {
            return;
        }
        if self.idle.borrow_mut().take_oldest().is_some() {
            self.open.set(self.open.get() - 1);
        }
    }

    /// After a time-out: asks something that needs no slot on a connection at rest. If
    /// that is not answered either, the way to the database is lost.
    pub(crate) fn verify(self: &Rc<Self>, node: &Rc<Node>) {
        if node.is_shut(&self.database) || self.verifying.replace(true) {
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

    /// Whether the life of the database is over that the pool was for: nothing rests in it any
    /// more, and what it notes concerns nobody.
    pub(crate) fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// The life of the database is over. Connections at rest are closed, those in use when
    /// they come back, and whoever waits turns to the pool of the new life.
    pub(crate) fn retire(&self) {
        self.retired.set(true);
        self.close_idle();
        self.dismiss_waiters();
    }

    /// Closes the connections at rest; returns how many.
    pub fn close_idle(&self) -> usize {
        let closed = self.idle.borrow_mut().close_all();
        self.open.set(self.open.get() - closed);
        closed
    }

    /// Sends away all who wait for a connection.
    pub(crate) fn dismiss_waiters(&self) {
        self.waiters.borrow_mut().dismiss_all();
    }
}

fn note_time(estimate: &Cell<ResponseTime>, now: Timestamp, elapsed: Duration) {
    let mut changed = estimate.get();
    changed.note(now, elapsed);
    estimate.set(changed);
}
