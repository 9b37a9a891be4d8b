//! One proxy with a client, a group of databases and the platform, in one process.

mod operator_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hookpoint::proxy::{Proxy, ProxyHandle};
use hookpoint_coordination::explain::{Decision, Entry};
use hookpoint_lab::stack::{DatabaseOptions, Stack};
use hookpoint_protocol::platform::records::{MACHINE_PREFIX, MachineRecord, MachineState};
use hookpoint_state::bundle::{Bundle, BundleVersion, OperatorKey};
use hookpoint_state::{SessionId, ZoneName};
use hookpoint_transport::admin::{FleetStatus, Health, Readiness};
use hookpoint_workload::deployment::costa_rica;
use operator_support::{
    STEP_TIMEOUT, bundle_of, connect, operator_key, roll, settings, wait_until_in_force,
};

#[actix_rt::test]
async fn a_write_and_its_read_pass_through_a_proxy_with_a_rolled_bundle() {
    let stack = Stack::start(Arc::new(costa_rica()), DatabaseOptions::default())
        .await
        .expect("stand-ins");
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let version = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&proxy, version).await;
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

/// Waits until the bundle in force satisfies `reached`, which is checked after every change
/// of the bundle. `name` describes the condition in a failure.
async fn wait_for_bundle(proxy: &ProxyHandle, name: &str, reached: impl Fn(&Bundle) -> bool) {
    let mut changes = proxy.shared().bundle_changes();
    let waiting = async {
        while !proxy
            .shared()
            .bundle()
            .is_some_and(|bundle| reached(&bundle))
        {
            changes.changed().await.expect("the proxy is running");
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, waiting)
        .await
        .expect(name);
}

async fn stack() -> Stack {
    Stack::start(Arc::new(costa_rica()), DatabaseOptions::default())
        .await
        .expect("stand-ins")
}

fn put_machine(stack: &Stack, address: SocketAddr, state: MachineState) {
    let machine = MachineRecord {
        node: "machine-1".to_owned(),
        zone: "sj-sala-a".to_owned(),
        region: "san-jose".to_owned(),
        peer_address: address,
        state,
    };
    let value = serde_json::to_vec(&machine).expect("a record");
    stack.platform.put(&machine.key(), &value);
}

#[actix_rt::test]
async fn a_database_on_a_leaving_machine_is_drained_until_the_machine_is_live_again() {
    let stack = stack().await;
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let version = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&proxy, version).await;
    let (name, _, address) = stack.databases.addresses().remove(0);
    put_machine(&stack, address, MachineState::Leaving);
    wait_for_bundle(&proxy, "the database is drained", |bundle| {
        bundle.drain.contains(&name)
    })
    .await;
    let bundle = proxy.shared().bundle().expect("a bundle");
    assert_eq!((bundle.drain.len(), bundle.version), (1, version));
    put_machine(&stack, address, MachineState::Live);
    wait_for_bundle(&proxy, "the database is in use again", |bundle| {
        bundle.drain.is_empty()
    })
    .await;
    // A list in which all machines of a group are leaving is ignored.
    let group = bundle.databases[&name].group.clone();
    let members = bundle.databases_of(&group).count();
    for (number, (_, database)) in bundle.databases_of(&group).enumerate() {
        let address = database.address.parse().expect("an address");
        let machine = MachineRecord {
            node: format!("machine-{number}"),
            zone: "z".to_owned(),
            region: "r".to_owned(),
            peer_address: address,
            state: MachineState::Leaving,
        };
        let value = serde_json::to_vec(&machine).expect("a record");
        stack.platform.put(&machine.key(), &value);
        if number + 1 < members {
            let count = number + 1;
            wait_for_bundle(&proxy, "one more database is drained", |bundle| {
                bundle.drain.len() == count
            })
            .await;
        }
    }
    wait_for_bundle(&proxy, "no database is drained", |bundle| {
        bundle.drain.is_empty()
    })
    .await;
    proxy.stop().await;
}

#[actix_rt::test]
async fn a_bundle_without_a_trusted_signature_never_comes_into_force() {
    let stack = stack().await;
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let first = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&proxy, first).await;
    let operator = operator_support::operator(&stack);
    let untrusted_key = OperatorKey::from_secret([66; 32]);
    let record = operator.prepare(bundle_of(&stack)).await.expect("prepared");
    let untrusted = record.bundle.version;
    operator
        .approve(&untrusted_key, untrusted)
        .await
        .expect("approved");
    operator.roll(untrusted, None, None).await.expect("rolled");
    // The next bundle has a trusted signature; once it is in force, the untrusted one was
    // processed.
    let third = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&proxy, third).await;
    let explained = proxy.shared().explain(None);
    let versions: Vec<BundleVersion> = explained
        .iter()
        .filter_map(|entry| match entry.decision {
            Decision::BundleInForce { version } => Some(version),
            _ => None,
        })
        .collect();
    assert_eq!(versions, vec![first, third]);
    proxy.stop().await;
}

