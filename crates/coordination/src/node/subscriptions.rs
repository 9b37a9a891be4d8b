//! Subscriptions to leadership changes. Changes of a group are sent to the nodes that
//! use it, through the home nodes of its databases; nothing is broadcast.
//! `docs/design/spread-of-terms.md` compares the alternatives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{GroupName, NodeId, Timestamp};

use super::message::LeadershipUpdate;

/// How long after its last use a group still counts as used.
const USE_RETENTION: Duration = Duration::from_secs(180);
/// Time between two renewals of a subscription.
const RENEWAL_PERIOD: Duration = Duration::from_secs(15);
/// How long a home keeps a subscriber that does not renew.
const SUBSCRIPTION_LIFETIME: Duration = Duration::from_secs(50);
/// Maximum number of subscribers kept per group.
const MAXIMUM_SUBSCRIBERS: usize = 4_096;

#[derive(Clone, Debug)]
struct GroupSubscriptions {
    known: LeadershipUpdate,
    used_until: Timestamp,
    renew_at: Option<Timestamp>,
    subscribed_to: BTreeSet<NodeId>,
    subscribers: BTreeMap<NodeId, Timestamp>,
}

/// Subscriptions of this node at other nodes, and of other nodes at this node.
#[derive(Clone, Debug, Default)]
pub struct LeadershipSubscriptions {
    groups: BTreeMap<GroupName, GroupSubscriptions>,
    renewals: BTreeSet<(Timestamp, GroupName)>,
}

impl LeadershipSubscriptions {
    fn entry(&mut self, group: &GroupName) -> &mut GroupSubscriptions {
        self.groups
            .entry(group.clone())
            .or_insert_with(|| GroupSubscriptions {
                known: LeadershipUpdate::none(group.clone()),
                used_until: Timestamp::default(),
                renew_at: None,
                subscribed_to: BTreeSet::new(),
                subscribers: BTreeMap::new(),
            })
    }

    /// Drops the groups for which `wanted` returns false.
    pub fn retain(&mut self, wanted: impl Fn(&GroupName) -> bool) {
        self.groups.retain(|group, _| wanted(group));
        self.renewals.retain(|(_, group)| wanted(group));
    }

    /// Records a group's leadership. Returns whether it is newer than what was known.
    pub fn record(&mut self, update: &LeadershipUpdate) -> bool {
        let entry = self.entry(&update.group);
        let newer = update.is_newer_than(&entry.known);
        if newer {
            entry.known = update.clone();
        }
        newer
    }

    /// Returns the known leadership of a group.
    pub fn known(&mut self, group: &GroupName) -> LeadershipUpdate {
        self.entry(group).known.clone()
    }

    /// Records that a session used a group and that `home` served it. Returns whether
    /// subscriptions should be renewed now.
    pub fn record_use(&mut self, now: Timestamp, group: &GroupName, home: Option<NodeId>) -> bool {
        let entry = self.entry(group);
        entry.used_until = now + USE_RETENTION;
        let unsubscribed_home = home.is_some_and(|home| !entry.subscribed_to.contains(&home));
        entry.renew_at.is_none() || unsubscribed_home
    }

    /// Records that subscriptions at a group's `homes` are renewed now. Returns the
    /// known leadership of the group.
    pub fn renew(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        homes: BTreeSet<NodeId>,
    ) -> LeadershipUpdate {
        let entry = self.entry(group);
        let before = entry.renew_at.replace(now + RENEWAL_PERIOD);
        entry.subscribed_to = homes;
        let known = entry.known.clone();
        if let Some(before) = before {
            self.renewals.remove(&(before, group.clone()));
        }
        self.renewals.insert((now + RENEWAL_PERIOD, group.clone()));
        known
    }

    /// Returns a group whose subscriptions are due for renewal. Subscriptions of groups
    /// that are no longer used are dropped.
    pub fn due(&mut self, now: Timestamp) -> Option<GroupName> {
        loop {
            let (at, group) = self.renewals.first()?.clone();
            if at > now {
                return None;
            }
            self.renewals.remove(&(at, group.clone()));
            let Some(entry) = self.groups.get_mut(&group) else {
                continue;
            };
            entry.renew_at = None;
            entry.subscribers.retain(|_, expires| *expires > now);
            if entry.used_until > now {
                return Some(group);
            }
            entry.subscribed_to.clear();
        }
    }

    /// Returns the groups for which this node has subscribed at `node`.
    pub fn subscribed_to(&self, node: NodeId) -> Vec<GroupName> {
        self.groups
            .iter()
            .filter(|(_, entry)| entry.subscribed_to.contains(&node))
            .map(|(group, _)| group.clone())
            .collect()
    }

    /// Returns when [`LeadershipSubscriptions::due`] next has a group to return.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.renewals.first().map(|(at, _)| *at)
    }

    /// Adds or renews a subscriber, within the maximum number per group.
    pub fn subscribe(&mut self, now: Timestamp, group: &GroupName, node: NodeId) {
        let entry = self.entry(group);
        if entry.subscribers.len() >= MAXIMUM_SUBSCRIBERS {
            entry.subscribers.retain(|_, expires| *expires > now);
        }
        if entry.subscribers.len() < MAXIMUM_SUBSCRIBERS || entry.subscribers.contains_key(&node) {
            entry.subscribers.insert(node, now + SUBSCRIPTION_LIFETIME);
        }
    }

    /// Returns the nodes that subscribe to a group at this node.
    pub fn subscribers(&self, now: Timestamp, group: &GroupName) -> BTreeSet<NodeId> {
        let Some(entry) = self.groups.get(group) else {
            return BTreeSet::new();
        };
        entry
            .subscribers
            .iter()
            .filter(|(_, expires)| **expires > now)
            .map(|(node, _)| *node)
            .collect()
    }
}
