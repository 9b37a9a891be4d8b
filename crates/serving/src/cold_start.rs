//! Sending little to databases that have just started: see
//! [`hookpoint_coordination::serving::cold_start`].

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::cold_start::{
    COLD_HOLDERS, Circumstances, ColdReason, ColdStart, Heard,
};
use hookpoint_coordination::serving::directory::{Listed, Registration};
use hookpoint_coordination::serving::quota::GrantLimit;
use hookpoint_state::{DatabaseName, Timestamp};
use serde_json::Value;
use tokio::time::sleep;

use crate::lease::Lease;
use crate::message::Command;
use crate::node::Node;
use crate::pool::{AcquireError, ConnectionRequest, Pool};
use crate::relay;
use crate::units::millis;

/// Age of the store's news beyond which a database that this node has no connection to may
/// have restarted unheard: the longest that news take on a steady way.
const NEWS_LIMIT: Duration = Duration::from_secs(4);
/// Time after which a caller may return if no node that holds a part of a cold database's budget
/// answers: others are holders by then, or the lost ones are back.
const HOLDERS_AWAY: Duration = Duration::from_millis(1_000);
/// A node that did not look at its databases for this long stood still: many times the pause
/// between two looks.
const STOOD_STILL: Duration = Duration::from_millis(500);

/// A cold database and this node's part of its budget.
struct ColdPart {
    part: GrantLimit,
}

impl Node {
    /// Whether a database counts as cold.
    pub fn is_cold(&self, name: &DatabaseName) -> bool {
        self.cold_reason(name).is_some()
    }

    /// How many nodes may send to a database at the most, if it is cold.
    pub(crate) fn cold_holders(&self, name: &DatabaseName) -> Option<usize> {
        self.is_cold(name).then_some(COLD_HOLDERS)
    }

    /// Takes in for how much longer a database registers that it is cold. `before` is what was
    /// listed of it.
    pub(crate) fn hear_warmth(
        &self,
        name: &DatabaseName,
        before: Option<&Listed>,
        registration: Registration,
    ) {
        let directory = self.directory.borrow();
        let Some(listed) = directory.get(name) else {
            return;
        };
        let heard = match (registration, before) {
            (Registration::Outdated, _) => return,
            (Registration::NewLife, _) => Heard::NewLife,
            (Registration::Taken, None) => Heard::First,
            (Registration::Taken, Some(before)) if before.missing => {
                match listed.database.started {
                    Some(_) => Heard::Returned,
                    None => Heard::ReturnedUntold,
                }
            }
            (Registration::Taken, Some(_)) => Heard::SameLife,
        };
        // An entry cannot keep its database cold for longer than a start takes.
        let longest = self.cold_start_of(name).map(|start| start.duration);
        let told = listed.database.cold_for;
        let cold_for = longest.map_or(told, |longest| told.min(longest));
        let mut starts = self.cold.starts.borrow_mut();
        starts.entry(name).hear(heard, cold_for, self.now());
    }

    /// Notes that a database may have restarted.
    pub(crate) fn doubt_warmth(&self, name: &DatabaseName) {
        if self.cold_start_of(name).is_some() {
            let mut starts = self.cold.starts.borrow_mut();
            starts.entry(name).doubt(self.now());
        }
    }

    /// Notes that the first connection to a database was opened. Only the store's news tell
    /// then how long it has run.
    pub(crate) fn note_first_connection(&self, name: &DatabaseName) {
        let news_at = self.feed.reported_at();
        let heard_once = news_at > Timestamp::default();
        if heard_once && self.now().since(news_at) >= NEWS_LIMIT {
            self.doubt_warmth(name);
        }
    }

