//! Who is told of a group's leadership changes: the nodes that use it, through the home
//! nodes of its databases. Nothing is broadcast. `docs/design/spread-of-terms.md` weighs
//! the ways.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_state::{GroupName, NodeId, Timestamp};

use super::message::LeadershipNews;

/// How long after its last use a group counts as used.
const USE_MEMORY: Duration = Duration::from_secs(180);
/// Time between two renewals of a subscription.
const RENEWAL_PERIOD: Duration = Duration::from_secs(15);
/// How long a home remembers a subscriber that does not renew.
const SUBSCRIPTION_TIME: Duration = Duration::from_secs(50);
/// Subscribers remembered for one group.
const MAXIMUM_SUBSCRIBERS: usize = 4_096;

#[derive(Clone, Debug)]
struct GroupSpread {
    known: LeadershipNews,
    used_until: Timestamp,
    renew_at: Option<Timestamp>,
    subscribed_to: BTreeSet<NodeId>,
    subscribers: BTreeMap<NodeId, Timestamp>,
}

/// Subscriptions of this node and to this node.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    groups: BTreeMap<GroupName, GroupSpread>,
    renewals: BTreeSet<(Timestamp, GroupName)>,
}

impl Spread {
    fn entry(&mut self, group: &GroupName) -> &mut GroupSpread {
        self.groups
            .entry(group.clone())
            .or_insert_with(|| GroupSpread {
                known: LeadershipNews::none(group.clone()),
                used_until: Timestamp::default(),
                renew_at: None,
                subscribed_to: BTreeSet::new(),
                subscribers: BTreeMap::new(),
            })
    }

    /// Drops groups that are not in `wanted`.
    pub fn retain(&mut self, wanted: impl Fn(&GroupName) -> bool) {
        self.groups.retain(|group, _| wanted(group));
        self.renewals.retain(|(_, group)| wanted(group));
    }

    /// Takes news of a group. Returns whether they are new here.
    pub fn learn(&mut self, news: &LeadershipNews) -> bool {
        let entry = self.entry(&news.group);
        let newer = news.is_newer_than(&entry.known);
        if newer {
            entry.known = news.clone();
        }
        newer
    }

    /// What is known of a group's leadership.
    pub fn known(&mut self, group: &GroupName) -> LeadershipNews {
        self.entry(group).known.clone()
    }

    /// Notes that a session used a group and that `home` served it. Returns whether
    /// subscriptions should be renewed now.
    pub fn note_use(&mut self, now: Timestamp, group: &GroupName, home: Option<NodeId>) -> bool {
        let entry = self.entry(group);
        entry.used_until = now + USE_MEMORY;
        let stranger = home.is_some_and(|home| !entry.subscribed_to.contains(&home));
        entry.renew_at.is_none() || stranger
    }

    /// Notes that subscriptions to a group's `homes` are renewed now. Returns what is
    /// known of the group.
    pub fn renew(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        homes: BTreeSet<NodeId>,
    ) -> LeadershipNews {
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

    /// A group whose subscriptions are to be renewed. Those no longer used end here.
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

    /// Groups subscribed to at `node`.
    pub fn subscribed_to(&self, node: NodeId) -> Vec<GroupName> {
        self.groups
            .iter()
            .filter(|(_, entry)| entry.subscribed_to.contains(&node))
            .map(|(group, _)| group.clone())
            .collect()
    }

    /// When [`Spread::due`] has something to return.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.renewals.first().map(|(at, _)| *at)
    }

    /// Remembers a subscriber.
    pub fn subscribe(&mut self, now: Timestamp, group: &GroupName, node: NodeId) {
        let entry = self.entry(group);
        if entry.subscribers.len() >= MAXIMUM_SUBSCRIBERS {
            entry.subscribers.retain(|_, expires| *expires > now);
        }
        if entry.subscribers.len() < MAXIMUM_SUBSCRIBERS || entry.subscribers.contains_key(&node) {
            entry.subscribers.insert(node, now + SUBSCRIPTION_TIME);
        }
    }

    /// Nodes that asked to be told of a group.
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
