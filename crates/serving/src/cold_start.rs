//! Limits the rate of requests to databases that have just started: see
//! [`hookpoint_coordination::serving::cold_start`].

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::cold_start::{
    COLD_HOLDERS, ColdReason, ColdStart, ColdStartFacts, RegistrationChange,
};
use hookpoint_coordination::serving::directory::{DirectoryEntry, RegistrationOutcome};
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

/// Age of the store's information beyond which a database that this node has no connection to may
/// have restarted unnoticed: the longest time that changes take to arrive while the store is
/// followed without a gap.
const STORE_INFORMATION_MAX_AGE: Duration = Duration::from_secs(4);
/// Time after which a caller may retry if no node that holds a share of a cold database's budget
/// responds: by then other nodes are holders, or the lost ones have returned.
const HOLDERS_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// A node that did not check its databases for this long was suspended: many times the pause
/// between two checks.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);

/// This node's share of the budget of a cold database.
struct ColdShare {
    share: GrantLimit,
}

impl Node {
    /// Returns whether a database counts as cold.
    pub fn is_cold(&self, name: &DatabaseName) -> bool {
        self.cold_reason(name).is_some()
    }

    /// Returns the maximum number of nodes that may send to a database if it is cold, or `None` if
    /// it is not.
    pub(crate) fn cold_holders(&self, name: &DatabaseName) -> Option<usize> {
        self.is_cold(name).then_some(COLD_HOLDERS)
    }

    /// Records for how much longer a database registers as cold. `before` is its earlier entry in
    /// the directory.
    pub(crate) fn note_registered_warm_up(
        &self,
        name: &DatabaseName,
        before: Option<&DirectoryEntry>,
        registration: RegistrationOutcome,
    ) {
        let directory = self.directory.borrow();
        let Some(listed) = directory.get(name) else {
            return;
        };
        let registration_kind = match (registration, before) {
            (RegistrationOutcome::Outdated, _) => return,
            (RegistrationOutcome::NewIncarnation, _) => RegistrationChange::NewIncarnation,
            (RegistrationOutcome::Applied, None) => RegistrationChange::First,
            (RegistrationOutcome::Applied, Some(before)) if before.missing => {
                match listed.database.started {
                    Some(_) => RegistrationChange::Returned,
                    None => RegistrationChange::ReturnedWithoutStart,
                }
            }
            (RegistrationOutcome::Applied, Some(_)) => RegistrationChange::SameIncarnation,
        };
        // An entry cannot keep its database cold for longer than the configured duration of a cold
        // start.
        let longest = self.cold_start_of(name).map(|start| start.duration);
        let registered = listed.database.cold_for;
        let cold_for = longest.map_or(registered, |longest| registered.min(longest));
        let mut starts = self.cold.starts.borrow_mut();
        starts
            .entry(name)
            .apply_registration(registration_kind, cold_for, self.now());
    }

    /// Records that a database may have restarted.
    pub(crate) fn note_possible_restart(&self, name: &DatabaseName) {
        if self.cold_start_of(name).is_some() {
            let mut starts = self.cold.starts.borrow_mut();
            starts.entry(name).suspect_restart(self.now());
        }
    }

    /// Records that the first connection to a database was opened. In that case only information
    /// from the store shows how long the database has been running.
    pub(crate) fn note_first_connection(&self, name: &DatabaseName) {
        let known_at = self.feed.known_at();
        let store_was_read = known_at > Timestamp::default();
        if store_was_read && self.now().since(known_at) >= STORE_INFORMATION_MAX_AGE {
            self.note_possible_restart(name);
        }
    }

    /// Waits for a token if the database is cold. Returns the number of requests that were
    /// admitted.
    pub(crate) async fn admit_to_cold(
        &self,
        name: &DatabaseName,
        request: &ConnectionRequest<'_>,
    ) -> Result<u32, AcquireError> {
        let began = self.now();
        loop {
            let Some(cold) = self.cold_share(name) else {
                return Ok(0);
            };
            let Err(retry_after) = self.take_cold_token(name, &cold, request) else {
                self.counters.count("cold_requests", "admitted");
                return Ok(1);
            };
            let waited = self.now().since(began);
            let max_wait = request.limits.max_expected_wait.min(request.limits.limit);
            if request.principal.is_none() || waited.saturating_add(retry_after) > max_wait {
                self.counters.count("cold_requests", "refused");
                return Err(AcquireError::Cold { retry_after });
            }
            sleep(retry_after).await;
        }
    }

    fn take_cold_token(
        &self,
        name: &DatabaseName,
        cold: &ColdShare,
        request: &ConnectionRequest<'_>,
    ) -> Result<(), Duration> {
        self.empty_buckets_if_suspended();
        let now = self.now();
        let mut starts = self.cold.starts.borrow_mut();
        let warm_up = starts.entry(name);
        match request.principal {
            Some(_) => warm_up.admit(cold.share, now),
            None => warm_up.admit_query(cold.share, now),
        }
    }

    /// Charges the requests sent to a cold database beyond the `admitted` ones. Returns the number
    /// of admitted requests that are left.
    pub(crate) fn charge_cold(
        &self,
        name: &DatabaseName,
        commands: &[Command],
        admitted: u32,
    ) -> u32 {
        let Some(cold) = self.cold_share(name) else {
            return admitted;
        };
        let sent = count_requests(commands);
        let excess = sent.saturating_sub(admitted);
        if excess > 0 {
            let mut starts = self.cold.starts.borrow_mut();
            starts.entry(name).charge(cold.share, excess, self.now());
            self.counters.count("cold_requests", "in_debt");
        }
        admitted.saturating_sub(sent)
    }

