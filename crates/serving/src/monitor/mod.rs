//! Keeps the primaries known, confirmed and sampled that this node's work needs.
//!
//! A plain transaction opened on a database proves that it leads. One is opened on the
//! believed primary when it was not confirmed lately, and on every database of a group
//! whose primary is not known. Only groups that are needed here are looked after (see
//! `attention`); the coordinator looks at all others in turn, a few in each round.

mod questions;

use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

use hookpoint_coordination::serving::interest::Interest;
use hookpoint_state::{DatabaseName, GroupName, Timestamp};
use tokio::time::{sleep, timeout};

use self::questions::{Questions, SEARCH_PAUSE, ask, try_unreachable};
use crate::cold_start;
use crate::evacuation;
use crate::isolation;
use crate::node::Node;
use crate::peers::Peers;
use crate::tokens;

/// Pause between rounds.
const ROUND: Duration = Duration::from_millis(50);
/// A primary that was confirmed this lately is not asked.
const CONFIRMED_LATELY: Duration = Duration::from_millis(250);
/// The same for a primary that this node asks through another node.
const CONFIRMED_LATELY_AFAR: Duration = Duration::from_millis(700);
/// How often a primary is asked that is not in use here at the moment.
const CONFIRMED_LATELY_UNUSED: Duration = Duration::from_millis(2_000);
/// Periods without a sample from a peer after which the primary is asked itself.
const SAMPLES_BEFORE_QUESTION: u32 = 2;
/// Time in which all nodes register when the whole fleet starts for the first time. Until
/// then a node knows few of the others and would take itself for home of every database.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);
/// Time in which the holders of connections tell a node that holds none who leads.
const PEERS_TELL: Duration = Duration::from_millis(1_500);
/// Groups that the coordinator looks at in one round beyond those that it needs itself: 80 a
/// second, however many there are.
const SWEPT_A_ROUND: usize = 4;
/// Pause between two reports that a primary is lost.
const REPORT_PAUSE: Duration = Duration::from_millis(300);

/// What the rounds share.
struct Monitor {
    node: Rc<Node>,
    peers: Rc<Peers>,
    questions: Rc<Questions>,
    /// Tries to reach databases that the node lost the way to.
    tries: Rc<Questions>,
}

/// Watches over the primaries for as long as the node lives.
pub async fn monitor(node: Rc<Node>, peers: Rc<Peers>) {
    let monitor = Monitor {
        node,
        peers,
        questions: Rc::default(),
        tries: Rc::default(),
    };
    if monitor.node.settings.first_start {
        sleep(REGISTRATION_TIME).await;
    }
    let mut round = 0;
    let mut swept_last = None;
    loop {
        let node = &monitor.node;
        let due = node.now() + ROUND;
        let changed = timeout(ROUND, node.configuration_changed.notified()).await;
        if changed.is_err() {
            node.reachability.note_timer(due, node.now());
        }
        round += 1;
        node.expire_members();
        for group in in_turn(node.attention.groups(), round) {
            monitor.look_after(&group);
        }
        node.drop_unneeded_groups();
        node.note_groups_attended();
        if node.coordinator_revision().is_some() {
            for group in node.groups_after(swept_last.as_ref(), SWEPT_A_ROUND) {
                monitor.sweep(&group);
                swept_last = Some(group);
            }
        }
        try_unreachable(node, &monitor.tries);
        tokens::look_for_holders(node);
        isolation::update(node);
        evacuation::clear_evacuated_zones(node);
        cold_start::update_cold_databases(node);
        node.trim_pools();
    }
}

/// The groups, with another one first in each round: questions that are bounded in number are
/// those of the first.
fn in_turn(mut groups: Vec<GroupName>, round: usize) -> Vec<GroupName> {
    let first = round.checked_rem(groups.len()).unwrap_or_default();
    groups.rotate_left(first);
    groups
}

/// What is known of a group when it is looked at.
struct View {
    leader: Option<DatabaseName>,
    confirmed_at: Timestamp,
    is_lost: bool,
    promoting: Option<DatabaseName>,
    interest: Interest,
    in_use: bool,
}

impl View {
    fn of(node: &Node, group: &GroupName) -> Self {
        let now = node.now();
        node.with_group(group, |state| Self {
            leader: state.leadership.leader().cloned(),
            confirmed_at: state.leadership.confirmed_at(),
            is_lost: state.contact.lost_since.is_some(),
            promoting: state.promoting.as_ref().map(|(name, _)| name.clone()),
            interest: state.interest,
            in_use: state.interest.is_in_use(now),
        })
    }
}

impl Monitor {
    fn look_after(&self, group: &GroupName) {
        let node = &self.node;
        let now = node.now();
        let view = View::of(node, group);
        if !view.in_use && !node.knows_fleet() {
            return;
        }
        if node.shut_leader(group).is_some() {
            if view.in_use {
                self.ask_who_took_over(group);
            }
            if let Some(candidate) = view.promoting {
                ask(node, &self.questions, &candidate, view.in_use);
            }
            return;
        }
        match &view.leader {
            Some(leader) => self.keep_confirmed(group, leader, &view),
            None => {
                node.with_group(group, |state| {
                    state.leaderless_since.get_or_insert(now);
                });
                self.ask_who_leads(group);
            }
        }
        if view.leader.is_none() || view.is_lost {
            self.search(group, &view);
            self.report_loss(group, view.leader.as_ref());
        } else if let Some(candidate) = view.promoting
            && view.leader.as_ref() != Some(&candidate)
        {
            ask(node, &self.questions, &candidate, view.in_use);
        }
    }

