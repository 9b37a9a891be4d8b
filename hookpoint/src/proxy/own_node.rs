//! What the operators' endpoint tells of a node without peers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use async_trait::async_trait;
use hookpoint_state::NodeId;
use hookpoint_transport::admin::{FleetSource, NodeStatus};
use hookpoint_transport::shared::Shared;

use crate::settings::NodeSettings;

/// The node itself.
pub(super) struct OwnNode {
    pub node: NodeId,
    pub settings: NodeSettings,
    pub shared: Arc<Shared>,
}

#[async_trait]
impl FleetSource for OwnNode {
    async fn nodes(&self) -> Vec<NodeStatus> {
        let bundle = self.shared.bundle();
        vec![NodeStatus {
            node: self.node,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            state: "alive".to_owned(),
            bundle: bundle.map(|bundle| bundle.version).unwrap_or_default(),
        }]
    }
}