    /// Waits for a token if the database is cold. Returns how many requests it is for.
    pub(crate) async fn admit_to_cold(
        &self,
        name: &DatabaseName,
        request: &ConnectionRequest<'_>,
    ) -> Result<u32, AcquireError> {
        let began = self.now();
        loop {
            let Some(cold) = self.cold_part(name) else {
                return Ok(0);
            };
            let Err(retry_after) = self.take_cold_token(name, &cold, request) else {
                self.counters.count("cold_requests", "admitted");
                return Ok(1);
            };
            let waited = self.now().since(began);
            let patience = request.limits.patience.min(request.limits.limit);
            if request.principal.is_none() || waited.saturating_add(retry_after) > patience {
                self.counters.count("cold_requests", "refused");
                return Err(AcquireError::Cold { retry_after });
            }
            sleep(retry_after).await;
        }
    }

    fn take_cold_token(
        &self,
        name: &DatabaseName,
        cold: &ColdPart,
        request: &ConnectionRequest<'_>,
    ) -> Result<(), Duration> {
        self.note_awake();
        let now = self.now();
        let mut starts = self.cold.starts.borrow_mut();
        let warmth = starts.entry(name);
        match request.principal {
            Some(_) => warmth.admit(cold.part, now),
            None => warmth.admit_question(cold.part, now),
        }
    }

    /// Counts what is sent to a database beyond the `admitted` requests, if it is cold. Returns
    /// how many of those are left.
    pub(crate) fn charge_cold(
        &self,
        name: &DatabaseName,
        commands: &[Command],
        admitted: u32,
    ) -> u32 {
        let Some(cold) = self.cold_part(name) else {
            return admitted;
        };
        let sent = requests_in(commands);
        let beyond = sent.saturating_sub(admitted);
        if beyond > 0 {
            let mut starts = self.cold.starts.borrow_mut();
            starts.entry(name).charge(cold.part, beyond, self.now());
            self.counters.count("cold_requests", "in_debt");
        }
        admitted.saturating_sub(sent)
    }

    /// The refusal of a node that holds no part of a cold database's budget.
    pub(crate) fn not_for_cold(&self, name: &DatabaseName) -> Option<AcquireError> {
        let retry_after = HOLDERS_AWAY;
        let refusal = AcquireError::Cold { retry_after };
        self.is_cold(name).then_some(refusal)
    }

    /// Forgets the warmth of databases that are not listed any more.
    pub(crate) fn drop_unlisted_warmth(&self) {
        let directory = self.directory.borrow();
        let mut starts = self.cold.starts.borrow_mut();
        starts.retain(|name| directory.get(name).is_some());
    }

    /// Whether databases of any group warm up slowly.
    fn has_cold_starts(&self) -> bool {
        self.configuration().is_some_and(|configuration| {
            let mut groups = configuration.groups.values();
            groups.any(|group| group.cold_start.is_some())
        })
    }

    /// A node that stood still begins with empty buckets: what it had admitted before goes out
    /// only now.
    fn note_awake(&self) {
        let now = self.now();
        if now.since(self.cold.looked_at.replace(now)) >= STOOD_STILL {
            self.cold.starts.borrow_mut().empty_buckets();
        }
    }

    fn cold_part(&self, name: &DatabaseName) -> Option<ColdPart> {
        let start = self.cold_start_of(name)?;
        self.cold_reason_of(name, start)?;
        let part = start.part(self.changeable().cold_start);
        Some(ColdPart { part })
    }

    fn cold_reason(&self, name: &DatabaseName) -> Option<ColdReason> {
        self.cold_reason_of(name, self.cold_start_of(name)?)
    }

    fn cold_reason_of(&self, name: &DatabaseName, start: ColdStart) -> Option<ColdReason> {
        let starts = self.cold.starts.borrow();
        let known = self.circumstances(name);
        starts.get(name)?.cold_reason(start, known, self.now())
    }

    fn circumstances(&self, name: &DatabaseName) -> Circumstances {
        let directory = self.directory.borrow();
        let listed = directory.get(name);
        Circumstances {
            news_at: self.feed.reported_at(),
            told_start: listed
                .is_some_and(|listed| !listed.missing && listed.database.started.is_some()),
        }
    }

