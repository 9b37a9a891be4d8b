//! The rules of a bundle.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use thiserror::Error;

use super::{Bundle, Database, Group, Limits};
use crate::document::{DocumentReason, KeyPath};
use crate::names::{DatabaseName, GroupName, ZoneName};

/// Longest name, in bytes; PostgreSQL cuts identifiers after 63.
const MAXIMUM_NAME_BYTES: usize = 63;
/// Most slots of one database.
const MAXIMUM_SLOTS: u32 = 10_000;
/// Longest time budget, in milliseconds.
const MAXIMUM_BUDGET_MS: u64 = 10 * 60 * 1_000;

/// What is wrong with a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BundleReason {
    /// It cannot be read.
    #[error(transparent)]
    Document(DocumentReason),
    /// A name is empty, too long, or holds other than visible ASCII characters.
    #[error("a name has 1 to {MAXIMUM_NAME_BYTES} visible ASCII characters")]
    BadName,
    /// No zones, groups or databases are named.
    #[error("at least one entry is needed")]
    Empty,
    /// A zone that the bundle does not name.
    #[error("zone `{zone}` is not named under `zones`")]
    UnknownZone {
        /// The zone.
        zone: ZoneName,
    },
    /// A group that the bundle does not name.
    #[error("group `{group}` is not named under `groups`")]
    UnknownGroup {
        /// The group.
        group: GroupName,
    },
    /// A database that the bundle does not name.
    #[error("database `{database}` is not named under `databases`")]
    UnknownDatabase {
        /// The database.
        database: DatabaseName,
    },
    /// A group without databases.
    #[error("the group has no database")]
    NoDatabase,
    /// Not an IP address and port.
    #[error("`{address}` is no address of the form ip:port")]
    BadAddress {
        /// The text.
        address: String,
    },
    /// An address that nothing can be reached at.
    #[error("`{address}` is not the address of one machine")]
    UnusableAddress {
        /// The text.
        address: String,
    },
    /// Two databases at one address.
    #[error("database `{other}` has the same address")]
    DuplicateAddress {
        /// The other database.
        other: DatabaseName,
    },
    /// A number outside its range.
    #[error("{value} is outside {minimum} to {maximum}")]
    OutOfRange {
        /// The number.
        value: u64,
        /// Smallest allowed.
        minimum: u64,
        /// Largest allowed.
        maximum: u64,
    },
}

type Finding = (KeyPath, BundleReason);

/// Every rule that `bundle` breaks.
pub(super) fn validate(bundle: &Bundle) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_zones(bundle, &mut findings);
    check_groups(bundle, &mut findings);
    check_databases(bundle, &mut findings);
    check_limits(&bundle.limits, &mut findings);
    check_tenants(bundle, &mut findings);
    check_drain(bundle, &mut findings);
    findings
}

fn section(name: &str) -> KeyPath {
    KeyPath::root().key(name)
}

fn check_name(path: &KeyPath, name: &str, findings: &mut Vec<Finding>) {
    let fits = (1..=MAXIMUM_NAME_BYTES).contains(&name.len());
    if !fits || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        findings.push((path.clone(), BundleReason::BadName));
    }
}

fn check_range(path: KeyPath, value: u64, range: (u64, u64), findings: &mut Vec<Finding>) {
    let (minimum, maximum) = range;
    if value < minimum || value > maximum {
        let reason = BundleReason::OutOfRange {
            value,
            minimum,
            maximum,
        };
        findings.push((path, reason));
    }
}

fn check_zones(bundle: &Bundle, findings: &mut Vec<Finding>) {
    let zones = section("zones");
    if bundle.zones.is_empty() {
        findings.push((zones.clone(), BundleReason::Empty));
    }
    for (zone, region) in &bundle.zones {
        let path = zones.key(zone.as_str());
        check_name(&path, zone.as_str(), findings);
        check_name(&path, region.as_str(), findings);
    }
}

fn check_groups(bundle: &Bundle, findings: &mut Vec<Finding>) {
    let groups = section("groups");
    if bundle.groups.is_empty() {
        findings.push((groups.clone(), BundleReason::Empty));
    }
    let used: BTreeSet<&GroupName> = bundle
        .databases
        .values()
        .map(|database| &database.group)
        .collect();
    for (name, group) in &bundle.groups {
        let path = groups.key(name.as_str());
        check_name(&path, name.as_str(), findings);
        check_group(&path, group, findings);
        if !used.contains(name) {
            findings.push((path, BundleReason::NoDatabase));
        }
    }
}

