//! All hollow nodes of a run, and the bundle they share.

use std::collections::{BTreeMap, BTreeSet};

use hookpoint_protocol::peer::FleetKey;
use hookpoint_state::bundle::{Bundle, BundleVersion, Database, Group, Limits, ReadPreference};
use hookpoint_state::{DatabaseName, GroupName, RegionName, ZoneName};

use super::node::HollowNode;
use super::platform::Rollouts;
use super::report::Traffic;
use super::{ScaleError, ScaleSettings};

/// Nodes that every other node is told of.
const SEEDS: usize = 5;
/// Databases of one group.
const DATABASES_PER_GROUP: usize = 3;
/// Connections a database accepts.
const SLOTS: u32 = 5;
/// Secret of the fleet; it protects nothing.
const SECRET: [u8; 32] = [17; 32];
/// Headers of IP and UDP in bytes.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// Headers of IP and TCP of a record and of the packet that acknowledges it, in bytes.
const RECORD_HEADER_BYTES: u64 = 104;

/// The nodes and the platform they use.
pub struct HollowFleet {
    /// The platform's stand-in.
    pub platform: Rollouts,
    /// Nodes in the order of their start.
    pub nodes: Vec<HollowNode>,
}

/// Name of a zone.
pub fn zone_name(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{index}"))
}

/// The region a zone lies in: the first half of the zones in one, the rest in another.
fn region_name(index: usize, zones: usize) -> RegionName {
    let region = usize::from(index * 2 >= zones && zones > 1);
    RegionName::new(format!("region-{region}"))
}

/// Name of a group.
pub fn group_name(index: usize) -> GroupName {
    GroupName::new(format!("group-{index}"))
}

/// Name of a database of a group.
pub fn database_name(group: usize, index: usize) -> DatabaseName {
    DatabaseName::new(format!("group-{group}-{index}"))
}

/// Groups of a number of databases.
pub fn groups(databases: usize) -> usize {
    databases.div_ceil(DATABASES_PER_GROUP)
}

/// A bundle of that many databases, the three of a group in three zones.
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
            slots: SLOTS,
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
    /// Starts all nodes.
    pub async fn start(settings: &ScaleSettings) -> Result<Self, ScaleError> {
        let platform = Rollouts::start().await?;
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

    /// The fewest members that a node knows and takes for alive.
    pub fn fewest_known(&self) -> usize {
        let known = self.nodes.iter().map(|node| {
            let members = node.fleet.members();
            members
                .iter()
                .filter(|member| member.state.takes_work())
                .count()
        });
        known.min().unwrap_or(0)
    }

    /// What all nodes have sent and received since their start.
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

    /// Ends all nodes.
    pub fn shutdown(&self) {
        for node in &self.nodes {
            node.kill();
        }
    }
}
