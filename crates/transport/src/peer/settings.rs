//! Settings of the fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use hookpoint_coordination::membership::MembershipSettings;
use hookpoint_protocol::peer::FleetKey;
use hookpoint_state::{RegionName, ZoneName};

/// Called with process number and secret of the session when a peer forwards a caller's
/// cancel request.
pub type CancelHandler = Arc<dyn Fn(u32, u32) + Send + Sync>;

/// Settings of this node as a member of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Address for datagrams and links, both on one port; with port 0 the system chooses
    /// one.
    pub listen: SocketAddr,
    /// Address that peers reach this node at; `None` means the bound address.
    pub advertise: Option<SocketAddr>,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Addresses of nodes that may already be running.
    pub seeds: Vec<SocketAddr>,
    /// Fleet keys; the first one is used for sending.
    pub keys: Vec<FleetKey>,
    /// Intervals and limits of the membership protocol.
    pub membership: MembershipSettings,
}

impl FleetSettings {
    /// Returns settings of a node without seeds on a loopback port that the system
    /// chooses.
    pub fn on_loopback(zone: ZoneName, region: RegionName, key: FleetKey) -> Self {
        Self {
            listen: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0),
            advertise: None,
            zone,
            region,
            seeds: Vec::new(),
            keys: vec![key],
            membership: MembershipSettings::default(),
        }
    }
}
