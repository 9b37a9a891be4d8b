//! What a node is told at its start and while it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hookpoint_coordination::serving::cold_start::ColdStartBounds;
use hookpoint_coordination::serving::quota::QuotaBounds;
use hookpoint_coordination::serving::tenancy::RevocationPolicy;
use hookpoint_state::ZoneName;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Address for datagrams of peers.
    pub peer_address: SocketAddr,
    /// Bandwidth of the node's link, in megabits a second; 0 if that is not known.
    pub bandwidth_mbps: u32,
    /// Time to live of the node's lease.
    pub lease_time: Duration,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
    /// What may change while the node runs.
    pub changeable: ChangeableSettings,
}

/// Settings that are taken over while the node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeableSettings {
    /// Region of each zone.
    pub regions: BTreeMap<ZoneName, String>,
    /// Where other nodes may be asked for what they know.
    pub seed_addresses: Vec<SocketAddr>,
    /// Whole time that a stop may take.
    pub grace_period: Duration,
    /// How long after a database announced its end it may still be sent new work.
    pub drain_limit: Duration,
    /// Whether the promotion service refuses tokens lower than it has seen.
    pub fenced_promotions: bool,
    /// How exactly tenants' limits are kept; none if they are not counted.
    pub quota: Option<QuotaBounds>,
    /// Whether keys pass on a node that is cut off.
    pub revocation: RevocationPolicy,
    /// Within which time of its acknowledgement a configuration has to be in force.
    pub configuration_limit: Duration,
    /// Time from when a node hears that a zone is to be evacuated until the zone's databases get
    /// nothing from it any more. As much again is left for hearing of it.
    pub evacuation_limit: Duration,
    /// How exactly the rate of cold databases is kept.
    pub cold_start: ColdStartBounds,
    /// Promotions that the service takes a second.
    pub promotions_per_second: f64,
}
