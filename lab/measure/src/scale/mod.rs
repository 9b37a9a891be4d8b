//! Measures a fleet of hollow nodes in one process, on real sockets.
//!
//! A hollow node runs the production fleet code of a proxy (membership, homes, dissemination
//! of terms, links, encrypted datagrams, rollout of bundles) without client or database
//! connections. Every node has its own sockets and two threads, like the fleet of a proxy.

mod fleet;
mod node;
mod phases;
mod platform;
mod report;

use std::time::Duration;

use thiserror::Error;

pub use report::{ScalePoint, ScaleReport, Traffic};

/// Settings of a measurement at one size.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of zones, divided among two regions.
    pub zones: usize,
    /// Number of databases in the bundle; three form a group.
    pub databases: usize,
    /// Number of groups that each node uses.
    pub groups_per_node: usize,
    /// Duration of the quiet period, in which the steady-state cost is measured.
    pub quiet_period: Duration,
    /// Seed of the random assignment of groups to nodes.
    pub seed: u64,
}

/// Why the measurement failed.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A number that must not be zero is zero.
    #[error("{0} must be at least one")]
    Zero(&'static str),
    /// A node did not start.
    #[error("a node did not start: {0}")]
    Node(#[from] hookpoint_transport::peer::FleetError),
    /// The fleet key is not valid.
    #[error("the fleet key is not valid: {0}")]
    Key(String),
    /// The platform stand-in did not start.
    #[error("the platform stand-in did not start: {0}")]
    Platform(String),
    /// The bundle was not rolled out.
    #[error("the bundle was not rolled out: {0}")]
    Rollout(#[from] hookpoint::operator::OperatorError),
    /// The resource usage of this process cannot be read, or a thread cannot be started.
    #[error("the resource usage of this process cannot be read or a thread cannot be started: {0}")]
    Process(#[from] std::io::Error),
    /// The nodes use more than half of the machine's memory.
    #[error("the nodes use {resident} bytes, more than half of the machine's memory")]
    Memory {
        /// Resident memory of this process in bytes.
        resident: u64,
    },
    /// Not all nodes discovered each other within the timeout.
    #[error("after {seconds} s some node sees only {fewest} of {others} other nodes")]
    NotJoined {
        /// Seconds waited.
        seconds: u64,
        /// Smallest number of available members seen by any node.
        fewest: usize,
        /// Number of other nodes that each node must discover.
        others: usize,
    },
    /// The measuring thread panicked.
    #[error("the measuring thread panicked")]
    ThreadEnded,
}

impl ScaleSettings {
    fn check(&self) -> Result<(), ScaleError> {
        let numbers = [
            (self.nodes, "the number of nodes"),
            (self.zones, "the number of zones"),
            (self.databases, "the number of databases"),
        ];
        match numbers.iter().find(|(number, _)| *number == 0) {
            Some((_, name)) => Err(ScaleError::Zero(name)),
            None => Ok(()),
        }
    }
}

/// Measures a fleet of one size. Blocks until the measurement is complete; the nodes run on
/// their own threads.
///
/// # Errors
/// A [`ScaleError`].
pub fn run(settings: &ScaleSettings) -> Result<ScalePoint, ScaleError> {
    settings.check()?;
    let settings = settings.clone();
    let measuring = std::thread::Builder::new()
        .name("scale".to_owned())
        .spawn(move || actix_rt::System::new().block_on(phases::run(&settings)))?;
    measuring.join().map_err(|_| ScaleError::ThreadEnded)?
}
