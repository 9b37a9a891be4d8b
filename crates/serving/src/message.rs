//! Typed messages between callers, this node and databases, without their spelling.

use bytes::Bytes;
use hookpoint_coordination::serving::session::{Access, Phase, PreparedShape};
use hookpoint_coordination::serving::tenancy::{KeyDigest, Principal};
use hookpoint_state::{Position, Term};
use serde::{Deserialize, Serialize};

/// Why a statement did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FailureCode {
    /// No capacity in time; nothing ran or nothing is kept.
    Overloaded,
    /// The transaction is rolled back; nothing is kept.
    RolledBack,
    /// The database lacks a position that was asked for; it did not run.
    Lagging,
    /// The database is not the primary; it did not run.
    NotPrimary,
    /// The connection reached another database than was meant; nothing ran.
    WrongDatabase,
    /// The database takes no more connections; nothing ran.
    TooManyConnections,
    /// It ran and failed.
    Failed,
    /// It ran out of time; whether it ran is not known.
    TimedOut,
    /// The prepared name is not known; it did not run.
    UnknownPrepared,
    /// No route has this name.
    NoSuchDatabase,
    /// The caller's key is not known, or no longer; nothing ran.
    Denied,
    /// The message cannot be understood or does not fit the session's state.
    Malformed,
    /// The message is too large.
    TooLarge,
    /// A write was sent and its outcome is not known.
    OutcomeUnknown,
    /// Any other code of a database.
    Other,
}

impl FailureCode {
    /// Short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FailureCode::Overloaded => "overloaded",
            FailureCode::RolledBack => "rolled_back",
            FailureCode::Lagging => "lagging",
            FailureCode::NotPrimary => "not_primary",
            FailureCode::WrongDatabase => "wrong_database",
            FailureCode::TooManyConnections => "too_many_connections",
            FailureCode::Failed => "failed",
            FailureCode::TimedOut => "timed_out",
            FailureCode::UnknownPrepared => "unknown_prepared",
            FailureCode::NoSuchDatabase => "no_such_database",
            FailureCode::Denied => "denied",
            FailureCode::Malformed => "malformed",
            FailureCode::TooLarge => "too_large",
            FailureCode::OutcomeUnknown => "outcome_unknown",
            FailureCode::Other => "other",
        }
    }
}

/// A failure as told to a caller or by a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The kind.
    pub code: FailureCode,
    /// Further text.
    pub text: Bytes,
}

impl Failure {
    /// A failure with a text of this node's own.
    pub fn new(code: FailureCode, text: impl Into<String>) -> Self {
        Self {
            code,
            text: Bytes::from(text.into()),
        }
    }
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Statement {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
    },
    /// Commits; the text goes to the database unchanged.
    Commit,
    /// Rolls back.
    Rollback,
    /// Reads or writes; the text goes to the database unchanged.
    Run {
        /// Whether it reads or writes.
        access: Access,
        /// The text.
        text: Bytes,
    },
    /// Sets a session value.
    Set {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Prepares a shape under a name.
    Prepare {
        /// The caller's name for it.
        name: String,
        /// The shape.
        shape: PreparedShape,
    },
    /// Runs a prepared shape.
    Execute {
        /// The caller's name for it.
        name: String,
        /// The arguments, as text.
        arguments: Bytes,
    },
    /// Forgets a prepared name.
    Deallocate {
        /// The caller's name for it.
        name: String,
    },
    /// Anything else.
    Unknown,
}

/// What a caller sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerInput {
    /// Opens the session.
    Start {
        /// The database it names: the host of a route.
        database: String,
        /// What the caller says it is, as the digest of a tenant's key.
        key: KeyDigest,
    },
    /// One statement.
    Query {
        /// The caller's id of the request.
        id: Bytes,
        /// The statement.
        statement: Statement,
    },
    /// Ends the session.
    End,
    /// A message that cannot be read; the session goes on.
    Malformed,
    /// A message over the size limit; the session ends.
    TooLarge,
}

/// What this node answers a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutput {
    /// One row, as the database sent it.
    Row(Bytes),
    /// Success with the database's signature; empty for this node's own answers.
    Done(Bytes),
    /// A failure.
    Failure(Failure),
    /// The session awaits the next statement.
    Ready(Phase),
}

/// What this node sends to a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens the connection.
    Start {
        /// The group that is meant.
        group: String,
        /// The database that is meant.
        database: String,
        /// On whose behalf statements will run on it.
        principal: Principal,
    },
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        read_only: bool,
        /// Position that the database has to hold.
        after: Option<Position>,
    },
    /// Commits on behalf of a caller.
    Commit {
        /// The caller's id.
        id: Bytes,
    },
    /// Rolls back.
    Rollback,
    /// Runs a caller's text.
    Run {
        /// The caller's id.
        id: Bytes,
        /// Position that the database has to hold.
        after: Option<Position>,
        /// The text.
        text: Bytes,
    },
    /// Runs a prepared shape.
    Execute {
        /// The caller's id.
        id: Bytes,
        /// Position that the database has to hold.
        after: Option<Position>,
        /// This node's name for the shape.
        name: String,
        /// The arguments, as text.
        arguments: Bytes,
    },
    /// Prepares a shape under this node's name.
    Prepare {
        /// This node's name for the shape.
        name: String,
        /// The shape.
        shape: PreparedShape,
    },
    /// Sets a session value.
    Set {
        /// Its name.
        name: String,
        /// Its value.
        value: String,
    },
    /// Drops session values and prepared names.
    Reset,
    /// Asks for role and positions.
    Status,
    /// Keeps a replica from receiving, under a term above the newest.
    PauseReplication {
        /// The term.
        term: Term,
    },
    /// Lets a replica receive again.
    ResumeReplication,
    /// Turns a primary of a lower term into a replica.
    StepDown {
        /// The term.
        term: Term,
    },
}

impl Command {
    /// Whether it is a caller's statement: work for the database.
    pub fn is_statement(&self) -> bool {
        matches!(self, Command::Run { .. } | Command::Execute { .. })
    }
}

/// One message of a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseMessage {
    /// A row.
    Row(Bytes),
    /// Success with a signature.
    Done(Bytes),
    /// A failure.
    Failure(Failure),
    /// The answer is complete.
    Ready {
        /// Where the connection stands.
        phase: Phase,
        /// Position of the database's log.
        position: Option<Position>,
    },
}

/// A database's answer about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatabaseStatus {
    /// Whether it leads.
    pub primary: bool,
    /// Newest term that it has seen.
    pub term: Term,
    /// Newest position that it has received.
    pub received: Position,
}
