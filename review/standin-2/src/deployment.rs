//! A small deployment: the platform, one service of three databases, and the nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::database::{Disruption, Service};
use crate::http;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;

/// Zones and their regions.
pub const ZONES: [(&str, &str); 3] = [
    ("jewellery-qtr", "brum"),
    ("meadows-dc", "notts"),
    ("salford-dc", "manc"),
];
/// Name of the service.
pub const SERVICE: &str = "orders";
/// Name of the second service.
pub const SECOND_SERVICE: &str = "panels";
/// Names of the further services, and the parts of the network in which their databases are.
const FURTHER_SERVICES: [(&str, u8); 2] = [(SECOND_SERVICE, 65), ("tracks", 66)];
/// Unix millisecond before the starts of the databases.
const FIRST_START: u64 = 1_796_000_000_000;
/// First of the ports that the nodes use among themselves.
const FIRST_PORT: u16 = 7440;
/// How long a promotion takes.
const PROMOTE_TIME: Duration = Duration::from_millis(300);

/// Addresses and ports of a deployment, and its temporary folder.
pub struct Places {
    pub folder: PathBuf,
    pub front_port: u16,
    readiness_port: u16,
    control_port: u16,
    store: SocketAddr,
    cloud: SocketAddr,
    seeds: Vec<SocketAddr>,
    fenced: bool,
}

/// What a case asks of a deployment.
pub struct Plan {
    pub nodes: usize,
    pub max_connections: usize,
    pub fenced: bool,
    /// What the databases of the further services do, two at most.
    pub further: Vec<Box<Disruption>>,
    /// Number of replicas that have to receive a commit.
    pub sync_replicas: usize,
    /// Number of databases that run; those after the third have no entry at first.
    pub databases: usize,
    pub disruption: Box<Disruption>,
}

pub struct Deployment {
    pub service: Arc<Service>,
    pub store: Arc<Store>,
    pub nodes: Vec<Node>,
    pub record: Arc<Record>,
    pub registry: Registry,
    /// The further services, with no route at first.
    pub further: Vec<Registry>,
    /// Whether orders get no answer and are carried out late.
    pub late_orders: Arc<AtomicBool>,
    max_connections: usize,
    sync_replicas: usize,
    folder: PathBuf,
}

/// Returns a part of the loopback network in which no node runs: the second number of its addresses.
fn free_network() -> u8 {
    let is_free = |network: &u8| {
        let first = SocketAddr::new(ip(*network, 1, 1), FIRST_PORT);
        UdpSocket::bind(first).is_ok() && TcpListener::bind(first).is_ok()
    };
    // Cases that start together begin their search at different places.
    let first = std::process::id() % 140;
    let candidates = (0..140).map(|step| 60 + ((first + step * 7) % 140) as u8);
    candidates
        .into_iter()
        .find(is_free)
        .expect("a free network")
}

fn ip(network: u8, group: u8, number: usize) -> IpAddr {
    let number = u8::try_from(number).expect("a small number");
    IpAddr::V4(Ipv4Addr::new(127, network, group, number))
}

/// Returns a port that is free on all of `addresses` at the moment.
fn free_port(addresses: &[IpAddr]) -> u16 {
    for _ in 0..200 {
        let found = TcpListener::bind((addresses[0], 0)).and_then(|bound| bound.local_addr());
        let port = found.expect("a free port").port();
        let free = |ip: &IpAddr| TcpListener::bind((*ip, port)).is_ok();
        if addresses.iter().all(free) {
            return port;
        }
    }
    panic!("no port is free on all addresses");
}

