//! Queries to databases whether they lead.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::remote_query_budget::may_send_remote_query;
use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_state::{DatabaseName, Timestamp};
use tokio::time::sleep;

use crate::cold_start;
use crate::exchange_error::{ConnectionError, ExchangeError};
use crate::fallback_connection;
use crate::lease::{Lease, check_leadership};
use crate::node::Node;
use crate::pool::{AcquireError, CONTROL_LIMIT, ConnectionRequest, Pool, WaitLimits};
use crate::relay;

/// Pause between two queries to the same database while no database is known to lead.
pub(super) const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Priority of leadership queries: the most urgent.
const QUERY_PRIORITY: u8 = 0;

/// The queries that are in progress.
#[derive(Default)]
pub(super) struct Queries {
    databases: RefCell<BTreeSet<DatabaseName>>,
    /// Number of queries in progress that go through other nodes.
    remote: Cell<usize>,
}

impl Queries {
    /// Returns whether a query to a database is in progress.
    pub(super) fn is_in_progress(&self, database: &DatabaseName) -> bool {
        self.databases.borrow().contains(database)
    }

    /// Registers a query to a database. Returns false if one is in progress already.
    fn begin(&self, database: &DatabaseName) -> bool {
        self.databases.borrow_mut().insert(database.clone())
    }

    fn end(&self, database: &DatabaseName) {
        self.databases.borrow_mut().remove(database);
    }
}

/// Asks a database whether it leads, unless a query is in progress or too many are.
pub(super) fn query_database(
    node: &Rc<Node>,
    queries: &Rc<Queries>,
    database: &DatabaseName,
    in_use: bool,
) {
    if node.is_in_evacuated_zone(database) {
        return;
    }
    let remote = node.connection_cap(database) == 0;
    if remote && !may_send_remote_query(queries.remote.get(), in_use) {
        return;
    }
    if !queries.begin(database) {
        return;
    }
    let remote = usize::from(remote);
    queries.remote.set(queries.remote.get() + remote);
    let node = Rc::clone(node);
    let queries = Rc::clone(queries);
    let database = database.clone();
    tokio::task::spawn_local(async move {
        let asked_at = node.now();
        query_once(&node, &database, asked_at).await;
        let pause = SEARCH_PAUSE.saturating_sub(node.now().since(asked_at));
        if !node.leads(&database) {
            sleep(pause).await;
        }
        queries.end(&database);
        queries.remote.set(queries.remote.get() - remote);
    });
}

/// Returns a connection for the query: an idle one, a new one, or another node's if this node
/// cannot connect.
async fn lease_for_query(node: &Rc<Node>, pool: &Rc<Pool>) -> Result<Lease, AcquireError> {
    let values = SessionValues::new();
    let query = ConnectionRequest {
        principal: None,
        priority: QUERY_PRIORITY,
        values: &values,
        placement: &Placement::unrestricted(),
        limits: WaitLimits::any_queue(CONTROL_LIMIT),
    };
    if node.is_cold(pool.database()) {
        return cold_start::lease_for_query(node, pool, query).await;
    }
    if let Some(lease) = pool.try_acquire(None, &values) {
        return Ok(lease);
    }
    let cap = node.connection_cap(pool.database());
    if cap == 0 || !pool.is_reachable() {
        return relay::lease(node, pool, query)
            .await
            .map_err(|refusal| refusal.or(AcquireError::Unreachable));
    }
    if pool.open_connections() > 0 && !pool.may_open(node) {
        return Err(AcquireError::TimedOut);
    }
    match pool.open(node, query.principal).await {
        Err(AcquireError::ConnectionLimitReached) => relay::lease(node, pool, query)
            .await
            .map_err(|refusal| refusal.or(AcquireError::ConnectionLimitReached)),
        other => other,
    }
}

async fn query_once(node: &Rc<Node>, database: &DatabaseName, asked_at: Timestamp) {
    let pool = node.pool(database);
    let lease = lease_for_query(node, &pool).await;
    let lease = match lease {
        Ok(lease) => lease,
        Err(AcquireError::Connection(error)) => {
            note_error(node, database, asked_at, &error.into());
            return;
        }
        Err(AcquireError::Unreachable) => {
            node.note_lost_contact(database, asked_at, pool.was_refused());
            return;
        }
        Err(_) => return,
    };
    let asked_at = node.now();
    let query = async |lease: &mut Lease| check_leadership(node, lease).await;
    if let Err(error) = fallback_connection::query_with_fallback(node, &pool, lease, query).await {
        note_error(node, database, asked_at, &error);
    }
}

fn note_error(
    node: &Rc<Node>,
    database: &DatabaseName,
    asked_at: Timestamp,
    error: &ExchangeError,
) {
    let rejected = matches!(
        error,
        ExchangeError::Unanswered(ConnectionError::Rejected(_))
    );
    if rejected || error.is_misattribution() {
        return;
    }
    let refused = matches!(
        error,
        ExchangeError::Unanswered(ConnectionError::Refused(_))
    );
    node.note_lost_contact(database, asked_at, refused);
}

/// Attempts to reach databases to which this node has lost its connection.
pub(super) fn reconnect_unreachable(node: &Rc<Node>, attempts: &Rc<Queries>) {
    for pool in node.unreachable_pools() {
        let held = node.connection_cap(pool.database()) > 0;
        if !held || node.is_in_evacuated_zone(pool.database()) {
            continue;
        }
        let database = pool.database().clone();
        if !attempts.begin(&database) {
            continue;
        }
        let node = Rc::clone(node);
        let attempts = Rc::clone(attempts);
        tokio::task::spawn_local(async move {
            if pool.open(&node, None).await.is_ok() {
                node.log(
                    "dependency_regained",
                    &[("dependency", database.as_str().into())],
                );
            }
            sleep(SEARCH_PAUSE).await;
            attempts.end(&database);
        });
    }
}
