//! Keeps the primaries that this node needs known, confirmed and sampled.
//!
//! A plain transaction opened on a database proves that it leads. Such a transaction is opened on
//! the known primary if that was not confirmed lately, and on every database of a group whose
//! primary is not known. Only the groups needed on this node are monitored (see
//! `monitored_groups`); the coordinator checks all other groups in turn, a few in each round.

mod queries;

use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::group_use::GroupUse;
use hookpoint_state::{DatabaseName, GroupName, Timestamp};
use tokio::time::{sleep, timeout};

use self::queries::{Queries, SEARCH_PAUSE, query_database, reconnect_unreachable};
use crate::cold_start;
use crate::evacuation;
use crate::isolation;
use crate::node::Node;
use crate::peers::Peers;
use crate::tokens;

/// Pause between two rounds of the monitor.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// A primary confirmed more recently than this is not queried.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(250);
/// The same bound for a primary that this node queries through another node.
const CONFIRMATION_MAX_AGE_REMOTE: Duration = Duration::from_millis(700);
/// The same bound for a primary that is currently not in use on this node.
const CONFIRMATION_MAX_AGE_UNUSED: Duration = Duration::from_millis(2_000);
/// Number of periods without a sample from a peer after which the primary itself is queried.
const MISSED_SAMPLES_BEFORE_QUERY: u32 = 2;
/// Time in which all nodes register when the whole fleet starts for the first time. Before that, a
/// node knows few other nodes and would consider itself a home of every database.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);
/// Time in which the holders of connections report the leader to a node that holds none.
const PEER_ANSWER_TIME: Duration = Duration::from_millis(1_500);
/// Number of groups that the coordinator checks per round in addition to those that it needs
/// itself: 80 a second, regardless of the number of groups.
const GROUPS_SWEPT_PER_ROUND: usize = 4;
/// Pause between two reports that a primary is lost.
const REPORT_PAUSE: Duration = Duration::from_millis(300);

/// State shared by the monitor's rounds.
struct Monitor {
    node: Rc<Node>,
    peers: Rc<Peers>,
    queries: Rc<Queries>,
    /// Attempts to reach databases to which this node has lost its connection.
    reconnect_attempts: Rc<Queries>,
}

/// Monitors the primaries until the node shuts down.
pub async fn monitor(node: Rc<Node>, peers: Rc<Peers>) {
    let monitor = Monitor {
        node,
        peers,
        queries: Rc::default(),
        reconnect_attempts: Rc::default(),
    };
    if monitor.node.settings.first_start {
        sleep(REGISTRATION_TIME).await;
    }
    let mut round = 0;
    let mut last_swept = None;
    loop {
        let node = &monitor.node;
        let due = node.now() + ROUND_INTERVAL;
        let changed = timeout(ROUND_INTERVAL, node.configuration_changed.notified()).await;
        if changed.is_err() {
            node.reachability.note_timer(due, node.now());
        }
        round += 1;
        node.expire_members();
        for group in rotate_groups(node.monitored_groups.groups(), round) {
            monitor.check_group(&group);
        }
        node.drop_unneeded_groups();
        node.export_monitored_groups();
        if node.coordinator_revision().is_some() {
            for group in node.groups_after(last_swept.as_ref(), GROUPS_SWEPT_PER_ROUND) {
                monitor.sweep(&group);
                last_swept = Some(group);
            }
        }
        reconnect_unreachable(node, &monitor.reconnect_attempts);
        tokens::check_holders(node);
        isolation::update(node);
        evacuation::clear_evacuated_zones(node);
        cold_start::update_cold_databases(node);
        node.trim_pools();
    }
}

/// Rotates the groups so that each round begins with another one: where the number of queries is
/// limited, the first groups get them.
fn rotate_groups(mut groups: Vec<GroupName>, round: usize) -> Vec<GroupName> {
    let first = round.checked_rem(groups.len()).unwrap_or_default();
    groups.rotate_left(first);
    groups
}