    /// Asks the primary of a group if it was not confirmed lately, or a peer for its sample. A
    /// node that holds connections to it asks as often as the group's use allows: often enough to
    /// notice the primary's loss while it is in use.
    fn keep_confirmed(&self, group: &GroupName, leader: &DatabaseName, view: &View) {
        let node = &self.node;
        let unconfirmed = node.now().since(view.confirmed_at);
        if node.connection_cap(leader) > 0 {
            let may_ask = || node.with_group(group, |state| state.interest.take_question());
            if unconfirmed >= CONFIRMED_LATELY && !self.questions.is_asked(leader) && may_ask() {
                ask(node, &self.questions, leader, view.in_use);
            }
        } else if view.interest.wants_samples(node.now()) {
            self.keep_sampled(group, leader, view, CONFIRMED_LATELY_AFAR);
        } else if view.interest.expects_use(node.now()) {
            self.keep_sampled(group, leader, view, CONFIRMED_LATELY_UNUSED);
        }
    }

    /// Has a holder tell its newest sample if there was none for `period`; without an answer the
    /// primary is asked itself.
    fn keep_sampled(
        &self,
        group: &GroupName,
        leader: &DatabaseName,
        view: &View,
        period: Duration,
    ) {
        let unconfirmed = self.node.now().since(view.confirmed_at);
        if unconfirmed >= period * SAMPLES_BEFORE_QUESTION {
            ask(&self.node, &self.questions, leader, view.in_use);
        } else if unconfirmed >= period {
            self.ask_for_sample(group, leader);
        }
    }

    /// Looks at a group as the coordinator, which keeps all primaries known, used or not.
    fn sweep(&self, group: &GroupName) {
        let node = &self.node;
        let view = View::of(node, group);
        if node.shut_leader(group).is_some() || !node.knows_fleet() {
            return;
        }
        let Some(leader) = &view.leader else {
            self.ask_who_leads(group);
            return;
        };
        if node.connection_cap(leader) == 0 {
            self.keep_sampled(group, leader, &view, CONFIRMED_LATELY_UNUSED);
        } else if node.now().since(view.confirmed_at) >= CONFIRMED_LATELY_UNUSED {
            ask(node, &self.questions, leader, view.in_use);
        }
    }

    /// Tells the coordinator, which may use the group seldom or never, that its primary is lost.
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

    /// Has a node that holds connections to the primary tell its newest sample.
    fn ask_for_sample(&self, group: &GroupName, leader: &DatabaseName) {
        if let Some(number) = next_question(&self.node, group) {
            self.ask_holder(group, leader, number);
        }
    }

    /// Has a node that holds connections to one of the group's databases tell its primary.
    fn ask_who_leads(&self, group: &GroupName) {
        let databases = self.node.by_stated_role(group);
        if databases.is_empty() {
            return;
        }
        if let Some(number) = next_question(&self.node, group) {
            let database = &databases[number % databases.len()];
            self.ask_holder(group, database, number / databases.len());
        }
    }

    /// A primary that is shut is not asked any more, so who leads after it is learnt from the
    /// other databases and from their holders.
    fn ask_who_took_over(&self, group: &GroupName) {
        let node = &self.node;
        self.ask_who_leads(group);
        for database in node.by_stated_role(group) {
            if node.connection_cap(&database) > 0 {
                ask(node, &self.questions, &database, true);
            }
        }
    }

    /// Asks one of the holders of `database`, another one with each number.
    fn ask_holder(&self, group: &GroupName, database: &DatabaseName, number: usize) {
        if let Some(address) = self.node.some_holder(database, number) {
            self.node.counters.count("questions", "for_sample");
            self.peers.ask_sample(&self.node, group, address);
        }
    }

    /// Asks the databases of a group which of them leads: those that this node holds
    /// connections to, and after a while the others as well.
    fn search(&self, group: &GroupName, view: &View) {
        let node = &self.node;
        let now = node.now();
        let leaderless_since = node.with_group(group, |state| state.leaderless_since);
        let long = leaderless_since.is_none_or(|since| now.since(since) >= PEERS_TELL);
        let mut databases = node.by_stated_role(group);
        if !node.knows_fleet() {
            databases.truncate(1);
        }
        for database in databases {
            let held = node.connection_cap(&database) > 0;
            if view.leader.as_ref() != Some(&database) && (held || long) {
                ask(node, &self.questions, &database, view.in_use);
            }
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

impl Node {
    /// The next `count` of the configured groups in the order of their names, from the first one
    /// on again after the last; none twice.
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

    fn note_groups_attended(&self) {
        let attended = u64::try_from(self.attention.len()).unwrap_or(u64::MAX);
        self.counters.set("groups_looked_after", attended);
    }
}
