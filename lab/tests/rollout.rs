//! How bundles get around between real proxies, and what becomes of it when the
//! platform is away.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{PATIENCE, bundle_of, connect, in_force, operator_key, roll, settings};
use hookpoint::proxy::{Proxy, ProxyHandle};
use hookpoint::settings::HexKey;
use hookpoint_coordination::rollout::WATCHERS_PER_ZONE;
use hookpoint_lab::stack::{DatabaseOptions, Stack};
use hookpoint_standin::platform::{OutageMode, RequestKind};
use hookpoint_state::BundleVersion;
use hookpoint_workload::deployment::costa_rica;

async fn stack() -> Stack {
    Stack::start(Arc::new(costa_rica()), DatabaseOptions::default())
        .await
        .expect("stand-ins")
}

/// Starts a proxy in the zone of that index that finds the fleet by `seed`.
async fn start(stack: &Stack, zone: usize, seed: Option<&ProxyHandle>) -> ProxyHandle {
    let mut settings = settings(stack, zone);
    settings.peers.keys = vec![HexKey::new(vec![5; 32]).expect("a key")];
    settings.peers.seeds = seed.map(ProxyHandle::peer_address).into_iter().collect();
    Proxy::start(settings).await.expect("a proxy")
}

/// Waits until `proxy` sees `count` other members that take work.
async fn meets(proxy: &ProxyHandle, count: usize) {
    let waiting = async {
        while proxy
            .fleet()
            .members()
            .iter()
            .filter(|one| one.state.takes_work())
            .count()
            != count
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("the members are seen");
}

/// Waits until as many watches are open as `zones` zones have watchers, each watching
/// the pointer and the machines.
async fn watches_settle(stack: &Stack, zones: usize) {
    let expected = (zones * WATCHERS_PER_ZONE * 2) as u64;
    let waiting = async {
        while stack.platform.counters().watches_open != expected {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("few watch");
}

#[actix_rt::test]
async fn two_of_a_zone_watch_and_the_others_pull_from_them() {
    let stack = stack().await;
    let first = start(&stack, 0, None).await;
    let mut proxies = vec![first.clone()];
    for _ in 0..5 {
        proxies.push(start(&stack, 0, Some(&first)).await);
    }
    for proxy in &proxies {
        meets(proxy, 5).await;
    }
    let version = roll(&stack, bundle_of(&stack)).await;
    for proxy in &proxies {
        in_force(proxy, version).await;
    }
    watches_settle(&stack, 1).await;
    let before = stack.platform.counters();
    let mut changed = bundle_of(&stack);
    changed.limits.wait_ms = 1_234;
    let version = roll(&stack, changed).await;
    for proxy in &proxies {
        in_force(proxy, version).await;
        assert_eq!(
            proxy.shared().bundle().expect("a bundle").limits.wait_ms,
            1_234
        );
    }
    // The operator's own reads: the counter, the pointer twice, the bundle three times.
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
async fn a_proxy_that_starts_during_an_outage_is_served_by_its_peers() {
    let stack = stack().await;
    let first = start(&stack, 0, None).await;
    let second = start(&stack, 1, Some(&first)).await;
    let version = roll(&stack, bundle_of(&stack)).await;
    in_force(&first, version).await;
    in_force(&second, version).await;
    stack.platform.faults().set_outage(Some(OutageMode::Refuse));
    let third = start(&stack, 2, Some(&second)).await;
    in_force(&third, version).await;
    first.abort().await;
    second.stop().await;
    let fourth = start(&stack, 0, Some(&third)).await;
    in_force(&fourth, version).await;
    let group = stack.deployment.groups[0].name.to_string();
    let client = connect(&fourth, &group).await;
    client
        .query_one("SELECT 1", &[])
        .await
        .expect("a read without the platform");
    stack.platform.faults().clear();
    let next = roll(&stack, bundle_of(&stack)).await;
    assert!(next > version);
    in_force(&third, next).await;
    in_force(&fourth, next).await;
    third.abort().await;
    fourth.abort().await;
}

#[actix_rt::test]
async fn a_proxy_that_trusts_other_keys_takes_nothing_from_its_peers() {
    let stack = stack().await;
    let first = start(&stack, 0, None).await;
    let version = roll(&stack, bundle_of(&stack)).await;
    in_force(&first, version).await;
    let mut settings = settings(&stack, 1);
    settings.peers.keys = vec![HexKey::new(vec![5; 32]).expect("a key")];
    settings.peers.seeds = vec![first.peer_address()];
    let other = hookpoint_state::bundle::OperatorKey::from_secret([9; 32]);
    settings.bundles.trusted_keys = vec![other.public_text()];
    let wary = Proxy::start(settings).await.expect("a proxy");
    meets(&wary, 1).await;
    let operator = common::operator(&stack);
    let record = operator.prepare(bundle_of(&stack)).await.expect("prepared");
    let second = record.bundle.version;
    operator
        .approve(&operator_key(), second)
        .await
        .expect("approved");
    operator.roll(second, None, None).await.expect("rolled");
    in_force(&first, second).await;
    assert!(wary.shared().bundle().is_none());
    // Approved by both keys, it is taken by both.
    let record = operator.prepare(bundle_of(&stack)).await.expect("prepared");
    let third = record.bundle.version;
    operator
        .approve(&operator_key(), third)
        .await
        .expect("approved");
    operator.approve(&other, third).await.expect("approved");
    operator.roll(third, None, None).await.expect("rolled");
    in_force(&first, third).await;
    in_force(&wary, third).await;
    assert_eq!(third, BundleVersion(3));
    first.abort().await;
    wary.abort().await;
}
