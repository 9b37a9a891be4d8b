//! Errors of the stand-in: those of its Rust interface and those sent to clients.

use std::io;

/// Errors of starting a database group.
#[derive(Debug, thiserror::Error)]
pub enum DatabaseError {
    /// The settings contain no database.
    #[error("a group needs at least one database")]
    NoDatabases,
    /// Two databases have the same name.
    #[error("database {0} is named twice")]
    DuplicateName(String),
    /// Listening on a loopback port failed.
    #[error("cannot listen on a loopback port")]
    Listen(#[source] io::Error),
    /// A statement of the schema failed.
    #[error("a schema statement failed: {0}")]
    Schema(#[source] SqlError),
}

/// The SQLSTATE codes that the stand-in uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SqlState {
    /// 08P01
    ProtocolViolation,
    /// 0A000
    FeatureNotSupported,
    /// 22P02
    InvalidTextRepresentation,
    /// 22P03
    InvalidBinaryRepresentation,
    /// 22023
    InvalidParameterValue,
    /// 22012
    DivisionByZero,
    /// 22P04
    BadCopyFileFormat,
    /// 23502
    NotNullViolation,
    /// 23503
    ForeignKeyViolation,
    /// 23505
    UniqueViolation,
    /// 23514
    CheckViolation,
    /// 25001
    ActiveSqlTransaction,
    /// 25006
    ReadOnlySqlTransaction,
    /// 25P01
    NoActiveSqlTransaction,
    /// 25P02
    InFailedSqlTransaction,
    /// 25P03
    IdleInTransactionSessionTimeout,
    /// 26000
    InvalidSqlStatementName,
    /// 28P01
    InvalidPassword,
    /// 34000
    InvalidCursorName,
    /// 3B001
    InvalidSavepoint,
    /// 40001
    SerializationFailure,
    /// 42601
    SyntaxError,
    /// 42703
    UndefinedColumn,
    /// 42704
    UndefinedObject,
    /// 42804
    DatatypeMismatch,
    /// 42883
    UndefinedFunction,
    /// 42P01
    UndefinedTable,
    /// 42P02
    UndefinedParameter,
    /// 42P05
    DuplicatePreparedStatement,
    /// 42P03
    DuplicateCursor,
    /// 42P07
    DuplicateTable,
    /// 53300
    TooManyConnections,
    /// 54000
    ProgramLimitExceeded,
    /// 55000
    ObjectNotInPrerequisiteState,
    /// 55P03
    LockNotAvailable,
    /// 57014
    QueryCanceled,
    /// 57P01
    AdminShutdown,
    /// 57P05
    IdleSessionTimeout,
    /// XX000
    InternalError,
}

impl SqlState {
    /// Returns the five-character code that is sent to clients.
    pub fn code(self) -> &'static str {
        match self {
            Self::ProtocolViolation => "08P01",
            Self::FeatureNotSupported => "0A000",
            Self::InvalidTextRepresentation => "22P02",
            Self::InvalidBinaryRepresentation => "22P03",
            Self::InvalidParameterValue => "22023",
            Self::DivisionByZero => "22012",
            Self::BadCopyFileFormat => "22P04",
            Self::NotNullViolation => "23502",
            Self::ForeignKeyViolation => "23503",
            Self::UniqueViolation => "23505",
            Self::CheckViolation => "23514",
            Self::ActiveSqlTransaction => "25001",
            Self::ReadOnlySqlTransaction => "25006",
            Self::NoActiveSqlTransaction => "25P01",
            Self::InFailedSqlTransaction => "25P02",
            Self::IdleInTransactionSessionTimeout => "25P03",
            Self::InvalidSqlStatementName => "26000",
            Self::InvalidPassword => "28P01",
            Self::InvalidCursorName => "34000",
            Self::InvalidSavepoint => "3B001",
            Self::SerializationFailure => "40001",
            Self::SyntaxError => "42601",
            Self::UndefinedColumn => "42703",
            Self::UndefinedObject => "42704",
            Self::DatatypeMismatch => "42804",
            Self::UndefinedFunction => "42883",
            Self::UndefinedTable => "42P01",
            Self::UndefinedParameter => "42P02",
            Self::DuplicatePreparedStatement => "42P05",
            Self::DuplicateCursor => "42P03",
            Self::DuplicateTable => "42P07",
            Self::TooManyConnections => "53300",
            Self::ProgramLimitExceeded => "54000",
            Self::ObjectNotInPrerequisiteState => "55000",
            Self::LockNotAvailable => "55P03",
            Self::QueryCanceled => "57014",
            Self::AdminShutdown => "57P01",
            Self::IdleSessionTimeout => "57P05",
            Self::InternalError => "XX000",
        }
    }
}

