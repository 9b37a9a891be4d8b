//! Processes of the node program, started with the command of the deploy file.

use std::fs::File;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Number of ports that nodes use between themselves.
const INTERNAL_PORTS: u16 = 16;

/// What a node is started with.
#[derive(Clone)]
pub struct Options {
    pub name: String,
    pub zone: String,
    pub ip: IpAddr,
    pub store: SocketAddr,
    pub promotions: SocketAddr,
    /// Region of each zone.
    pub zones: Vec<(String, String)>,
    pub require_fencing: bool,
    pub ports: Ports,
}

/// Ports that were free on the node's address when they were chosen.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    readiness: u16,
    control: u16,
    /// First of the ports that nodes use between themselves.
    internal: u16,
}

impl Ports {
    pub fn choose(ip: IpAddr) -> Option<Self> {
        let free = |port: u16| {
            let tcp = TcpListener::bind((ip, port)).is_ok();
            tcp && UdpSocket::bind((ip, port)).is_ok()
        };
        let starts = (7_440..9_000).step_by(usize::from(INTERNAL_PORTS));
        let mut blocks = starts.filter(|start| (*start..start + INTERNAL_PORTS).all(free));
        let internal = blocks.next()?;
        let others = blocks.next()?;
        Some(Self {
            front: others,
            readiness: others + 1,
            control: others + 2,
            internal,
        })
    }
}

/// A node process. It is killed when dropped.
pub struct Node {
    options: Options,
    root: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a node; `root` is the repository, `folder` takes its settings and its output.
    pub fn start(options: Options, root: &Path, folder: &Path) -> std::io::Result<Self> {
        let settings = folder.join(format!("{}.toml", options.name));
        let log = folder.join(format!("{}.log", options.name));
        std::fs::write(&settings, text(&options, true))?;
        let child = spawn(root, &settings, &log)?;
        Ok(Self {
            options,
            root: root.to_owned(),
            settings,
            log,
            child,
        })
    }

    pub fn name(&self) -> &str {
        &self.options.name
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.options.ip, self.options.ports.front)
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, as the platform does after one has ended.
    pub fn restart(&mut self) -> std::io::Result<()> {
        std::fs::write(&self.settings, text(&self.options, false))?;
        self.child = spawn(&self.root, &self.settings, &self.log)?;
        Ok(())
    }

    /// Waits until the readiness probe is answered with 200.
    pub async fn await_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready().await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    async fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.options.ip, self.options.ports.readiness);
        let asking = async {
            let mut stream = TcpStream::connect(address).await?;
            let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            stream.write_all(request.as_bytes()).await?;
            let mut answer = Vec::new();
            stream.read_to_end(&mut answer).await?;
            std::io::Result::Ok(answer.starts_with(b"HTTP/1.1 200"))
        };
        matches!(timeout(Duration::from_secs(1), asking).await, Ok(Ok(true)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    let kept = ["PATH", "HOME", "LANG"];
    let variables = kept
        .iter()
        .filter_map(|name| Some((*name, std::env::var_os(name)?)));
    Command::new(root.join("target/release/hookpoint-node"))
        .args(["--metrics", "7450/metrics"])
        .current_dir(root)
        .env_clear()
        .envs(variables)
        .env("HOOKPOINT_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
}

fn text(options: &Options, bootstrap: bool) -> String {
    let Options {
        name,
        zone,
        ip,
        store,
        promotions,
        zones,
        require_fencing,
        ports,
    } = options;
    let Ports {
        front,
        readiness,
        control,
        internal,
    } = ports;
    let last_internal = internal + INTERNAL_PORTS - 1;
    let region = zones
        .iter()
        .find(|(other, _)| other == zone)
        .map_or("", |(_, region)| region);
    let zones: Vec<String> = zones
        .iter()
        .map(|(zone, region)| format!("{zone} = \"{region}\""))
        .collect();
    let zones = zones.join("\n");
    format!(
        r#"node_name = "{name}"
role = "proxy"
machine_class = "front"
serves = ["front"]
ip_address = "{ip}"
zone = "{zone}"
region = "{region}"
internal_port_range = [{internal}, {last_internal}]
seed_addresses = []
bootstrap = {bootstrap}
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1200
contracts = ["base", "drain", "config", "cost", "recover", "sql", "platform"]
[zones]
{zones}
[listen_addresses]
front = "{ip}:{front}"
readiness = "{ip}:{readiness}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = 260
file_descriptors = 4300
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_timeout_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 7000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_extension_ms = 12000
recovery_s = 12
require_fencing = {require_fencing}
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
address = "{promotions}"
rate_per_s = 50.0
duties = ["promotion"]
duty_per_s = 50.0
"#
    )
}
