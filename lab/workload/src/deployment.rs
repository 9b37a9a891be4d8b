//! The deployments that the lab reproduces on loopback: zones, latencies, database
//! groups and numbers of clients.

use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, RegionName, ZoneName};

/// Which application runs on a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Application {
    /// Reminders, charge notices, order confirmations, replies, and reads of these rows.
    Messaging,
    /// Meter readings, corrections, billing runs and reads by customers.
    Metering,
}

/// A zone and the region it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSpecification {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
}

/// One database server of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabaseSpecification {
    /// Name of the database, unique in the deployment.
    pub name: DatabaseName,
    /// Zone that the server is placed in.
    pub zone: ZoneName,
}

/// One replicated database group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSpecification {
    /// Name of the group.
    pub name: GroupName,
    /// Databases of the group. The first database starts as primary.
    pub databases: Vec<DatabaseSpecification>,
}

/// One-way network latencies of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latencies {
    /// Within one zone.
    pub within_zone: Duration,
    /// Between two zones of one region.
    pub between_zones: Duration,
    /// Between two regions.
    pub between_regions: Duration,
    /// Between a client and the machines in its zone.
    pub to_clients: Duration,
}

/// A complete deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Name used on the command line.
    pub name: &'static str,
    /// Application that runs on the deployment.
    pub application: Application,
    /// Zones, with one proxy each.
    pub zones: Vec<ZoneSpecification>,
    /// Replicated database groups.
    pub groups: Vec<GroupSpecification>,
    /// One-way network latencies.
    pub latencies: Latencies,
    /// Maximum number of connections to each database.
    pub max_connections: u32,
    /// Number of client sessions per database.
    pub clients_per_database: usize,
    /// Time taken to open a database connection.
    pub connect_delay: Duration,
    /// Replication lag of replicas in normal operation.
    pub replica_lag: Duration,
}

/// Number of groups in each deployment.
const GROUP_COUNT: usize = 3;

/// Returns the messaging deployment in Costa Rica.
pub fn costa_rica() -> Deployment {
    let zones = zones(&[
        ("sj-sala-a", "san-jose"),
        ("al-sala-b", "alajuela"),
        ("lb-sala-c", "liberia"),
    ]);
    Deployment {
        name: "costa-rica",
        application: Application::Messaging,
        groups: groups("mensajes", &zones),
        zones,
        latencies: Latencies {
            within_zone: Duration::ZERO,
            between_zones: Duration::from_micros(1_500),
            between_regions: Duration::from_millis(20),
            to_clients: Duration::from_millis(3),
        },
        max_connections: 5,
        clients_per_database: 40,
        connect_delay: Duration::from_millis(10),
        replica_lag: Duration::from_millis(200),
    }
}

/// Returns the metering deployment in Greece.
pub fn greece() -> Deployment {
    let zones = zones(&[
        ("ath-hall", "attica"),
        ("thes-hall", "macedonia"),
        ("her-hall", "crete"),
    ]);
    Deployment {
        name: "greece",
        application: Application::Metering,
        groups: groups("meterdb", &zones),
        zones,
        latencies: Latencies {
            within_zone: Duration::ZERO,
            between_zones: Duration::from_micros(500),
            between_regions: Duration::from_millis(10),
            to_clients: Duration::from_millis(3),
        },
        max_connections: 10,
        clients_per_database: 100,
        connect_delay: Duration::from_millis(10),
        replica_lag: Duration::from_millis(200),
    }
}

impl Deployment {
    /// Returns the deployment called `name`; `None` when there is none.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "costa-rica" => Some(costa_rica()),
            "greece" => Some(greece()),
            _ => None,
        }
    }

    /// Returns the one-way latency between machines of two zones.
    pub fn latency(&self, from: &ZoneName, to: &ZoneName) -> Duration {
        if from == to {
            return self.latencies.within_zone;
        }
        if self.region_of(from) == self.region_of(to) {
            return self.latencies.between_zones;
        }
        self.latencies.between_regions
    }

    /// Returns the region of `zone`; `None` when the deployment has no such zone.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.zones
            .iter()
            .find(|candidate| &candidate.zone == zone)
            .map(|found| &found.region)
    }

    /// Returns the number of client sessions of the whole deployment.
    pub fn clients(&self) -> usize {
        let databases: usize = self.groups.iter().map(|group| group.databases.len()).sum();
        databases * self.clients_per_database
    }
}

fn zones(names: &[(&str, &str)]) -> Vec<ZoneSpecification> {
    names
        .iter()
        .map(|(zone, region)| ZoneSpecification {
            zone: ZoneName::new(zone),
            region: RegionName::new(region),
        })
        .collect()
}

/// Returns three groups with one database in each zone. The initial primaries of the groups
/// are in different zones.
fn groups(prefix: &str, zones: &[ZoneSpecification]) -> Vec<GroupSpecification> {
    (0..GROUP_COUNT)
        .map(|group| GroupSpecification {
            name: GroupName::from(format!("{prefix}-{}", group + 1)),
            databases: (0..zones.len())
                .map(|member| DatabaseSpecification {
                    name: DatabaseName::from(format!(
                        "{prefix}-{}-{}",
                        group + 1,
                        (b'a' + member as u8) as char
                    )),
                    zone: zones[(group + member) % zones.len()].zone.clone(),
                })
                .collect(),
        })
        .collect()
}
