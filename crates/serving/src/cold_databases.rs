//! State of a node's cold databases, that is, databases that have just started.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use hookpoint_coordination::serving::cold_start::{ColdReason, WarmUpStates};
use hookpoint_state::{DatabaseName, Timestamp};

/// The databases' cold-start state and this node's shares of the cold databases' budgets.
#[derive(Default)]
pub(crate) struct ColdDatabases {
    /// Cold-start state and token bucket of each database.
    pub(crate) starts: RefCell<WarmUpStates>,
    /// The databases that were cold at the last check, and why.
    pub(crate) last_cold: RefCell<BTreeMap<DatabaseName, ColdReason>>,
    /// When the databases were last checked.
    pub(crate) checked_at: Cell<Timestamp>,
}
