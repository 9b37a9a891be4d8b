//! Detects that this node is cut off from the fleet, so that its callers move to other nodes.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use hookpoint_coordination::serving::homes::choice_weight;
use hookpoint_coordination::serving::isolation::{Isolation, IsolationChange, ReachabilityCounts};
use hookpoint_state::{Timestamp, ZoneName};

use crate::homes::Peer;
use crate::node::Node;
use crate::units::millis;

/// Number of peers probed in each other zone. A zone whose two probed peers have both crashed may
/// be mistaken for a silent one; one silent zone alone does not count as isolation.
const PEERS_PER_ZONE: usize = 2;

impl Node {
    /// Returns since when this node has been cut off from the fleet.
    pub(crate) fn isolated_since(&self) -> Option<Timestamp> {
        self.isolation.get().since()
    }

    /// Returns the number of groups in use, and how many of them lack their primary on this node.
    fn groups_in_use(&self) -> (usize, usize) {
        let now = self.now();
        let monitored = self.monitored_groups.groups();
        let groups = self.groups.borrow();
        let in_use = monitored
            .iter()
            .filter_map(|group| groups.get(group))
            .filter(|state| state.group_use.is_in_use(now));
        let (mut all, mut without_primary) = (0, 0);
        for state in in_use {
            all += 1;
            let lost = state.contact.lost_since.is_some();
            without_primary += usize::from(lost || state.leadership.leader().is_none());
        }
        (all, without_primary)
    }

    /// Returns a few peers of each other zone, the same ones at each call while the members stay
    /// the same.
    fn peers_of_other_zones(&self) -> Vec<Peer> {
        let mut by_zone: BTreeMap<ZoneName, Vec<(Reverse<u64>, String)>> = BTreeMap::new();
        for candidate in self.registered_nodes().iter() {
            if candidate.zone != self.settings.zone {
                let weight = choice_weight(&self.settings.name, &candidate.node);
                let zone = by_zone.entry(candidate.zone.clone()).or_default();
                zone.push((Reverse(weight), candidate.node.clone()));
            }
        }
        let mut chosen = Vec::new();
        for mut candidates in by_zone.into_values() {
            candidates.sort();
            candidates.truncate(PEERS_PER_ZONE);
            chosen.extend(candidates);
        }
        chosen
            .iter()
            .filter_map(|(_, name)| self.peer(name))
            .collect()
    }

    /// Collects what this node observes of the fleet. Peers are probed only if primaries are
    /// missing or the node already counts as isolated.
    fn reachability_counts(&self) -> ReachabilityCounts {
        let (groups, groups_without_primary) = self.groups_in_use();
        let mut seen = ReachabilityCounts {
            groups,
            groups_without_primary,
            ..ReachabilityCounts::default()
        };
        if seen.lack_primaries() || self.isolated_since().is_some() {
            let now = self.now();
            let peers = self.peers_of_other_zones();
            seen.peers = peers.len();
            for peer in &peers {
                self.reachability.probe_ahead(peer, now);
                seen.silent_peers += usize::from(self.reachability.is_silent(peer, now));
            }
        }
        seen
    }
}

/// Updates whether this node is isolated. Called periodically.
pub(crate) fn update(node: &Rc<Node>) {
    let seen = node.reachability_counts();
    let now = node.now();
    let change = update_cell(&node.isolation, |isolation| isolation.note(seen, now));
    match change {
        Some(IsolationChange::Isolated) => node.log(
            "node_isolated",
            &[
                ("groups", seen.groups.into()),
                ("groups_without_primary", seen.groups_without_primary.into()),
                ("peers", seen.peers.into()),
                ("silent_peers", seen.silent_peers.into()),
            ],
        ),
        Some(IsolationChange::Rejoined(away)) => {
            node.log("node_rejoined", &[("away_ms", millis(away).into())]);
        }
        None => {}
    }
    let isolated = node.isolated_since().is_some();
    node.counters.set("node_isolated", u64::from(isolated));
    if isolated && node.unable_to_serve_since().is_some() {
        node.stop_advanced.notify_waiters();
    }
}

fn update_cell<T>(cell: &Cell<Isolation>, change: impl FnOnce(&mut Isolation) -> T) -> T {
    let mut isolation = cell.get();
    let outcome = change(&mut isolation);
    cell.set(isolation);
    outcome
}
