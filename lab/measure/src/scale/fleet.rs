//! The hollow nodes of a run and the bundle that is rolled out to them.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_protocol::peer::FleetKey;
use hookpoint_state::bundle::{Bundle, BundleVersion, Database, Group, Limits, ReadPreference};
use hookpoint_state::{DatabaseName, GroupName, RegionName, ZoneName};

use super::node::HollowNode;
use super::platform::PlatformStandIn;
use super::report::Traffic;
use super::{ScaleError, ScaleSettings};

/// Maximum number of seed addresses of a node; the seeds are the nodes started first.
const SEEDS: usize = 5;
/// Number of databases of a group.
const DATABASES_PER_GROUP: usize = 3;
/// Maximum number of connections to a database.
const SLOTS_PER_DATABASE: u32 = 5;
/// Fleet secret. Not confidential: it is used by measurements only.
const SECRET: [u8; 32] = [17; 32];
/// Size of the IP and UDP headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Size of the IP and TCP headers of a record and of the packet that acknowledges it, in
/// bytes.
const RECORD_HEADER_BYTES: u64 = 104;

/// The nodes of a run and the platform stand-in that they use.
pub struct HollowFleet {
    /// Platform stand-in.
    pub platform: PlatformStandIn,
    /// Nodes in the order in which they were started.
    pub nodes: Vec<HollowNode>,
}

/// Returns the name of a zone.
pub fn zone_name(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index}"))
}

/// Returns the region of a zone. The first half of the zones is in one region, the rest in
/// another.
fn region_name(index: usize, zones: usize) -> RegionName {
    let region = usize::from(index * 2 >= zones && zones > 1);
    RegionName::new(format!("region-{region}"))
}

/// Returns the name of a group.
pub fn group_name(index: usize) -> GroupName {
    GroupName::new(format!("group-{index}"))
}

/// Returns the name of a database of a group.
pub fn database_name(group: usize, index: usize) -> DatabaseName {
    DatabaseName::new(format!("group-{group}-{index}"))
}

/// Returns the number of groups for a number of databases.
pub fn group_count(databases: usize) -> usize {
    databases.div_ceil(DATABASES_PER_GROUP)
}

/// Returns a bundle with `settings.databases` databases. The databases of a group are in
/// consecutive zones, so in different zones when there are at least three.
pub fn bundle(settings: &ScaleSettings) -> Bundle {
    let zones = (0..settings.zones)
        .map(|index| (zone_name(index), region_name(index, settings.zones)))
        .collect();
    let mut groups = BTreeMap::new();
    let mut databases = BTreeMap::new();
    for number in 0..settings.databases {
        let (group, index) = (number / DATABASES_PER_GROUP, number % DATABASES_PER_GROUP);
        groups.entry(group_name(group)).or_insert_with(|| Group {
            database: format!("group_{group}"),
            user: "hookpoint".to_owned(),
            reads: ReadPreference::Replica,
            election_timeout_ms: 300,
        });
        let database = Database {
            group: group_name(group),
            zone: zone_name((group + index) % settings.zones),
            address: format!("127.0.0.1:{}", 1_024 + number % 60_000),
            slots: SLOTS_PER_DATABASE,
        };
        databases.insert(database_name(group, index), database);
    }
    Bundle {
        version: BundleVersion(0),
        description: "hollow".to_owned(),
        zones,
        groups,
        databases,
        limits: Limits::default(),
        tenants: BTreeMap::new(),
        drain: BTreeSet::new(),
    }
}

impl HollowFleet {
    /// Starts the platform stand-in and all nodes.
    pub async fn start(settings: &ScaleSettings) -> Result<Self, ScaleError> {
        let platform = PlatformStandIn::start().await?;
        let key = FleetKey::new(1, &SECRET).map_err(|error| ScaleError::Key(error.to_string()))?;
        let mut nodes: Vec<HollowNode> = Vec::with_capacity(settings.nodes);
        for index in 0..settings.nodes {
            let zone = index % settings.zones;
            let seeds = nodes.iter().take(SEEDS).map(|node| node.fleet.address());
            nodes.push(HollowNode::start(
                zone_name(zone),
                region_name(zone, settings.zones),
                key.clone(),
                seeds.collect(),
                &platform,
            )?);
        }
        Ok(Self { platform, nodes })
    }

    /// Returns the smallest number of members that any node considers available for work.
    pub fn fewest_available_members(&self) -> usize {
        let counts = self.nodes.iter().map(|node| {
            let members = node.fleet.members();
            members
                .iter()
                .filter(|member| member.state.is_available())
                .count()
        });
        counts.min().unwrap_or(0)
    }

    /// Returns the traffic of all nodes since their start.
    pub fn traffic(&self) -> Traffic {
        let mut total = Traffic::default();
        for node in &self.nodes {
            let status = node.fleet.status();
            let counters = status.counters;
            total.datagrams_sent += counters.datagrams_sent;
            total.datagrams_received += counters.datagrams_received;
            total.datagrams_dropped += counters.datagrams_dropped;
            total.datagram_bytes_sent +=
                counters.datagram_bytes_sent + counters.datagrams_sent * DATAGRAM_HEADER_BYTES;
            total.link_records_sent += counters.link_records_sent;
            total.link_bytes_sent +=
                counters.link_bytes_sent + counters.link_records_sent * RECORD_HEADER_BYTES;
            total.links += status.links as u64;
        }
        total
    }

    /// Stops all nodes.
    pub fn shutdown(&self) {
        for node in &self.nodes {
            node.kill();
        }
    }
}
