//! Withholds writes and commits of synchronous groups while a promotion may take effect: see
//! [`hookpoint_coordination::serving::withheld_commits`].
//!
//! A node that may not know the newest announcement cannot tell which commits to withhold, so in a
//! synchronous group writes also need this node's primary lease.

use hookpoint_coordination::serving::leadership::Confirmation;
use hookpoint_coordination::serving::topology::Configuration;
use hookpoint_coordination::serving::withheld_commits::WithheldCommits;
use hookpoint_state::{DatabaseName, GroupName, Term, Timestamp};
use serde_json::Value;

use crate::node::{GroupState, Node};
use crate::primary_lease::Announcement;

impl GroupState {
    /// Records that `name` proved that it leads: its term, and whether it leads by the announced
    /// promotion.
    pub(crate) fn note_proof_for_promotion(&mut self, name: &DatabaseName, proof: &Confirmation) {
        if let Some(position) = proof.position {
            self.newest_term = self.newest_term.max(position.term);
        }
        let is_candidate = self
            .promoting
            .as_ref()
            .is_some_and(|(candidate, since)| candidate == name && proof.asked_at > *since);
        if is_candidate {
            self.took_effect = self.announced;
        }
    }

    /// Returns whether the announced promotion may still have to take effect.
    pub(crate) fn promotion_is_pending(&self) -> bool {
        self.withheld.are_pending(self.newest_term)
    }

    /// Returns whether a write at `database` would be withheld.
    fn withholds_writes_at(&self, database: &DatabaseName) -> bool {
        if !self.promotion_is_pending() {
            return false;
        }
        let is_candidate = self
            .promoting
            .as_ref()
            .is_some_and(|(candidate, _)| candidate == database);
        !is_candidate || self.withheld == WithheldCommits::All
    }
}

impl Node {
    /// Returns the number of replicas that have to hold a commit of `group` before it is
    /// acknowledged; 0 if the group is not configured.
    pub(crate) fn sync_replicas(&self, group: &GroupName) -> u32 {
        self.configuration()
            .and_then(|configuration| configuration.groups.get(group).cloned())
            .map_or(0, |group| group.sync_replicas)
    }

    /// Returns whether commits of `group` are acknowledged only once a replica holds them.
    pub(crate) fn is_synchronous(&self, group: &GroupName) -> bool {
        self.has_synchronous_groups.get() && self.sync_replicas(group) > 0
    }

    /// Records whether a configuration has synchronous groups. A group that was synchronous may
    /// still have a promotion that withholds commits.
    pub(crate) fn note_synchronous_groups(&self, configuration: &Configuration) {
        let mut groups = configuration.groups.values();
        if groups.any(|group| group.sync_replicas > 0) {
            self.has_synchronous_groups.set(true);
            self.lease_due.notify_one();
        }
    }

    /// Returns whether this node needs a lease on the use of primaries.
    pub(crate) fn needs_primary_lease(&self) -> bool {
        !self.changeable().fenced_promotions || self.has_synchronous_groups.get()
    }

    /// Records an announcement that this node has just learnt of.
    pub(crate) fn note_withheld_commits(&self, announcement: &Announcement) {
        let withheld = match announcement.withheld {
            WithheldCommits::None => return,
            WithheldCommits::UpTo(term) => Value::from(term.0),
            WithheldCommits::All => Value::from("all"),
        };
        self.has_synchronous_groups.set(true);
        self.log(
            "commits_withheld",
            &[
                ("group", announcement.group.as_str().into()),
                ("candidate", announcement.candidate.as_str().into()),
                ("token", u64::from(announcement.token).into()),
                ("up_to_term", withheld),
            ],
        );
    }

    /// Returns whether a write to a database of `group` must not be sent now, because its commit
    /// would not be acknowledged.
    pub(crate) fn withholds_writes(&self, group: &GroupName, database: &DatabaseName) -> bool {
        if !self.has_synchronous_groups.get() {
            return false;
        }
        self.lacks_lease(group)
            || self.with_group(group, |state| state.withholds_writes_at(database))
    }

    /// Returns whether a commit of `group` that a database answered must not be acknowledged.
    /// `term` is the term of the position in the answer.
    pub(crate) fn withholds_commit(&self, group: &GroupName, term: Option<Term>) -> bool {
        if !self.has_synchronous_groups.get() {
            return false;
        }
        let is_withheld = self.with_group(group, |state| {
            state.closed_up_to >= state.announced && state.withheld.include(term)
        });
        is_withheld || self.lacks_lease(group)
    }

    fn lacks_lease(&self, group: &GroupName) -> bool {
        self.is_synchronous(group) && !self.holds_primary_lease()
    }

    /// Returns whether a database has proved that it leads since its promotion was announced, and
    /// no later promotion was announced.
    pub(crate) fn leads_by_announced_promotion(
        &self,
        group: &GroupName,
        database: &DatabaseName,
    ) -> bool {
        self.with_group(group, |state| {
            let candidate = state.promoting.as_ref().map(|(candidate, _)| candidate);
            candidate == Some(database)
                && state.took_effect.is_some()
                && state.took_effect == state.announced
        })
    }

    /// Returns since when a pending promotion has withheld writes at `database`; `None` if none
    /// does.
    pub(crate) fn writes_withheld_at_since(
        &self,
        group: &GroupName,
        database: &DatabaseName,
    ) -> Option<Timestamp> {
        if !self.has_synchronous_groups.get() {
            return None;
        }
        self.with_group(group, |state| {
            let (_, since) = state.promoting.as_ref()?;
            state.withholds_writes_at(database).then_some(*since)
        })
    }

    /// Returns since when a promotion of `group` has been pending, so that writes are withheld;
    /// `None` if none is.
    pub(crate) fn promotion_pending_since(&self, group: &GroupName) -> Option<Timestamp> {
        if !self.has_synchronous_groups.get() {
            return None;
        }
        self.with_group(group, |state| {
            let (_, since) = state.promoting.as_ref()?;
            state.promotion_is_pending().then_some(*since)
        })
    }

    /// Returns since when this node has not been allowed to write to `group` for lack of a lease on
    /// primaries; `None` if it is allowed to or never had a lease.
    pub(crate) fn write_lease_lapsed_since(&self, group: &GroupName) -> Option<Timestamp> {
        let lapsed_since = self.primary_lease.borrow().lapsed_since(self.now())?;
        let needed = !self.changeable().fenced_promotions || self.is_synchronous(group);
        needed.then_some(lapsed_since)
    }
}
