//! What the endpoint tells, as JSON bodies that `hookpoint` reads as well.

use std::net::SocketAddr;

use async_trait::async_trait;
use hookpoint_state::{BundleVersion, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// State of a node that the membership takes for dead.
const DEAD: &str = "dead";

/// Whether the node takes sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// No bundle is in force yet.
    Starting,
    /// Sessions are taken.
    Ready,
    /// The node is leaving.
    Stopping,
}

/// Answer of `/health`: HTTP status 200 when ready, else 503.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The node.
    #[serde(with = "node_text")]
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it takes sessions.
    pub readiness: Readiness,
    /// Version of the bundle in force; 0 for none.
    pub bundle: BundleVersion,
}

/// One node as another sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    #[serde(with = "node_text")]
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Its peer address.
    pub address: SocketAddr,
    /// State in the membership.
    pub state: String,
    /// Version of the bundle it was last heard to have in force; 0 for none.
    pub bundle: BundleVersion,
}

/// Answer of `/fleet`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The node that answers.
    #[serde(with = "node_text")]
    pub answered_by: NodeId,
    /// The newest version that it knows of.
    pub newest: BundleVersion,
    /// The nodes, the answering one included.
    pub nodes: Vec<NodeStatus>,
}

impl FleetStatus {
    /// The nodes that are not known to be dead.
    pub fn present(&self) -> impl Iterator<Item = &NodeStatus> {
        self.nodes.iter().filter(|node| node.state != DEAD)
    }

    /// The present nodes that do not have the newest version in force.
    pub fn behind(&self) -> impl Iterator<Item = &NodeStatus> {
        self.present().filter(|node| node.bundle < self.newest)
    }
}

/// Knows the nodes of the fleet.
#[async_trait]
pub trait FleetSource: Send + Sync {
    /// The nodes, after the versions of those that seem behind were asked for again.
    async fn nodes(&self) -> Vec<NodeStatus>;
}

/// Nodes as hexadecimal digits, as logs write them.
mod node_text {
    use hookpoint_state::NodeId;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub fn serialize<S: Serializer>(node: &NodeId, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(node)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<NodeId, D::Error> {
        let text = String::deserialize(deserializer)?;
        let number = u64::from_str_radix(&text, 16).map_err(de::Error::custom)?;
        Ok(NodeId(number))
    }
}
