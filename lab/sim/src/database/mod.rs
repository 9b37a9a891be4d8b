//! Model databases: a replicated log, majority elections, lagging replicas and stale
//! primaries that have not yet received a message of a later term.
//!
//! The model follows the rules that commit acknowledgement relies on: a database votes only
//! for a candidate whose log is at least as up to date as its own, a replica that follows a
//! newer term confirms nothing to an older primary, and a log position belongs to the term
//! under which the database last received log entries.

pub(crate) mod execute;
pub(crate) mod log;
pub(crate) mod replicate;
pub(crate) mod unit;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hookpoint_coordination::status::{BackendStatus, FlushedReplica, Role};
use hookpoint_state::{DatabaseName, Lsn, Term, Timestamp};

use log::Log;

/// Interval at which a database checks its timers.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Shortest time without contact from a primary after which a replica starts an election.
pub(crate) const ELECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound of the random addition to [`ELECTION_TIMEOUT`], in milliseconds.
pub(crate) const ELECTION_JITTER_MS: u64 = 300;
/// Interval between the messages of an idle primary to its replicas.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Replay delay of a replica that no fault affects.
pub(crate) const DEFAULT_REPLAY_LAG: Duration = Duration::from_millis(20);

/// Role of a database in elections and replication, as the database itself sees it. A
/// replaced primary keeps its role until it receives a message of a later term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ElectionState {
    /// Follows a primary, or waits for one to be elected.
    Replica,
    /// Has asked the other members for votes.
    Candidate {
        /// Databases that have voted for this one, itself included.
        votes: BTreeSet<usize>,
    },
    /// Accepts writes and sends its log to the replicas.
    Primary {
        /// Log length that each replica has confirmed.
        confirmed: BTreeMap<usize, usize>,
        /// Index of the next log entry to send to each replica.
        next: BTreeMap<usize, usize>,
    },
}

/// A model database.
#[derive(Debug)]
pub(crate) struct Database {
    pub(crate) id: usize,
    pub(crate) name: DatabaseName,
    pub(crate) group: usize,
    pub(crate) zone: usize,
    pub(crate) slots: usize,
    pub(crate) up: bool,
    pub(crate) paused_until: Timestamp,
    /// Highest term that the database has promised to follow. Messages of lower terms are
    /// refused or ignored.
    pub(crate) current_term: u32,
    pub(crate) voted_for: Option<usize>,
    /// Term under which log entries were last received or written.
    pub(crate) timeline: u32,
    pub(crate) election_state: ElectionState,
    pub(crate) log: Log,
    pub(crate) lag: Duration,
    pub(crate) election_timer_start: Timestamp,
    pub(crate) election_timeout: Duration,
    pub(crate) heartbeat_at: Timestamp,
    /// Connections that are open on the database's side.
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
            current_term: 0,
            voted_for: None,
            timeline: 0,
            election_state: ElectionState::Replica,
            log: Log::default(),
            lag: DEFAULT_REPLAY_LAG,
            election_timer_start: Timestamp::default(),
            election_timeout: ELECTION_TIMEOUT,
            heartbeat_at: Timestamp::default(),
            connections: BTreeSet::new(),
        }
    }

    pub(crate) fn is_primary(&self) -> bool {
        matches!(self.election_state, ElectionState::Primary { .. })
    }

    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until > now
    }

    pub(crate) fn is_responsive(&self, now: Timestamp) -> bool {
        self.up && !self.is_paused(now)
    }

    /// Replays the log entries that are due: all of them on a primary, those older than the
    /// replay lag on a replica.
    pub(crate) fn replay(&mut self, now: Timestamp) {
        let horizon = if self.is_primary() {
            now
        } else {
            now - self.lag
        };
        self.log.replay_until(horizon, self.is_primary());
    }

    /// Returns the answer to the status query.
    pub(crate) fn status(&mut self, now: Timestamp, names: &[DatabaseName]) -> BackendStatus {
        self.replay(now);
        let (role, position, flushed) = match &self.election_state {
            ElectionState::Primary { confirmed, .. } => {
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
