//! The positions of a session's own writes, which its reads with read-your-writes consistency have
//! to see.
//!
//! A position belongs to the log of one group, and a session writes to several groups if its route
//! moves between them. The positions are therefore kept by group, and one is returned only together
//! with the group whose databases are asked for it.

use hookpoint_state::{GroupName, Timestamp};

use super::leadership::PeriodPosition;

/// Maximum number of groups for which a session's positions are kept. A session uses one group at a
/// time, and another only after its route has moved.
const MAX_GROUPS: usize = 8;

/// What a read has to see of its session's own writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnWriteRequirement {
    /// Nothing beyond what any read of its staleness bound sees.
    None,
    /// The log up to this position.
    Position(PeriodPosition),
    /// A write whose position is not known, so only the primary is certain to hold it.
    UnknownPosition,
}

/// A session's last write to one group.
#[derive(Clone, Debug)]
struct OwnWrite {
    group: GroupName,
    /// `None` if the answer held no position, or its leadership period is not known.
    position: Option<PeriodPosition>,
    /// When the answer had arrived.
    answered_at: Timestamp,
}

/// The last write of a session to each group.
#[derive(Clone, Debug, Default)]
pub struct OwnWrites {
    /// The write answered last is at the end.
    writes: Vec<OwnWrite>,
    /// When the newest write was answered that is no longer kept.
    forgotten: Option<Timestamp>,
}

impl OwnWrites {
    /// Records that a write of the session to `group` succeeded. Its `position` covers all earlier
    /// writes to that group; `None` if it is not known.
    pub fn record(
        &mut self,
        group: &GroupName,
        position: Option<PeriodPosition>,
        answered_at: Timestamp,
    ) {
        let kept = self.writes.iter().position(|write| write.group == *group);
        let group = match kept {
            Some(index) => self.writes.remove(index).group,
            None => {
                self.forget_oldest_if_full();
                group.clone()
            }
        };
        self.writes.push(OwnWrite {
            group,
            position,
            answered_at,
        });
    }

    fn forget_oldest_if_full(&mut self) {
        if self.writes.len() == MAX_GROUPS {
            let oldest = self.writes.remove(0);
            self.forgotten = Some(oldest.answered_at);
        }
    }

    /// Returns what a read of `group` has to see, if it sees every commit acknowledged before
    /// `horizon` in any case.
    pub fn requirement(&self, group: &GroupName, horizon: Timestamp) -> OwnWriteRequirement {
        let write = self.writes.iter().find(|write| write.group == *group);
        match write {
            Some(write) if write.answered_at < horizon => OwnWriteRequirement::None,
            Some(OwnWrite {
                position: Some(position),
                ..
            }) => OwnWriteRequirement::Position(*position),
            Some(_) => OwnWriteRequirement::UnknownPosition,
            None if self.forgotten.is_some_and(|answered| answered >= horizon) => {
                OwnWriteRequirement::UnknownPosition
            }
            None => OwnWriteRequirement::None,
        }
    }
}
