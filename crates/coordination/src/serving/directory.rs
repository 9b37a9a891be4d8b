//! The databases as they register themselves, with the time each was last listed.
//!
//! An entry that is missing from a complete listing proves that the database left only
//! if the listing was stable, so absence is remembered with its time and the caller
//! decides how long a missing database is still used.
//!
//! A database that starts again may keep its name. It then holds and knows nothing of
//! before: see [`database_life`](super::database_life).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, StoreRevision, Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

use super::database_life::{DatabaseStart, Tombstones};
use super::departure::{ABSENCE_PROVES, Departure, Hearing, Sign};

/// Role that a database states for itself. It may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatedRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// One database as registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// Its own name, unique in the fleet.
    pub name: DatabaseName,
    /// The group it belongs to.
    pub group: GroupName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Statements that it works on at once.
    pub slots: usize,
    /// Whether it has announced its end.
    pub draining: bool,
    /// Role as it states it.
    pub role: StatedRole,
    /// Start of its present life; none if it does not tell.
    pub started: Option<DatabaseStart>,
    /// How much longer it is cold, from when it wrote this.
    pub cold_for: Duration,
}

/// A registered database with what is known of its leaving.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The registration.
    pub database: Database,
    /// Revision of the registration.
    pub revision: StoreRevision,
    /// Its leaving: it has announced its end, or its entry is missing.
    pub departure: Option<Departure>,
    /// Whether its entry is missing from the store.
    pub missing: bool,
    /// When this node learnt of its present life.
    pub life_since: Timestamp,
}

impl Listed {
    /// Whether what the database said to a question of `asked_at` is of its present life for
    /// certain: an earlier one had ended before anybody could learn of the present one.
    pub fn is_of_this_life(&self, asked_at: Timestamp) -> bool {
        asked_at > self.life_since
    }

    /// Whether the database is leaving for certain.
    ///
    /// It is if it says so. If its entry is missing, the store has to have been followed
    /// without a gap since `steady_since` for long enough, and the entry to have been
    /// missing all the while.
    pub fn is_leaving(&self, steady_since: Timestamp, now: Timestamp) -> bool {
        match self.departure {
            None => false,
            Some(_) if !self.missing => true,
            Some(departure) => {
                let absent_since = departure.heard_at().max(steady_since);
                now.since(absent_since) >= ABSENCE_PROVES
            }
        }
    }
}

/// All databases known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    databases: BTreeMap<DatabaseName, Listed>,
    /// Names of the databases of each group, so that a request touches only its own group's.
    by_group: BTreeMap<GroupName, BTreeSet<DatabaseName>>,
    /// Those that are leaving, so that a look at these does not touch all others.
    leaving: BTreeSet<DatabaseName>,
    /// Those that were forgotten, so that a late word of one does not bring it back.
    tombstones: Tombstones,
}

/// What a registration was to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// Older than what is known, and passed over.
    Outdated,
    /// The first of a database, or news of the life that was known.
    Taken,
    /// That of another life: what was learnt of the one before holds no more.
    NewLife,
}

impl Directory {
    /// Takes one registration; an older revision than the one held is passed over, so it
    /// brings no earlier life back.
    pub fn put(
        &mut self,
        database: Database,
        revision: StoreRevision,
        hearing: Hearing,
    ) -> Registration {
        let before = self.databases.get(&database.name);
        let known = match before {
            Some(listed) => Some((listed.revision, listed.database.started)),
            None => self.tombstones.get(&database.name),
        };
        if known.is_some_and(|(known_revision, _)| known_revision > revision) {
            return Registration::Outdated;
        }
        let is_new_life = known.is_some_and(|(_, started)| started != database.started);
        let same_life = before.filter(|_| !is_new_life);
        let known_departure = same_life
            .and_then(|listed| listed.departure)
            .filter(|departure| departure.sign() == Sign::Announced);
        let announced = || Departure::heard(Sign::Announced, hearing);
        let departure = database
            .draining
            .then(|| known_departure.unwrap_or_else(announced));
        let life_since = same_life.map_or(hearing.at, |listed| listed.life_since);
        self.tombstones.remove(&database.name);
        let listed = Listed {
            database,
            revision,
            departure,
            missing: false,
            life_since,
        };
        self.insert(listed);
        if is_new_life {
            Registration::NewLife
        } else {
            Registration::Taken
        }
    }

