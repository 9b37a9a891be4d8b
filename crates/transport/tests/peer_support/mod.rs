//! Nodes of a fleet in one process, whose connections echo what they receive.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use hookpoint_protocol::backend_command::{BackendCommand, BackendReply};
use hookpoint_protocol::peer::FleetKey;
use hookpoint_state::bundle::{Database, Group};
use hookpoint_state::{
    Bundle, BundleVersion, DatabaseName, GroupName, Refusal, RegionName, SessionId, TenantName,
    ZoneName,
};
use hookpoint_transport::lease::{AcquireRequest, BackendLease, LeaseSource};
use hookpoint_transport::peer::{Fleet, FleetHandle, FleetSettings};
use hookpoint_transport::shared::Shared;
use parking_lot::Mutex;
use tokio::sync::mpsc;

/// Longest time that any wait of these tests may take.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// How a lease of the echo source ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Released { reusable: bool },
    Dropped,
}

/// A lease source whose connections answer each batch of frames with the same frames.
#[derive(Default)]
pub struct Echo {
    pub granted: AtomicUsize,
    pub refusal: Mutex<Option<Refusal>>,
    pub endings: Arc<Mutex<Vec<Ending>>>,
    pub waits: Mutex<Vec<Duration>>,
    /// While set, a request is refused when its wait ends instead of being granted.
    pub stalled: std::sync::atomic::AtomicBool,
}

#[async_trait]
impl LeaseSource for Echo {
    async fn acquire(&self, request: AcquireRequest) -> Result<BackendLease, Refusal> {
        self.waits.lock().push(request.wait);
        if self.stalled.load(Ordering::SeqCst) {
            tokio::time::sleep(request.wait).await;
            return Err(Refusal::WaitDeadline);
        }
        if let Some(refusal) = self.refusal.lock().clone() {
            return Err(refusal);
        }
        self.granted.fetch_add(1, Ordering::SeqCst);
        let (commands, queue) = mpsc::channel(4);
        let (sender, replies) = mpsc::channel(4);
        tokio::spawn(echo(queue, sender, self.endings.clone()));
        Ok(BackendLease {
            database: request.database,
            commands,
            replies,
        })
    }
}

async fn echo(
    mut commands: mpsc::Receiver<BackendCommand>,
    replies: mpsc::Sender<BackendReply>,
    endings: Arc<Mutex<Vec<Ending>>>,
) {
    while let Some(command) = commands.recv().await {
        match command {
            BackendCommand::Frames(frames) => {
                let reply = BackendReply::Frames(frames);
                let _ = replies.send(reply).await;
            }
            BackendCommand::Release { reusable, .. } => {
                endings.lock().push(Ending::Released { reusable });
                return;
            }
            _ => {}
        }
    }
    endings.lock().push(Ending::Dropped);
}

/// One node of the fleet.
pub struct Node {
    pub fleet: FleetHandle,
    pub echo: Arc<Echo>,
    pub shared: Arc<Shared>,
    pub leases: Arc<dyn LeaseSource>,
}

pub fn key(number: u32) -> FleetKey {
    let secret = [number as u8; 32];
    FleetKey::new(number, &secret).expect("the secret is long enough")
}

/// Starts a node in `zone` with the given keys.
pub fn start_with(zone: &str, seeds: Vec<SocketAddr>, keys: Vec<FleetKey>) -> Node {
    let zone = ZoneName::new(zone);
    let shared = Arc::new(Shared::new(zone.clone()));
    let echo = Arc::new(Echo::default());
    let mut settings = FleetSettings::on_loopback(zone, RegionName::new("region"), key(1));
    settings.seeds = seeds;
    settings.keys = keys;
    let fleet = Fleet::start(settings, shared.clone(), echo.clone()).expect("the fleet starts");
    let leases = fleet.lease_source();
    Node {
        fleet,
        echo,
        shared,
        leases,
    }
}

/// Starts `count` nodes of one zone that use the first one as seed and have a bundle in
/// force.
pub async fn start_fleet(count: usize) -> Vec<Node> {
    let first = start_with("zone", Vec::new(), vec![key(1)]);
    let seeds = vec![first.fleet.address()];
    let mut nodes = vec![first];
    for _ in 1..count {
        nodes.push(start_with("zone", seeds.clone(), vec![key(1)]));
    }
    for node in &nodes {
        node.shared.install_bundle(bundle());
    }
    until(|| nodes.iter().all(|node| alive(node) == count - 1)).await;
    // Home assignments follow shortly after the bundle is in force.
    until(|| {
        nodes
            .iter()
            .map(|node| node.fleet.homes().len())
            .sum::<usize>()
            == DATABASES
    })
    .await;
    nodes
}

/// Returns the number of members that a node considers alive.
pub fn alive(node: &Node) -> usize {
    let members = node.fleet.members();
    let alive = members
        .iter()
        .filter(|member| member.state.as_str() == "alive");
    alive.count()
}

pub const DATABASES: usize = 24;

pub fn database(index: usize) -> DatabaseName {
    DatabaseName::new(format!("database-{index}"))
}

pub fn group() -> GroupName {
    GroupName::new("group")
}

/// Returns a bundle of one group.
pub fn bundle() -> Bundle {
    let zone = ZoneName::new("zone");
    let databases: BTreeMap<DatabaseName, Database> = (0..DATABASES)
        .map(|index| {
            let entry = Database {
                group: group(),
                zone: zone.clone(),
                address: format!("127.0.0.1:{}", index + 1),
                slots: 5,
            };
            (database(index), entry)
        })
        .collect();
    let entry = Group {
        database: "group".to_owned(),
        user: "user".to_owned(),
        reads: Default::default(),
        election_timeout_ms: 300,
    };
    Bundle {
        version: BundleVersion(1),
        zones: BTreeMap::from([(zone, RegionName::new("region"))]),
        groups: BTreeMap::from([(group(), entry)]),
        databases,
        ..Bundle::default()
    }
}

pub fn request(database: DatabaseName) -> AcquireRequest {
    AcquireRequest {
        group: group(),
        database,
        session: SessionId(1),
        tenant: TenantName::new("tenant"),
        zone: ZoneName::new("zone"),
        wait: Duration::from_secs(10),
    }
}

/// Returns a database that `node` is the home of.
pub fn home_of(node: &Node) -> DatabaseName {
    let homes = node.fleet.homes();
    homes.first().cloned().expect("every node is home of some")
}

/// Waits until `condition` holds; fails after [`TIMEOUT`].
pub async fn until(mut condition: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "the condition did not hold within the timeout"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits for a future; fails after [`TIMEOUT`].
pub async fn in_time<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(TIMEOUT, future)
        .await
        .expect("the future did not complete within the timeout")
}
