//! The live nodes, ranked per database to choose its home nodes.
//!
//! The home nodes of a database are nodes of its own zone as long as that zone has enough of them,
//! so choosing them only considers that zone. A node that joins changes the home nodes of just
//! those databases where it ranks high enough, and one that leaves those of the databases that had
//! it as a home node: see [`becomes_home`].

use std::cmp::Reverse;
use std::collections::BTreeMap;

use hookpoint_state::{DatabaseName, ZoneName};

use super::homes::{HomeCandidate, rendezvous_score};

/// The live nodes, by zone.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    zones: BTreeMap<ZoneName, BTreeMap<String, HomeCandidate>>,
    zone_of: BTreeMap<String, ZoneName>,
}

/// Rank of a node among the candidates for home node of a database; the lowest comes first.
type Rank<'a> = (bool, Reverse<u64>, &'a str);

fn rank<'a>(database: &DatabaseName, zone: &ZoneName, node: &'a HomeCandidate) -> Rank<'a> {
    let far = node.zone != *zone;
    let score = rendezvous_score(database.as_str(), &node.node);
    (far, Reverse(score), &node.node)
}

impl Fleet {
    /// Adds a node, replacing a known node of the same name.
    pub fn join(&mut self, node: HomeCandidate) {
        self.leave(&node.node);
        self.zone_of.insert(node.node.clone(), node.zone.clone());
        let zone = self.zones.entry(node.zone.clone()).or_default();
        zone.insert(node.node.clone(), node);
    }

    /// Removes a node. Returns whether it was present.
    pub fn leave(&mut self, name: &str) -> bool {
        let Some(zone) = self.zone_of.remove(name) else {
            return false;
        };
        if let Some(nodes) = self.zones.get_mut(&zone) {
            nodes.remove(name);
            if nodes.is_empty() {
                self.zones.remove(&zone);
            }
        }
        true
    }

    /// Returns the number of nodes.
    pub fn len(&self) -> usize {
        self.zone_of.len()
    }

    /// Returns whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.zone_of.is_empty()
    }

    /// Returns all nodes, grouped by zone.
    pub fn iter(&self) -> impl Iterator<Item = &HomeCandidate> {
        self.zones.values().flat_map(BTreeMap::values)
    }

    /// Returns the `count` highest-ranked candidates for home node of `database`, which is in
    /// `zone`.
    pub fn choose_homes(
        &self,
        database: &DatabaseName,
        zone: &ZoneName,
        count: usize,
    ) -> Vec<HomeCandidate> {
        let near = self.zones.get(zone);
        let enough = near.is_some_and(|nodes| nodes.len() >= count);
        let considered: Vec<&HomeCandidate> = match near {
            Some(near) if enough => near.values().collect(),
            _ => self.iter().collect(),
        };
        let mut ranked: Vec<(Rank<'_>, &HomeCandidate)> = considered
            .into_iter()
            .map(|node| (rank(database, zone, node), node))
            .collect();
        if count < ranked.len() {
            ranked.select_nth_unstable_by_key(count, |(rank, _)| *rank);
            ranked.truncate(count);
        }
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, node)| node.clone()).collect()
    }
}

/// Returns whether a node that joins replaces one of `homes`, the current home nodes of `database`.
pub fn becomes_home(
    database: &DatabaseName,
    zone: &ZoneName,
    homes: &[HomeCandidate],
    node: &HomeCandidate,
) -> bool {
    let own = rank(database, zone, node);
    homes.iter().any(|home| own < rank(database, zone, home))
}