impl Places {
    /// Returns the settings of one node, with the fields of the deploy page.
    pub fn settings(&self, name: &str, zone: &str, ip: IpAddr) -> String {
        let region = ZONES
            .iter()
            .find(|(known, _)| *known == zone)
            .map_or("", |(_, region)| region);
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let zones: String = ZONES
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\"\n"))
            .collect();
        let Self {
            front_port,
            readiness_port,
            control_port,
            store,
            cloud,
            fenced,
            ..
        } = self;
        format!(
            r#"node_name = "{name}"
role = "proxy"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "{zone}"
region = "{region}"
internal_port_range = [7440,7455]
seed_addresses = {seeds:?}
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base","drain","config","cost","recover","health","pool","sql","platform"]
[zones]
{zones}[listen_addresses]
front = "{ip}:{front_port}"
readiness = "{ip}:{readiness_port}"
control = "{ip}:{control_port}"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = 260
file_descriptors = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_timeout_ms = 6000
ack_timeout_ms = 10000
catch_up_s = 6
drain_timeout_ms = 10000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 5000
rollback_slack_ms = 250
max_extension_ms = 20000
recovery_s = 15
require_fencing = {fenced}
thaw_slack_ms = 300
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
[cloud_api]
address = "{cloud}"
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
"#
        )
    }
}

