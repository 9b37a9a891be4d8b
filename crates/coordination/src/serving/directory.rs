//! The databases as they register themselves, with the time each was last listed.
//!
//! An entry that is missing from a complete listing proves that the database left only
//! if the listing was stable, so absence is remembered with its time and the caller
//! decides how long a missing database is still used.
//!
//! The store may come back from an older copy of itself, and lists again what was over: a
//! registration from before an announced end, of a database that left, or of an earlier life.
//! What was known of these holds on until the database itself writes anew.
//!
//! A database that starts again may keep its name. It then holds and knows nothing of
//! before: see [`database_life`](super::database_life).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, StoreEra, StoreRevision, Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

use super::database_life::{DatabaseStart, Tombstones};
use super::departure::{ABSENCE_PROVES, Departure, Hearing, Sign};

/// Time within which an entry lapses that a store brought back with a copy, if its database does
/// not live: three heartbeats, and the passing on of the news.
pub const COPY_LAPSES: Duration = Duration::from_secs(6);

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
    /// Revision of the registration, or of its end.
    pub revision: StoreRevision,
    /// Revision of the registration itself.
    registered_at: StoreRevision,
    /// Its leaving: it has announced its end, or its entry is missing.
    pub departure: Option<Departure>,
    /// Era of the store in which that was told.
    departed_in: StoreEra,
    /// Whether its entry is missing from the store.
    pub missing: bool,
    /// When its entry, which had gone, was listed again by a store that came back from a copy.
    relisted_at: Option<Timestamp>,
    /// When this node learnt of its present life.
    pub life_since: Timestamp,
    /// Start of the life before, if there was one that this node knew of.
    ended: Option<Option<DatabaseStart>>,
}

impl Listed {
    /// Whether what the database said to a question of `asked_at` is of its present life for
    /// certain: an earlier one had ended before anybody could learn of the present one.
    pub fn is_of_this_life(&self, asked_at: Timestamp) -> bool {
        asked_at > self.life_since
    }

    /// Whether a registration tells of a life that had ended before its era of the store.
    fn has_ended(&self, started: Option<DatabaseStart>, told_at: StoreRevision) -> bool {
        let is_later = told_at.era() > self.revision.era();
        is_later && self.ended == Some(started) && started != self.database.started
    }

    /// Whether a registration is the one that had gone, which a store brought back with a copy.
    fn had_gone(&self, told_at: StoreRevision) -> bool {
        self.missing && told_at.may_be_copy_of(self.registered_at)
    }

    /// The announcement of the database's end that a registration of the same life told at
    /// `revision` does not take back.
    fn lasting_announcement(&self, draining: bool, revision: StoreRevision) -> Option<Departure> {
        let announced = self
            .departure
            .filter(|known| known.sign() == Sign::Announced);
        let lost = self.departed_in < revision.era();
        announced.filter(|_| draining || lost)
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
        if let Some(listed) = self.databases.get_mut(&database.name) {
            if listed.had_gone(revision) {
                listed.relisted_at.get_or_insert(hearing.at);
                listed.revision = revision;
                return Registration::Outdated;
            }
            if listed.has_ended(database.started, revision) {
                listed.revision = revision;
                return Registration::Outdated;
            }
        }
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
        let lasting =
            same_life.and_then(|listed| listed.lasting_announcement(database.draining, revision));
        let announced = || Departure::heard(Sign::Announced, hearing);
        let departure = lasting.or_else(|| database.draining.then(announced));
        let departed_in = match same_life.filter(|_| lasting.is_some()) {
            Some(listed) => listed.departed_in,
            None => revision.era(),
        };
        let life_since = same_life.map_or(hearing.at, |listed| listed.life_since);
        let ended = match before {
            Some(listed) if is_new_life => Some(listed.database.started),
            Some(listed) => listed.ended,
            None => None,
        };
        self.tombstones.remove(&database.name);
        let listed = Listed {
            database: Database {
                draining: departure.is_some(),
                ..database
            },
            revision,
            registered_at: revision,
            departure,
            departed_in,
            missing: false,
            relisted_at: None,
            life_since,
            ended,
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
            listed.relisted_at = None;
            self.leaving.insert(name.clone());
            if listed.departure.is_none() {
                listed.departure = Some(Departure::heard(Sign::Missing, hearing));
                listed.departed_in = revision.era();
            }
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

    /// Takes databases for present whose entries came back with a copy of the store and have not
    /// lapsed since.
    pub fn note_lasting(&mut self, now: Timestamp) {
        let lasts = |listed: &&Listed| {
            let since = listed.relisted_at;
            since.is_some_and(|since| now.since(since) >= COPY_LAPSES)
        };
        let lasting: Vec<DatabaseName> = self
            .leaving()
            .filter(lasts)
            .map(|listed| listed.database.name.clone())
            .collect();
        for name in lasting {
            if let Some(listed) = self.databases.get_mut(&name) {
                listed.relisted_at = None;
                listed.missing = false;
                listed.departure = listed
                    .departure
                    .filter(|known| known.sign() == Sign::Announced);
                if listed.departure.is_none() {
                    self.leaving.remove(&name);
                }
            }
        }
    }

    /// Forgets databases that have been missing since before `before`; tells which.
    pub fn forget_missing(&mut self, before: Timestamp) -> Vec<DatabaseName> {
        let heard_before = |departure: Departure| departure.heard_at() <= before;
        let forgotten: Vec<DatabaseName> = self
            .leaving()
            .filter(|listed| listed.missing && listed.relisted_at.is_none())
            .filter(|listed| listed.departure.is_some_and(heard_before))
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
