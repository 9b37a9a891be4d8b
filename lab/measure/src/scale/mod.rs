//! A fleet of hollow nodes in one process, on real sockets.
//!
//! A hollow node is the shipped fleet code of a proxy (membership, homes, spread of
//! terms, links, sealed datagrams, rollout of bundles) without callers and without connections to
//! databases. Every node has two threads and sockets of its own, as a proxy's fleet has.

mod fleet;
mod node;
mod phases;
mod platform;
mod report;

use std::time::Duration;

use thiserror::Error;

pub use report::{ScalePoint, ScaleReport, Traffic};

/// What to measure.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Nodes.
    pub nodes: usize,
    /// Zones, divided among two regions.
    pub zones: usize,
    /// Databases in the bundle, three a group.
    pub databases: usize,
    /// Groups that each node uses.
    pub groups_per_node: usize,
    /// Time of the quiet measurement.
    pub quiet: Duration,
    /// Seed of who uses which group.
    pub seed: u64,
}

/// Why nothing was measured.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// A number that must not be zero is.
    #[error("{0} must be at least one")]
    Zero(&'static str),
    /// A node did not start.
    #[error("a node did not start: {0}")]
    Node(#[from] hookpoint_transport::peer::FleetError),
    /// The fleet's key cannot be used.
    #[error("the key cannot be used: {0}")]
    Key(String),
    /// The platform's stand-in did not start.
    #[error("the platform's stand-in did not start: {0}")]
    Platform(String),
    /// The bundle was not rolled out.
    #[error("the bundle was not rolled out: {0}")]
    Rollout(#[from] hookpoint::operator::OperatorError),
    /// This process cannot be read.
    #[error("this process cannot be read: {0}")]
    Process(#[from] std::io::Error),
    /// The nodes take more than half of the machine's memory.
    #[error("the nodes take {resident} bytes, more than half of the machine's memory")]
    Memory {
        /// Bytes resident.
        resident: u64,
    },
    /// The nodes did not all learn of each other.
    #[error("after {seconds} s some nodes know only {fewest} of {others} others")]
    NotJoined {
        /// Seconds waited.
        seconds: u64,
        /// Members that the least informed node knows.
        fewest: usize,
        /// Members there are for it to know.
        others: usize,
    },
    /// The measuring thread ended early.
    #[error("the measuring thread ended early")]
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

/// Measures one size. Blocks until it is done; the nodes run on threads of their own.
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