    fn insert(&mut self, listed: Listed) {
        let name = listed.database.name.clone();
        let group = listed.database.group.clone();
        if listed.departure.is_some() {
            self.leaving.insert(name.clone());
        } else {
            self.leaving.remove(&name);
        }
        let before = self.databases.insert(name.clone(), listed);
        if let Some(before) = before.filter(|before| before.database.group != group) {
            self.leave_group(&before.database);
        }
        self.by_group.entry(group).or_default().insert(name);
    }

    fn leave_group(&mut self, database: &Database) {
        if let Some(names) = self.by_group.get_mut(&database.group) {
            names.remove(&database.name);
            if names.is_empty() {
                self.by_group.remove(&database.group);
            }
        }
    }

    /// Notes that the entry of `name` is gone as of `revision`.
    pub fn remove(&mut self, name: &DatabaseName, revision: StoreRevision, hearing: Hearing) {
        if let Some(listed) = self.databases.get_mut(name)
            && listed.revision <= revision
        {
            listed.revision = revision;
            listed.missing = true;
            self.leaving.insert(name.clone());
            let missing = || Departure::heard(Sign::Missing, hearing);
            listed.departure.get_or_insert_with(missing);
        }
    }

    /// Takes in that another node knows when a database of a life announced its end, or that it
    /// was no earlier than `not_before`.
    pub fn learn_departure(
        &mut self,
        name: &DatabaseName,
        started: Option<DatabaseStart>,
        not_before: Timestamp,
    ) {
        let listed = self.databases.get_mut(name);
        let same_life = listed.filter(|listed| listed.database.started == started);
        let departure = same_life.and_then(|listed| listed.departure.as_mut());
        if let Some(departure) = departure.filter(|known| known.sign() == Sign::Announced) {
            departure.learn(not_before);
        }
    }

    /// The databases that a complete listing of `present` ones lacks.
    pub fn lacking(&self, present: &BTreeSet<DatabaseName>) -> Vec<DatabaseName> {
        let names = self.databases.keys();
        names
            .filter(|name| !present.contains(name))
            .cloned()
            .collect()
    }

    /// Forgets databases that have been missing since before `before`; tells which.
    pub fn forget_missing(&mut self, before: Timestamp) -> Vec<DatabaseName> {
        let heard_before = |departure: Departure| departure.heard_at() <= before;
        let forgotten: Vec<DatabaseName> = self
            .leaving()
            .filter(|listed| listed.missing && listed.departure.is_some_and(heard_before))
            .map(|listed| listed.database.name.clone())
            .collect();
        for name in &forgotten {
            self.leaving.remove(name);
            if let Some(listed) = self.databases.remove(name) {
                self.tombstones
                    .put(name, listed.revision, listed.database.started);
                self.leave_group(&listed.database);
            }
        }
        forgotten
    }

    /// One database.
    pub fn get(&self, name: &DatabaseName) -> Option<&Listed> {
        self.databases.get(name)
    }

    /// The databases of a group, by name.
    pub fn of_group<'a>(&'a self, group: &GroupName) -> impl Iterator<Item = &'a Listed> {
        let names = self.by_group.get(group).into_iter().flatten();
        names.filter_map(|name| self.databases.get(name))
    }

    /// The databases that are leaving, by name.
    pub fn leaving(&self) -> impl Iterator<Item = &Listed> {
        self.leaving
            .iter()
            .filter_map(|name| self.databases.get(name))
    }

    /// All databases, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Listed> {
        self.databases.values()
    }
}
