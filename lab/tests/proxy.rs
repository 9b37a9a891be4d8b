//! One proxy between a client, a group of databases and the platform, in one process.

use std::sync::Arc;
use std::time::Duration;

use hookpoint::operator::Operator;
use hookpoint::proxy::{Proxy, ProxyHandle};
use hookpoint::settings::ProxySettings;
use hookpoint_lab::stack::{DATABASE_USER, DatabaseOptions, Stack};
use hookpoint_state::bundle::{Bundle, Database, Group, OperatorKey};
use hookpoint_state::{BundleVersion, ZoneName};
use hookpoint_transport::platform::PlatformClient;
use hookpoint_workload::deployment::costa_rica;
use tokio_postgres::NoTls;

const PATIENCE: Duration = Duration::from_secs(20);

fn operator_key() -> OperatorKey {
    OperatorKey::from_secret([7; 32])
}

fn operator(stack: &Stack) -> Operator {
    let client = PlatformClient::new(vec![stack.platform.url()], Duration::from_secs(2));
    Operator::new(client, "tester", PATIENCE)
}

fn bundle_of(stack: &Stack) -> Bundle {
    let mut bundle = Bundle::default();
    for zone in &stack.deployment.zones {
        bundle.zones.insert(zone.zone.clone(), zone.region.clone());
    }
    for group in &stack.deployment.groups {
        let entry = Group {
            database: group.name.to_string(),
            user: DATABASE_USER.to_owned(),
            reads: Default::default(),
            election_timeout_ms: 300,
        };
        bundle.groups.insert(group.name.clone(), entry);
    }
    for (name, zone, address) in stack.databases.addresses() {
        let running = stack.databases.group_of(name.as_str()).expect("a group");
        let mut groups = stack.databases.iter();
        let group = groups.find(|(_, other)| std::ptr::eq(*other, running));
        let entry = Database {
            group: group.expect("a group").0.clone(),
            zone,
            address: address.to_string(),
            slots: stack.deployment.slots,
        };
        bundle.databases.insert(name, entry);
    }
    bundle
}

async fn roll(stack: &Stack, bundle: Bundle) -> BundleVersion {
    let operator = operator(stack);
    let version = operator
        .prepare(bundle)
        .await
        .expect("prepared")
        .bundle
        .version;
    operator
        .approve(&operator_key(), version)
        .await
        .expect("approved");
    operator.roll(version, None, None).await.expect("rolled");
    version
}

fn settings(stack: &Stack, zone: usize) -> ProxySettings {
    let zone = &stack.deployment.zones[zone];
    let mut settings = ProxySettings::new(zone.zone.clone(), zone.region.clone());
    settings.platform.urls = vec![stack.platform.url()];
    settings.bundles.trusted_keys = vec![operator_key().public_text()];
    settings
}

async fn in_force(proxy: &ProxyHandle, version: BundleVersion) {
    let mut changes = proxy.shared().bundle_changes();
    let reached = async {
        loop {
            let bundle = proxy.shared().bundle();
            if bundle.is_some_and(|bundle| bundle.version >= version) {
                return;
            }
            changes.changed().await.expect("the proxy runs");
        }
    };
    tokio::time::timeout(PATIENCE, reached)
        .await
        .expect("the bundle comes into force");
}

async fn connect(proxy: &ProxyHandle, group: &str) -> tokio_postgres::Client {
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

#[actix_rt::test]
async fn a_write_and_its_read_pass_through_a_proxy_with_a_rolled_bundle() {
    let stack = Stack::start(Arc::new(costa_rica()), DatabaseOptions::default())
        .await
        .expect("stand-ins");
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let version = roll(&stack, bundle_of(&stack)).await;
    in_force(&proxy, version).await;
    let group = stack.deployment.groups[0].name.to_string();
    let client = connect(&proxy, &group).await;
    client
        .batch_execute("CREATE TABLE notes (id integer, text text)")
        .await
        .expect("a table");
    client
        .execute("INSERT INTO notes VALUES (1, 'hello')", &[])
        .await
        .expect("a write");
    let row = client
        .query_one("SELECT text FROM notes WHERE id = 1", &[])
        .await
        .expect("a read");
    assert_eq!(row.get::<_, String>(0), "hello");
    assert_eq!(proxy.shared().zone, ZoneName::new("sj-sala-a"));
    proxy.stop().await;
    let ended = client.query_one("SELECT 1", &[]).await;
    assert!(ended.is_err(), "a stopped proxy serves nothing");
}
