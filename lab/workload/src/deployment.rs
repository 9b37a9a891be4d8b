//! The deployments that the laboratory rebuilds on loopback: zones, latencies, database
//! groups and numbers of clients.

use std::time::Duration;

use hookpoint_state::{DatabaseName, GroupName, RegionName, ZoneName};

/// Which application runs on a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Application {
    /// Reminders, charge notices, order confirmations, replies and their read-backs.
    Messaging,
    /// Meter readings, corrections, billing runs and customers' reads.
    Metering,
}

/// A zone and the region it lies in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSpecification {
    /// Name of the zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
}

/// One database server of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DatabaseSpecification {
    /// Name, unique in the deployment.
    pub name: DatabaseName,
    /// Zone it stands in.
    pub zone: ZoneName,
}

/// One replicated group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupSpecification {
    /// Name of the group.
    pub name: GroupName,
    /// Its databases; the first one starts as primary.
    pub databases: Vec<DatabaseSpecification>,
}

/// One-way latencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latencies {
    /// Within one zone.
    pub within_zone: Duration,
    /// Between two zones of one region.
    pub between_zones: Duration,
    /// Between two regions.
    pub between_regions: Duration,
    /// Between a client and the machines of its zone.
    pub to_clients: Duration,
}

/// A whole deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// What runs on it.
    pub application: Application,
    /// Its zones, one proxy each.
    pub zones: Vec<ZoneSpecification>,
    /// Its database groups.
    pub groups: Vec<GroupSpecification>,
    /// Latencies of its links.
    pub latencies: Latencies,
    /// Connections each database allows.
    pub slots: u32,
    /// Client sessions for each database.
    pub clients_per_database: usize,
    /// Time a new database connection takes.
    pub connect_delay: Duration,
    /// How far replicas run behind in ordinary times.
    pub replica_lag: Duration,
}

/// Number of groups in either deployment.
const GROUPS: usize = 3;

/// The messaging deployment in Costa Rica.
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
        slots: 5,
        clients_per_database: 40,
        connect_delay: Duration::from_millis(10),
        replica_lag: Duration::from_millis(200),
    }
}

/// The metering deployment in Greece.
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
        slots: 10,
        clients_per_database: 100,
        connect_delay: Duration::from_millis(10),
        replica_lag: Duration::from_millis(200),
    }
}

impl Deployment {
    /// The deployment of that name, if there is one.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "costa-rica" => Some(costa_rica()),
            "greece" => Some(greece()),
            _ => None,
        }
    }

    /// One-way latency between machines of two zones.
    pub fn latency(&self, from: &ZoneName, to: &ZoneName) -> Duration {
        if from == to {
            return self.latencies.within_zone;
        }
        if self.region_of(from) == self.region_of(to) {
            return self.latencies.between_zones;
        }
        self.latencies.between_regions
    }

    /// The region of `zone`, if the deployment has it.
    pub fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.zones
            .iter()
            .find(|candidate| &candidate.zone == zone)
            .map(|found| &found.region)
    }

    /// Client sessions of the whole deployment.
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

/// Three groups, each with one database a zone; each group's first primary stands in
/// another zone.
fn groups(prefix: &str, zones: &[ZoneSpecification]) -> Vec<GroupSpecification> {
    (0..GROUPS)
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
