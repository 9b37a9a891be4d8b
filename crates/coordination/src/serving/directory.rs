//! Registered databases, and the time at which each was last listed.
//!
//! An entry that is missing from a complete listing proves that the database left only if the
//! listing was stable. The time of its absence is therefore recorded, and the caller decides how
//! long a missing database is still used.
//!
//! A store that was restored from an older copy of itself may list outdated entries again: a
//! registration from before a database announced its departure, of a database that has left, or of
//! an earlier incarnation. What was known of these remains in force until the database itself
//! writes a new entry.
//!
//! A database that restarts may keep its name, but loses all of its state: see
//! [`database_incarnation`](super::database_incarnation).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, StoreEra, StoreRevision, Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

use super::database_incarnation::{DatabaseStart, Tombstones};
use super::departure::{ABSENCE_CONFIRMED_AFTER, Departure, DepartureEvidence, LearnedTimes};

/// Time within which an entry that was restored with a copy of the store expires if its database is
/// not running: three heartbeats plus the propagation of the change.
pub const RESTORED_ENTRY_EXPIRY: Duration = Duration::from_secs(6);

/// Role that a database reports for itself. It may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatedRole {
    /// It accepts writes.
    Primary,
    /// It replicates from a primary.
    Replica,
}

/// A database as registered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Database {
    /// Name of the database, unique in the fleet.
    pub name: DatabaseName,
    /// The replicated group that it belongs to.
    pub group: GroupName,
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Number of statements that it executes concurrently.
    pub slots: usize,
    /// Whether it has announced its departure.
    pub draining: bool,
    /// Role that it reports for itself.
    pub role: StatedRole,
    /// Start time of its current incarnation; `None` if it does not report one.
    pub started: Option<DatabaseStart>,
    /// For how much longer it is cold, counted from when it wrote the registration.
    pub cold_for: Duration,
}

/// A registered database, and what is known about its departure.
#[derive(Clone, Debug)]
pub struct DirectoryEntry {
    /// The registration.
    pub database: Database,
    /// Revision of the registration, or of its removal.
    pub revision: StoreRevision,
    /// Revision of the registration itself.
    registration_revision: StoreRevision,
    /// Set if the database has announced its departure or its entry is missing.
    pub departure: Option<Departure>,
    /// Era of the store in which the departure was reported.
    departure_era: StoreEra,
    /// Whether its entry is missing from the store.
    pub missing: bool,
    /// When a store restored from a copy listed its removed entry again.
    relisted_at: Option<Timestamp>,
    /// When this node learned of its current incarnation.
    pub incarnation_since: Timestamp,
    /// Start time of the previous incarnation, or `None` if this node knew no previous one. The
    /// inner value is `None` if that incarnation reported no start time.
    previous_start: Option<Option<DatabaseStart>>,
}

impl DirectoryEntry {
    /// Returns whether an answer to a query sent at `asked_at` certainly comes from the current
    /// incarnation: the previous one had ended before any node could learn of the current one.
    pub fn is_of_current_incarnation(&self, asked_at: Timestamp) -> bool {
        asked_at > self.incarnation_since
    }

    /// Returns whether a registration describes an incarnation that ended before its era of the
    /// store began.
    fn is_ended_incarnation(
        &self,
        started: Option<DatabaseStart>,
        revision: StoreRevision,
    ) -> bool {
        let is_later = revision.era() > self.revision.era();
        is_later && self.previous_start == Some(started) && started != self.database.started
    }

    /// Returns whether a registration is the removed one, restored with a copy of the store.
    fn is_restored_entry(&self, revision: StoreRevision) -> bool {
        self.missing && revision.may_be_copy_of(self.registration_revision)
    }

    /// Returns the announced departure if it remains in force after a registration of the same
    /// incarnation at `revision`.
    fn retained_announcement(&self, draining: bool, revision: StoreRevision) -> Option<Departure> {
        let announced = self
            .departure
            .filter(|known| known.evidence() == DepartureEvidence::Announced);
        let lost = self.departure_era < revision.era();
        announced.filter(|_| draining || lost)
    }

