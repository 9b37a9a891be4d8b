//! What a node keeps of databases that have just started.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use hookpoint_coordination::serving::cold_start::{ColdReason, ColdStarts};
use hookpoint_state::{DatabaseName, Timestamp};

/// How warm the databases are, and this node's parts of what the cold ones may get.
#[derive(Default)]
pub(crate) struct ColdDatabases {
    /// Each database's warmth and bucket.
    pub(crate) starts: RefCell<ColdStarts>,
    /// Those that were cold at the last look, and why.
    pub(crate) last_cold: RefCell<BTreeMap<DatabaseName, ColdReason>>,
    /// When that was.
    pub(crate) looked_at: Cell<Timestamp>,
}
