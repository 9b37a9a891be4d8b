//! Databases that have just started and bear little load until they are warm.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the databases of a group warm up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// How long a database is cold after its start.
    pub duration: Duration,
    /// Requests a second that a cold database should get from the whole fleet, in thousandths.
    pub rate_milli: u64,
}

/// How exactly the rate of a cold database is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdStartBounds {
    /// Part of the rate by which the requests of any second may exceed it, in thousandths.
    pub overshoot_milli: u64,
    /// Requests by which they may do so besides.
    pub slack: u64,
}
