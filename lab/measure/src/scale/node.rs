//! One hollow node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_rt::Arbiter;
use async_trait::async_trait;
use hookpoint_protocol::peer::FleetKey;
use hookpoint_protocol::platform::records::{MachineRecord, MachineState};
use hookpoint_state::{
    DatabaseName, GroupName, Refusal, RegionName, SessionId, TenantName, ZoneName,
};
use hookpoint_transport::lease::{AcquireRequest, BackendLease, LeaseSource};
use hookpoint_transport::peer::{Fleet, FleetError, FleetHandle, FleetSettings};
use hookpoint_transport::platform::{PlatformFollower, RolloutDriver, register};
use hookpoint_transport::shared::Shared;

use super::platform::Rollouts;

/// Holds no connections: every request is refused as not run.
struct NoConnections;

#[async_trait]
impl LeaseSource for NoConnections {
    async fn acquire(&self, _request: AcquireRequest) -> Result<BackendLease, Refusal> {
        Err(Refusal::NoDatabase)
    }
}

/// A node without callers and connections to databases.
pub struct HollowNode {
    /// The shipped fleet code.
    pub fleet: FleetHandle,
    /// Its shared tables.
    pub shared: Arc<Shared>,
    zone: ZoneName,
    platform_side: Arbiter,
}

impl HollowNode {
    /// Starts a node that finds the others at `seeds` and its bundles at `platform`.
    pub fn start(
        zone: ZoneName,
        region: RegionName,
        key: FleetKey,
        seeds: Vec<SocketAddr>,
        platform: &Rollouts,
    ) -> Result<Self, FleetError> {
        let shared = Arc::new(Shared::new(zone.clone()));
        let settings = FleetSettings {
            seeds,
            ..FleetSettings::on_loopback(zone.clone(), region.clone(), key)
        };
        let fleet = Fleet::start(settings, Arc::clone(&shared), Arc::new(NoConnections))?;
        let platform_side = Arbiter::new();
        let (client, own_client) = (platform.client_settings(), platform.client_settings());
        let (trusted, of_fleet, of_shared) = (platform.trusted(), fleet.clone(), shared.clone());
        let machine = MachineRecord {
            node: fleet.node().to_string(),
            zone: zone.to_string(),
            region: region.to_string(),
            peer_address: fleet.address(),
            state: MachineState::Live,
        };
        platform_side.spawn_fn(move || {
            let (commands, events) = PlatformFollower::start(client.client());
            let links = Arc::new(of_fleet.clone());
            let rollout = RolloutDriver::start(of_shared, trusted, commands, events, links);
            of_fleet.set_rollout(rollout);
            let registration = register(own_client.client(), machine);
            actix_rt::spawn(async move {
                // Lives as long as the thread, and the entry with it.
                let _registration = registration;
                std::future::pending::<()>().await;
            });
        });
        Ok(Self {
            fleet,
            shared,
            zone,
            platform_side,
        })
    }

    /// Ends the node as if its process had died.
    pub fn kill(&self) {
        self.fleet.shutdown();
        self.platform_side.stop();
    }

    /// Asks for a connection as a session's request does, which makes the node use the
    /// group; there are no connections, so the request is refused.
    pub async fn use_group(&self, group: &GroupName, database: &DatabaseName) {
        let request = AcquireRequest {
            group: group.clone(),
            database: database.clone(),
            session: SessionId(1),
            tenant: TenantName::new("hollow"),
            zone: self.zone.clone(),
            wait: Duration::from_secs(5),
        };
        // Always a refusal; what matters is the way there.
        let _refused = self.fleet.lease_source().acquire(request).await;
    }
}