/// An error with its SQLSTATE, sent to a client.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {message}", state.code())]
pub struct SqlError {
    /// SQLSTATE of the error.
    pub state: SqlState,
    /// Human-readable message.
    pub message: String,
    /// Whether the connection is closed after the error.
    pub fatal: bool,
}

impl SqlError {
    /// Creates an error after which the session continues.
    pub fn new(state: SqlState, message: impl Into<String>) -> Self {
        Self {
            state,
            message: message.into(),
            fatal: false,
        }
    }

    /// Creates an error after which the connection is closed.
    pub fn fatal(state: SqlState, message: impl Into<String>) -> Self {
        Self {
            state,
            message: message.into(),
            fatal: true,
        }
    }

    /// Creates the error of a statement that was canceled or timed out.
    pub fn canceled() -> Self {
        Self::new(
            SqlState::QueryCanceled,
            "canceling statement due to user request",
        )
    }

    /// Creates the error of a connection that is closed because its database changed
    /// role.
    pub fn terminated() -> Self {
        Self::fatal(
            SqlState::AdminShutdown,
            "terminating connection due to administrator command",
        )
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = match &error {
            rusqlite::Error::SqliteFailure(_, Some(text)) => text.clone(),
            rusqlite::Error::SqlInputError { msg, .. } => msg.clone(),
            other => other.to_string(),
        };
        match classify(&error, &message) {
            SqlState::QueryCanceled => Self::canceled(),
            state => Self::new(state, message),
        }
    }
}

fn classify(error: &rusqlite::Error, message: &str) -> SqlState {
    use rusqlite::ffi;
    let rusqlite::Error::SqliteFailure(code, _) = error else {
        return classify_message(message);
    };
    match code.extended_code {
        ffi::SQLITE_CONSTRAINT_UNIQUE
        | ffi::SQLITE_CONSTRAINT_PRIMARYKEY
        | ffi::SQLITE_CONSTRAINT_ROWID => return SqlState::UniqueViolation,
        ffi::SQLITE_CONSTRAINT_NOTNULL => return SqlState::NotNullViolation,
        ffi::SQLITE_CONSTRAINT_FOREIGNKEY => return SqlState::ForeignKeyViolation,
        ffi::SQLITE_CONSTRAINT_CHECK => return SqlState::CheckViolation,
        _ => {}
    }
    match code.code {
        ffi::ErrorCode::DatabaseBusy | ffi::ErrorCode::DatabaseLocked => {
            SqlState::SerializationFailure
        }
        ffi::ErrorCode::OperationInterrupted => SqlState::QueryCanceled,
        ffi::ErrorCode::TypeMismatch => SqlState::DatatypeMismatch,
        _ => classify_message(message),
    }
}

/// Message fragments of the embedded engine and their SQLSTATE codes.
const FRAGMENTS: [(&str, SqlState); 16] = [
    (
        "unrecognized configuration parameter",
        SqlState::UndefinedObject,
    ),
    ("invalid input syntax", SqlState::InvalidTextRepresentation),
    (
        "recovery is in progress",
        SqlState::ObjectNotInPrerequisiteState,
    ),
    ("no such table", SqlState::UndefinedTable),
    ("no such column", SqlState::UndefinedColumn),
    ("has no column named", SqlState::UndefinedColumn),
    ("no such function", SqlState::UndefinedFunction),
    ("wrong number of arguments", SqlState::UndefinedFunction),
    ("already exists", SqlState::DuplicateTable),
    ("no such savepoint", SqlState::InvalidSavepoint),
    ("no such index", SqlState::UndefinedObject),
    ("syntax error", SqlState::SyntaxError),
    ("incomplete input", SqlState::SyntaxError),
    ("unrecognized token", SqlState::SyntaxError),
    ("values for", SqlState::SyntaxError),
    ("division by zero", SqlState::DivisionByZero),
];

fn classify_message(message: &str) -> SqlState {
    FRAGMENTS
        .iter()
        .find(|(fragment, _)| message.contains(fragment))
        .map_or(SqlState::InternalError, |(_, state)| *state)
}