/// A snapshot of a group's state at the beginning of a check.
struct GroupSnapshot {
    leader: Option<DatabaseName>,
    confirmed_at: Timestamp,
    is_lost: bool,
    promoting: Option<DatabaseName>,
    group_use: GroupUse,
    in_use: bool,
}

impl GroupSnapshot {
    fn of(node: &Node, group: &GroupName) -> Self {
        let now = node.now();
        node.with_group(group, |state| Self {
            leader: state.leadership.leader().cloned(),
            confirmed_at: state.leadership.confirmed_at(),
            is_lost: state.contact.lost_since.is_some(),
            promoting: state.promoting.as_ref().map(|(name, _)| name.clone()),
            group_use: state.group_use,
            in_use: state.group_use.is_in_use(now),
        })
    }
}

impl Monitor {
    fn check_group(&self, group: &GroupName) {
        let node = &self.node;
        let now = node.now();
        let view = GroupSnapshot::of(node, group);
        if !view.in_use && !node.membership_is_complete() {
            return;
        }
        if node.evacuated_leader(group).is_some() {
            if view.in_use {
                self.find_successor(group);
            }
            if let Some(candidate) = view.promoting {
                query_database(node, &self.queries, &candidate, view.in_use);
            }
            return;
        }
        match &view.leader {
            Some(leader) => self.keep_confirmed(group, leader, &view),
            None => {
                node.with_group(group, |state| {
                    state.leaderless_since.get_or_insert(now);
                });
                self.request_leader(group);
            }
        }
        if view.leader.is_none() || view.is_lost {
            self.search(group, &view);
            self.report_loss(group, view.leader.as_ref());
        } else if let Some(candidate) = view.promoting
            && view.leader.as_ref() != Some(&candidate)
        {
            query_database(node, &self.queries, &candidate, view.in_use);
        }
    }

    /// Queries the primary of a group, or requests a peer's sample, if the primary was not
    /// confirmed lately. A node that holds connections to the primary queries it as often as the
    /// group's use permits: often enough to notice the loss of a primary in use.
    fn keep_confirmed(&self, group: &GroupName, leader: &DatabaseName, view: &GroupSnapshot) {
        let node = &self.node;
        let unconfirmed = node.now().since(view.confirmed_at);
        if node.connection_cap(leader) > 0 {
            let may_ask = || node.with_group(group, |state| state.group_use.take_query());
            if unconfirmed >= CONFIRMATION_MAX_AGE
                && !self.queries.is_in_progress(leader)
                && may_ask()
            {
                query_database(node, &self.queries, leader, view.in_use);
            }
        } else if view.group_use.wants_samples(node.now()) {
            self.keep_sampled(group, leader, view, CONFIRMATION_MAX_AGE_REMOTE);
        } else if view.group_use.expects_use(node.now()) {
            self.keep_sampled(group, leader, view, CONFIRMATION_MAX_AGE_UNUSED);
        }
    }

    /// Requests the newest sample from a holder if there was none for `period`. If that remains
    /// unanswered, the primary itself is queried.
    fn keep_sampled(
        &self,
        group: &GroupName,
        leader: &DatabaseName,
        view: &GroupSnapshot,
        period: Duration,
    ) {
        let unconfirmed = self.node.now().since(view.confirmed_at);
        if unconfirmed >= period * MISSED_SAMPLES_BEFORE_QUERY {
            query_database(&self.node, &self.queries, leader, view.in_use);
        } else if unconfirmed >= period {
            self.request_sample_from_holder(group, leader);
        }
    }

    /// Checks a group on behalf of the coordinator, which keeps all primaries known, whether used
    /// or not.
    fn sweep(&self, group: &GroupName) {
        let node = &self.node;
        let view = GroupSnapshot::of(node, group);
        if node.evacuated_leader(group).is_some() || !node.membership_is_complete() {
            return;
        }
        let Some(leader) = &view.leader else {
            self.request_leader(group);
            return;
        };
        if node.connection_cap(leader) == 0 {
            self.keep_sampled(group, leader, &view, CONFIRMATION_MAX_AGE_UNUSED);
        } else if node.now().since(view.confirmed_at) >= CONFIRMATION_MAX_AGE_UNUSED {
            query_database(node, &self.queries, leader, view.in_use);
        }
    }