    /// How the databases of a database's group warm up; nothing if they are warm at once.
    fn cold_start_of(&self, name: &DatabaseName) -> Option<ColdStart> {
        let configuration = self.configuration()?;
        let directory = self.directory.borrow();
        let group = &directory.get(name)?.database.group;
        configuration.groups.get(group)?.cold_start
    }
}

/// Requests of callers, and questions, among these commands. What sets a session up or rolls a
/// transaction back costs a database next to nothing.
fn requests_in(commands: &[Command]) -> u32 {
    let is_request = |command: &&Command| {
        !matches!(
            command,
            Command::Start { .. }
                | Command::Set { .. }
                | Command::Reset
                | Command::Prepare { .. }
                | Command::Rollback
        )
    };
    let count = commands.iter().filter(is_request).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Notes which databases have become cold or warm: others hold connections to them then. Called
/// now and then.
pub(crate) fn update_cold_databases(node: &Node) {
    if !node.has_cold_starts() && node.cold.last_cold.borrow().is_empty() {
        return;
    }
    node.note_awake();
    let listed: Vec<DatabaseName> = {
        let directory = node.directory.borrow();
        directory
            .iter()
            .map(|listed| listed.database.name.clone())
            .collect()
    };
    let mut last_cold = node.cold.last_cold.borrow_mut();
    let mut cold = BTreeMap::new();
    for name in listed {
        match (last_cold.get(&name).copied(), node.cold_reason(&name)) {
            (None, None) => {}
            (Some(_), Some(reason)) => {
                cold.insert(name, reason);
            }
            (None, Some(reason)) => {
                begin_anew(node, &name);
                node.log("database_cold", &change_fields(node, &name, reason));
                cold.insert(name, reason);
            }
            (Some(reason), None) => {
                begin_anew(node, &name);
                node.log("database_warm", &change_fields(node, &name, reason));
            }
        }
    }
    if !cold.is_empty() || !last_cold.is_empty() {
        let count = u64::try_from(cold.len()).unwrap_or(u64::MAX);
        node.counters.set("databases_cold", count);
        drop_buckets_of_others(node, &cold);
    }
    *last_cold = cold;
}

/// A node that is no holder of a database any more begins anew when it is one again.
fn drop_buckets_of_others(node: &Node, cold: &BTreeMap<DatabaseName, ColdReason>) {
    for name in cold.keys() {
        if node.connection_cap(name) == 0 {
            node.cold.starts.borrow_mut().entry(name).empty_bucket();
        }
    }
}

/// Others hold connections to the database from now on, and their parts are empty.
fn begin_anew(node: &Node, name: &DatabaseName) {
    node.homes.borrow_mut().forget_view(name);
    node.cold.starts.borrow_mut().entry(name).empty_bucket();
}

/// What decided whether a database is cold.
fn change_fields(
    node: &Node,
    name: &DatabaseName,
    reason: ColdReason,
) -> [(&'static str, Value); 5] {
    let now = node.now();
    let starts = node.cold.starts.borrow();
    let cold_for = starts.get(name).map(|warmth| millis(warmth.cold_for(now)));
    let started = node.database(name).and_then(|database| database.started);
    let news_age = millis(now.since(node.feed.reported_at()));
    [
        ("database", name.as_str().into()),
        ("reason", reason.as_str().into()),
        ("started", started.map(|start| start.0).into()),
        ("cold_ms", cold_for.into()),
        ("news_ms_ago", news_age.into()),
    ]
}

/// A connection to ask a cold database something on: by way of those that hold a part of its
/// budget.
pub(crate) async fn lease_for_query(
    node: &Rc<Node>,
    pool: &Rc<Pool>,
    query: ConnectionRequest<'_>,
) -> Result<Lease, AcquireError> {
    if node.connection_cap(pool.database()) > 0 && pool.is_reachable() {
        return pool.acquire_direct(node, query).await;
    }
    relay::lease(node, pool, query)
        .await
        .map_err(|refusal| refusal.or(AcquireError::NotHeld))
}
