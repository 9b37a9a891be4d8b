//! Homes of all databases according to one node's view of the membership.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_state::{DatabaseName, NodeId, RegionName, ZoneName};

use super::candidates::{Candidates, Scope};
use super::score::{DatabaseKey, score};

/// A database that this node became, or ceased to be, the home of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomeChange {
    /// Database whose home this node became or ceased to be.
    pub database: DatabaseName,
    /// Whether this node is now the home of the database.
    pub is_home: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    key: DatabaseKey,
    zone: ZoneName,
    region: Option<RegionName>,
    scope: Scope,
    /// Home, and the generation of the scope for which it was computed. May be stale:
    /// read it through [`HomeTable::home_of`].
    home: Option<NodeId>,
    generation: u64,
}

/// Homes by database. Homes that may be this node are kept up to date. Other homes are
/// computed on demand and cached until their scope changes.
#[derive(Clone, Debug)]
pub struct HomeTable {
    own: NodeId,
    candidates: Candidates,
    databases: BTreeMap<DatabaseName, Entry>,
    by_zone: BTreeMap<ZoneName, BTreeSet<DatabaseName>>,
    /// Databases that this node is the home of.
    own_databases: BTreeSet<DatabaseName>,
}

fn highest_scoring(candidates: &Candidates, scope: &Scope, key: DatabaseKey) -> Option<NodeId> {
    candidates
        .nodes(scope)
        .max_by_key(|node| (score(key, *node), *node))
}

impl HomeTable {
    /// Creates a table for node `own`, without databases or candidates.
    pub fn new(own: NodeId) -> Self {
        Self {
            own,
            candidates: Candidates::default(),
            databases: BTreeMap::new(),
            by_zone: BTreeMap::new(),
            own_databases: BTreeSet::new(),
        }
    }

    /// Replaces the databases. Returns the databases whose home this node became or
    /// ceased to be.
    pub fn configure<'a>(
        &mut self,
        databases: impl IntoIterator<Item = (&'a DatabaseName, &'a ZoneName, Option<&'a RegionName>)>,
    ) -> Vec<HomeChange> {
        self.databases.clear();
        self.by_zone.clear();
        for (name, zone, region) in databases {
            let entry = Entry {
                key: DatabaseKey::new(name),
                zone: zone.clone(),
                region: region.cloned(),
                scope: Scope::Fleet,
                home: None,
                generation: 0,
            };
            self.databases.insert(name.clone(), entry);
            let names = self.by_zone.entry(zone.clone()).or_default();
            names.insert(name.clone());
        }
        let before = std::mem::take(&mut self.own_databases);
        let zones: Vec<ZoneName> = self.by_zone.keys().cloned().collect();
        for zone in zones {
            self.recompute_zone(&zone, &mut Vec::new());
        }
        let gained = self
            .own_databases
            .difference(&before)
            .map(|name| (name, true));
        let lost = before
            .difference(&self.own_databases)
            .map(|name| (name, false));
        let change = |(name, is_home): (&DatabaseName, bool)| HomeChange {
            database: name.clone(),
            is_home,
        };
        lost.chain(gained).map(change).collect()
    }

    /// Adds a member that accepts new work. Returns the databases whose home this node
    /// became or ceased to be.
    pub fn add(&mut self, node: NodeId, zone: &ZoneName, region: &RegionName) -> Vec<HomeChange> {
        let zone_was_empty = self.candidates.is_empty(&Scope::Zone(zone.clone()));
        if !self.candidates.insert(node, zone, region) {
            return Vec::new();
        }
        let mut changes = Vec::new();
        if zone_was_empty {
            self.recompute_zone(zone, &mut changes);
        }
        self.update_zones(zone, &mut changes, |candidates, entry| {
            // The home changes only if the new node has a higher score.
            match entry.home {
                Some(home) if candidates.contains(&entry.scope, home) => {
                    let current = (score(entry.key, home), home);
                    current.max((score(entry.key, node), node)).1
                }
                _ => node,
            }
            .into()
        });
        changes
    }

    /// Removes a member that no longer accepts new work. Returns the databases whose
    /// home this node became or ceased to be.
    pub fn remove(&mut self, node: NodeId) -> Vec<HomeChange> {
        let Some((zone, _)) = self.candidates.remove(node) else {
            return Vec::new();
        };
        let mut changes = Vec::new();
        if self.candidates.is_empty(&Scope::Zone(zone.clone())) {
            self.recompute_zone(&zone, &mut changes);
        }
        self.update_zones(&zone, &mut changes, |candidates, entry| {
            if entry.home == Some(node) {
                highest_scoring(candidates, &entry.scope, entry.key)
            } else {
                entry.home
            }
        });
        changes
    }