impl Deployment {
    /// Starts the platform, the databases and the nodes, and waits until all nodes are registered
    /// and ready.
    pub fn start(plan: Plan, root: &Path, record: &Arc<Record>) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("hookpoint-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let network = free_network();
        let node_ips: Vec<IpAddr> = (1..=plan.nodes)
            .map(|number| ip(network, 1, number))
            .collect();
        let front_port = free_port(&node_ips);
        let readiness_port = free_port(&node_ips);
        let control_port = free_port(&node_ips);
        let platform = [ip(network, 100, 1), ip(network, 100, 2)];
        let places = Places {
            front_port,
            readiness_port,
            control_port,
            store: SocketAddr::new(platform[0], free_port(&platform)),
            cloud: SocketAddr::new(platform[1], free_port(&platform)),
            seeds: node_ips
                .iter()
                .take(3)
                .map(|ip| SocketAddr::new(*ip, control_port))
                .collect(),
            fenced: plan.fenced,
            folder: folder.clone(),
        };
        let database_ips: Vec<IpAddr> = (1..=plan.databases)
            .map(|number| ip(network, 64, number))
            .collect();
        let database_port = free_port(&database_ips);
        let at = |(index, ip): (usize, &IpAddr)| {
            (
                SocketAddr::new(*ip, database_port),
                ZONES[index % ZONES.len()].0.to_owned(),
            )
        };
        let database_places = database_ips.iter().enumerate().map(at).collect();
        let service = Service::start(
            SERVICE,
            database_places,
            plan.max_connections,
            plan.disruption,
            record,
        );
        service.state().sync_replicas = plan.sync_replicas;
        let store = Store::start(places.store);
        let registered: Arc<Mutex<BTreeSet<usize>>> = Arc::new(Mutex::new((0..3).collect()));
        let registry = Registry {
            service: Arc::clone(&service),
            store: Arc::clone(&store),
            registered,
        };
        let mut further = Vec::new();
        for (disruption, (name, group)) in plan.further.into_iter().zip(FURTHER_SERVICES) {
            let ips: Vec<IpAddr> = (1..=3).map(|number| ip(network, group, number)).collect();
            let port = free_port(&ips);
            let at = |(index, ip): (usize, &IpAddr)| {
                (
                    SocketAddr::new(*ip, port),
                    ZONES[index % ZONES.len()].0.to_owned(),
                )
            };
            let places = ips.iter().enumerate().map(at).collect();
            further.push(Registry {
                service: Service::start(name, places, plan.max_connections, disruption, record),
                store: Arc::clone(&store),
                registered: Arc::new(Mutex::new((0..3).collect())),
            });
        }
        let late_orders = Arc::new(AtomicBool::new(false));
        let registries = std::iter::once(&registry)
            .chain(&further)
            .cloned()
            .collect();
        serve_promotions(places.cloud, plan.fenced, registries, &late_orders, record);
        store.put(
            "op/config",
            &configuration(7, plan.max_connections, plan.sync_replicas, SERVICE, 1_000),
        );
        registry.write();
        for other in &further {
            other.write();
        }
        let mut nodes = Vec::new();
        for (index, ip) in node_ips.iter().enumerate() {
            let zone = ZONES[index % ZONES.len()].0;
            let name = format!("front-{zone}-{index}");
            nodes.push(Node::new(&name, zone, *ip, &places, root));
        }
        let mut deployment = Self {
            service,
            store,
            nodes,
            record: Arc::clone(record),
            registry,
            further,
            max_connections: plan.max_connections,
            sync_replicas: plan.sync_replicas,
            late_orders,
            folder,
        };
        for node in &mut deployment.nodes {
            node.start();
        }
        let until = Instant::now() + Duration::from_secs(20);
        let readiness = |ip: IpAddr| is_ready(SocketAddr::new(ip, readiness_port));
        while !deployment.nodes.iter().all(|node| readiness(node.ip))
            || deployment.store.count("hookpoint/members/") < plan.nodes
        {
            if Instant::now() > until {
                eprintln!("the nodes did not become ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Until then the nodes have learnt of each other and of the primary.
        thread::sleep(Duration::from_secs(4));
        Some(deployment)
    }

    /// Writes a configuration in which `slot_service` serves the route `slot`.
    pub fn configure(&self, version: u64, slot_service: &str, timeout_ms: u64) {
        let (connections, sync) = (self.max_connections, self.sync_replicas);
        let changed = configuration(version, connections, sync, slot_service, timeout_ms);
        self.store.put("op/config", &changed);
    }

    /// Lets the store come back from a copy, and writes again what others than the nodes wrote.
    pub fn restore_store(&self, copy: &crate::store::Copy, version: u64, slot_service: &str) {
        self.store.restore(copy);
        thread::sleep(Duration::from_millis(600));
        self.configure(version, slot_service, 1_000);
        self.registry.write();
        for other in &self.further {
            other.write();
        }
    }

    /// Returns whether a process has ended by itself.
    pub fn lost_a_process(&mut self) -> bool {
        self.nodes.iter_mut().any(Node::has_ended)
    }

    /// Copies what the nodes wrote about `event` to the record.
    pub fn note_events(&self, events: &[&str]) {
        for node in &self.nodes {
            for line in node.lines() {
                if events
                    .iter()
                    .any(|event| line.contains(&format!("\"{event}\"")))
                {
                    self.record.note(format!("log of {}: {line}", node.name));
                }
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _left = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_ready(address: SocketAddr) -> bool {
    use std::io::{Read, Write};
    let asking = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(300))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: node\r\n\r\n")?;
        let mut answer = [0; 12];
        stream.read_exact(&mut answer)?;
        Ok(answer.ends_with(b"200"))
    };
    asking().unwrap_or(false)
}

/// Returns a configuration in which `slot_service` serves the route `slot`.
fn configuration(
    version: u64,
    max_connections: usize,
    sync_replicas: usize,
    slot_service: &str,
    timeout_ms: u64,
) -> Value {
    let route = |host: &str, service: &str, kind: &str, staleness: u64| {
        json!({"name": host, "host": host, "path_prefix": "/", "service": service, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 800, "priority": 1, "max_attempts": 2,
            "max_staleness_ms": staleness})
    };
    let service = |name: &str, sync_replicas: usize| {
        json!({"name": name, "health_path": "/health", "protocol": "h1", "tls": false,
            "max_connections": max_connections, "sync_replicas": sync_replicas})
    };
    json!({"version": version,
        "routes": [route("accept", SERVICE, "primary", 0),
            route("tracker", SERVICE, "bounded_staleness", 1500),
            route("slot", slot_service, "read_your_writes", 2500)],
        "services": [service(SERVICE, sync_replicas), service(SECOND_SERVICE, 0), service("tracks", 0)],
        "limits": {"transaction_idle_ms": 3000}})
}

/// The databases that keep themselves in the store.
#[derive(Clone)]
pub struct Registry {
    pub service: Arc<Service>,
    store: Arc<Store>,
    registered: Arc<Mutex<BTreeSet<usize>>>,
}

impl Registry {
    /// Writes the entries of the registered databases.
    pub fn write(&self) {
        for index in self.registered.lock().unwrap().iter() {
            let (id, entry) = {
                let state = self.service.state();
                let database = &state.databases[*index];
                let role = if *index == state.primary {
                    "primary"
                } else {
                    "replica"
                };
                let entry = json!({"service": self.service.name, "address": database.address.to_string(),
                    "zone": database.zone, "born": FIRST_START + state.starts[*index], "version": 1, "slots": 3, "state": "ready",
                    "cold_remaining_ms": 0, "sequence": 1, "database_role": role});
                (database.id.clone(), entry)
            };
            self.store.put(&format!("servers/{id}"), &entry);
        }
    }

    /// Writes the entry of a database.
    pub fn add(&self, index: usize) {
        self.registered.lock().unwrap().insert(index);
        self.write();
    }

    /// Removes the entry of a database, which serves on.
    pub fn remove(&self, index: usize) {
        self.registered.lock().unwrap().remove(&index);
        let id = self.service.state().databases[index].id.clone();
        self.store.remove(&format!("servers/{id}"));
    }
}

/// Serves `POST /promotion`.
fn serve_promotions(
    address: SocketAddr,
    fenced: bool,
    registries: Vec<Registry>,
    late_orders: &Arc<AtomicBool>,
    record: &Arc<Record>,
) {
    let late_orders = Arc::clone(late_orders);
    let record = Arc::clone(record);
    let highest: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let holders: Arc<Mutex<BTreeMap<u64, String>>> = Arc::default();
    let newest = Mutex::new(0_u64);
    let handle = move |request: http::Request| -> http::Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let token: u64 = request.header("X-Fencing-Token")?.parse().ok()?;
        let holder = request
            .header("X-Duty-Holder")
            .unwrap_or_default()
            .to_owned();
        record.note(format!(
            "promotion ordered by {holder} with {token}: {body}"
        ));
        let first = Arc::clone(&holders)
            .lock()
            .unwrap()
            .entry(token)
            .or_insert(holder.clone())
            .clone();
        if first != holder {
            record.note(format!("ONE: {holder} and {first} order with {token}"));
            println!("ONE: {holder} and {first} order with {token}");
        }
        if !fenced {
            let mut lowest = newest.lock().unwrap();
            if token < *lowest {
                println!("ONE: {holder} orders with {token} after {lowest}");
            }
            *lowest = token.max(*lowest);
        }
        let id = body["id"].as_str().unwrap_or_default().to_owned();
        let found = registries.iter().find_map(|registry| {
            let state = registry.service.state();
            let index = state
                .databases
                .iter()
                .position(|database| database.id == id);
            index.map(|index| (registry.clone(), index))
        });
        let Some((registry, index)) = found else {
            return Some((409, "{}".to_owned()));
        };
        let (record, highest) = (Arc::clone(&record), Arc::clone(&highest));
        let carry_out = move || {
            let mut highest = highest.lock().unwrap();
            let highest = highest.entry(registry.service.name.clone()).or_default();
            let is_down = registry.service.state().down.contains(&index);
            if (fenced && token < *highest) || is_down {
                return Some((409, "{}".to_owned()));
            }
            *highest = token.max(*highest);
            thread::spawn(move || {
                thread::sleep(PROMOTE_TIME);
                registry.service.state().promote(index);
                record.note(format!("database {index} leads"));
                registry.write();
            });
            Some((200, "{}".to_owned()))
        };
        if late_orders.load(Ordering::Relaxed) {
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(2_000 + token % 7 * 500));
                carry_out();
            });
            return None;
        }
        carry_out()
    };
    http::serve(address, Arc::new(handle));
}
