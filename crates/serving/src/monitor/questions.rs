//! Questions to databases whether they lead.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::question_budget::may_ask_afar;
use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_state::{DatabaseName, Timestamp};
use tokio::time::sleep;

use crate::cold_start;
use crate::connection::ConnectionError;
use crate::lease::{Lease, prove_leadership};
use crate::node::Node;
use crate::pool::{AcquireError, CONTROL_LIMIT, ConnectionRequest, Pool, WaitLimits};
use crate::relay;
use crate::second_way;

/// Pause between two questions to the same database while nobody is known to lead.
pub(super) const SEARCH_PAUSE: Duration = Duration::from_millis(100);
/// Priority of questions about leadership: they go first.
const QUESTION_PRIORITY: u8 = 0;

/// Questions on their way.
#[derive(Default)]
pub(super) struct Questions {
    databases: RefCell<BTreeSet<DatabaseName>>,
    /// How many of them go through other nodes.
    afar: Cell<usize>,
}

impl Questions {
    /// Whether one to a database is on its way.
    pub(super) fn is_asked(&self, database: &DatabaseName) -> bool {
        self.databases.borrow().contains(database)
    }

    /// Notes one to a database; false if there is one already.
    fn begin(&self, database: &DatabaseName) -> bool {
        self.databases.borrow_mut().insert(database.clone())
    }

    fn end(&self, database: &DatabaseName) {
        self.databases.borrow_mut().remove(database);
    }
}

/// Asks a database whether it leads, unless a question is on its way, or too many are.
pub(super) fn ask(
    node: &Rc<Node>,
    questions: &Rc<Questions>,
    database: &DatabaseName,
    in_use: bool,
) {
    if node.is_shut(database) {
        return;
    }
    let afar = node.connection_cap(database) == 0;
    if afar && !may_ask_afar(questions.afar.get(), in_use) {
        return;
    }
    if !questions.begin(database) {
        return;
    }
    let afar = usize::from(afar);
    questions.afar.set(questions.afar.get() + afar);
    let node = Rc::clone(node);
    let questions = Rc::clone(questions);
    let database = database.clone();
    tokio::task::spawn_local(async move {
        let asked_at = node.now();
        ask_once(&node, &database, asked_at).await;
        let pause = SEARCH_PAUSE.saturating_sub(node.now().since(asked_at));
        if !node.leads(&database) {
            sleep(pause).await;
        }
        questions.end(&database);
        questions.afar.set(questions.afar.get() - afar);
    });
}

/// A connection to ask on: at rest, new, or another node's if this one has no way.
async fn lease_for_question(node: &Rc<Node>, pool: &Rc<Pool>) -> Result<Lease, AcquireError> {
    let values = SessionValues::new();
    let question = ConnectionRequest {
        principal: None,
        priority: QUESTION_PRIORITY,
        values: &values,
        placement: &Placement::unrestricted(),
        limits: WaitLimits::patient(CONTROL_LIMIT),
    };
    if node.is_cold(pool.database()) {
        return cold_start::lease_for_question(node, pool, question).await;
    }
    if let Some(lease) = pool.try_acquire(None, &values) {
        return Ok(lease);
    }
    let cap = node.connection_cap(pool.database());
    if cap == 0 || !pool.is_reachable() {
        return relay::lease(node, pool, question)
            .await
            .map_err(|refusal| refusal.or(AcquireError::NotHeld));
    }
    if pool.open_connections() > 0 && !pool.may_open(node) {
        return Err(AcquireError::TimedOut);
    }
    match pool.open(node, question.principal).await {
        Err(AcquireError::Crowded) => relay::lease(node, pool, question)
            .await
            .map_err(|refusal| refusal.or(AcquireError::Crowded)),
        other => other,
    }
}

async fn ask_once(node: &Rc<Node>, database: &DatabaseName, asked_at: Timestamp) {
    let pool = node.pool(database);
    let lease = lease_for_question(node, &pool).await;
    let lease = match lease {
        Ok(lease) => lease,
        Err(AcquireError::Connection(error)) => {
            note_error(node, database, asked_at, &error);
            return;
        }
        Err(AcquireError::NotHeld) => {
            node.note_lost_contact(database, asked_at, pool.was_refused());
            return;
        }
        Err(_) => return,
    };
    let asked_at = node.now();
    let question = async |lease: &mut Lease| prove_leadership(node, lease).await;
    if let Err(error) = second_way::ask(node, &pool, lease, question).await {
        note_error(node, database, asked_at, &error);
    }
}

fn note_error(
    node: &Rc<Node>,
    database: &DatabaseName,
    asked_at: Timestamp,
    error: &ConnectionError,
) {
    if matches!(error, ConnectionError::Rejected(_)) {
        return;
    }
    let refused = matches!(error, ConnectionError::Refused(_));
    node.note_lost_contact(database, asked_at, refused);
}

/// Tries to reach databases that this node lost the way to.
pub(super) fn try_unreachable(node: &Rc<Node>, tries: &Rc<Questions>) {
    for pool in node.unreachable_pools() {
        let held = node.connection_cap(pool.database()) > 0;
        if !held || node.is_shut(pool.database()) {
            continue;
        }
        let database = pool.database().clone();
        if !tries.begin(&database) {
            continue;
        }
        let node = Rc::clone(node);
        let tries = Rc::clone(tries);
        tokio::task::spawn_local(async move {
            if pool.open(&node, None).await.is_ok() {
                node.log(
                    "dependency_regained",
                    &[("dependency", database.as_str().into())],
                );
            }
            sleep(SEARCH_PAUSE).await;
            tries.end(&database);
        });
    }
}
