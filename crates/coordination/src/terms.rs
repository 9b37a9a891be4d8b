//! Each group's state as observed by this node: roles, terms and positions of its
//! databases.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{DatabaseName, GroupName, Lsn, Position, Term, Timestamp};

use crate::status::{BackendStatus, Role};

/// Samples of a primary's position kept per group to estimate the lag of replicas.
const PRIMARY_SAMPLES: usize = 256;
/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Network distance of a database from this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Proximity {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    #[default]
    Remote,
}

/// A database of a group as configured by the bundle, relative to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMember {
    /// Name of the database.
    pub name: DatabaseName,
    /// Network distance from this node.
    pub proximity: Proximity,
    /// Whether the database is draining and gets no new work.
    pub draining: bool,
}

/// Observed state of one database.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatabaseView {
    /// Name of the database.
    pub name: DatabaseName,
    /// Network distance from this node.
    pub proximity: Proximity,
    /// Last known role; `None` before the first observation.
    pub role: Option<Role>,
    /// Last known term and position.
    pub position: Position,
    /// When the database last answered.
    pub observed_at: Timestamp,
    /// Whether the database answered the last time it was asked.
    pub reachable: bool,
    /// Whether the database is draining and gets no new work.
    pub draining: bool,
    /// Requests of this node that run on the database or wait for it.
    pub load: u32,
    /// Replay delay behind the primary, as last estimated.
    pub lag: Duration,
    /// On a primary: position of a commit that has waited too long for a majority. No
    /// further writes are routed here until a majority has flushed it.
    pub unconfirmed: Option<Lsn>,
}

/// Observed state of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Databases of the group, ordered by name.
    pub databases: Vec<DatabaseView>,
    /// Highest term ever observed in the group.
    pub highest_term: Term,
    /// Where the bundle routes the group's reads.
    pub reads: ReadPreference,
    /// Positions at which the primary of the highest term was observed, with the time of
    /// each observation, oldest first.
    samples: VecDeque<(Timestamp, Lsn)>,
}

impl GroupView {
    /// Returns the primary of the highest known term, if it has been observed.
    pub fn primary(&self) -> Option<&DatabaseView> {
        self.databases.iter().find(|database| {
            database.role == Some(Role::Primary) && database.position.term == self.highest_term
        })
    }

    /// Returns the database called `name`.
    pub fn database(&self, name: &DatabaseName) -> Option<&DatabaseView> {
        self.databases
            .iter()
            .find(|database| &database.name == name)
    }

    /// Returns whether `database` is expected to have replayed `required` by `now`: it
    /// was observed there, or its lag has elapsed since the primary was observed there.
    /// This only guides routing; the check on the connection is authoritative.
    pub fn expects_fresh(
        &self,
        now: Timestamp,
        database: &DatabaseView,
        required: Position,
    ) -> bool {
        if database.position.includes(required) {
            return true;
        }
        if database.position.term < required.term {
            return false;
        }
        self.reached_at(required.lsn)
            .is_some_and(|reached| now >= reached + database.lag)
    }

    /// Returns when the primary was first observed at `lsn` or beyond it.
    fn reached_at(&self, lsn: Lsn) -> Option<Timestamp> {
        let index = self.samples.partition_point(|(_, sample)| *sample < lsn);
        self.samples.get(index).map(|(at, _)| *at)
    }

    /// Returns the lower and upper bound of the lag of a replica at `lsn`. The lag is at
    /// least the age of the first sample beyond `lsn` and at most the age of the first
    /// sample at or beyond it.
    fn lag_bounds(&self, now: Timestamp, lsn: Lsn) -> (Duration, Duration) {
        let first_beyond = self.samples.partition_point(|(_, sample)| *sample <= lsn);
        let least = self.samples.get(first_beyond).map(|(at, _)| now.since(*at));
        let most = self.reached_at(lsn).map(|at| now.since(at));
        let least = least.unwrap_or(Duration::ZERO);
        (least, most.unwrap_or(Duration::MAX).max(least))
    }

    /// Counts the members of the group, including the primary, that have flushed
    /// `target` according to a primary's status. Standbys that are not in the bundle
    /// have no vote and are not counted.
    pub fn holders(&self, status: &BackendStatus, target: Lsn) -> usize {
        let own = usize::from(status.position >= target);
        let flushed = |name: &DatabaseName| {
            status
                .flushed
                .iter()
                .any(|replica| replica.name == name.as_str() && replica.position >= target)
        };
        let replicas = self.databases.iter().filter(|member| flushed(&member.name));
        own + replicas.count()
    }

    fn raise_term(&mut self, term: Term) {
        if term > self.highest_term {
            self.highest_term = term;
            self.samples.clear();
        }
    }