fn check_group(path: &KeyPath, group: &Group, findings: &mut Vec<Finding>) {
    check_name(&path.key("database"), &group.database, findings);
    check_name(&path.key("user"), &group.user, findings);
    let timeout = path.key("election_timeout_ms");
    let range = (1, MAXIMUM_BUDGET_MS);
    check_range(timeout, group.election_timeout_ms, range, findings);
}

fn check_databases(bundle: &Bundle, findings: &mut Vec<Finding>) {
    let databases = section("databases");
    if bundle.databases.is_empty() {
        findings.push((databases.clone(), BundleReason::Empty));
    }
    let mut addresses: BTreeMap<SocketAddr, &DatabaseName> = BTreeMap::new();
    for (name, database) in &bundle.databases {
        let path = databases.key(name.as_str());
        check_name(&path, name.as_str(), findings);
        check_database(bundle, &path, database, findings);
        let address_path = path.key("address");
        let Some(address) = check_address(&address_path, &database.address, findings) else {
            continue;
        };
        if let Some(other) = addresses.insert(address, name) {
            let other = other.clone();
            findings.push((address_path, BundleReason::DuplicateAddress { other }));
        }
    }
}

fn check_database(
    bundle: &Bundle,
    path: &KeyPath,
    database: &Database,
    findings: &mut Vec<Finding>,
) {
    if !bundle.groups.contains_key(&database.group) {
        let group = database.group.clone();
        findings.push((path.key("group"), BundleReason::UnknownGroup { group }));
    }
    if !bundle.zones.contains_key(&database.zone) {
        let zone = database.zone.clone();
        findings.push((path.key("zone"), BundleReason::UnknownZone { zone }));
    }
    let range = (1, u64::from(MAXIMUM_SLOTS));
    check_range(
        path.key("slots"),
        u64::from(database.slots),
        range,
        findings,
    );
}

fn check_address(path: &KeyPath, text: &str, findings: &mut Vec<Finding>) -> Option<SocketAddr> {
    let Ok(address) = text.parse::<SocketAddr>() else {
        let address = text.chars().take(MAXIMUM_NAME_BYTES).collect();
        findings.push((path.clone(), BundleReason::BadAddress { address }));
        return None;
    };
    let ip: IpAddr = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        let address = text.to_owned();
        findings.push((path.clone(), BundleReason::UnusableAddress { address }));
    }
    Some(address)
}

fn check_limits(limits: &Limits, findings: &mut Vec<Finding>) {
    let path = section("limits");
    let budget = (1, MAXIMUM_BUDGET_MS);
    let checks = [
        ("wait_ms", limits.wait_ms, budget),
        ("acknowledge_ms", limits.acknowledge_ms, budget),
        (
            "idle_transaction_ms",
            limits.idle_transaction_ms,
            (1, u64::MAX),
        ),
        (
            "queue_per_database",
            u64::from(limits.queue_per_database),
            (1, 1_000_000),
        ),
        (
            "sessions_per_node",
            u64::from(limits.sessions_per_node),
            (1, 1_000_000),
        ),
        (
            "message_bytes",
            u64::from(limits.message_bytes),
            (1_024, 1 << 30),
        ),
        ("retry_percent", u64::from(limits.retry_percent), (0, 100)),
    ];
    for (key, value, range) in checks {
        check_range(path.key(key), value, range, findings);
    }
}

fn check_tenants(bundle: &Bundle, findings: &mut Vec<Finding>) {
    let tenants = section("tenants");
    for (name, limits) in &bundle.tenants {
        let path = tenants.key(name.as_str());
        check_name(&path, name.as_str(), findings);
        let weight = u64::from(limits.weight);
        check_range(path.key("weight"), weight, (1, 1_000), findings);
        if let Some(waiting) = limits.waiting {
            let range = (1, u64::from(u32::MAX));
            check_range(path.key("waiting"), u64::from(waiting), range, findings);
        }
    }
}

fn check_drain(bundle: &Bundle, findings: &mut Vec<Finding>) {
    for database in &bundle.drain {
        if !bundle.databases.contains_key(database) {
            let path = section("drain").item(database.as_str());
            let database = database.clone();
            findings.push((path, BundleReason::UnknownDatabase { database }));
        }
    }
}
