//! The databases as they register themselves, with the time each was last listed.
//!
//! An entry that is missing from a complete listing proves that the database left only
//! if the listing was stable, so absence is remembered with its time and the caller
//! decides how long a missing database is still used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, Timestamp, ZoneName};
use serde::{Deserialize, Serialize};

/// Role that a database states for itself. It may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatedRole {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// When a database's process started, as the database tells it: Unix milliseconds.
///
/// It tells two lives of one name apart and is compared with nothing but itself; this
/// node's clocks know nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseStart(pub u64);

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
    /// Revision of the registration, in the store's counter.
    pub revision: u64,
    /// Since when it announces its end or has been missing.
    pub leaving_since: Option<Timestamp>,
    /// Whether its entry is missing from the store.
    pub missing: bool,
}

/// Absence in a steady store that proves that a database left: over two heartbeats, as
/// an entry that lapsed in an outage comes back with the next one.
const ABSENCE_PROVES: Duration = Duration::from_millis(3_500);

impl Listed {
    /// Whether the database is leaving for certain.
    ///
    /// It is if it says so. If its entry is missing, the store has to have been followed
    /// without a gap since `steady_since` for long enough, and the entry to have been
    /// missing all the while.
    pub fn is_leaving(&self, steady_since: Timestamp, now: Timestamp) -> bool {
        match self.leaving_since {
            None => false,
            Some(_) if !self.missing => true,
            Some(since) => now.since(since.max(steady_since)) >= ABSENCE_PROVES,
        }
    }
}

/// All databases known.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    databases: BTreeMap<DatabaseName, Listed>,
}

impl Directory {
    /// Takes one registration; an older revision than the one held is passed over.
    pub fn put(&mut self, database: Database, revision: u64, now: Timestamp) {
        let before = self.databases.get(&database.name);
        if before.is_some_and(|listed| listed.revision > revision) {
            return;
        }
        let leaving_since = match before.and_then(|listed| listed.leaving_since) {
            Some(since) if database.draining => Some(since),
            _ if database.draining => Some(now),
            _ => None,
        };
        let listed = Listed {
            database,
            revision,
            leaving_since,
            missing: false,
        };
        self.databases.insert(listed.database.name.clone(), listed);
    }

    /// Notes that the entry of `name` is gone as of `revision`.
    pub fn remove(&mut self, name: &DatabaseName, revision: u64, now: Timestamp) {
        if let Some(listed) = self.databases.get_mut(name)
            && listed.revision <= revision
        {
            listed.revision = revision;
            listed.missing = true;
            listed.leaving_since.get_or_insert(now);
        }
    }

    /// Takes a complete listing read at `revision`: what it lacks is missing.
    pub fn replace(&mut self, listing: Vec<(Database, u64)>, revision: u64, now: Timestamp) {
        let present: Vec<DatabaseName> = listing
            .iter()
            .map(|(database, _)| database.name.clone())
            .collect();
        for (database, entry_revision) in listing {
            self.put(database, entry_revision, now);
        }
        let absent: Vec<DatabaseName> = self
            .databases
            .keys()
            .filter(|name| !present.contains(name))
            .cloned()
            .collect();
        for name in absent {
            self.remove(&name, revision, now);
        }
    }

    /// Forgets databases that have been missing since before `before`.
    pub fn forget_missing(&mut self, before: Timestamp) {
        self.databases.retain(|_, listed| {
            !listed.missing || listed.leaving_since.is_none_or(|since| since > before)
        });
    }

    /// One database.
    pub fn get(&self, name: &DatabaseName) -> Option<&Listed> {
        self.databases.get(name)
    }

    /// The databases of a group, by name.
    pub fn of_group<'a>(&'a self, group: &'a GroupName) -> impl Iterator<Item = &'a Listed> {
        self.databases
            .values()
            .filter(move |listed| listed.database.group == *group)
    }

    /// All databases, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Listed> {
        self.databases.values()
    }
}
