//! Tracks the groups that this node monitors: those needed by its callers or by peers that rely on
//! it. All other groups cost the node nothing, regardless of their number.

use std::cell::RefCell;
use std::collections::BTreeSet;

use hookpoint_state::{DatabaseName, GroupName, Timestamp};

use crate::node::{Contact, GroupState, Node};

/// The groups that are currently monitored.
#[derive(Default)]
pub(crate) struct MonitoredGroups {
    groups: RefCell<BTreeSet<GroupName>>,
}

impl MonitoredGroups {
    fn add(&self, group: &GroupName) {
        let mut groups = self.groups.borrow_mut();
        if !groups.contains(group) {
            groups.insert(group.clone());
        }
    }

    /// Returns the monitored groups in the order of their names.
    pub(crate) fn groups(&self) -> Vec<GroupName> {
        self.groups.borrow().iter().cloned().collect()
    }

    /// Returns the number of monitored groups.
    pub(crate) fn len(&self) -> usize {
        self.groups.borrow().len()
    }
}

impl Node {
    /// Records that a caller's request uses a group.
    pub(crate) fn note_use(&self, group: &GroupName) {
        let now = self.now();
        self.with_group(group, |state| state.group_use.note_use(now));
        self.monitored_groups.add(group);
    }

    /// Records that a caller's request is waiting for a group's primary to become known.
    pub(crate) fn note_primary_awaited(&self, group: &GroupName) {
        let now = self.now();
        self.with_group(group, |state| state.group_use.note_awaited(now));
        self.monitored_groups.add(group);
    }

    /// Records that a peer relies on this node for a group's primary, because this node holds
    /// connections to it or determines which database leads.
    pub(crate) fn note_relied_on(&self, group: &GroupName) {
        let now = self.now();
        self.with_group(group, |state| state.group_use.note_relied_on(now));
        self.monitored_groups.add(group);
    }

    /// Records that a peer runs a statement on one of this node's connections to a database. A
    /// database that does not lead provides no information about the primary.
    pub(crate) fn note_relayed_statement(&self, name: &DatabaseName) {
        let Some(database) = self.database(name) else {
            return;
        };
        let leader = self.leader(&database.group);
        if leader.is_none_or(|leader| leader == *name) {
            self.note_relied_on(&database.group);
        }
    }

    /// Monitors a group whose primary may have to be replaced.
    pub(crate) fn monitor_group(&self, group: &GroupName) {
        self.monitored_groups.add(group);
    }

    /// Stops monitoring groups that are no longer needed. What this node only knew from monitoring
    /// (that the primary is unresponsive or unknown) is discarded with them, as it may have
    /// changed by the time that the group is needed again.
    pub(crate) fn drop_unneeded_groups(&self) {
        let now = self.now();
        let coordinates = self.coordinator_revision().is_some();
        let mut monitored = self.monitored_groups.groups.borrow_mut();
        let mut groups = self.groups.borrow_mut();
        monitored.retain(|group| {
            let Some(state) = groups.get_mut(group) else {
                return false;
            };
            let needed = is_needed(state, coordinates, now);
            if !needed {
                state.contact = Contact::default();
                state.leaderless_since = None;
            }
            needed
        });
    }
}

fn is_needed(state: &GroupState, coordinates: bool, now: Timestamp) -> bool {
    let needs_primary = state.contact.lost_since.is_some() || state.was_reported(now);
    !state.group_use.is_unused(now) || state.being_replaced || (coordinates && needs_primary)
}