    /// Updates the homes that are affected by a change in `zone` and that may be this
    /// node: those of databases in `zone`, and those of databases in zones without
    /// candidates.
    fn update_zones(
        &mut self,
        zone: &ZoneName,
        changes: &mut Vec<HomeChange>,
        update: impl Fn(&Candidates, &Entry) -> Option<NodeId>,
    ) {
        let zones: Vec<ZoneName> = self
            .by_zone
            .keys()
            .filter(|other| {
                *other == zone || self.candidates.is_empty(&Scope::Zone((*other).clone()))
            })
            .cloned()
            .collect();
        for zone in zones {
            self.update_zone(&zone, changes, &update);
        }
    }

    fn update_zone(
        &mut self,
        zone: &ZoneName,
        changes: &mut Vec<HomeChange>,
        update: impl Fn(&Candidates, &Entry) -> Option<NodeId>,
    ) {
        let Some(names) = self.by_zone.get(zone) else {
            return;
        };
        // All databases of a zone have the same region, and so the same scope.
        let first = names.first().and_then(|name| self.databases.get(name));
        let region = first.and_then(|entry| entry.region.clone());
        let scope = self.candidates.scope(zone, region.as_ref());
        if !self.candidates.contains(&scope, self.own) && !self.is_home_in_zone(zone) {
            return;
        }
        let generation = self.candidates.generation(&scope);
        for name in names {
            let Some(entry) = self.databases.get_mut(name) else {
                continue;
            };
            if entry.scope != scope || entry.generation + 1 < generation {
                entry.home = highest_scoring(&self.candidates, &scope, entry.key);
            } else if entry.generation + 1 == generation {
                entry.home = update(&self.candidates, entry);
            }
            entry.scope.clone_from(&scope);
            entry.generation = generation;
            record_change(&mut self.own_databases, self.own, name, entry.home, changes);
        }
    }

    fn is_home_in_zone(&self, zone: &ZoneName) -> bool {
        self.own_databases
            .iter()
            .filter_map(|name| self.databases.get(name))
            .any(|entry| entry.zone == *zone)
    }

    fn recompute_zone(&mut self, zone: &ZoneName, changes: &mut Vec<HomeChange>) {
        let Some(names) = self.by_zone.get(zone) else {
            return;
        };
        for name in names {
            let Some(entry) = self.databases.get_mut(name) else {
                continue;
            };
            entry.scope = self.candidates.scope(&entry.zone, entry.region.as_ref());
            entry.generation = self.candidates.generation(&entry.scope);
            entry.home = highest_scoring(&self.candidates, &entry.scope, entry.key);
            record_change(&mut self.own_databases, self.own, name, entry.home, changes);
        }
    }

    /// Returns the home of `database`; `None` if the database is not configured or no
    /// member accepts new work.
    pub fn home_of(&mut self, database: &DatabaseName) -> Option<NodeId> {
        let entry = self.databases.get_mut(database)?;
        let scope = self.candidates.scope(&entry.zone, entry.region.as_ref());
        let generation = self.candidates.generation(&scope);
        if entry.scope != scope || entry.generation != generation {
            entry.home = highest_scoring(&self.candidates, &scope, entry.key);
            entry.scope = scope;
            entry.generation = generation;
        }
        entry.home
    }

    /// Returns the candidates for `database` in descending order of score, at most
    /// `count`.
    pub fn candidates_by_score(&self, database: &DatabaseName, count: usize) -> Vec<NodeId> {
        let Some(entry) = self.databases.get(database) else {
            return Vec::new();
        };
        let scope = self.candidates.scope(&entry.zone, entry.region.as_ref());
        let mut scored: Vec<(u64, NodeId)> = self
            .candidates
            .nodes(&scope)
            .map(|node| (score(entry.key, node), node))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.truncate(count);
        scored.into_iter().map(|(_, node)| node).collect()
    }

    /// Returns whether this node is the home of `database`.
    pub fn is_home(&self, database: &DatabaseName) -> bool {
        self.own_databases.contains(database)
    }

    /// Returns the databases that this node is the home of.
    pub fn own_databases(&self) -> impl Iterator<Item = &DatabaseName> {
        self.own_databases.iter()
    }

    /// Counts the members of `zone` that accept new work and whose identifiers are lower
    /// than this node's. Returns `limit` if there are that many or more, or if this node
    /// is not such a member itself.
    pub fn rank_in(&self, zone: &ZoneName, limit: usize) -> usize {
        if !self
            .candidates
            .contains(&Scope::Zone(zone.clone()), self.own)
        {
            return limit;
        }
        self.candidates.rank(zone, self.own, limit)
    }

    /// Returns whether `database` is configured.
    pub fn is_configured(&self, database: &DatabaseName) -> bool {
        self.databases.contains_key(database)
    }
}

fn record_change(
    own_databases: &mut BTreeSet<DatabaseName>,
    own: NodeId,
    name: &DatabaseName,
    home: Option<NodeId>,
    changes: &mut Vec<HomeChange>,
) {
    let is_home = home == Some(own);
    let changed = if is_home {
        own_databases.insert(name.clone())
    } else {
        own_databases.remove(name)
    };
    if changed {
        let database = name.clone();
        changes.push(HomeChange { database, is_home });
    }
}
