//! The connection pool of one database: its idle connections and the requests that wait for one.
//!
//! A connection is opened on behalf of one principal and runs statements of no other principal.

mod acquire;
mod idle;
mod open_permit;
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
use crate::connection::{Connection, IdleState};
use crate::exchange_error::ConnectionError;
use crate::fallback_connection;
use crate::lease::Lease;
use crate::message::Command;
use crate::node::Node;

/// Time limit for answers to commands that need no execution slot at the database.
pub const CONTROL_LIMIT: Duration = Duration::from_millis(450);
/// How long a database is avoided after it failed to answer.
const SUSPECT_TIME: Duration = Duration::from_millis(800);
/// How long a database is avoided after it lacked a required position.
const LAGGING_TIME: Duration = Duration::from_millis(150);
/// How long an unused pool without connections is kept for its statistics about the database.
const POOL_RETENTION: Duration = Duration::from_secs(30);
/// Service time assumed before the first statement has been served.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);

/// How long a request waits for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLimits {
    /// The request does not join a queue whose expected wait is longer than this.
    pub max_expected_wait: Duration,
    /// What the connection will be used for.
    pub purpose: ConnectionUse,
    /// The request leaves the queue after this time.
    pub limit: Duration,
}

impl WaitLimits {
    /// Returns the limits that remain after a request has waited for `waited`.
    pub(crate) fn after(self, waited: Duration) -> Self {
        Self {
            max_expected_wait: self.max_expected_wait.saturating_sub(waited),
            limit: self.limit.saturating_sub(waited),
            ..self
        }
    }

    /// Returns limits of a request that joins any queue and leaves it after `limit`.
    pub fn any_queue(limit: Duration) -> Self {
        Self {
            max_expected_wait: Duration::MAX,
            purpose: ConnectionUse::Statement,
            limit,
        }
    }
}

/// A request for a connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionRequest<'a> {
    /// The principal on whose behalf statements will run on it; `None` for a query of this node
    /// itself, which any connection can serve.
    pub principal: Option<&'a Principal>,
    /// Priority in the wait queue; 0 is served first.
    pub priority: u8,
    /// Session values that the connection should preferably have already.
    pub values: &'a SessionValues,
    /// Restricts which peer nodes the statements may pass through.
    pub placement: &'a Placement,
    /// How long the request waits.
    pub limits: WaitLimits,
}

