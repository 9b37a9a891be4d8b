//! Messages, actions and settings of the consensus state machine.

use std::sync::Arc;
use std::time::Duration;

use crate::database::entry::Entry;
use crate::database::position::Lsn;

/// Index of a database in its group.
pub type Member = usize;

/// Role of a database in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows a primary, or waits for one.
    Replica,
    /// Requests votes.
    Candidate,
}

/// A message between the databases of a group.
#[derive(Clone, Debug)]
pub enum Message {
    /// Log entries that follow the first `length` entries; a heartbeat if empty.
    Append {
        /// Term of the sender, which is the primary of that term.
        term: u64,
        /// Number of entries that precede `entries` in the log.
        length: usize,
        /// Term of the entry that precedes `entries`.
        last_term: u64,
        /// Entries to append, in log order.
        entries: Vec<Arc<Entry>>,
    },
    /// Response to `Append`.
    Appended {
        /// Term of the sender.
        term: u64,
        /// Number of entries known to be identical to the primary's; `None` if the log
        /// did not match.
        flushed: Option<usize>,
        /// Length from which the primary continues if the log did not match.
        hint: usize,
        /// End position of the entries that the sender has replayed.
        replayed: Lsn,
    },
    /// A vote request or a pre-vote request.
    RequestVote {
        /// Term for which the sender is a candidate.
        term: u64,
        /// Whether this is a pre-vote, which does not change the receiver's term.
        pre_vote: bool,
        /// Whether the current primary requested this election for a switchover.
        planned: bool,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Number of the sender's entries.
        length: usize,
    },
    /// Response to a vote request.
    Vote {
        /// Term of the vote; if it is denied, the term of the sender.
        term: u64,
        /// Whether this responds to a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Request from the primary to a replica to start an election immediately.
    TakeOver {
        /// Term of the sender.
        term: u64,
    },
}

/// An action that the owner of a [`Consensus`](super::Consensus) must execute.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send(Member, Message),
    /// The log was truncated to this many entries; replayed entries beyond it must
    /// be undone.
    Truncated(usize),
    /// Entries were added to the log.
    Flushed,
    /// This database became the primary of its term.
    BecamePrimary,
    /// This database is no longer the primary.
    SteppedDown,
    /// The number of entries known to be flushed by a majority increased.
    MajorityFlushedAdvanced,
}

/// Timeouts of the consensus state machine.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time without a heartbeat after which a replica starts an election.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
}
