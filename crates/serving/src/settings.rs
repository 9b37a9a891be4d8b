//! Settings given to a node at its start and while it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_coordination::serving::cold_start::ColdStartBounds;
use hookpoint_coordination::serving::quota::QuotaBounds;
use hookpoint_coordination::serving::tenancy::RevocationPolicy;
use hookpoint_state::ZoneName;

/// Settings of a node as of its start.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique within the fleet.
    pub name: String,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Address for datagrams and links from peers.
    pub peer_address: SocketAddr,
    /// Bandwidth of the node's link in megabits per second; 0 if unknown.
    pub bandwidth_mbps: u32,
    /// Time to live of the node's lease in the store.
    pub lease_time: Duration,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// The settings that can change while the node runs.
    pub changeable: ChangeableSettings,
}

/// Settings that can be reloaded while the node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeableSettings {
    /// Region of each zone.
    pub regions: BTreeMap<ZoneName, String>,
    /// Addresses of nodes that can be asked for a snapshot.
    pub seed_addresses: Vec<SocketAddr>,
    /// Maximum duration of a shutdown.
    pub grace_period: Duration,
    /// How long after a database announced that it is leaving it may still be given new work.
    pub drain_limit: Duration,
    /// Whether the promotion service rejects tokens lower than the highest that it has seen.
    pub fenced_promotions: bool,
    /// Bounds within which tenants' limits are enforced; `None` if operations are not counted.
    pub quota: Option<QuotaBounds>,
    /// Whether keys are accepted on a node that is cut off from the store.
    pub revocation: RevocationPolicy,
    /// Time after its acknowledgement within which a configuration must be in force.
    pub configuration_limit: Duration,
    /// Time from when a node learns that a zone is to be evacuated until it sends nothing more to
    /// the zone's databases. The same time again is allowed for learning of it.
    pub evacuation_limit: Duration,
    /// Bounds within which the rate limit of cold databases is enforced.
    pub cold_start: ColdStartBounds,
    /// Maximum number of promotions per second that the service accepts.
    pub promotions_per_second: f64,
}