/// Why no connection was acquired.
#[derive(Debug, Error)]
pub enum AcquireError {
    /// No connection became free in time.
    #[error("no connection became free in time")]
    TimedOut,
    /// A new connection could not be opened.
    #[error(transparent)]
    Connection(#[from] ConnectionError),
    /// This node holds no connections to the database, or cannot reach it.
    #[error("this node cannot reach the database by itself")]
    Unreachable,
    /// The wait queue for the database's connections is too long.
    #[error("the queue for the database's connections is too long")]
    Overloaded,
    /// The database's connection limit is reached, and this node has no connection to it.
    #[error("the database takes no more connections")]
    ConnectionLimitReached,
    /// The database is no longer listed in the directory, or the pool is retired.
    #[error("the database is not listed")]
    Unlisted,
    /// The database's zone is evacuated.
    #[error("the database's zone is evacuated")]
    ZoneEvacuated,
    /// The database has just started, and this node's share of its request budget is used up.
    #[error("the database has just started and gets no more at the moment")]
    Cold {
        /// Time until this node may send a request again.
        retry_after: Duration,
    },
}

/// The connection pool of one database.
pub struct Pool {
    node: Weak<Node>,
    database: DatabaseName,
    idle: RefCell<IdleConnections>,
    /// Number of connections that are open or being opened.
    open: Cell<usize>,
    /// Number of connections in use, including those that peer nodes hold.
    leased: Cell<usize>,
    waiters: RefCell<Waiters>,
    suspect_until: Cell<Timestamp>,
    lagging_until: Cell<Timestamp>,
    opening_paused_until: Cell<Timestamp>,
    /// Whether this node can connect to the database directly, as far as it knows.
    reachable: Cell<bool>,
    verifying: Cell<bool>,
    /// Whether the host refused the last connection that could not be opened.
    connection_refused: Cell<bool>,
    /// How long statements take.
    service_time: Cell<ResponseTime>,
    /// How long requests wait for a connection.
    wait_time: Cell<ResponseTime>,
    /// How long connections are in use before they are released.
    usage_time: Cell<ResponseTime>,
    in_use: RefCell<BTreeMap<Principal, usize>>,
    demand: RefCell<Demand>,
    reliability: Cell<Reliability>,
    /// Whether the database has restarted since the pool was created.
    retired: Cell<bool>,
    /// When the database was last considered as a candidate for a statement, or was queried.
    considered_at: Cell<Timestamp>,
}

impl Pool {
    /// Creates an empty pool.
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
            opening_paused_until: Cell::default(),
            reachable: Cell::new(true),
            verifying: Cell::new(false),
            connection_refused: Cell::new(false),
            service_time: Cell::new(ResponseTime::new(INITIAL_SERVICE_TIME)),
            wait_time: Cell::new(ResponseTime::new(Duration::ZERO)),
            usage_time: Cell::new(ResponseTime::new(INITIAL_SERVICE_TIME)),
            in_use: RefCell::default(),
            demand: RefCell::default(),
            reliability: Cell::default(),
            retired: Cell::new(false),
            considered_at: Cell::default(),
        }
    }

    /// Returns whether the pool holds nothing that a new pool would lack: it has no connections and
    /// no waiting requests, the database counts as reachable and not as failing, and the pool has
    /// been unused for so long that its statistics no longer count.
    pub(crate) fn can_be_dropped(&self, now: Timestamp) -> bool {
        self.open.get() == 0
            && self.in_flight() == 0
            && self.is_reachable()
            && !self.is_suspect(now)
            && now.since(self.considered_at.get()) >= POOL_RETENTION
    }

    /// Records that the database was a candidate for a statement.
    pub(crate) fn note_considered(&self, now: Timestamp) {
        self.considered_at.set(now);
    }

    /// Returns the name of the database.
    pub fn database(&self) -> &DatabaseName {
        &self.database
    }

    /// Returns the number of connections in use plus the number of waiting requests.
    pub fn in_flight(&self) -> usize {
        self.leased.get() + self.waiters.borrow().len()
    }

    /// Returns the number of connections in use, including those that peer nodes hold.
    pub(crate) fn in_use(&self) -> usize {
        self.leased.get()
    }

    /// Returns the number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Returns whether the database recently failed to answer.
    pub fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.suspect_until.get()
    }

    /// Returns whether the database recently lacked a required position.
    pub fn is_lagging(&self, now: Timestamp) -> bool {
        now < self.lagging_until.get()
    }

    /// Returns the mean time that a statement takes.
    pub fn service_time(&self, now: Timestamp) -> Duration {
        self.service_time.get().expected(now)
    }

    /// Returns the mean time that a request waits for a connection.
    pub fn expected_wait(&self, now: Timestamp) -> Duration {
        self.wait_time.get().expected(now)
    }

    /// Records how long a request waited for a connection, whether or not it got one.
    pub fn note_wait(&self, now: Timestamp, waited: Duration) {
        note_time(&self.wait_time, now, waited);
    }

    /// Returns the queue that a request of `priority` would join.
    fn queue(&self, now: Timestamp, priority: u8) -> ConnectionQueue {
        ConnectionQueue {
            ahead: self.waiters.borrow().ahead_of(priority),
            connections: self.open.get(),
            mean_hold_time: self.usage_time.get().expected(now),
        }
    }

    /// Returns the share of recent statements that failed, in units of 1/[`reliability::WHOLE`].
    ///
    /// [`reliability::WHOLE`]: hookpoint_coordination::serving::reliability::WHOLE
    pub fn failure_share(&self, now: Timestamp) -> u32 {
        self.reliability.get().failing(now)
    }

    /// Records whether a statement failed.
    pub fn note_outcome(&self, now: Timestamp, failed: bool) {
        let mut reliability = self.reliability.get();
        reliability.note(now, failed);
        self.reliability.set(reliability);
    }

    /// Records that the database did not answer.
    pub fn note_failure(&self, now: Timestamp) {
        self.note_outcome(now, true);
        self.suspect_until.set(now + SUSPECT_TIME);
    }

    /// Returns whether this node can connect to the database directly, as far as it knows.
    pub fn is_reachable(&self) -> bool {
        self.reachable.get()
    }

    /// Returns whether the last connection that could not be opened was refused by the host.
    pub fn was_refused(&self) -> bool {
        self.connection_refused.get()
    }

    /// Marks the database as unreachable from this node and closes the idle connections.
    pub fn note_unreachable(&self) {
        self.reachable.set(false);
        self.close_idle();
    }

    /// Records that the database lacked a required position.
    pub fn note_lagging(&self, now: Timestamp) {
        self.lagging_until.set(now + LAGGING_TIME);
    }

    /// Records a served statement and how long it took.
    pub fn note_served(&self, now: Timestamp, elapsed: Duration) {
        self.note_outcome(now, false);
        note_time(&self.service_time, now, elapsed);
        self.suspect_until.set(Timestamp::default());
    }

    /// Takes a usable idle connection of `principal`, or of any principal if `None`.
    ///
    /// Connections that already have the session values `preferred` are taken first.
    pub fn try_acquire(
        self: &Rc<Self>,
        principal: Option<&Principal>,
        preferred: &SessionValues,
    ) -> Option<Lease> {
        loop {
            let mut connection = self.idle.borrow_mut().take(principal, preferred)?;
            let state = connection.idle_state();
            if state == IdleState::Usable {
                return Some(self.check_out(connection));
            }
            drop(connection);
            self.open.set(self.open.get() - 1);
            match state {
                IdleState::SurplusInput => self.note_surplus_input(),
                _ => self.note_closed(),
            }
        }
    }

    /// Counts an idle connection that was closed because input had arrived on it.
    fn note_surplus_input(&self) {
        if let Some(node) = self.node.upgrade() {
            node.counters.count("connections", "surplus_input");
        }
    }

    /// Notes that the database closed a connection. If no usable idle connection is left either,
    /// the database may have restarted.
    pub(crate) fn note_closed(&self) {
        if !self.idle.borrow_mut().any_usable()
            && let Some(node) = self.node.upgrade()
        {
            node.note_possible_restart(&self.database);
        }
    }

    /// Counts a connection as in use and wraps it in a lease.
    fn check_out(self: &Rc<Self>, connection: Connection) -> Lease {
        self.leased.set(self.leased.get() + 1);
        let mut in_use = self.in_use.borrow_mut();
        *in_use.entry(connection.principal.clone()).or_default() += 1;
        drop(in_use);
        Lease::new(Rc::clone(self), connection)
    }

    /// Counts a connection of `principal` as no longer in use.
    fn count_returned(&self, principal: &Principal) {
        self.leased.set(self.leased.get() - 1);
        let mut in_use = self.in_use.borrow_mut();
        if let Some(count) = in_use.get_mut(principal) {
            *count -= 1;
            if *count == 0 {
                in_use.remove(principal);
            }
        }
    }

    /// Closes one idle connection if more are open than were recently needed.
    pub fn trim(&self, is_home: bool, now: Timestamp) {
        let mut demand = self.demand.borrow_mut();
        let limit = if is_home {
            demand.connections_to_keep(now)
        } else {
            demand.recent_peak(now)
        };
        if self.open.get() <= limit {
            return;
        }
        if self.idle.borrow_mut().take_oldest().is_some() {
            self.open.set(self.open.get() - 1);
        }
    }

    /// Checks after a timeout whether the database is reachable: sends a command that needs no
    /// execution slot on an idle connection. Without an answer the database is marked as
    /// unreachable.
    pub(crate) fn verify_reachable(self: &Rc<Self>, node: &Rc<Node>) {
        if node.is_in_evacuated_zone(&self.database) || self.verifying.replace(true) {
            return;
        }
        let pool = Rc::clone(self);
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            if !pool.is_responsive(&node).await {
                pool.note_unreachable();
                node.log(
                    "dependency_lost",
                    &[("dependency", pool.database.as_str().into())],
                );
            }
            pool.verifying.set(false);
        });
    }

    /// Returns whether the database answers a command that needs no execution slot. Without an idle
    /// connection nothing is sent and the result is `true`.
    async fn is_responsive(self: &Rc<Self>, node: &Rc<Node>) -> bool {
        let Some(lease) = self.try_acquire(None, &SessionValues::new()) else {
            return true;
        };
        let send_rollback = async |lease: &mut Lease| {
            let commands = [Command::Rollback];
            match lease.connection().exchange(&commands, CONTROL_LIMIT).await {
                Err(error) if !error.is_misattribution() => Err(error),
                _ => Ok(()),
            }
        };
        fallback_connection::query_with_fallback(node, self, lease, send_rollback)
            .await
            .is_ok()
    }

    /// Closes the idle connections on which nothing was received since `since`.
    pub(crate) fn close_inactive_since(&self, since: Timestamp) {
        let closed = self.idle.borrow_mut().close_inactive_since(since);
        self.open.set(self.open.get() - closed);
    }

    /// Returns whether the database has restarted since the pool was created. Such a pool keeps no
    /// idle connections, and its statistics are no longer used.
    pub(crate) fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Retires the pool because the database has restarted. Idle connections are closed now, those
    /// in use when they are released. Waiting requests fail, and their next attempts use the new
    /// pool.
    pub(crate) fn retire(&self) {
        self.retired.set(true);
        self.close_idle();
        self.fail_waiters();
    }

    /// Closes the idle connections; returns their number.
    pub fn close_idle(&self) -> usize {
        let closed = self.idle.borrow_mut().close_all();
        self.open.set(self.open.get() - closed);
        closed
    }

    /// Makes all requests that wait for a connection fail.
    pub(crate) fn fail_waiters(&self) {
        self.waiters.borrow_mut().fail_all();
    }
}

fn note_time(estimate: &Cell<ResponseTime>, now: Timestamp, elapsed: Duration) {
    let mut changed = estimate.get();
    changed.note(now, elapsed);
    estimate.set(changed);
}
