//! Validation of a bundle.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use thiserror::Error;

use super::{Bundle, Database, Group, Limits};
use crate::document::{DocumentReason, KeyPath};
use crate::names::{DatabaseName, GroupName, ZoneName};

/// Maximum length of a name, in bytes. PostgreSQL truncates identifiers to 63 bytes.
const MAXIMUM_NAME_BYTES: usize = 63;
/// Maximum number of slots of one database.
const MAXIMUM_SLOTS: u32 = 10_000;
/// Maximum time budget, in milliseconds.
const MAXIMUM_BUDGET_MS: u64 = 10 * 60 * 1_000;

/// Reason why a bundle is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BundleReason {
    /// The document cannot be read.
    #[error(transparent)]
    Document(DocumentReason),
    /// A name is empty, too long, or contains characters other than visible ASCII.
    #[error("a name has 1 to {MAXIMUM_NAME_BYTES} visible ASCII characters")]
    BadName,
    /// The bundle has no zones, groups or databases.
    #[error("at least one entry is needed")]
    Empty,
    /// A database refers to a zone that is not in the bundle.
    #[error("zone `{zone}` is not named under `zones`")]
    UnknownZone {
        /// Name of the zone.
        zone: ZoneName,
    },
    /// A database refers to a group that is not in the bundle.
    #[error("group `{group}` is not named under `groups`")]
    UnknownGroup {
        /// Name of the group.
        group: GroupName,
    },
    /// The drain list contains a database that is not in the bundle.
    #[error("database `{database}` is not named under `databases`")]
    UnknownDatabase {
        /// Name of the database.
        database: DatabaseName,
    },
    /// A group has no databases.
    #[error("the group has no database")]
    NoDatabase,
    /// An address is not an IP address and port.
    #[error("`{address}` is no address of the form ip:port")]
    BadAddress {
        /// Address in the document.
        address: String,
    },
    /// An address cannot belong to a server: its port is 0, or its IP address is
    /// unspecified or multicast.
    #[error("`{address}` is not the address of one machine")]
    UnusableAddress {
        /// Address in the document.
        address: String,
    },
    /// Two databases have the same address.
    #[error("database `{other}` has the same address")]
    DuplicateAddress {
        /// The other database with that address.
        other: DatabaseName,
    },
    /// A number is outside its range.
    #[error("{value} is outside {minimum} to {maximum}")]
    OutOfRange {
        /// Number in the document.
        value: u64,
        /// Smallest allowed value.
        minimum: u64,
        /// Largest allowed value.
        maximum: u64,
    },
}

type Violation = (KeyPath, BundleReason);

/// Returns all violations of validation rules in `bundle`.
pub(super) fn validate(bundle: &Bundle) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_zones(bundle, &mut violations);
    check_groups(bundle, &mut violations);
    check_databases(bundle, &mut violations);
    check_limits(&bundle.limits, &mut violations);
    check_tenants(bundle, &mut violations);
    check_drain(bundle, &mut violations);
    violations
}

fn section(name: &str) -> KeyPath {
    KeyPath::root().key(name)
}

fn check_name(path: &KeyPath, name: &str, violations: &mut Vec<Violation>) {
    let valid_length = (1..=MAXIMUM_NAME_BYTES).contains(&name.len());
    if !valid_length || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
        violations.push((path.clone(), BundleReason::BadName));
    }
}

fn check_range(path: KeyPath, value: u64, range: (u64, u64), violations: &mut Vec<Violation>) {
    let (minimum, maximum) = range;
    if value < minimum || value > maximum {
        let reason = BundleReason::OutOfRange {
            value,
            minimum,
            maximum,
        };
        violations.push((path, reason));
    }
}

fn check_zones(bundle: &Bundle, violations: &mut Vec<Violation>) {
    let zones = section("zones");
    if bundle.zones.is_empty() {
        violations.push((zones.clone(), BundleReason::Empty));
    }
    for (zone, region) in &bundle.zones {
        let path = zones.key(zone.as_str());
        check_name(&path, zone.as_str(), violations);
        check_name(&path, region.as_str(), violations);
    }
}

