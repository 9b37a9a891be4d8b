//! Typed messages between callers, this node and databases, independent of the wire protocol.

use bytes::Bytes;
use hookpoint_coordination::serving::answer_order::CommandKind;
use hookpoint_coordination::serving::session::{Access, Phase, PreparedShape};
use hookpoint_coordination::serving::tenancy::{KeyDigest, Principal};
use hookpoint_state::{Position, Term};
use serde::{Deserialize, Serialize};

/// Name and shape of the prepared statement that shows whether a transaction is open.
const OPEN_TRANSACTION_PROBE: &str = "probe";

/// Failure codes of statements and sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FailureCode {
    /// No capacity was available in time; the statement did not run or was rolled back.
    Overloaded,
    /// The transaction was rolled back.
    RolledBack,
    /// The database has not reached the required position; the statement did not run.
    Lagging,
    /// The database is not the primary; the statement did not run.
    NotPrimary,
    /// The connection reached a different database than the one requested; nothing ran.
    WrongDatabase,
    /// The database's connection limit is reached; nothing ran.
    TooManyConnections,
    /// The statement ran and failed.
    Failed,
    /// The statement timed out; whether it ran is not known.
    TimedOut,
    /// The prepared statement does not exist; the statement did not run.
    UnknownPrepared,
    /// No route has this name.
    NoSuchDatabase,
    /// The caller's key is unknown or was revoked; nothing ran.
    Denied,
    /// The message cannot be parsed or is not allowed in the session's state.
    Malformed,
    /// The message is too large.
    TooLarge,
    /// A write was sent and its outcome is not known.
    OutcomeUnknown,
    /// A code of a database that this node does not know.
    Other,
}

impl FailureCode {
    /// Returns a short name for logs and metrics.
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

/// A failure that a database reports or this node reports to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The failure code.
    pub code: FailureCode,
    /// Further details, without the code; the whole text of the error if the code is not known.
    pub text: Bytes,
}

impl Failure {
    /// Creates a failure that this node reports.
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
        /// Whether the transaction is read-only.
        read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes; the text is sent to the database unchanged.
    Run {
        /// Whether the statement reads or writes.
        access: Access,
        /// Text of the statement.
        text: Bytes,
    },
    /// Sets a session value.
    Set {
        /// Name of the session value.
        name: String,
        /// New value.
        value: String,
    },
    /// Prepares a shape under a name that is local to the session.
    Prepare {
        /// The caller's name for the prepared statement.
        name: String,
        /// The shape to prepare.
        shape: PreparedShape,
    },
    /// Runs a prepared shape.
    Execute {
        /// The caller's name for the prepared statement.
        name: String,
        /// Arguments, as text.
        arguments: Bytes,
    },
    /// Removes a prepared statement from the session.
    Deallocate {
        /// The caller's name for the prepared statement.
        name: String,
    },
    /// Any statement that was not recognized.
    Unknown,
}

/// A message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerInput {
    /// Opens the session.
    Start {
        /// Name of the requested database, which is the host of a route.
        database: String,
        /// Digest of the tenant's key that the caller sent.
        key: KeyDigest,
    },
    /// Runs one statement.
    Query {
        /// The caller's request id.
        id: Bytes,
        /// The statement.
        statement: Statement,
    },
    /// Ends the session.
    End,
    /// A message that cannot be parsed; the session continues.
    Malformed,
    /// A message over the size limit; the session ends.
    TooLarge,
}

/// A message from this node to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerOutput {
    /// One row, as the database sent it.
    Row(Bytes),
    /// Success with the database's signature, which is empty if this node answered by itself.
    Done(Bytes),
    /// The statement or the session failed.
    Failure(Failure),
    /// The session is ready for the next statement.
    Ready(Phase),
}

