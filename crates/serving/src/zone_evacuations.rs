//! State of a node's zone evacuations.

use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_coordination::serving::evacuation::Evacuations;
use hookpoint_state::{Timestamp, ZoneName};

/// The zone evacuations known to this node and its progress in carrying them out.
#[derive(Default)]
pub(crate) struct ZoneEvacuations {
    /// The operator's evacuation requests known to this node, with those that have ended.
    pub(crate) known: RefCell<Evacuations>,
    /// This node's progress for each zone whose evacuation has changed.
    pub(crate) progress: RefCell<BTreeMap<ZoneName, Progress>>,
    /// How long this node continues to avoid a zone after the end of its evacuation; its share of
    /// the staggered return.
    pub(crate) return_time: OnceCell<Duration>,
}

/// This node's progress with the evacuation of one zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Number of transactions ended in the zone.
    pub(crate) transactions_ended: u64,
    /// Number of idle connections closed in the zone.
    pub(crate) connections_closed: u64,
    /// When the remaining use of the zone was last checked.
    pub(crate) checked_at: Timestamp,
    /// Whether it has been logged that nothing in the zone is in use.
    pub(crate) empty_logged: bool,
    /// When the remaining use of the zone was last logged.
    pub(crate) in_use_logged_at: Option<Timestamp>,
}
