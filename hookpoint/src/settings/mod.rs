//! Settings of a proxy, from a TOML file and flags.

mod load;
mod rules;
mod secret;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use hookpoint_coordination::request::SafetyChecks;
use hookpoint_state::{GroupName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};

pub use load::{SettingsError, load_settings, parse_settings};
pub use rules::{SettingsReason, is_base_url};
pub use secret::{HexKey, Secret};

/// Loopback with a port of the system's choice.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of one proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Where the node stands.
    pub node: NodeSettings,
    /// The side towards callers.
    #[serde(default)]
    pub callers: CallerSection,
    /// Session tokens.
    #[serde(default)]
    pub tokens: TokenSection,
    /// The side towards databases.
    #[serde(default)]
    pub backends: BackendSection,
    /// The side towards the other proxies.
    #[serde(default)]
    pub peers: PeerSection,
    /// The operators' HTTP endpoint.
    #[serde(default)]
    pub admin: AdminSection,
    /// The platform's key-value service.
    #[serde(default)]
    pub platform: PlatformSection,
    /// Bundles.
    #[serde(default)]
    pub bundles: BundleSection,
    /// Logs.
    #[serde(default)]
    pub log: LogSection,
    /// Addresses that this node reaches by another address, such as through a
    /// translating router.
    #[serde(default)]
    pub reached_at: BTreeMap<SocketAddr, SocketAddr>,
    /// Safety checks. No file and no flag can set them; the lab switches one off to
    /// show that its checker notices.
    #[doc(hidden)]
    #[serde(skip)]
    pub checks: SafetyChecks,
}

/// Where the node stands.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
}

/// The side towards callers.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSection {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Worker threads for sessions.
    pub workers: usize,
    /// Certificate and key; without them TLS is not offered.
    pub tls: Option<TlsSection>,
    /// Passwords by user. Without any password or verifier everyone is trusted, which
    /// is only accepted on loopback.
    pub passwords: BTreeMap<String, Secret>,
    /// SCRAM verifiers by user, in the form that PostgreSQL stores.
    pub verifiers: BTreeMap<String, Secret>,
}

impl Default for CallerSection {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK_PORT,
            workers: 1,
            tls: None,
            passwords: BTreeMap::new(),
            verifiers: BTreeMap::new(),
        }
    }
}

/// Certificate and key towards callers; read again when the files change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSection {
    /// File of the certificate chain, in PEM.
    pub certificate: PathBuf,
    /// File of the private key, in PEM.
    pub key: PathBuf,
    /// Seconds between two looks at the files.
    #[serde(default = "default_reload_seconds")]
    pub reload_seconds: u64,
    /// Whether callers without TLS are refused.
    #[serde(default)]
    pub required: bool,
}

fn default_reload_seconds() -> u64 {
    10
}

/// Session tokens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TokenSection {
    /// Keys that authenticate tokens, the same on every proxy: the current one first,
    /// then those still accepted.
    pub keys: Vec<HexKey>,
}

/// The side towards databases.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSection {
    /// Password of each group's user; none where the databases trust the proxy.
    pub passwords: BTreeMap<GroupName, Secret>,
    /// Worker threads for connections to databases.
    pub workers: usize,
}

impl Default for BackendSection {
    fn default() -> Self {
        Self {
            passwords: BTreeMap::new(),
            workers: 1,
        }
    }
}

/// The side towards the other proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSection {
    /// Address to listen on, by UDP and TCP; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address that others reach this node by; the one listened on if not given.
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of proxies that are likely to run.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet: the current one first, then those still accepted.
    pub keys: Vec<HexKey>,
}

impl Default for PeerSection {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK_PORT,
            advertise: None,
            seeds: Vec::new(),
            keys: Vec::new(),
        }
    }
}

/// The operators' HTTP endpoint.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AdminSection {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
}

impl Default for AdminSection {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK_PORT,
        }
    }
}

/// The platform's key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSection {
    /// Base URLs, such as `http://127.0.0.1:2379`.
    pub urls: Vec<String>,
    /// Longest wait for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Whether the proxy enters itself into the list of machines, under a lease.
    pub register: bool,
}

impl Default for PlatformSection {
    fn default() -> Self {
        Self {
            urls: Vec::new(),
            timeout_ms: 3_000,
            register: true,
        }
    }
}

impl PlatformSection {
    /// [`PlatformSection::timeout_ms`] as a duration.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Bundles.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BundleSection {
    /// Public keys of the operators whose approval counts, in hexadecimal.
    pub trusted_keys: Vec<String>,
}

/// Logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSection {
    /// Form of a line.
    pub format: LogFormat,
    /// Least level written.
    pub level: LogLevel,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Time, level and message.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Least level of the log lines written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only failures.
    Error,
    /// And what may become one.
    Warn,
    /// And what operators want to know.
    #[default]
    Info,
    /// And what developers want to know.
    Debug,
}

impl ProxySettings {
    /// Settings of a proxy in `zone` of `region`, with every address on loopback and
    /// every port of the system's choice.
    pub fn new(zone: ZoneName, region: RegionName) -> Self {
        Self {
            node: NodeSettings { zone, region },
            callers: CallerSection::default(),
            tokens: TokenSection::default(),
            backends: BackendSection::default(),
            peers: PeerSection::default(),
            admin: AdminSection::default(),
            platform: PlatformSection::default(),
            bundles: BundleSection::default(),
            log: LogSection::default(),
            reached_at: BTreeMap::new(),
            checks: SafetyChecks::default(),
        }
    }
}