    /// Reports to the coordinator, which may itself rarely or never use the group, that the
    /// group's primary is lost.
    fn report_loss(&self, group: &GroupName, leader: Option<&DatabaseName>) {
        let node = &self.node;
        let now = node.now();
        let due = node.with_group(group, |state| {
            let due = now.since(state.reported_at) >= REPORT_PAUSE;
            if due {
                state.reported_at = now;
            }
            due
        });
        if due {
            self.peers.report_loss(node, group, leader);
        }
    }

    /// Requests the newest sample of the primary from a node that holds connections to it.
    fn request_sample_from_holder(&self, group: &GroupName, leader: &DatabaseName) {
        if let Some(number) = next_request_number(&self.node, group) {
            self.ask_holder(group, leader, number);
        }
    }

    /// Asks a node that holds connections to one of the group's databases for the primary.
    fn request_leader(&self, group: &GroupName) {
        let databases = self.node.by_stated_role(group);
        if databases.is_empty() {
            return;
        }
        if let Some(number) = next_request_number(&self.node, group) {
            let database = &databases[number % databases.len()];
            self.ask_holder(group, database, number / databases.len());
        }
    }

    /// Determines the successor of a primary in an evacuated zone. Such a primary is no longer
    /// queried, so its successor is learnt from the other databases and from their holders.
    fn find_successor(&self, group: &GroupName) {
        let node = &self.node;
        self.request_leader(group);
        for database in node.by_stated_role(group) {
            if node.connection_cap(&database) > 0 {
                query_database(node, &self.queries, &database, true);
            }
        }
    }

    /// Asks one of the holders of `database`, selected by `number`.
    fn ask_holder(&self, group: &GroupName, database: &DatabaseName, number: usize) {
        if let Some(address) = self.node.holder_by_number(database, number) {
            self.node.counters.count("questions", "for_sample");
            self.peers.request_sample(&self.node, group, address);
        }
    }

    /// Asks the databases of a group which of them leads: those to which this node holds
    /// connections, and after [`PEER_ANSWER_TIME`] the others as well.
    fn search(&self, group: &GroupName, view: &GroupSnapshot) {
        let node = &self.node;
        let now = node.now();
        let leaderless_since = node.with_group(group, |state| state.leaderless_since);
        let waited_long = leaderless_since.is_none_or(|since| now.since(since) >= PEER_ANSWER_TIME);
        let mut databases = node.by_stated_role(group);
        if !node.membership_is_complete() {
            databases.truncate(1);
        }
        for database in databases {
            let held = node.connection_cap(&database) > 0;
            if view.leader.as_ref() != Some(&database) && (held || waited_long) {
                query_database(node, &self.queries, &database, view.in_use);
            }
        }
    }
}

/// Returns the sequence number of the next request for a sample, or `None` if the last one was
/// sent less than [`SEARCH_PAUSE`] ago.
fn next_request_number(node: &Rc<Node>, group: &GroupName) -> Option<usize> {
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

impl Node {
    /// Returns up to `count` configured groups that follow `last` in name order, continuing with
    /// the first group after the last one. No group is returned twice.
    pub(crate) fn groups_after(&self, last: Option<&GroupName>, count: usize) -> Vec<GroupName> {
        let Some(configuration) = self.configuration() else {
            return Vec::new();
        };
        let groups = &configuration.groups;
        let count = count.min(groups.len());
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let later = groups.range((from, Bound::Unbounded));
        later
            .chain(groups)
            .take(count)
            .map(|(group, _)| group.clone())
            .collect()
    }

    fn export_monitored_groups(&self) {
        let monitored = u64::try_from(self.monitored_groups.len()).unwrap_or(u64::MAX);
        self.counters.set("groups_looked_after", monitored);
    }
}
