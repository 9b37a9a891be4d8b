//! What a caller's session holds between statements: values, prepared names and the
//! state of its transaction.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Whether a prepared shape reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Access {
    /// It reads.
    Read,
    /// It writes.
    Write,
}

/// A prepared statement, without the name that the caller gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PreparedShape {
    /// Whether it reads or writes.
    pub access: Access,
    /// Its shape.
    pub shape: String,
}

/// Session values by name.
pub type SessionValues = BTreeMap<String, String>;

/// Where a session stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    InTransaction,
    /// A transaction has failed and only its end is accepted.
    Failed,
}

/// The state that a session keeps on its node and takes to any connection.
#[derive(Clone, Debug, Default)]
pub struct SessionState {
    /// Session values that the caller was told are set.
    pub values: SessionValues,
    /// Prepared statements by the caller's name.
    pub prepared: BTreeMap<String, PreparedShape>,
    /// Where the session stands.
    pub phase: Phase,
}
