//! What a node knows of each group: roles, terms and positions of its databases.

use std::collections::BTreeMap;

use hookpoint_state::{DatabaseName, GroupName, Lsn, Position, Term, Timestamp, ZoneName};

use crate::status::{BackendStatus, Role};

/// What is known of one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabaseView {
    /// Name of the database.
    pub name: DatabaseName,
    /// Zone it stands in.
    pub zone: ZoneName,
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
}

/// What is known of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Its databases in the order of their names.
    pub databases: Vec<DatabaseView>,
    /// Highest term ever seen in the group.
    pub highest_term: Term,
}

impl GroupView {
    /// The primary of the highest known term, if one has been seen.
    pub fn primary(&self) -> Option<&DatabaseView> {
        self.databases.iter().find(|database| {
            database.role == Some(Role::Primary) && database.place.term == self.highest_term
        })
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

    /// Takes the members of a group from a bundle: new databases are added, missing
    /// ones removed, zones and draining marks replaced. Observations are kept.
    pub fn configure(
        &mut self,
        group: &GroupName,
        members: impl IntoIterator<Item = (DatabaseName, ZoneName, bool)>,
    ) {
        let view = self.groups.entry(group.clone()).or_default();
        let mut known: BTreeMap<DatabaseName, DatabaseView> = view
            .databases
            .drain(..)
            .map(|database| (database.name.clone(), database))
            .collect();
        for (name, zone, draining) in members {
            let mut database = known.remove(&name).unwrap_or_else(|| DatabaseView {
                name,
                zone: zone.clone(),
                role: None,
                place: Position::default(),
                observed_at: Timestamp::default(),
                reachable: true,
                draining,
                load: 0,
            });
            database.zone = zone;
            database.draining = draining;
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
        let entry = view
            .databases
            .iter_mut()
            .find(|candidate| &candidate.name == database)?;
        if status.term < entry.place.term {
            return None;
        }
        let advanced = status.term > entry.place.term;
        entry.role = Some(status.role);
        entry.place = Position {
            term: status.term,
            lsn: if advanced {
                status.position
            } else {
                status.position.max(entry.place.lsn)
            },
        };
        entry.observed_at = now;
        entry.reachable = true;
        view.highest_term = view.highest_term.max(status.term);
        let primary = view.primary().map(|primary| primary.name.clone());
        let changed = view.highest_term != term_before || primary != before;
        changed.then(|| LeadershipChange {
            group: group.clone(),
            term: view.highest_term,
            primary,
        })
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

impl Default for DatabaseView {
    fn default() -> Self {
        Self {
            name: DatabaseName::new(""),
            zone: ZoneName::new(""),
            role: None,
            place: Position {
                term: Term(0),
                lsn: Lsn(0),
            },
            observed_at: Timestamp::default(),
            reachable: true,
            draining: false,
            load: 0,
        }
    }
}
