//! Hollow nodes: members of a real fleet that carry no callers and hold no connections
//! to databases.
//!
//! They speak the real messages on real sockets, hear of bundles and pass them on. Many
//! share one process, so what one of them uses shows as a slope over their number.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use hookpoint_protocol::peer::FleetKey;
use hookpoint_state::bundle::TrustedKeys;
use hookpoint_state::{BundleVersion, Refusal};
use hookpoint_transport::lease::{AcquireRequest, BackendLease, LeaseSource};
use hookpoint_transport::peer::{Fleet, FleetCounters, FleetError, FleetHandle, FleetSettings};
use hookpoint_transport::platform::{PlatformCommand, PlatformEvent, RolloutDriver};
use hookpoint_transport::shared::Shared;
use hookpoint_workload::deployment::ZoneSpecification;
use tokio::sync::mpsc;

/// Commands to a platform that a hollow node does not have.
const COMMAND_CAPACITY: usize = 16;

/// One hollow node.
pub struct HollowNode {
    fleet: FleetHandle,
    shared: Arc<Shared>,
    /// The platform's side of the rollout; kept, so that the driver goes on.
    _platform: (mpsc::Receiver<PlatformCommand>, mpsc::Sender<PlatformEvent>),
}

/// A source of no connections.
struct NoConnections;

#[async_trait]
impl LeaseSource for NoConnections {
    async fn acquire(&self, _request: AcquireRequest) -> Result<BackendLease, Refusal> {
        Err(Refusal::NoDatabase)
    }
}

impl HollowNode {
    /// Starts a node in `zone`. Needs a running actix system, which drives its rollout.
    ///
    /// # Errors
    /// When the fleet cannot be joined.
    pub fn start(
        zone: &ZoneSpecification,
        key: FleetKey,
        seeds: &[SocketAddr],
        trusted: TrustedKeys,
    ) -> Result<Self, FleetError> {
        let shared = Arc::new(Shared::new(zone.zone.clone()));
        let settings = FleetSettings {
            seeds: seeds.to_vec(),
            ..FleetSettings::on_loopback(zone.zone.clone(), zone.region.clone(), key)
        };
        let fleet = Fleet::start(settings, shared.clone(), Arc::new(NoConnections))?;
        let (commands, ignored) = mpsc::channel(COMMAND_CAPACITY);
        let (silent, events) = mpsc::channel(1);
        let links = Arc::new(fleet.clone());
        let rollout = RolloutDriver::start(shared.clone(), trusted, commands, events, links);
        fleet.set_rollout(rollout);
        Ok(Self {
            fleet,
            shared,
            _platform: (ignored, silent),
        })
    }

    /// What it sent and received since its start.
    pub fn counters(&self) -> FleetCounters {
        self.fleet.status().counters
    }

    /// Members it knows besides itself.
    pub fn members(&self) -> usize {
        self.fleet.members().len()
    }

    /// Version of the bundle in force on it.
    pub fn version(&self) -> Option<BundleVersion> {
        self.shared.bundle().map(|bundle| bundle.version)
    }

    /// Ends it without a word.
    pub fn stop(&self) {
        self.fleet.shutdown();
    }
}