fn check_groups(bundle: &Bundle, violations: &mut Vec<Violation>) {
    let groups = section("groups");
    if bundle.groups.is_empty() {
        violations.push((groups.clone(), BundleReason::Empty));
    }
    let used: BTreeSet<&GroupName> = bundle
        .databases
        .values()
        .map(|database| &database.group)
        .collect();
    for (name, group) in &bundle.groups {
        let path = groups.key(name.as_str());
        check_name(&path, name.as_str(), violations);
        check_group(&path, group, violations);
        if !used.contains(name) {
            violations.push((path, BundleReason::NoDatabase));
        }
    }
}

fn check_group(path: &KeyPath, group: &Group, violations: &mut Vec<Violation>) {
    check_name(&path.key("database"), &group.database, violations);
    check_name(&path.key("user"), &group.user, violations);
    let timeout = path.key("election_timeout_ms");
    let range = (1, MAXIMUM_BUDGET_MS);
    check_range(timeout, group.election_timeout_ms, range, violations);
}

fn check_databases(bundle: &Bundle, violations: &mut Vec<Violation>) {
    let databases = section("databases");
    if bundle.databases.is_empty() {
        violations.push((databases.clone(), BundleReason::Empty));
    }
    let mut addresses: BTreeMap<SocketAddr, &DatabaseName> = BTreeMap::new();
    for (name, database) in &bundle.databases {
        let path = databases.key(name.as_str());
        check_name(&path, name.as_str(), violations);
        check_database(bundle, &path, database, violations);
        let address_path = path.key("address");
        let Some(address) = check_address(&address_path, &database.address, violations) else {
            continue;
        };
        if let Some(other) = addresses.insert(address, name) {
            let other = other.clone();
            violations.push((address_path, BundleReason::DuplicateAddress { other }));
        }
    }
}

fn check_database(
    bundle: &Bundle,
    path: &KeyPath,
    database: &Database,
    violations: &mut Vec<Violation>,
) {
    if !bundle.groups.contains_key(&database.group) {
        let group = database.group.clone();
        violations.push((path.key("group"), BundleReason::UnknownGroup { group }));
    }
    if !bundle.zones.contains_key(&database.zone) {
        let zone = database.zone.clone();
        violations.push((path.key("zone"), BundleReason::UnknownZone { zone }));
    }
    let range = (1, u64::from(MAXIMUM_SLOTS));
    check_range(
        path.key("slots"),
        u64::from(database.slots),
        range,
        violations,
    );
}

fn check_address(
    path: &KeyPath,
    text: &str,
    violations: &mut Vec<Violation>,
) -> Option<SocketAddr> {
    let Ok(address) = text.parse::<SocketAddr>() else {
        let address = text.chars().take(MAXIMUM_NAME_BYTES).collect();
        violations.push((path.clone(), BundleReason::BadAddress { address }));
        return None;
    };
    let ip: IpAddr = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        let address = text.to_owned();
        violations.push((path.clone(), BundleReason::UnusableAddress { address }));
    }
    Some(address)
}

fn check_limits(limits: &Limits, violations: &mut Vec<Violation>) {
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
        check_range(path.key(key), value, range, violations);
    }
}

fn check_tenants(bundle: &Bundle, violations: &mut Vec<Violation>) {
    let tenants = section("tenants");
    for (name, limits) in &bundle.tenants {
        let path = tenants.key(name.as_str());
        check_name(&path, name.as_str(), violations);
        let weight = u64::from(limits.weight);
        check_range(path.key("weight"), weight, (1, 1_000), violations);
        if let Some(waiting) = limits.waiting {
            let range = (1, u64::from(u32::MAX));
            check_range(path.key("waiting"), u64::from(waiting), range, violations);
        }
    }
}

fn check_drain(bundle: &Bundle, violations: &mut Vec<Violation>) {
    for database in &bundle.drain {
        if !bundle.databases.contains_key(database) {
            let path = section("drain").item(database.as_str());
            let database = database.clone();
            violations.push((path, BundleReason::UnknownDatabase { database }));
        }
    }
}
