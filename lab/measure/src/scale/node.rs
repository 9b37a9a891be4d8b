//! A hollow node: the fleet code of a proxy without client or database connections.

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

use super::platform::PlatformStandIn;

/// A lease source without connections. Refuses every request with
/// [`Refusal::NoDatabase`].
struct NoConnections;

#[async_trait]
impl LeaseSource for NoConnections {
    async fn acquire(&self, _request: AcquireRequest) -> Result<BackendLease, Refusal> {
        Err(Refusal::NoDatabase)
    }
}

/// A node without client or database connections.
pub struct HollowNode {
    /// Handle of the production fleet code.
    pub fleet: FleetHandle,
    /// Tables shared between the parts of the node.
    pub shared: Arc<Shared>,
    zone: ZoneName,
    platform_thread: Arbiter,
}

impl HollowNode {
    /// Starts a node that joins the fleet through `seeds` and gets its bundles from
    /// `platform`.
    pub fn start(
        zone: ZoneName,
        region: RegionName,
        key: FleetKey,
        seeds: Vec<SocketAddr>,
        platform: &PlatformStandIn,
    ) -> Result<Self, FleetError> {
        let shared = Arc::new(Shared::new(zone.clone()));
        let settings = FleetSettings {
            seeds,
            ..FleetSettings::on_loopback(zone.clone(), region.clone(), key)
        };
        let fleet = Fleet::start(settings, Arc::clone(&shared), Arc::new(NoConnections))?;
        let platform_thread = Arbiter::new();
        let (follower_client, registration_client) =
            (platform.client_settings(), platform.client_settings());
        let (trusted, fleet_handle, shared_tables) =
            (platform.trusted(), fleet.clone(), shared.clone());
        let machine = MachineRecord {
            node: fleet.node().to_string(),
            zone: zone.to_string(),
            region: region.to_string(),
            peer_address: fleet.address(),
            state: MachineState::Live,
        };
        platform_thread.spawn_fn(move || {
            let (commands, events) = PlatformFollower::start(follower_client.client());
            let links = Arc::new(fleet_handle.clone());
            let rollout = RolloutDriver::start(shared_tables, trusted, commands, events, links);
            fleet_handle.set_rollout(rollout);
            let registration = register(registration_client.client(), machine);
            actix_rt::spawn(async move {
                // Keeps the node registered in the machine list for the lifetime of the thread.
                let _registration = registration;
                std::future::pending::<()>().await;
            });
        });
        Ok(Self {
            fleet,
            shared,
            zone,
            platform_thread,
        })
    }

    /// Stops the node without a graceful departure, as if its process had crashed.
    pub fn kill(&self) {
        self.fleet.shutdown();
        self.platform_thread.stop();
    }

    /// Requests a connection to `database` as a session does, which registers this node as a
    /// user of `group`.
    pub async fn use_group(&self, group: &GroupName, database: &DatabaseName) {
        let request = AcquireRequest {
            group: group.clone(),
            database: database.clone(),
            session: SessionId(1),
            tenant: TenantName::new("hollow"),
            zone: self.zone.clone(),
            wait: Duration::from_secs(5),
        };
        // Only the side effects matter: routing the request records that this node uses the
        // group, so that the group's home nodes send it new terms. The request itself is always
        // refused, because neither this node nor any other has database connections.
        let _refusal = self.fleet.lease_source().acquire(request).await;
    }
}
