//! Source of the fleet status that the admin endpoint reports.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hookpoint_state::BundleVersion;
use hookpoint_transport::admin::{FleetSource, NodeStatus};
use hookpoint_transport::peer::{FleetHandle, MemberStatus};
use hookpoint_transport::shared::Shared;

/// Time that members with an apparently old bundle have to report their current version.
const REFRESH_WAIT: Duration = Duration::from_millis(400);

/// Reports the fleet as this node's membership has it.
pub(super) struct MembershipSource {
    pub fleet: FleetHandle,
    pub shared: Arc<Shared>,
}

#[async_trait]
impl FleetSource for MembershipSource {
    async fn nodes(&self) -> Vec<NodeStatus> {
        let members = self.fleet.members();
        let newest = members.iter().map(|member| member.bundle).max();
        let newest = newest.unwrap_or_default().max(self.own_version());
        if members.iter().any(|member| member.bundle < newest) {
            self.fleet.refresh_versions(newest);
            tokio::time::sleep(REFRESH_WAIT).await;
        }
        let status = self.fleet.status();
        let mut own = node_status(&status.own);
        own.bundle = self.own_version();
        let others = status.members.iter().map(node_status);
        std::iter::once(own).chain(others).collect()
    }
}

impl MembershipSource {
    fn own_version(&self) -> BundleVersion {
        let bundle = self.shared.bundle();
        bundle.map(|bundle| bundle.version).unwrap_or_default()
    }
}

fn node_status(member: &MemberStatus) -> NodeStatus {
    NodeStatus {
        node: member.node,
        zone: member.zone.clone(),
        region: member.region.clone(),
        address: member.address,
        state: format!("{:?}", member.state).to_lowercase(),
        bundle: member.bundle,
    }
}
