//! Messages between nodes that travel over links.

use hookpoint_state::{DatabaseName, GroupName, Position, Term};
use serde::{Deserialize, Serialize};

use crate::rollout::RolloutMessage;

/// Leadership of a group as known to the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipUpdate {
    /// Group that the term and the primary belong to.
    pub group: GroupName,
    /// Highest known term of the group.
    pub term: Term,
    /// Primary of that term; `None` until it has been observed.
    pub primary: Option<DatabaseName>,
    /// Term and position at which the primary was observed.
    #[serde(rename = "place")]
    pub position: Position,
}

impl LeadershipUpdate {
    /// Returns a value that stands for unknown leadership of `group`.
    pub fn none(group: GroupName) -> Self {
        Self {
            group,
            term: Term::default(),
            primary: None,
            position: Position::default(),
        }
    }

    /// Returns whether this is newer than `other`: it has a later term, or it names the
    /// primary of the same term while `other` names none.
    pub fn is_newer_than(&self, other: &LeadershipUpdate) -> bool {
        let names_primary = self.primary.is_some() && other.primary.is_none();
        self.term > other.term || (self.term == other.term && names_primary)
    }
}

/// A message to another node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A group's leadership changed.
    LeadershipChange(LeadershipUpdate),
    /// Subscribes the sender to leadership changes of these groups for a limited time.
    /// Each entry holds what the sender knows, so that the receiver can update itself or
    /// reply with newer leadership.
    Subscribe(Vec<LeadershipUpdate>),
    /// A message between the rollout machines of two nodes.
    Rollout(RolloutMessage),
}
