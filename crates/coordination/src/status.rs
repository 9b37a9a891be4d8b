//! Result of a status query to a database.

use hookpoint_state::{Lsn, Position, Term};
use serde::{Deserialize, Serialize};

/// Role of a database at the moment it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts writes (`pg_is_in_recovery()` is false).
    Primary,
    /// Replays another database's log.
    Replica,
}

/// Answer to the status query, as evaluated by the database when the query ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Role that the database reports.
    pub role: Role,
    /// Term that the database is on.
    pub term: Term,
    /// Flushed position of a primary; replayed position of a replica.
    pub position: Lsn,
    /// On a primary: flushed position of each replica that streams from it, by name.
    pub flushed: Vec<FlushedReplica>,
}

/// A replica's flushed position as reported by its primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlushedReplica {
    /// `application_name` of the replica.
    pub name: String,
    /// Position that the replica has reported as flushed.
    pub position: Lsn,
}

impl BackendStatus {
    /// Returns the term and position together.
    pub fn log_position(&self) -> Position {
        Position {
            term: self.term,
            lsn: self.position,
        }
    }
}
