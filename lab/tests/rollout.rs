//! Distribution of bundles between proxies, also during an outage of the platform.

mod operator_support;

use std::sync::Arc;
use std::time::Duration;

use hookpoint::proxy::{Proxy, ProxyHandle};
use hookpoint::settings::HexKey;
use hookpoint_coordination::rollout::WATCHERS_PER_ZONE;
use hookpoint_lab::stack::{DatabaseOptions, Stack};
use hookpoint_standin::platform::{OutageMode, RequestKind};
use hookpoint_state::BundleVersion;
use hookpoint_workload::deployment::costa_rica;
use operator_support::{
    STEP_TIMEOUT, bundle_of, connect, operator_key, roll, settings, wait_until_in_force,
};

async fn stack() -> Stack {
    Stack::start(Arc::new(costa_rica()), DatabaseOptions::default())
        .await
        .expect("stand-ins")
}

/// Starts a proxy in the zone of index `zone` that joins the fleet through `seed`.
async fn start(stack: &Stack, zone: usize, seed: Option<&ProxyHandle>) -> ProxyHandle {
    let mut settings = settings(stack, zone);
    settings.peers.keys = vec![HexKey::new(vec![5; 32]).expect("a key")];
    settings.peers.seeds = seed.map(ProxyHandle::peer_address).into_iter().collect();
    Proxy::start(settings).await.expect("a proxy")
}

/// Waits until `proxy` has exactly `count` other members that accept work.
async fn wait_for_members(proxy: &ProxyHandle, count: usize) {
    let waiting = async {
        while proxy
            .fleet()
            .members()
            .iter()
            .filter(|member| member.state.is_available())
            .count()
            != count
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, waiting)
        .await
        .expect("the members are known");
}

/// Waits until the platform has exactly the watches of `zones` zones open. Each zone has
/// [`WATCHERS_PER_ZONE`] watchers with two watches each: the pointer and the machines.
async fn wait_for_watches(stack: &Stack, zones: usize) {
    let expected = (zones * WATCHERS_PER_ZONE * 2) as u64;
    let waiting = async {
        while stack.platform.counters().watches_open != expected {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(STEP_TIMEOUT, waiting)
        .await
        .expect("only the watchers watch");
}

#[actix_rt::test]
async fn only_the_watchers_of_a_zone_read_from_the_platform() {
    let stack = stack().await;
    let first = start(&stack, 0, None).await;
    let mut proxies = vec![first.clone()];
    for _ in 0..5 {
        proxies.push(start(&stack, 0, Some(&first)).await);
    }
    for proxy in &proxies {
        wait_for_members(proxy, 5).await;
    }
    let version = roll(&stack, bundle_of(&stack)).await;
    for proxy in &proxies {
        wait_until_in_force(proxy, version).await;
    }
    wait_for_watches(&stack, 1).await;
    let before = stack.platform.counters();
    let mut changed = bundle_of(&stack);
    changed.limits.wait_ms = 1_234;
    let version = roll(&stack, changed).await;
    for proxy in &proxies {
        wait_until_in_force(proxy, version).await;
        assert_eq!(
            proxy.shared().bundle().expect("a bundle").limits.wait_ms,
            1_234
        );
    }
    // The operator itself reads six times: the counter, the pointer twice, the bundle three
    // times.
    let reads = stack.platform.counters().of(RequestKind::Range) - before.of(RequestKind::Range);
    let by_proxies = reads - 6;
    assert_eq!(
        by_proxies,
        2 * WATCHERS_PER_ZONE as u64,
        "pointer and bundle for each watcher"
    );
    for proxy in proxies {
        proxy.abort().await;
    }
}

#[actix_rt::test]
async fn a_proxy_that_starts_during_an_outage_gets_the_bundle_from_its_peers() {
    let stack = stack().await;
    let first = start(&stack, 0, None).await;
    let second = start(&stack, 1, Some(&first)).await;
    let version = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&first, version).await;
    wait_until_in_force(&second, version).await;
    stack.platform.faults().set_outage(Some(OutageMode::Refuse));
    let third = start(&stack, 2, Some(&second)).await;
    wait_until_in_force(&third, version).await;
    first.abort().await;
    second.stop().await;
    let fourth = start(&stack, 0, Some(&third)).await;
    wait_until_in_force(&fourth, version).await;
    let group = stack.deployment.groups[0].name.to_string();
    let client = connect(&fourth, &group).await;
    client
        .query_one("SELECT 1", &[])
        .await
        .expect("a read without the platform");
    stack.platform.faults().clear();
    let next = roll(&stack, bundle_of(&stack)).await;
    assert!(next > version);
    wait_until_in_force(&third, next).await;
    wait_until_in_force(&fourth, next).await;
    third.abort().await;
    fourth.abort().await;
}

#[actix_rt::test]
async fn a_proxy_rejects_bundles_without_a_signature_of_its_trusted_keys() {
    let stack = stack().await;
    let first = start(&stack, 0, None).await;
    let version = roll(&stack, bundle_of(&stack)).await;
    wait_until_in_force(&first, version).await;
    let mut settings = settings(&stack, 1);
    settings.peers.keys = vec![HexKey::new(vec![5; 32]).expect("a key")];
    settings.peers.seeds = vec![first.peer_address()];
    let other = hookpoint_state::bundle::OperatorKey::from_secret([9; 32]);
    settings.bundles.trusted_keys = vec![other.public_text()];
    let other_trust_proxy = Proxy::start(settings).await.expect("a proxy");
    wait_for_members(&other_trust_proxy, 1).await;
    let operator = operator_support::operator(&stack);
    let record = operator.prepare(bundle_of(&stack)).await.expect("prepared");
    let second = record.bundle.version;
    operator
        .approve(&operator_key(), second)
        .await
        .expect("approved");
    operator.roll(second, None, None).await.expect("rolled");
    wait_until_in_force(&first, second).await;
    assert!(other_trust_proxy.shared().bundle().is_none());
    // A bundle approved by both keys is accepted by both proxies.
    let record = operator.prepare(bundle_of(&stack)).await.expect("prepared");
    let third = record.bundle.version;
    operator
        .approve(&operator_key(), third)
        .await
        .expect("approved");
    operator.approve(&other, third).await.expect("approved");
    operator.roll(third, None, None).await.expect("rolled");
    wait_until_in_force(&first, third).await;
    wait_until_in_force(&other_trust_proxy, third).await;
    assert_eq!(third, BundleVersion(3));
    first.abort().await;
    other_trust_proxy.abort().await;
}
