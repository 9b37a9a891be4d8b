//! The live nodes, in the order in which databases choose their homes among them.
//!
//! Homes are nodes of the database's own zone as long as there are enough, so choosing them
//! looks at that zone alone. A node that comes changes the homes of just those databases where
//! it wins a place, and one that goes those where it had one: see [`wins_place`].

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

/// Place of a node in the order in which nodes become home of a database; the least comes first.
type Rank<'a> = (bool, Reverse<u64>, &'a str);

fn rank<'a>(database: &DatabaseName, zone: &ZoneName, node: &'a HomeCandidate) -> Rank<'a> {
    let far = node.zone != *zone;
    let score = rendezvous_score(database.as_str(), &node.node);
    (far, Reverse(score), &node.node)
}

impl Fleet {
    /// Takes in a node, in place of what was known under its name.
    pub fn join(&mut self, node: HomeCandidate) {
        self.leave(&node.node);
        self.zone_of.insert(node.node.clone(), node.zone.clone());
        let zone = self.zones.entry(node.zone.clone()).or_default();
        zone.insert(node.node.clone(), node);
    }

    /// Takes a node out. Whether it was there.
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

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.zone_of.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.zone_of.is_empty()
    }

    /// All nodes.
    pub fn iter(&self) -> impl Iterator<Item = &HomeCandidate> {
        self.zones.values().flat_map(BTreeMap::values)
    }

    /// The first `count` nodes in the order in which they become home of `database`, which
    /// stands in `zone`.
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

/// Whether a node that comes takes the place of one of `homes`, the homes of `database` so far.
pub fn wins_place(
    database: &DatabaseName,
    zone: &ZoneName,
    homes: &[HomeCandidate],
    node: &HomeCandidate,
) -> bool {
    let own = rank(database, zone, node);
    homes.iter().any(|home| own < rank(database, zone, home))
}
