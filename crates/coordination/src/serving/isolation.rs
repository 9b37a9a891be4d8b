//! Whether a node is cut off from the rest of the fleet, so that others serve its callers
//! better.
//!
//! A node behind a cut still reaches the databases of its own zone, but not the primaries of
//! most groups, and can neither write nor prove how fresh a replica is. One whose primaries
//! died sees the same of the databases, yet hears its peers. So it takes both: most groups
//! in use without their primary, and most of the peers asked in other zones silent.

use std::time::Duration;

use hookpoint_state::Timestamp;

/// How long both have to last. Longer than a question to a primary and to a peer takes to
/// fail, and than the pause of a process that was stopped for a moment; short beside the time
/// that a failover takes, as callers wait meanwhile.
const ISOLATED_AFTER: Duration = Duration::from_millis(700);
/// How long contact has to last before callers are taken again: questions to primaries come
/// this often at the least, so a cut that is still there shows by then.
const REJOINED_AFTER: Duration = Duration::from_millis(500);

/// What a node sees at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Surroundings {
    /// Groups that callers lately used.
    pub groups: usize,
    /// Those of them whose primary this node does not reach.
    pub groups_without_primary: usize,
    /// Peers of other zones that were asked.
    pub peers: usize,
    /// Those of them that do not answer.
    pub silent_peers: usize,
}

impl Surroundings {
    /// Whether most groups lack their primary, so that it is worth asking peers.
    pub fn lack_primaries(self) -> bool {
        self.groups_without_primary * 2 > self.groups
    }

    fn peers_are_silent(self) -> bool {
        self.silent_peers * 2 > self.peers
    }

    /// Whether a node with these surroundings is cut off. One that is stays so until peers or
    /// primaries are heard: its callers go elsewhere, so that no group is in use any more
    /// proves nothing.
    fn look_cut_off(self, isolated: bool) -> bool {
        let no_primaries = self.lack_primaries() || (isolated && self.groups == 0);
        no_primaries && self.peers_are_silent()
    }
}

/// A change of a node's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IsolationChange {
    /// It is cut off.
    Isolated,
    /// It is back, after this time.
    Rejoined(Duration),
}

/// The standing of a node over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Isolation {
    /// Since when the surroundings have looked otherwise than the standing says.
    differs_since: Option<Timestamp>,
    isolated_since: Option<Timestamp>,
}

impl Isolation {
    /// Since when the node has been cut off.
    pub fn since(&self) -> Option<Timestamp> {
        self.isolated_since
    }

    /// Takes in what the node sees now.
    pub fn note(&mut self, seen: Surroundings, now: Timestamp) -> Option<IsolationChange> {
        let isolated = self.isolated_since.is_some();
        let cut_off = seen.look_cut_off(isolated);
        if cut_off == isolated {
            self.differs_since = None;
            return None;
        }
        let differs_since = *self.differs_since.get_or_insert(now);
        let lasting = if cut_off {
            ISOLATED_AFTER
        } else {
            REJOINED_AFTER
        };
        if now.since(differs_since) < lasting {
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
