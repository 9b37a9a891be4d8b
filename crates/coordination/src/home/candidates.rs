//! Members eligible as home nodes, by zone and region.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_state::{NodeId, RegionName, ZoneName};

/// Set of members from which a database's home is chosen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// Members of the database's zone.
    Zone(ZoneName),
    /// Members of the database's region, when its zone has no candidates.
    Region(RegionName),
    /// All members, when the database's region has no candidates.
    Fleet,
}

/// Candidates in each scope, with a change counter per scope.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    scopes: BTreeMap<Scope, ScopeMembers>,
    locations: BTreeMap<NodeId, (ZoneName, RegionName)>,
}

#[derive(Clone, Debug, Default)]
struct ScopeMembers {
    nodes: BTreeSet<NodeId>,
    generation: u64,
}

/// Returns the scopes that contain a node of `zone` in `region`.
fn scopes_of(zone: &ZoneName, region: &RegionName) -> [Scope; 3] {
    [
        Scope::Zone(zone.clone()),
        Scope::Region(region.clone()),
        Scope::Fleet,
    ]
}

impl Candidates {
    /// Adds a node. Returns false if it was already present.
    pub fn insert(&mut self, node: NodeId, zone: &ZoneName, region: &RegionName) -> bool {
        let location = (zone.clone(), region.clone());
        if self.locations.insert(node, location).is_some() {
            return false;
        }
        for scope in scopes_of(zone, region) {
            let members = self.scopes.entry(scope).or_default();
            members.nodes.insert(node);
            members.generation += 1;
        }
        true
    }

    /// Removes a node. Returns its zone and region, or `None` if it was not present.
    pub fn remove(&mut self, node: NodeId) -> Option<(ZoneName, RegionName)> {
        let location = self.locations.remove(&node)?;
        for scope in scopes_of(&location.0, &location.1) {
            let members = self.scopes.entry(scope).or_default();
            members.nodes.remove(&node);
            members.generation += 1;
        }
        Some(location)
    }

    /// Returns the scope from which the home of a database in `zone` and `region` is
    /// chosen.
    pub fn scope(&self, zone: &ZoneName, region: Option<&RegionName>) -> Scope {
        let zone = Scope::Zone(zone.clone());
        if !self.is_empty(&zone) {
            return zone;
        }
        if let Some(region) = region {
            let region = Scope::Region(region.clone());
            if !self.is_empty(&region) {
                return region;
            }
        }
        Scope::Fleet
    }

    /// Returns whether a scope has no candidates.
    pub fn is_empty(&self, scope: &Scope) -> bool {
        self.scopes
            .get(scope)
            .is_none_or(|members| members.nodes.is_empty())
    }

    /// Returns the candidates in a scope, in the order of their identifiers.
    pub fn nodes(&self, scope: &Scope) -> impl Iterator<Item = NodeId> + '_ {
        self.scopes
            .get(scope)
            .into_iter()
            .flat_map(|members| members.nodes.iter().copied())
    }

    /// Counts the candidates of a zone whose identifiers are lower than that of `node`,
    /// up to `limit`.
    pub fn rank(&self, zone: &ZoneName, node: NodeId, limit: usize) -> usize {
        let scope = Scope::Zone(zone.clone());
        let Some(members) = self.scopes.get(&scope) else {
            return 0;
        };
        members.nodes.range(..node).take(limit).count()
    }

    /// Returns the number of changes made to a scope so far.
    pub fn generation(&self, scope: &Scope) -> u64 {
        self.scopes
            .get(scope)
            .map_or(0, |members| members.generation)
    }

    /// Returns whether `node` is a candidate in a scope.
    pub fn contains(&self, scope: &Scope, node: NodeId) -> bool {
        self.scopes
            .get(scope)
            .is_some_and(|members| members.nodes.contains(&node))
    }
}