/// A command from this node to a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Opens the connection.
    Start {
        /// Group of the database that the connection is for.
        group: String,
        /// Database that the connection is for.
        database: String,
        /// Principal on whose behalf statements will run on the connection.
        principal: Principal,
    },
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        read_only: bool,
        /// Position that the database must have reached, if any.
        after: Option<Position>,
    },
    /// Commits the transaction on behalf of a caller.
    Commit {
        /// The caller's request id.
        id: Bytes,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Runs the text of a caller's statement.
    Run {
        /// The caller's request id.
        id: Bytes,
        /// Position that the database must have reached, if any.
        after: Option<Position>,
        /// Text of the statement.
        text: Bytes,
    },
    /// Runs a prepared shape.
    Execute {
        /// The caller's request id.
        id: Bytes,
        /// Position that the database must have reached, if any.
        after: Option<Position>,
        /// This node's name for the shape.
        name: String,
        /// Arguments, as text.
        arguments: Bytes,
    },
    /// Prepares a shape under this node's name.
    Prepare {
        /// This node's name for the shape.
        name: String,
        /// The shape to prepare.
        shape: PreparedShape,
    },
    /// Sets a session value.
    Set {
        /// Name of the session value.
        name: String,
        /// New value.
        value: String,
    },
    /// Removes the session values and prepared statements of the connection.
    Reset,
    /// Asks for the database's role, term and position.
    Status,
    /// Stops a replica from receiving log entries, under a term above the newest known one.
    PauseReplication {
        /// Term above the newest known one.
        term: Term,
    },
    /// Lets a replica receive log entries again.
    ResumeReplication,
    /// Turns a primary of a lower term into a replica.
    StepDown {
        /// Term above that of the primary.
        term: Term,
    },
}

impl Command {
    /// Returns the kind of the command, on which its answer depends.
    pub fn kind(&self) -> CommandKind {
        match self {
            Command::Begin { .. } => CommandKind::Begin,
            Command::Commit { .. } => CommandKind::Commit,
            Command::Rollback => CommandKind::Rollback,
            Command::Run { after: Some(_), .. } | Command::Execute { after: Some(_), .. } => {
                CommandKind::PositionedRead
            }
            Command::Run { .. } | Command::Execute { .. } => CommandKind::Statement,
            Command::Start { .. }
            | Command::Prepare { .. }
            | Command::Set { .. }
            | Command::Reset => CommandKind::SessionState,
            Command::Status
            | Command::PauseReplication { .. }
            | Command::ResumeReplication
            | Command::StepDown { .. } => CommandKind::DatabaseState,
        }
    }

    /// Returns a command whose success shows that a transaction is open, and which changes nothing
    /// for it: it prepares a shape that is never run.
    pub fn open_transaction_probe() -> Self {
        Command::Prepare {
            name: OPEN_TRANSACTION_PROBE.to_owned(),
            shape: PreparedShape {
                access: Access::Read,
                shape: OPEN_TRANSACTION_PROBE.to_owned(),
            },
        }
    }

    /// Returns the caller's request id; `None` for a command of this node itself.
    pub fn request_id(&self) -> Option<&Bytes> {
        match self {
            Command::Commit { id } | Command::Run { id, .. } | Command::Execute { id, .. } => {
                Some(id)
            }
            _ => None,
        }
    }

    /// Returns whether the command runs a caller's statement.
    pub fn is_statement(&self) -> bool {
        matches!(self, Command::Run { .. } | Command::Execute { .. })
    }
}

/// A message from a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatabaseMessage {
    /// One row of a result.
    Row(Bytes),
    /// Success, with the database's signature.
    Done(Bytes),
    /// The command failed.
    Failure(Failure),
    /// The answer to a command is complete.
    Ready {
        /// State of the connection's transaction.
        phase: Phase,
        /// Position of the database's log, if the message contains one.
        position: Option<Position>,
    },
}

/// A database's answer to [`Command::Status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatabaseStatus {
    /// Whether the database is a primary.
    pub primary: bool,
    /// Newest term that the database has seen.
    pub term: Term,
    /// Newest log position that the database has received.
    pub received: Position,
}