#[actix_rt::test]
async fn a_platform_restored_from_an_old_backup_does_not_revert_the_fleet() {
    let stack = stack().await;
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let first = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&proxy, first).await;
    let revision = stack.platform.revision();
    let second = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&proxy, second).await;
    stack.platform.restore(revision).expect("restored");
    // The platform assigns the second version again; the fleet keeps the bundle it has in
    // force.
    let reassigned = roll(&stack, bundle_of(&stack)).await;
    assert_eq!(reassigned, second);
    let operator = operator_support::operator(&stack);
    let record = operator
        .prepare_above(bundle_of(&stack), BundleVersion(40))
        .await;
    let third = record.expect("prepared").bundle.version;
    assert_eq!(third, BundleVersion(41));
    operator
        .approve(&operator_key(), third)
        .await
        .expect("approved");
    operator
        .roll(third, Some(reassigned), None)
        .await
        .expect("rolled");
    wait_until_in_force(&proxy, third).await;
    let versions: Vec<BundleVersion> = proxy
        .shared()
        .explain(None)
        .iter()
        .filter_map(|entry| match entry.decision {
            Decision::BundleInForce { version } => Some(version),
            _ => None,
        })
        .collect();
    assert_eq!(versions, vec![first, second, third]);
    proxy.stop().await;
}

async fn get(proxy: &ProxyHandle, path: &str) -> (u16, String) {
    let url = format!("http://{}{path}", proxy.admin_address());
    let mut response = awc::Client::default()
        .get(url)
        .send()
        .await
        .expect("an answer");
    let body = response.body().await.expect("a body");
    (
        response.status().as_u16(),
        String::from_utf8_lossy(&body).into_owned(),
    )
}

#[actix_rt::test]
async fn the_admin_endpoint_reports_the_current_state() {
    let stack = stack().await;
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    let (status, body) = get(&proxy, "/health").await;
    assert_eq!(status, 503);
    let health: Health = serde_json::from_str(&body).expect("a health report");
    assert_eq!(
        (health.node, health.readiness),
        (proxy.node(), Readiness::Starting)
    );
    let version = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&proxy, version).await;
    let (status, body) = get(&proxy, "/health").await;
    let health: Health = serde_json::from_str(&body).expect("a health report");
    assert_eq!((status, health.readiness), (200, Readiness::Ready));
    let group = stack.deployment.groups[0].name.to_string();
    let client = connect(&proxy, &group).await;
    client.query_one("SELECT 1", &[]).await.expect("a read");
    let (_, metrics) = get(&proxy, "/metrics").await;
    for line in [
        "hookpoint_bundle_version 1".to_owned(),
        "hookpoint_sessions 1".to_owned(),
        format!("hookpoint_group_term{{group=\"{group}\"}} 1"),
        "hookpoint_decisions_total{detail=\"\",kind=\"bundle_in_force\"} 1".to_owned(),
        "hookpoint_decisions_total{detail=\"unknown\",kind=\"failed\"} 0".to_owned(),
    ] {
        assert!(
            metrics.lines().any(|found| found == line),
            "{line} in\n{metrics}"
        );
    }
    let (_, explained) = get(&proxy, "/explain?session=1").await;
    let entries: Vec<Entry> = serde_json::from_str(&explained).expect("entries");
    let routed = |entry: &Entry| matches!(entry.decision, Decision::Routed { .. });
    assert!(entries.iter().any(routed), "{explained}");
    assert!(
        entries
            .iter()
            .all(|entry| entry.session == Some(SessionId(1)))
    );
    let (_, body) = get(&proxy, "/fleet").await;
    let fleet: FleetStatus = serde_json::from_str(&body).expect("a fleet status");
    assert_eq!((fleet.newest, fleet.nodes.len()), (version, 1));
    assert_eq!(get(&proxy, "/explain?session=x").await.0, 400);
    assert_eq!(get(&proxy, "/nothing").await.0, 404);
    proxy.stop().await;
}

/// Waits until the state of the last machine in the platform's list, `None` if it is empty,
/// satisfies `reached`. `name` describes the condition in a failure.
async fn wait_for_listed_state(
    stack: &Stack,
    name: &str,
    reached: impl Fn(Option<MachineState>) -> bool,
) {
    let waiting = async {
        loop {
            let entries = stack.platform.list(MACHINE_PREFIX);
            let mut states = entries.iter().map(|entry| {
                let machine: MachineRecord =
                    serde_json::from_slice(&entry.value).expect("a record");
                machine.state
            });
            if reached(states.next_back()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, waiting)
        .await
        .expect(name);
}

#[actix_rt::test]
async fn a_proxy_registers_itself_and_removes_its_registration() {
    let stack = stack().await;
    let proxy = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    wait_for_listed_state(&stack, "the proxy is listed as live", |state| {
        state == Some(MachineState::Live)
    })
    .await;
    let leases = stack.platform.leases();
    assert_eq!(leases.len(), 1);
    let stopping = proxy.clone();
    let stop = actix_rt::spawn(async move { stopping.stop().await });
    wait_for_listed_state(&stack, "the proxy is listed as leaving", |state| {
        state == Some(MachineState::Leaving)
    })
    .await;
    stop.await.expect("the proxy stops");
    wait_for_listed_state(&stack, "the proxy is no longer listed", |state| {
        state.is_none()
    })
    .await;
    assert_eq!(stack.platform.leases(), Vec::<i64>::new());
    let aborted = Proxy::start(settings(&stack, 0)).await.expect("a proxy");
    wait_for_listed_state(&stack, "the proxy is listed as live", |state| {
        state == Some(MachineState::Live)
    })
    .await;
    aborted.abort().await;
    assert_eq!(
        stack.platform.list(MACHINE_PREFIX).len(),
        1,
        "the entry stays until its lease expires"
    );
    stack
        .platform
        .expire_lease(stack.platform.leases()[0])
        .expect("expired");
    wait_for_listed_state(&stack, "the proxy is no longer listed", |state| {
        state.is_none()
    })
    .await;
}
