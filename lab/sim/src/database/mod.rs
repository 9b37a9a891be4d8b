//! Model databases: a replicated log, election by majority, replicas that lag, primaries
//! that do not know they have been replaced.
//!
//! The model follows the rules that the acknowledgement of commits relies on: a vote goes
//! only to a database whose log is at least as long and as new, a replica that follows a
//! newer term confirms nothing to an older primary, and a position counts for the term
//! under which the database last received log.

pub(crate) mod execute;
pub(crate) mod log;
pub(crate) mod replicate;
pub(crate) mod unit;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_state::{DatabaseName, Lsn, Term, Timestamp};

use log::Log;

/// Time between two looks at timers.
pub(crate) const TICK: Duration = Duration::from_millis(25);
/// Shortest silence after which a replica stands for election.
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Random addition to [`ELECTION_TIMEOUT`].
pub(crate) const ELECTION_SPREAD_MS: u64 = 300;
/// Time between two messages of an idle primary.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(50);
/// How far a replica replays behind what it has received, in ordinary times.
pub(crate) const ORDINARY_LAG: Duration = Duration::from_millis(20);

/// What a database believes itself to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Follows a primary, or waits for one.
    Replica,
    /// Asks for votes.
    Candidate {
        /// Who has given theirs.
        votes: BTreeSet<usize>,
    },
    /// Leads.
    Primary {
        /// Length of log that each other database has confirmed.
        confirmed: BTreeMap<usize, usize>,
        /// Where to start sending to each.
        next: BTreeMap<usize, usize>,
    },
}

/// One database.
#[derive(Debug)]
pub(crate) struct Database {
    pub(crate) id: usize,
    pub(crate) name: DatabaseName,
    pub(crate) group: usize,
    pub(crate) zone: usize,
    pub(crate) slots: usize,
    pub(crate) up: bool,
    pub(crate) paused_until: Timestamp,
    /// Highest term promised to anyone.
    pub(crate) promised: u32,
    pub(crate) voted_for: Option<usize>,
    /// Term under which the log was last received or written.
    pub(crate) timeline: u32,
    pub(crate) standing: Standing,
    pub(crate) log: Log,
    pub(crate) lag: Duration,
    pub(crate) heard_at: Timestamp,
    pub(crate) patience: Duration,
    pub(crate) heartbeat_at: Timestamp,
    /// Connections that are open on its side.
    pub(crate) connections: BTreeSet<u64>,
}

impl Database {
    pub(crate) fn new(id: usize, name: &str, group: usize, zone: usize, slots: usize) -> Self {
        Self {
            id,
            name: DatabaseName::new(name),
            group,
            zone,
            slots,
            up: true,
            paused_until: Timestamp::default(),
            promised: 0,
            voted_for: None,
            timeline: 0,
            standing: Standing::Replica,
            log: Log::default(),
            lag: ORDINARY_LAG,
            heard_at: Timestamp::default(),
            patience: ELECTION_TIMEOUT,
            heartbeat_at: Timestamp::default(),
            connections: BTreeSet::new(),
        }
    }

    pub(crate) fn is_primary(&self) -> bool {
        matches!(self.standing, Standing::Primary { .. })
    }

    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until > now
    }

    pub(crate) fn answers(&self, now: Timestamp) -> bool {
        self.up && !self.is_paused(now)
    }

    /// Replays what is due.
    pub(crate) fn replay(&mut self, now: Timestamp) {
        let horizon = if self.is_primary() {
            now
        } else {
            now - self.lag
        };
        self.log.replay_until(horizon, self.is_primary());
    }

    /// Answer to the status query.
    pub(crate) fn status(&mut self, now: Timestamp, names: &[DatabaseName]) -> BackendStatus {
        self.replay(now);
        let (role, position, flushed) = match &self.standing {
            Standing::Primary { confirmed, .. } => {
                let flushed = confirmed.iter().map(|(id, length)| FlushedReplica {
                    name: names[*id].as_str().to_owned(),
                    position: Lsn(*length as u64),
                });
                (Role::Primary, self.log.len(), flushed.collect())
            }
            _ => (Role::Replica, self.log.replayed(), Vec::new()),
        };
        BackendStatus {
            role,
            term: Term(self.timeline),
            position: Lsn(position as u64),
            flushed,
        }
    }
}
