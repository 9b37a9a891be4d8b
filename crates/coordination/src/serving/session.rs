//! State of a caller's session between statements: session values, prepared statements and the
//! phase of its transaction.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whether a prepared statement reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Access {
    /// It only reads.
    Read,
    /// It writes.
    Write,
}

/// A prepared statement without the name that the caller gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub access: Access,
    /// Shape of the statement.
    pub shape: String,
}

/// Session values by name.
pub type SessionValues = BTreeMap<String, String>;

/// Transaction phase of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    InTransaction,
    /// A transaction has failed, and only its end is accepted.
    Failed,
}

/// The session state that the node keeps and applies to any connection that the session uses.
#[derive(Clone, Debug, Default)]
pub struct SessionState {
    /// Session values whose setting was confirmed to the caller.
    pub values: SessionValues,
    /// Prepared statements, by the name that the caller gave them.
    pub prepared: BTreeMap<String, PreparedShape>,
    /// Transaction phase of the session.
    pub phase: Phase,
}
