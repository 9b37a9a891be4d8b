//! Settings of the fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use hookpoint_coordination::membership::MembershipSettings;
use hookpoint_protocol::peer::FleetKey;
use hookpoint_state::{RegionName, ZoneName};

/// Called when a peer passes on a caller's request to cancel: process number and secret
/// of the session.
pub type CancelHandler = Arc<dyn Fn(u32, u32) + Send + Sync>;

/// Settings of this node as a member of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Address for datagrams and links, both on one port; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address that peers reach this node by; the bound one where none is given.
    pub advertise: Option<SocketAddr>,
    /// Zone of this node.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Addresses of nodes that may be up already.
    pub seeds: Vec<SocketAddr>,
    /// Keys, the one to send with first.
    pub keys: Vec<FleetKey>,
    /// Periods and bounds of the membership.
    pub membership: MembershipSettings,
}

impl FleetSettings {
    /// A node on a port of the loopback interface that the system chooses, without
    /// seeds.
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
