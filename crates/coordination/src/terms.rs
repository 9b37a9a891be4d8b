//! What a node knows of each group: roles, terms and positions of its databases.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use hookpoint_state::bundle::ReadPreference;
use hookpoint_state::{DatabaseName, GroupName, Lsn, Position, Term, Timestamp};

use crate::status::{BackendStatus, Role};

/// Samples of a primary's position that a group keeps, to tell replicas' lag.
const PRIMARY_SAMPLES: usize = 256;
/// Shortest time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// How near a database is to this node.
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

/// A database of a group as the bundle names it, seen from this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the database.
    pub name: DatabaseName,
    /// How near it is.
    pub proximity: Proximity,
    /// Whether it gets no new work.
    pub draining: bool,
}

/// What is known of one database.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatabaseView {
    /// Name of the database.
    pub name: DatabaseName,
    /// How near it is.
    pub proximity: Proximity,
    /// Last known role, none before the first observation.
    pub role: Option<Role>,
    /// Last known place.
    pub place: Position,
    /// When it was last observed to answer.
    pub observed_at: Timestamp,
    /// Whether it answered last time.
    pub reachable: bool,
    /// Whether it gets no new work.
    pub draining: bool,
    /// Requests of this node that are on it or wait for it.
    pub load: u32,
    /// How far it replays behind its primary, as last measured.
    pub lag: Duration,
    /// On a primary: a commit that has waited long for a majority.
    pub unconfirmed: Option<Lsn>,
}

/// What is known of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Its databases in the order of their names.
    pub databases: Vec<DatabaseView>,
    /// Highest term ever seen in the group.
    pub highest_term: Term,
    /// Where the bundle sends its reads.
    pub reads: ReadPreference,
    /// When the primary of the highest term was seen at which position, oldest first.
    samples: VecDeque<(Timestamp, Lsn)>,
}

impl GroupView {
    /// The primary of the highest known term, if one has been seen.
    pub fn primary(&self) -> Option<&DatabaseView> {
        self.databases.iter().find(|database| {
            database.role == Some(Role::Primary) && database.place.term == self.highest_term
        })
    }

    /// The database called `name`.
    pub fn database(&self, name: &DatabaseName) -> Option<&DatabaseView> {
        self.databases
            .iter()
            .find(|database| &database.name == name)
    }

    /// Whether `database` is expected to have replayed `required` by `now`: it was
    /// seen there, or its lag has passed since the primary was seen there. This only
    /// guides the choice; the check on the connection decides.
    pub fn expects_fresh(
        &self,
        now: Timestamp,
        database: &DatabaseView,
        required: Position,
    ) -> bool {
        if database.place.covers(required) {
            return true;
        }
        if database.place.term < required.term {
            return false;
        }
        self.reached_at(required.lsn)
            .is_some_and(|reached| now >= reached + database.lag)
    }

    /// When the primary was first seen at `lsn` or beyond.
    fn reached_at(&self, lsn: Lsn) -> Option<Timestamp> {
        let index = self.samples.partition_point(|(_, sample)| *sample < lsn);
        self.samples.get(index).map(|(at, _)| *at)
    }

    /// Between which bounds the lag of a replica at `lsn` lies. It is at least the age
    /// of the first sample beyond `lsn` and at most the age of the first one there.
    fn lag_bounds(&self, now: Timestamp, lsn: Lsn) -> (Duration, Duration) {
        let beyond = self.samples.partition_point(|(_, sample)| *sample <= lsn);
        let least = self.samples.get(beyond).map(|(at, _)| now.since(*at));
        let most = self.reached_at(lsn).map(|at| now.since(at));
        let least = least.unwrap_or(Duration::ZERO);
        (least, most.unwrap_or(Duration::MAX).max(least))
    }

    /// Counts the members of the group, the primary included, that have flushed
    /// `target` by the status of a primary. Standbys that the bundle does not name have
    /// no vote, so they are no evidence.
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

