//! A small deployment: the platform's store, the promotion service, one service of databases and
//! a few nodes, each on a loopback address of its own.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::database::Service;
use crate::node::{Node, Options, Ports};
use crate::promotion::Promotions;
use crate::record::Record;
use crate::store::Store;

/// Number of commits that each service has before the nodes start.
const EARLIER_COMMITS: usize = 200;
/// Three heartbeats.
const HEARTBEATS: Duration = Duration::from_millis(3_600);

/// Name of a service, and the id, zone and one-way time from the primary in milliseconds of each of
/// its databases; the first is the primary.
pub type ServicePlan<'a> = (&'a str, &'a [(&'a str, &'a str, u64)]);

/// What a deployment consists of.
pub struct Plan<'a> {
    pub services: &'a [ServicePlan<'a>],
    pub sync_replicas: u32,
    /// Name and zone of each node.
    pub nodes: &'a [(&'a str, &'a str)],
    /// Region of each zone.
    pub zones: &'a [(&'a str, &'a str)],
    pub require_fencing: bool,
    /// Time from a promotion call until the database named leads.
    pub promote_time: Duration,
    pub configuration: Value,
}

/// A running deployment.
pub struct World {
    pub record: Arc<Record>,
    pub store: Store,
    /// The first service.
    pub service: Service,
    /// The others.
    pub others: Vec<Service>,
    pub promotions: Promotions,
    pub nodes: Vec<Node>,
}

fn subnet() -> (u8, u8) {
    let id = std::process::id();
    let noise = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.subsec_nanos());
    (
        (20 + (id ^ noise) % 200) as u8,
        (1 + (id / 7 + noise / 1_000) % 250) as u8,
    )
}

impl World {
    /// Starts the deployment and waits until all nodes are ready.
    pub async fn start(
        plan: Plan<'_>,
        root: &Path,
        folder: &Path,
        record: Arc<Record>,
    ) -> Option<Self> {
        let (second, third) = subnet();
        let ip = |last: usize| IpAddr::V4(Ipv4Addr::new(127, second, third, last as u8));
        let mut services = Vec::new();
        for (name, databases) in plan.services {
            let service = Service::start(
                name,
                plan.sync_replicas,
                databases,
                EARLIER_COMMITS,
                ip(2),
                &record,
            );
            services.push(service.await.ok()?);
        }
        let others = services.split_off(1);
        let service = services.pop()?;
        let listener = TcpListener::bind((ip(3), 0)).await.ok()?;
        let promotions_address = listener.local_addr().ok()?;
        let promotions = Promotions::start(listener, service.clone(), plan.promote_time, &record);
        let store = Store::start();
        let listener = TcpListener::bind((ip(4), 0)).await.ok()?;
        let store_address = listener.local_addr().ok()?;
        store.serve(listener);
        store.put("op/config", &plan.configuration);
        for service in std::iter::once(&service).chain(&others) {
            tokio::spawn(register(store.clone(), service.clone()));
        }
        sleep(Duration::from_millis(100)).await;
        let mut nodes = Vec::new();
        for (index, (name, zone)) in plan.nodes.iter().enumerate() {
            let zones = plan.zones.iter();
            let options = Options {
                name: (*name).to_owned(),
                zone: (*zone).to_owned(),
                ip: ip(11 + index),
                store: store_address,
                promotions: promotions_address,
                zones: zones
                    .map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned()))
                    .collect(),
                require_fencing: plan.require_fencing,
                ports: Ports::choose(ip(11 + index))?,
            };
            nodes.push(Node::start(options, root, folder).ok()?);
        }
        for node in &nodes {
            if !node.await_ready(Duration::from_secs(15)).await {
                record.say(format!("{} did not become ready", node.name()));
                return None;
            }
        }
        record.line("all nodes are ready");
        Some(Self {
            record,
            store,
            service,
            others,
            promotions,
            nodes,
        })
    }
}

/// Keeps the databases' entries up to date: a database tells any change at once, and the entry of
/// one that crashed goes after three heartbeats.
async fn register(store: Store, service: Service) {
    let mut told: BTreeMap<String, (Value, Instant)> = BTreeMap::new();
    loop {
        for index in 0..service.addresses.len() {
            let (id, up) = {
                let state = service.state();
                (state.databases[index].id.clone(), state.databases[index].up)
            };
            if !up {
                continue;
            }
            let entry = service.entry(index);
            if told.get(&id).map(|(told, _)| told) != Some(&entry) {
                store.put(&format!("servers/{id}"), &entry);
            }
            told.insert(id, (entry, Instant::now()));
        }
        told.retain(|id, (_, alive_at)| {
            let stays = alive_at.elapsed() < HEARTBEATS;
            if !stays {
                store.remove(&format!("servers/{id}"));
            }
            stays
        });
        sleep(Duration::from_millis(20)).await;
    }
}

/// A configuration with the services and a route for each `(host, kind, service)`.
pub fn configuration(
    version: u64,
    services: &[ServicePlan<'_>],
    sync_replicas: u32,
    routes: &[(&str, &str, &str)],
) -> Value {
    let routes: Vec<Value> = routes
        .iter()
        .map(|(host, kind, service)| {
            json!({"host": host, "service": service, "kind": kind, "timeout_ms": 1_000,
                "target_latency_ms": 1_000, "priority": 1, "max_staleness_ms": 2_500})
        })
        .collect();
    let services: Vec<Value> = services
        .iter()
        .map(|(name, _)| {
            json!({"name": name, "max_connections": 50, "sync_replicas": sync_replicas})
        })
        .collect();
    json!({"version": version, "routes": routes, "services": services,
        "limits": {"transaction_idle_ms": 3_000}})
}

/// The folder for the settings and the output of the processes.
pub fn temporary_folder() -> std::io::Result<PathBuf> {
    let nanos = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_nanos());
    let name = format!("hookpoint-review-{}-{nanos}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir(&folder)?;
    Ok(folder)
}
