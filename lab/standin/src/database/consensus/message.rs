//! What goes in and out of the agreement.

use std::sync::Arc;
use std::time::Duration;

use crate::database::entry::Entry;
use crate::database::position::Lsn;

/// Number of a database in its group.
pub type Member = usize;

/// What a database is in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Follows a primary, or waits for one.
    Replica,
    /// Asks for votes.
    Candidate,
}

/// A message between the databases of a group.
#[derive(Clone, Debug)]
pub enum Message {
    /// Entries after the first `length`, of which the last is of `last_term`;
    /// without entries, a heartbeat.
    Append {
        /// Term of the sender, who is its primary.
        term: u64,
        /// Number of entries before these.
        length: usize,
        /// Term of the entry before these.
        last_term: u64,
        /// The entries.
        entries: Vec<Arc<Entry>>,
    },
    /// Answer to `Append`.
    Appended {
        /// Term of the sender.
        term: u64,
        /// How many entries are known to be the same, if the message fitted.
        flushed: Option<usize>,
        /// Where to go on if the message did not fit.
        hint: usize,
        /// End of what the sender has replayed.
        replayed: Lsn,
    },
    /// A request for a vote, or the question whether one would be given.
    Ask {
        /// Term that the sender wants to lead.
        term: u64,
        /// Whether this is only the question.
        trial: bool,
        /// Whether the present primary wants this election.
        planned: bool,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Number of the sender's entries.
        length: usize,
    },
    /// A vote.
    Vote {
        /// Term voted in; for a refusal, the sender's own.
        term: u64,
        /// Whether it answers only the question.
        trial: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// The primary's request to a replica to take over at once.
    TakeOver {
        /// Term of the sender.
        term: u64,
    },
}

/// What the owner of a [`Consensus`] must do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message.
    Send(Member, Message),
    /// The log was cut to this many entries; undo what was replayed of the rest.
    Truncated(usize),
    /// Entries were added to the log.
    Flushed,
    /// This database now leads its term.
    BecamePrimary,
    /// This database leads no more.
    SteppedDown,
    /// More entries are known to be flushed by a majority.
    MajorityAdvanced,
}

/// Timing of a group.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time without a heartbeat after which a replica stands for election.
    pub election_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
}
