//! JSON bodies of the endpoint's answers, which the `hookpoint` command reads as well.

use std::net::SocketAddr;

use async_trait::async_trait;
use hookpoint_state::{BundleVersion, NodeId, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

/// State of a node that the membership considers dead.
const DEAD: &str = "dead";

/// Whether the node accepts sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// No bundle is in force yet.
    Starting,
    /// Sessions are accepted.
    Ready,
    /// The node is leaving.
    Stopping,
}

/// Answer of `/health`: HTTP status 200 when ready, 503 otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// Identifier of the node.
    #[serde(with = "node_text")]
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Whether the node accepts sessions.
    pub readiness: Readiness,
    /// Version of the bundle in force; 0 for none.
    pub bundle: BundleVersion,
}

/// One node as another node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Identifier of the node.
    #[serde(with = "node_text")]
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: RegionName,
    /// Peer address of the node.
    pub address: SocketAddr,
    /// Membership state of the node.
    pub state: String,
    /// Bundle version that the node last reported to have in force; 0 for none.
    pub bundle: BundleVersion,
}

/// Answer of `/fleet`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The node that answers the request.
    #[serde(with = "node_text")]
    pub answered_by: NodeId,
    /// The newest bundle version known to the answering node.
    pub newest: BundleVersion,
    /// All nodes, including the answering one.
    pub nodes: Vec<NodeStatus>,
}

impl FleetStatus {
    /// Returns the nodes that are not known to be dead.
    pub fn present(&self) -> impl Iterator<Item = &NodeStatus> {
        self.nodes.iter().filter(|node| node.state != DEAD)
    }

    /// Returns the present nodes that do not have the newest version in force.
    pub fn outdated(&self) -> impl Iterator<Item = &NodeStatus> {
        self.present().filter(|node| node.bundle < self.newest)
    }
}

/// Source of the status of the fleet's nodes.
#[async_trait]
pub trait FleetSource: Send + Sync {
    /// Returns the nodes, after requesting again the bundle versions of those that appear
    /// to be behind.
    async fn nodes(&self) -> Vec<NodeStatus>;
}

/// Node identifiers as hexadecimal digits, in the format of the logs.
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
