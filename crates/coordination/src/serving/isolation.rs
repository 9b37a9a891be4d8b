//! Detects whether a node is partitioned from the rest of the fleet, so that its callers are better
//! served by other nodes.
//!
//! A partitioned node still reaches the databases of its own zone, but not the primaries of most
//! groups. It can neither write nor prove how fresh a replica is. A node whose primaries have
//! failed observes the same of the databases, but still receives messages from its peers. Isolation
//! therefore requires both: most groups in use lack their primary, and most of the peers queried in
//! other zones are silent.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// How long both conditions have to hold. This is longer than a query to a primary or a peer takes
/// to fail, and than the pause of a process that was briefly suspended. It is short compared to a
/// failover, as callers wait in the meantime.
const ISOLATED_AFTER: Duration = Duration::from_millis(700);
/// How long contact has to last before callers are accepted again. Primaries are queried at least
/// this often, so a partition that persists shows by then.
const REJOINED_AFTER: Duration = Duration::from_millis(500);

/// Reachability of primaries and peers from one node at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachabilityCounts {
    /// Groups that callers used recently.
    pub groups: usize,
    /// Groups among them whose primary this node does not reach.
    pub groups_without_primary: usize,
    /// Peers in other zones that were queried.
    pub peers: usize,
    /// Peers among them that do not answer.
    pub silent_peers: usize,
}

impl ReachabilityCounts {
    /// Returns whether most groups lack their primary, so that peers should be queried.
    pub fn lack_primaries(self) -> bool {
        self.groups_without_primary * 2 > self.groups
    }

    fn peers_are_silent(self) -> bool {
        self.silent_peers * 2 > self.peers
    }

    /// Returns whether a node with these counts is partitioned. An isolated node stays so
    /// until peers or primaries answer: its callers go elsewhere, so the absence of groups in use
    /// proves nothing.
    fn appear_partitioned(self, isolated: bool) -> bool {
        let no_primaries = self.lack_primaries() || (isolated && self.groups == 0);
        no_primaries && self.peers_are_silent()
    }
}

/// A change of a node's isolation state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationChange {
    /// The node has become isolated.
    Isolated,
    /// The node is no longer isolated, after this time.
    Rejoined(Duration),
}

/// The isolation state of a node over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    /// Since when the observations have contradicted the current state.
    differs_since: Option<Timestamp>,
    isolated_since: Option<Timestamp>,
}

impl Isolation {
    /// Returns since when the node has been isolated, or `None` if it is not.
    pub fn since(&self) -> Option<Timestamp> {
        self.isolated_since
    }

    /// Applies the current observations and returns the change of state, if any.
    pub fn note(&mut self, seen: ReachabilityCounts, now: Timestamp) -> Option<IsolationChange> {
        let isolated = self.isolated_since.is_some();
        let partitioned = seen.appear_partitioned(isolated);
        if partitioned == isolated {
            self.differs_since = None;
            return None;
        }
        let differs_since = *self.differs_since.get_or_insert(now);
        let required_duration = if partitioned {
            ISOLATED_AFTER
        } else {
            REJOINED_AFTER
        };
        if now.since(differs_since) < required_duration {
            return None;
        }
        self.differs_since = None;
        match self.isolated_since.take() {
            Some(since) => Some(IsolationChange::Rejoined(now.since(since))),
            None => {
                self.isolated_since = Some(now);
                Some(IsolationChange::Isolated)
            }
        }
    }
}
