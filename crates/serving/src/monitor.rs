//! Keeps each group's primary known, confirmed and sampled.
//!
//! A plain transaction opened on a database proves that it leads. One is opened on the
//! believed primary when it was not confirmed lately, and on every database of a group
//! whose primary is not known.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::placement::Placement;
use hookpoint_coordination::serving::question_budget::may_ask_afar;
use hookpoint_coordination::serving::session::SessionValues;
use hookpoint_state::{DatabaseName, GroupName, Timestamp};
use tokio::time::{sleep, timeout};

use crate::cold_start;
use crate::connection::ConnectionError;
use crate::evacuation;
use crate::isolation;
use crate::lease::{Lease, prove_leadership};
use crate::node::Node;
use crate::peers::Peers;
use crate::pool::{AcquireError, CONTROL_LIMIT, ConnectionRequest, Pool, WaitLimits};
use crate::relay;
use crate::second_way;
use crate::tokens;

/// Pause between rounds.
const ROUND: Duration = Duration::from_millis(50);
/// A primary that was confirmed this lately is not asked.
const CONFIRMED_LATELY: Duration = Duration::from_millis(250);
/// The same for a primary that this node asks through another node.
const CONFIRMED_LATELY_AFAR: Duration = Duration::from_millis(700);
/// A group that no request asked for in this time is looked after less often.
const IN_USE: Duration = Duration::from_secs(3);
/// How often a primary is asked that nobody uses here.
const CONFIRMED_LATELY_UNUSED: Duration = Duration::from_millis(2_000);
/// Periods without a sample from a peer after which the primary is asked itself.
const SAMPLES_BEFORE_QUESTION: u32 = 2;
/// Time in which all nodes register when the whole fleet starts for the first time. Until
/// then a node knows few of the others and would take itself for home of every database.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two questions to the same database while nobody is known to lead.
const SEARCH_PAUSE: Duration = Duration::from_millis(100);

/// Time in which the holders of connections tell a node that holds none who leads.
const PEERS_TELL: Duration = Duration::from_millis(1_500);
/// Priority of questions about leadership: they go first.
const QUESTION_PRIORITY: u8 = 0;

/// Questions on their way.
#[derive(Default)]
struct Asking {
    databases: RefCell<BTreeSet<DatabaseName>>,
    /// How many of them go through other nodes.
    afar: Cell<usize>,
}

/// Watches over the primaries for as long as the node lives.
pub async fn monitor(node: Rc<Node>, peers: Rc<Peers>) {
    let asking = Rc::new(Asking::default());
    let trying = Rc::new(Asking::default());
    if node.settings.first_start {
        sleep(REGISTRATION_TIME).await;
    }
    let mut round = 0;
    loop {
        let due = node.now() + ROUND;
        let changed = timeout(ROUND, node.configuration_changed.notified()).await;
        if changed.is_err() {
            node.reachability.note_timer(due, node.now());
        }
        round += 1;
        for group in in_turn(node.configured_groups(), round) {
            look_after(&node, &peers, &asking, &group);
        }
        try_unreachable(&node, &trying);
        tokens::look_for_holders(&node);
        isolation::update(&node);
        evacuation::clear_zones(&node);
        cold_start::update_cold_databases(&node);
        for pool in node.pools() {
            let is_home = node.connection_cap(pool.database()) > 0;
            pool.trim(is_home, node.now());
        }
    }
}

/// The groups, with another one first in each round: questions that are bounded in number are
/// those of the first.
fn in_turn(mut groups: Vec<GroupName>, round: usize) -> Vec<GroupName> {
    let first = round.checked_rem(groups.len()).unwrap_or_default();
    groups.rotate_left(first);
    groups
}

fn look_after(node: &Rc<Node>, peers: &Rc<Peers>, asking: &Rc<Asking>, group: &GroupName) {
    let now = node.now();
    let (leader, confirmed_at, lost, promoting, used_at) = node.with_group(group, |state| {
        (
            state.leadership.leader().cloned(),
            state.leadership.confirmed_at(),
            state.contact.lost_since.is_some(),
            state.promoting.clone(),
            state.used_at,
        )
    });
    let in_use = now.since(used_at) < IN_USE;
    if !in_use && !node.knows_fleet() {
        return;
    }
    if node.shut_leader(group).is_some() {
        if in_use {
            ask_who_took_over(node, peers, asking, group);
        }
        if let Some((candidate, _)) = promoting {
            ask(node, asking, &candidate, in_use);
        }
        return;
    }
    if let Some(leader) = &leader {
        let period = question_period(node, leader, now.since(used_at));
        let unconfirmed = now.since(confirmed_at);
        let held = node.connection_cap(leader) > 0;
        if held && unconfirmed >= period || unconfirmed >= period * SAMPLES_BEFORE_QUESTION {
            ask(node, asking, leader, in_use);
        } else if !held && unconfirmed >= period {
            ask_for_sample(node, peers, group, leader);
        }
    }
    if leader.is_none() {
        node.with_group(group, |state| {
            state.leaderless_since.get_or_insert(now);
        });
        ask_who_leads(node, peers, group);
    }
    if leader.is_none() || lost {
        search(node, asking, group, leader.as_ref(), in_use);
    } else if let Some((candidate, _)) = promoting
        && leader.as_ref() != Some(&candidate)
    {
        ask(node, asking, &candidate, in_use);
    }
}