    /// Returns the refusal of a node that holds no share of a cold database's budget.
    pub(crate) fn refusal_if_cold(&self, name: &DatabaseName) -> Option<AcquireError> {
        let retry_after = HOLDERS_RETRY_AFTER;
        let refusal = AcquireError::Cold { retry_after };
        self.is_cold(name).then_some(refusal)
    }

    /// Removes the state of databases that are no longer listed.
    pub(crate) fn drop_unlisted_cold_starts(&self) {
        let directory = self.directory.borrow();
        let mut starts = self.cold.starts.borrow_mut();
        starts.retain(|name| directory.get(name).is_some());
    }

    /// Returns whether any group has a cold start configured.
    fn has_cold_starts(&self) -> bool {
        self.configuration().is_some_and(|configuration| {
            let mut groups = configuration.groups.values();
            groups.any(|group| group.cold_start.is_some())
        })
    }

    /// Empties the buckets if this node was suspended: requests admitted before that are sent only
    /// now.
    fn empty_buckets_if_suspended(&self) {
        let now = self.now();
        if now.since(self.cold.checked_at.replace(now)) >= SUSPENSION_THRESHOLD {
            self.cold.starts.borrow_mut().empty_buckets();
        }
    }

    fn cold_share(&self, name: &DatabaseName) -> Option<ColdShare> {
        let start = self.cold_start_of(name)?;
        self.cold_reason_of(name, start)?;
        let share = start.holder_share(self.changeable().cold_start);
        Some(ColdShare { share })
    }

    fn cold_reason(&self, name: &DatabaseName) -> Option<ColdReason> {
        self.cold_reason_of(name, self.cold_start_of(name)?)
    }

    fn cold_reason_of(&self, name: &DatabaseName, start: ColdStart) -> Option<ColdReason> {
        let starts = self.cold.starts.borrow();
        let known = self.cold_start_facts(name);
        starts.get(name)?.cold_reason(start, known, self.now())
    }

    fn cold_start_facts(&self, name: &DatabaseName) -> ColdStartFacts {
        let directory = self.directory.borrow();
        let listed = directory.get(name);
        ColdStartFacts {
            store_known_at: self.feed.known_at(),
            has_start: listed
                .is_some_and(|listed| !listed.missing && listed.database.started.is_some()),
        }
    }

    /// Returns the cold start configured for a database's group, or `None` if its databases are
    /// warm immediately.
    fn cold_start_of(&self, name: &DatabaseName) -> Option<ColdStart> {
        let configuration = self.configuration()?;
        let directory = self.directory.borrow();
        let group = &directory.get(name)?.database.group;
        configuration.groups.get(group)?.cold_start
    }
}

/// Returns the number of callers' requests and queries among the commands. Commands that set up a
/// session or roll back a transaction cost a database next to nothing and do not count.
fn count_requests(commands: &[Command]) -> u32 {
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

/// Detects databases that have become cold or warm, which changes the nodes that hold connections
/// to them. Called periodically.
pub(crate) fn update_cold_databases(node: &Node) {
    if !node.has_cold_starts() && node.cold.last_cold.borrow().is_empty() {
        return;
    }
    node.empty_buckets_if_suspended();
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
                reset_cold_start(node, &name);
                node.log("database_cold", &change_fields(node, &name, reason));
                cold.insert(name, reason);
            }
            (Some(reason), None) => {
                reset_cold_start(node, &name);
                node.log("database_warm", &change_fields(node, &name, reason));
            }
        }
    }
    if !cold.is_empty() || !last_cold.is_empty() {
        let count = u64::try_from(cold.len()).unwrap_or(u64::MAX);
        node.counters.set("databases_cold", count);
        empty_unheld_buckets(node, &cold);
    }
    *last_cold = cold;
}

/// Empties the buckets of databases that this node is not a holder of, so that it starts with an
/// empty one when it becomes a holder again.
fn empty_unheld_buckets(node: &Node, cold: &BTreeMap<DatabaseName, ColdReason>) {
    for name in cold.keys() {
        if node.connection_cap(name) == 0 {
            node.cold.starts.borrow_mut().entry(name).empty_bucket();
        }
    }
}

/// Discards the holders of a database, which change as it becomes cold or warm, and empties its
/// bucket.
fn reset_cold_start(node: &Node, name: &DatabaseName) {
    node.homes.borrow_mut().forget_view(name);
    node.cold.starts.borrow_mut().entry(name).empty_bucket();
}

/// Returns the event fields that explain why a database counts as cold or warm.
fn change_fields(
    node: &Node,
    name: &DatabaseName,
    reason: ColdReason,
) -> [(&'static str, Value); 5] {
    let now = node.now();
    let starts = node.cold.starts.borrow();
    let cold_for = starts
        .get(name)
        .map(|warm_up| millis(warm_up.cold_for(now)));
    let started = node.database(name).and_then(|database| database.started);
    let store_age = millis(now.since(node.feed.known_at()));
    [
        ("database", name.as_str().into()),
        ("reason", reason.as_str().into()),
        ("started", started.map(|start| start.0).into()),
        ("cold_ms", cold_for.into()),
        ("news_ms_ago", store_age.into()),
    ]
}

/// Returns a connection for a query to a cold database, from one of the nodes that hold a share of
/// its budget.
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
        .map_err(|refusal| refusal.or(AcquireError::Unreachable))
}