    /// Applies a status answer. Returns false if it is ignored: the database is not in
    /// the group, or the answer is of an older term than the one already known of the
    /// database.
    fn apply_status(
        &mut self,
        now: Timestamp,
        name: &DatabaseName,
        status: &BackendStatus,
    ) -> bool {
        self.raise_term(status.term);
        if status.role == Role::Primary && status.term == self.highest_term {
            self.sample_primary(now, status.position);
        }
        let (least, most) = self.lag_bounds(now, status.position);
        let majority = self.majority();
        let has_majority = |target| self.holders(status, target) >= majority;
        let confirmed = self
            .database(name)
            .and_then(|entry| entry.unconfirmed)
            .is_some_and(has_majority);
        let Some(entry) = self.databases.iter_mut().find(|entry| &entry.name == name) else {
            return false;
        };
        if status.term < entry.position.term {
            return false;
        }
        let same_term = status.term == entry.position.term;
        let floor = if same_term {
            entry.position.lsn
        } else {
            Lsn(0)
        };
        entry.position = Position {
            term: status.term,
            lsn: status.position.max(floor),
        };
        if confirmed || !same_term || status.role == Role::Replica {
            entry.unconfirmed = None;
        }
        entry.role = Some(status.role);
        entry.observed_at = now;
        entry.reachable = true;
        if status.role == Role::Replica {
            entry.lag = entry.lag.clamp(least, most);
        }
        true
    }

    fn sample_primary(&mut self, now: Timestamp, lsn: Lsn) {
        if let Some((at, last)) = self.samples.back()
            && (lsn <= *last || now.since(*at) < SAMPLE_INTERVAL)
        {
            return;
        }
        if self.samples.len() == PRIMARY_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, lsn));
    }

    /// Returns the number of databases that form a majority.
    pub fn majority(&self) -> usize {
        self.databases.len() / 2 + 1
    }
}

/// A change of a group's highest term or primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeadershipChange {
    /// Group whose term or primary changed.
    pub group: GroupName,
    /// New highest term of the group.
    pub term: Term,
    /// Primary of that term; `None` until it has been observed.
    pub primary: Option<DatabaseName>,
}

/// Views of all groups that a node serves. Observations of an older term never replace
/// those of a newer one.
#[derive(Clone, Debug, Default)]
pub struct TermTable {
    groups: BTreeMap<GroupName, GroupView>,
}

impl TermTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view of `group`.
    pub fn view(&self, group: &GroupName) -> Option<&GroupView> {
        self.groups.get(group)
    }

    /// Configures a group from a bundle: adds new databases, removes missing ones and
    /// replaces proximity and draining marks. Observations are kept.
    pub fn configure(
        &mut self,
        group: &GroupName,
        reads: ReadPreference,
        members: impl IntoIterator<Item = GroupMember>,
    ) {
        let view = self.groups.entry(group.clone()).or_default();
        view.reads = reads;
        let mut known: BTreeMap<DatabaseName, DatabaseView> = view
            .databases
            .drain(..)
            .map(|database| (database.name.clone(), database))
            .collect();
        for member in members {
            let mut database = known.remove(&member.name).unwrap_or_else(|| DatabaseView {
                name: member.name,
                reachable: true,
                ..DatabaseView::default()
            });
            database.proximity = member.proximity;
            database.draining = member.draining;
            view.databases.push(database);
        }
        view.databases.sort_by(|a, b| a.name.cmp(&b.name));
    }

    /// Removes a group that is no longer in the bundle.
    pub fn remove(&mut self, group: &GroupName) {
        self.groups.remove(group);
    }

    /// Returns the names of the groups in the table.
    pub fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.groups.keys()
    }

    /// Applies a status answer of `database`. Answers of an older term than the one
    /// already known of the database are dropped.
    pub fn apply_status(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        database: &DatabaseName,
        status: &BackendStatus,
    ) -> Option<LeadershipChange> {
        let view = self.groups.get_mut(group)?;
        let before = view.primary().map(|primary| primary.name.clone());
        let term_before = view.highest_term;
        if !view.apply_status(now, database, status) {
            return None;
        }
        let primary = view.primary().map(|primary| primary.name.clone());
        let changed = view.highest_term != term_before || primary != before;
        changed.then(|| LeadershipChange {
            group: group.clone(),
            term: view.highest_term,
            primary,
        })
    }

    /// Raises the highest known term of `group`, as reported by an authentic token or by
    /// another node. Returns whether the term was raised.
    pub fn raise_term(&mut self, group: &GroupName, term: Term) -> bool {
        match self.groups.get_mut(group) {
            Some(view) if view.highest_term < term => {
                view.raise_term(term);
                true
            }
            _ => false,
        }
    }

    /// Stops routing writes to `database`, whose commit at `position` waits for a
    /// majority, until a status shows that a majority has flushed it.
    pub fn mark_unconfirmed(
        &mut self,
        group: &GroupName,
        database: &DatabaseName,
        position: Position,
    ) {
        if let Some(entry) = self.entry(group, database)
            && entry.position.term == position.term
        {
            entry.unconfirmed = Some(position.lsn);
        }
    }

    /// Marks `database` as unreachable.
    pub fn mark_unreachable(&mut self, group: &GroupName, database: &DatabaseName) {
        if let Some(entry) = self.entry(group, database) {
            entry.reachable = false;
        }
    }

    /// Sets the number of this node's requests that run on `database` or wait for it.
    pub fn set_load(&mut self, group: &GroupName, database: &DatabaseName, load: u32) {
        if let Some(entry) = self.entry(group, database) {
            entry.load = load;
        }
    }

    fn entry(&mut self, group: &GroupName, name: &DatabaseName) -> Option<&mut DatabaseView> {
        let view = self.groups.get_mut(group)?;
        view.databases
            .iter_mut()
            .find(|candidate| &candidate.name == name)
    }
}
