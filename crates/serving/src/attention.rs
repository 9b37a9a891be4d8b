//! Which groups this node looks after: those that its callers, or the peers that rely on it,
//! need. All others cost it nothing, however many there are.

use std::cell::RefCell;
use std::collections::BTreeSet;

use hookpoint_state::{DatabaseName, GroupName, Timestamp};

use crate::node::{Contact, GroupState, Node};

/// The groups that are looked after at the moment.
#[derive(Default)]
pub(crate) struct Attention {
    groups: RefCell<BTreeSet<GroupName>>,
}

impl Attention {
    fn add(&self, group: &GroupName) {
        let mut groups = self.groups.borrow_mut();
        if !groups.contains(group) {
            groups.insert(group.clone());
        }
    }

    /// The groups, by name.
    pub(crate) fn groups(&self) -> Vec<GroupName> {
        self.groups.borrow().iter().cloned().collect()
    }

    /// How many they are.
    pub(crate) fn len(&self) -> usize {
        self.groups.borrow().len()
    }
}

impl Node {
    /// Notes that a caller's request asks for a group.
    pub(crate) fn note_use(&self, group: &GroupName) {
        let now = self.now();
        self.with_group(group, |state| state.interest.note_use(now));
        self.attention.add(group);
    }

    /// Notes that a caller's request waits for word of a group's primary.
    pub(crate) fn note_awaited(&self, group: &GroupName) {
        let now = self.now();
        self.with_group(group, |state| state.interest.note_awaited(now));
        self.attention.add(group);
    }

    /// Notes that a peer relies on what this node, which holds connections to it, knows of a
    /// primary, or finds out who leads.
    pub(crate) fn note_relied_on(&self, group: &GroupName) {
        let now = self.now();
        self.with_group(group, |state| state.interest.note_relied_on(now));
        self.attention.add(group);
    }

    /// Notes that a peer runs a statement on a connection of this node's to a database. One that
    /// does not lead tells nothing of the primary.
    pub(crate) fn note_lent(&self, name: &DatabaseName) {
        let Some(database) = self.database(name) else {
            return;
        };
        let leader = self.leader(&database.group);
        if leader.is_none_or(|leader| leader == *name) {
            self.note_relied_on(&database.group);
        }
    }

    /// Looks after a group whose primary may have to be replaced.
    pub(crate) fn look_after(&self, group: &GroupName) {
        self.attention.add(group);
    }

    /// Drops the groups that nothing here needs any more. What was only known by looking,
    /// that a primary does not answer or is not known, is forgotten with them: it may have
    /// changed by the time that the group is needed again.
    pub(crate) fn drop_unneeded_groups(&self) {
        let now = self.now();
        let coordinates = self.coordinator_revision().is_some();
        let mut attended = self.attention.groups.borrow_mut();
        let mut groups = self.groups.borrow_mut();
        attended.retain(|group| {
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
    !state.interest.is_over(now) || state.being_replaced || (coordinates && needs_primary)
}