    /// Takes a status answer. Returns false when it is of no use: the database is not
    /// in the group, or the answer is of an older term than already known of it.
    fn update(&mut self, now: Timestamp, name: &DatabaseName, status: &BackendStatus) -> bool {
        self.raise_term(status.term);
        if status.role == Role::Primary && status.term == self.highest_term {
            self.sample_primary(now, status.position);
        }
        let (least, most) = self.lag_bounds(now, status.position);
        let majority = self.majority();
        let held = |target| self.holders(status, target) >= majority;
        let settled = self
            .database(name)
            .and_then(|entry| entry.unconfirmed)
            .is_some_and(held);
        let Some(entry) = self.databases.iter_mut().find(|entry| &entry.name == name) else {
            return false;
        };
        if status.term < entry.place.term {
            return false;
        }
        let same_term = status.term == entry.place.term;
        let floor = if same_term { entry.place.lsn } else { Lsn(0) };
        entry.place = Position {
            term: status.term,
            lsn: status.position.max(floor),
        };
        if settled || !same_term || status.role == Role::Replica {
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

    /// How many databases make a majority.
    pub fn majority(&self) -> usize {
        self.databases.len() / 2 + 1
    }
}

/// An observation that changed a group's leadership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeadershipChange {
    /// Group concerned.
    pub group: GroupName,
    /// Its new highest term.
    pub term: Term,
    /// The primary of that term, once seen.
    pub primary: Option<DatabaseName>,
}

/// Views of all groups a node works with. An older term never replaces a newer one.
#[derive(Clone, Debug, Default)]
pub struct TermTable {
    groups: BTreeMap<GroupName, GroupView>,
}

impl TermTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The view of `group`.
    pub fn view(&self, group: &GroupName) -> Option<&GroupView> {
        self.groups.get(group)
    }

    /// Takes a group from a bundle: new databases are added, missing ones removed,
    /// proximity and draining marks replaced. Observations are kept.
    pub fn configure(
        &mut self,
        group: &GroupName,
        reads: ReadPreference,
        members: impl IntoIterator<Item = Member>,
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

    /// Forgets a group that a bundle no longer names.
    pub fn remove(&mut self, group: &GroupName) {
        self.groups.remove(group);
    }

    /// Names of the groups in the table.
    pub fn groups(&self) -> impl Iterator<Item = &GroupName> {
        self.groups.keys()
    }

    /// Takes a status answer of `database`. Statuses of an older term than already
    /// known of the same database are dropped.
    pub fn observe(
        &mut self,
        now: Timestamp,
        group: &GroupName,
        database: &DatabaseName,
        status: &BackendStatus,
    ) -> Option<LeadershipChange> {
        let view = self.groups.get_mut(group)?;
        let before = view.primary().map(|primary| primary.name.clone());
        let term_before = view.highest_term;
        if !view.update(now, database, status) {
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

    /// Raises the highest known term of `group`, as told by an authentic token or by
    /// another node. Returns whether it was news.
    pub fn learn_term(&mut self, group: &GroupName, term: Term) -> bool {
        match self.groups.get_mut(group) {
            Some(view) if view.highest_term < term => {
                view.raise_term(term);
                true
            }
            _ => false,
        }
    }

    /// Keeps further writes off `database`, whose commit at `position` waits for a
    /// majority, until a status shows that one has it.
    pub fn doubt(&mut self, group: &GroupName, database: &DatabaseName, position: Position) {
        if let Some(entry) = self.entry(group, database)
            && entry.place.term == position.term
        {
            entry.unconfirmed = Some(position.lsn);
        }
    }

    /// Marks `database` as not answering.
    pub fn unreachable(&mut self, group: &GroupName, database: &DatabaseName) {
        if let Some(entry) = self.entry(group, database) {
            entry.reachable = false;
        }
    }

    /// Sets the load this node puts on `database`.
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