    /// Returns whether the database is certainly leaving.
    ///
    /// It is if it has announced its departure. If its entry is missing, the store must have been
    /// followed without a gap since `steady_since` for long enough, and the entry must have been
    /// missing throughout.
    pub fn is_leaving(&self, steady_since: Timestamp, now: Timestamp) -> bool {
        match self.departure {
            None => false,
            Some(_) if !self.missing => true,
            Some(departure) => {
                let absent_since = departure.learned_at().max(steady_since);
                now.since(absent_since) >= ABSENCE_CONFIRMED_AFTER
            }
        }
    }
}

/// All known databases.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    databases: BTreeMap<DatabaseName, DirectoryEntry>,
    /// Names of the databases of each group, so that a request only touches those of its own group.
    by_group: BTreeMap<GroupName, BTreeSet<DatabaseName>>,
    /// Databases that are leaving, so that iterating over them does not touch all others.
    leaving: BTreeSet<DatabaseName>,
    /// Databases that were removed, so that a late message does not bring one back.
    tombstones: Tombstones,
}

/// The effect of a registration on the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistrationOutcome {
    /// It was older than the known state and was ignored.
    Outdated,
    /// It was the first of its database, or an update of the known incarnation.
    Applied,
    /// It was of a different incarnation: what was known of the previous one no longer applies.
    NewIncarnation,
}

impl Directory {
    /// Applies a registration. A revision older than the known one is ignored, so it cannot restore
    /// an earlier incarnation.
    pub fn put(
        &mut self,
        database: Database,
        revision: StoreRevision,
        learned: LearnedTimes,
    ) -> RegistrationOutcome {
        if let Some(listed) = self.databases.get_mut(&database.name) {
            if listed.is_restored_entry(revision) {
                listed.relisted_at.get_or_insert(learned.at);
                listed.revision = revision;
                return RegistrationOutcome::Outdated;
            }
            if listed.is_ended_incarnation(database.started, revision) {
                listed.revision = revision;
                return RegistrationOutcome::Outdated;
            }
        }
        let before = self.databases.get(&database.name);
        let known = match before {
            Some(listed) => Some((listed.revision, listed.database.started)),
            None => self.tombstones.get(&database.name),
        };
        if known.is_some_and(|(known_revision, _)| known_revision > revision) {
            return RegistrationOutcome::Outdated;
        }
        let is_new_incarnation = known.is_some_and(|(_, started)| started != database.started);
        let same_incarnation = before.filter(|_| !is_new_incarnation);
        let retained = same_incarnation
            .and_then(|listed| listed.retained_announcement(database.draining, revision));
        let announced = || Departure::new(DepartureEvidence::Announced, learned);
        let departure = retained.or_else(|| database.draining.then(announced));
        let departure_era = match same_incarnation.filter(|_| retained.is_some()) {
            Some(listed) => listed.departure_era,
            None => revision.era(),
        };
        let incarnation_since =
            same_incarnation.map_or(learned.at, |listed| listed.incarnation_since);
        let previous_start = match before {
            Some(listed) if is_new_incarnation => Some(listed.database.started),
            Some(listed) => listed.previous_start,
            None => None,
        };
        self.tombstones.remove(&database.name);
        let listed = DirectoryEntry {
            database: Database {
                draining: departure.is_some(),
                ..database
            },
            revision,
            registration_revision: revision,
            departure,
            departure_era,
            missing: false,
            relisted_at: None,
            incarnation_since,
            previous_start,
        };
        self.insert(listed);
        if is_new_incarnation {
            RegistrationOutcome::NewIncarnation
        } else {
            RegistrationOutcome::Applied
        }
    }

    fn insert(&mut self, listed: DirectoryEntry) {
        let name = listed.database.name.clone();
        let group = listed.database.group.clone();
        if listed.departure.is_some() {
            self.leaving.insert(name.clone());
        } else {
            self.leaving.remove(&name);
        }
        let before = self.databases.insert(name.clone(), listed);
        if let Some(before) = before.filter(|before| before.database.group != group) {
            self.remove_from_group(&before.database);
        }
        self.by_group.entry(group).or_default().insert(name);
    }

