//! What a node keeps of the zones that the operator evacuates.

use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use hookpoint_coordination::serving::evacuation::Evacuations;
use hookpoint_state::{Timestamp, ZoneName};

/// The zones that the operator evacuates, or did, and what this node has made of that.
#[derive(Default)]
pub(crate) struct ZoneEvacuations {
    /// The requests.
    pub(crate) known: RefCell<Evacuations>,
    /// How far this node is with those in force.
    pub(crate) progress: RefCell<BTreeMap<ZoneName, Progress>>,
    /// How long this node spares a zone after the end of its evacuation.
    pub(crate) return_time: OnceCell<Duration>,
}

/// How far this node is with one zone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// Transactions that were ended there.
    pub(crate) transactions_ended: u64,
    /// Connections at rest that were closed.
    pub(crate) connections_closed: u64,
    /// When it was last looked at what is still in use.
    pub(crate) looked_at: Timestamp,
    /// Whether the log tells that nothing is.
    pub(crate) told_empty: bool,
    /// When the log last told that something is.
    pub(crate) told_used_at: Option<Timestamp>,
}
