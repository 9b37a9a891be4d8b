//! Tests of bundle distribution from node to node over links.

mod peer_support;

use std::sync::Arc;

use hookpoint_coordination::rollout::Change;
use hookpoint_state::bundle::{OperatorKey, SignedBundle, TrustedKeys};
use hookpoint_state::{BundleVersion, RegionName, ZoneName};
use hookpoint_transport::platform::{PlatformCommand, PlatformEvent, RolloutDriver};
use peer_support::{Node, bundle, key, start_with, until};
use tokio::sync::mpsc;

/// The platform side of a node's rollout driver.
struct Platform {
    events: mpsc::Sender<PlatformEvent>,
    _commands: mpsc::Receiver<PlatformCommand>,
}

fn operator() -> OperatorKey {
    OperatorKey::from_secret([9; 32])
}

fn roll_out(node: &Node) -> Platform {
    let trusted = TrustedKeys::read(&[operator().public_text()]).expect("a key");
    let (commands, received) = mpsc::channel(64);
    let (events, platform) = mpsc::channel(64);
    let links = Arc::new(node.fleet.clone());
    let handle = RolloutDriver::start(node.shared.clone(), trusted, commands, platform, links);
    node.fleet.set_rollout(handle);
    Platform {
        events,
        _commands: received,
    }
}

/// Returns a signed bundle that is sent in many fragments on a link.
fn signed(version: u64) -> SignedBundle {
    let mut bundle = bundle();
    bundle.version = BundleVersion(version);
    for index in 0..5_000 {
        let zone = ZoneName::new(format!("zone-{index}"));
        bundle.zones.insert(zone, RegionName::new("region"));
    }
    let signatures = vec![operator().sign(bundle.version, bundle.digest())];
    SignedBundle {
        bundle: Arc::new(bundle),
        signatures,
    }
}

fn version_of(node: &Node) -> u64 {
    node.shared.bundle().map_or(0, |bundle| bundle.version.0)
}

#[actix_rt::test]
async fn bundle_read_by_one_node_reaches_all_nodes_and_later_ones() {
    let first = start_with("zone", Vec::new(), vec![key(1)]);
    let seeds = vec![first.fleet.address()];
    let mut nodes = vec![first];
    for _ in 0..2 {
        nodes.push(start_with("zone", seeds.clone(), vec![key(1)]));
    }
    let mut platforms: Vec<Platform> = nodes.iter().map(roll_out).collect();
    for version in [1, 2] {
        let change = Change::Full(signed(version)).encode();
        let sent = platforms[1]
            .events
            .send(PlatformEvent::Change(change))
            .await;
        sent.expect("the driver runs");
        until(|| nodes.iter().all(|node| version_of(node) == version)).await;
    }
    // The node starts while the platform is unavailable.
    nodes.push(start_with("zone", seeds, vec![key(1)]));
    platforms.push(roll_out(&nodes[3]));
    until(|| version_of(&nodes[3]) == 2).await;
    until(|| {
        let members = nodes[0].fleet.members();
        members.len() == 3 && members.iter().all(|member| member.bundle.0 == 2)
    })
    .await;
}