    fn remove_from_group(&mut self, database: &Database) {
        if let Some(names) = self.by_group.get_mut(&database.group) {
            names.remove(&database.name);
            if names.is_empty() {
                self.by_group.remove(&database.group);
            }
        }
    }

    /// Records that the entry of `name` was removed as of `revision`.
    pub fn remove(&mut self, name: &DatabaseName, revision: StoreRevision, learned: LearnedTimes) {
        if let Some(listed) = self.databases.get_mut(name)
            && listed.revision <= revision
        {
            listed.revision = revision;
            listed.missing = true;
            listed.relisted_at = None;
            self.leaving.insert(name.clone());
            if listed.departure.is_none() {
                listed.departure = Some(Departure::new(DepartureEvidence::Missing, learned));
                listed.departure_era = revision.era();
            }
        }
    }

    /// Applies another node's knowledge that an incarnation of a database announced its departure
    /// no earlier than `not_before`.
    pub fn apply_departure_bound(
        &mut self,
        name: &DatabaseName,
        started: Option<DatabaseStart>,
        not_before: Timestamp,
    ) {
        let listed = self.databases.get_mut(name);
        let same_incarnation = listed.filter(|listed| listed.database.started == started);
        let departure = same_incarnation.and_then(|listed| listed.departure.as_mut());
        if let Some(departure) =
            departure.filter(|known| known.evidence() == DepartureEvidence::Announced)
        {
            departure.raise_lower_bound(not_before);
        }
    }

    /// Returns the known databases that are absent from a complete listing, `present`.
    pub fn absent_from(&self, present: &BTreeSet<DatabaseName>) -> Vec<DatabaseName> {
        let names = self.databases.keys();
        names
            .filter(|name| !present.contains(name))
            .cloned()
            .collect()
    }

    /// Marks databases as present whose entries were restored with a copy of the store and have not
    /// expired since.
    pub fn confirm_restored_entries(&mut self, now: Timestamp) {
        let has_lasted = |listed: &&DirectoryEntry| {
            let since = listed.relisted_at;
            since.is_some_and(|since| now.since(since) >= RESTORED_ENTRY_EXPIRY)
        };
        let confirmed: Vec<DatabaseName> = self
            .leaving()
            .filter(has_lasted)
            .map(|listed| listed.database.name.clone())
            .collect();
        for name in confirmed {
            if let Some(listed) = self.databases.get_mut(&name) {
                listed.relisted_at = None;
                listed.missing = false;
                listed.departure = listed
                    .departure
                    .filter(|known| known.evidence() == DepartureEvidence::Announced);
                if listed.departure.is_none() {
                    self.leaving.remove(&name);
                }
            }
        }
    }

    /// Removes the databases that have been missing since before `before`, and returns their names.
    pub fn forget_missing(&mut self, before: Timestamp) -> Vec<DatabaseName> {
        let learned_before = |departure: Departure| departure.learned_at() <= before;
        let forgotten: Vec<DatabaseName> = self
            .leaving()
            .filter(|listed| listed.missing && listed.relisted_at.is_none())
            .filter(|listed| listed.departure.is_some_and(learned_before))
            .map(|listed| listed.database.name.clone())
            .collect();
        for name in &forgotten {
            self.leaving.remove(name);
            if let Some(listed) = self.databases.remove(name) {
                self.tombstones
                    .put(name, listed.revision, listed.database.started);
                self.remove_from_group(&listed.database);
            }
        }
        forgotten
    }

    /// Returns a known database.
    pub fn get(&self, name: &DatabaseName) -> Option<&DirectoryEntry> {
        self.databases.get(name)
    }

    /// Returns the databases of a group, ordered by name.
    pub fn of_group<'a>(&'a self, group: &GroupName) -> impl Iterator<Item = &'a DirectoryEntry> {
        let names = self.by_group.get(group).into_iter().flatten();
        names.filter_map(|name| self.databases.get(name))
    }

    /// Returns the databases that are leaving, ordered by name.
    pub fn leaving(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.leaving
            .iter()
            .filter_map(|name| self.databases.get(name))
    }

    /// Returns all databases, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.databases.values()
    }
}
