//! Helpers for the tests of operators and proxies.
#![allow(dead_code)]

use std::time::Duration;

use hookpoint::operator::Operator;
use hookpoint::proxy::ProxyHandle;
use hookpoint::settings::ProxySettings;
use hookpoint_lab::stack::{DATABASE_USER, Stack};
use hookpoint_state::BundleVersion;
use hookpoint_state::bundle::{Bundle, Database, Group, OperatorKey, parse_bundle};
use hookpoint_transport::platform::PlatformClient;
use tokio_postgres::NoTls;

/// Timeout of a step in a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the operators' key.
pub fn operator_key() -> OperatorKey {
    OperatorKey::from_secret([7; 32])
}

/// Returns a valid bundle with one database that is not running.
pub fn small_bundle() -> Bundle {
    let text = r#"
        zones = { z = "r" }
        groups = { g = { database = "d", user = "u" } }
        databases = { d = { group = "g", zone = "z", address = "127.0.0.1:9", slots = 1 } }
    "#;
    parse_bundle("small.toml", text).expect("a valid bundle")
}

/// Creates an operator on the platform stand-in.
pub fn operator(stack: &Stack) -> Operator {
    let client = PlatformClient::new(vec![stack.platform.url()], Duration::from_secs(2));
    Operator::new(client, "tester", STEP_TIMEOUT)
}

/// Returns a bundle with all databases of the stand-ins.
pub fn bundle_of(stack: &Stack) -> Bundle {
    let mut bundle = Bundle::default();
    for zone in &stack.deployment.zones {
        bundle.zones.insert(zone.zone.clone(), zone.region.clone());
    }
    for (group, running) in stack.databases.iter() {
        let entry = Group {
            database: group.to_string(),
            user: DATABASE_USER.to_owned(),
            reads: Default::default(),
            election_timeout_ms: 300,
        };
        bundle.groups.insert(group.clone(), entry);
        for (name, zone) in &running.databases {
            let entry = Database {
                group: group.clone(),
                zone: zone.clone(),
                address: running.group.address(name.as_str()).to_string(),
                slots: stack.deployment.max_connections,
            };
            bundle.databases.insert(name.clone(), entry);
        }
    }
    bundle
}

/// Prepares, approves and rolls `bundle`, and returns its version.
pub async fn roll(stack: &Stack, bundle: Bundle) -> BundleVersion {
    let operator = operator(stack);
    let record = operator.prepare(bundle).await.expect("prepared");
    let version = record.bundle.version;
    operator
        .approve(&operator_key(), version)
        .await
        .expect("approved");
    operator.roll(version, None, None).await.expect("rolled");
    version
}

/// Returns the settings of a proxy in the zone of index `zone`.
pub fn settings(stack: &Stack, zone: usize) -> ProxySettings {
    let zone = &stack.deployment.zones[zone];
    let mut settings = ProxySettings::new(zone.zone.clone(), zone.region.clone());
    settings.platform.urls = vec![stack.platform.url()];
    settings.bundles.trusted_keys = vec![operator_key().public_text()];
    settings
}

/// Waits until `proxy` has `version` or a newer one in force.
pub async fn wait_until_in_force(proxy: &ProxyHandle, version: BundleVersion) {
    let mut changes = proxy.shared().bundle_changes();
    let reached = async {
        loop {
            let bundle = proxy.shared().bundle();
            if bundle.is_some_and(|bundle| bundle.version >= version) {
                return;
            }
            changes.changed().await.expect("the proxy is running");
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, reached)
        .await
        .expect("the bundle is in force");
}

/// Opens a caller's session on `group` through `proxy`.
pub async fn connect(proxy: &ProxyHandle, group: &str) -> tokio_postgres::Client {
    let address = proxy.caller_address();
    let parameters = format!(
        "host={} port={} user=clinic dbname={group}",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&parameters, NoTls)
        .await
        .expect("a session");
    actix_rt::spawn(connection);
    client
}