/// Has a node that holds connections to the primary tell its newest sample.
fn ask_for_sample(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName, leader: &DatabaseName) {
    if let Some(number) = next_question(node, group) {
        ask_holder(node, peers, group, leader, number);
    }
}

/// Has a node that holds connections to one of the group's databases tell its primary.
fn ask_who_leads(node: &Rc<Node>, peers: &Rc<Peers>, group: &GroupName) {
    let databases = node.by_stated_role(group);
    if databases.is_empty() {
        return;
    }
    if let Some(number) = next_question(node, group) {
        let database = &databases[number % databases.len()];
        ask_holder(node, peers, group, database, number / databases.len());
    }
}

/// A primary that is shut is not asked any more, so who leads after it is learnt from the other
/// databases and from their holders.
fn ask_who_took_over(node: &Rc<Node>, peers: &Rc<Peers>, asking: &Rc<Asking>, group: &GroupName) {
    ask_who_leads(node, peers, group);
    for database in node.by_stated_role(group) {
        if node.connection_cap(&database) > 0 {
            ask(node, asking, &database, true);
        }
    }
}

/// The number of a question to a peer, if one is due: at most one in a while.
fn next_question(node: &Rc<Node>, group: &GroupName) -> Option<usize> {
    let now = node.now();
    node.with_group(group, |state| {
        if now.since(state.sample_asked_at) < SEARCH_PAUSE {
            return None;
        }
        state.sample_asked_at = now;
        state.samples_asked += 1;
        Some(state.samples_asked)
    })
}

/// Asks one of the holders of `database`, another one with each number.
fn ask_holder(
    node: &Rc<Node>,
    peers: &Rc<Peers>,
    group: &GroupName,
    database: &DatabaseName,
    number: usize,
) {
    if let Some(address) = node.some_holder(database, number) {
        peers.ask_sample(node, group, address);
    }
}

/// How often a primary is asked: nodes that hold connections to it ask often enough to
/// notice its loss, the others often enough to keep their samples fresh.
fn question_period(node: &Rc<Node>, leader: &DatabaseName, unused: Duration) -> Duration {
    if node.connection_cap(leader) > 0 {
        CONFIRMED_LATELY
    } else if unused < IN_USE {
        CONFIRMED_LATELY_AFAR
    } else {
        CONFIRMED_LATELY_UNUSED
    }
}

/// Asks the databases of a group which of them leads: those that this node holds
/// connections to, and after a while the others as well.
fn search(
    node: &Rc<Node>,
    asking: &Rc<Asking>,
    group: &GroupName,
    leader: Option<&DatabaseName>,
    in_use: bool,
) {
    let now = node.now();
    let leaderless_since = node.with_group(group, |state| state.leaderless_since);
    let long = leaderless_since.is_none_or(|since| now.since(since) >= PEERS_TELL);
    let mut databases = node.by_stated_role(group);
    if !node.knows_fleet() {
        databases.truncate(1);
    }
    for database in databases {
        let held = node.connection_cap(&database) > 0;
        if leader != Some(&database) && (held || long) {
            ask(node, asking, &database, in_use);
        }
    }
}

/// Asks a database whether it leads, unless a question is on its way, or too many are.
fn ask(node: &Rc<Node>, asking: &Rc<Asking>, database: &DatabaseName, in_use: bool) {
    if node.is_shut(database) {
        return;
    }
    let afar = node.connection_cap(database) == 0;
    if afar && !may_ask_afar(asking.afar.get(), in_use) {
        return;
    }
    if !asking.databases.borrow_mut().insert(database.clone()) {
        return;
    }
    let afar = usize::from(afar);
    asking.afar.set(asking.afar.get() + afar);
    let node = Rc::clone(node);
    let asking = Rc::clone(asking);
    let database = database.clone();
    tokio::task::spawn_local(async move {
        let asked_at = node.now();
        ask_once(&node, &database, asked_at).await;
        let pause = SEARCH_PAUSE.saturating_sub(node.now().since(asked_at));
        if !node.leads(&database) {
            sleep(pause).await;
        }
        asking.databases.borrow_mut().remove(&database);
        asking.afar.set(asking.afar.get() - afar);
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

/// Tries to reach databases that this node lost the way to.
fn try_unreachable(node: &Rc<Node>, trying: &Rc<Asking>) {
    for pool in node.pools() {
        let held = node.connection_cap(pool.database()) > 0;
        if pool.is_reachable() || !held || node.is_shut(pool.database()) {
            continue;
        }
        let database = pool.database().clone();
        if !trying.databases.borrow_mut().insert(database.clone()) {
            continue;
        }
        let node = Rc::clone(node);
        let trying = Rc::clone(trying);
        tokio::task::spawn_local(async move {
            if pool.open(&node, None).await.is_ok() {
                node.log(
                    "dependency_regained",
                    &[("dependency", database.as_str().into())],
                );
            }
            sleep(SEARCH_PAUSE).await;
            trying.databases.borrow_mut().remove(&database);
        });
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
