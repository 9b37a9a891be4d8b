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

/// Loopback with a port chosen by the system.
const ANY_LOOPBACK_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Settings of one proxy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxySettings {
    /// Location of the node.
    pub node: NodeSettings,
    /// Listener for callers and their credentials.
    #[serde(default)]
    pub callers: CallerSection,
    /// Keys of session tokens.
    #[serde(default)]
    pub tokens: TokenSection,
    /// Connections to databases.
    #[serde(default)]
    pub backends: BackendSection,
    /// Networking with the other proxies of the fleet.
    #[serde(default)]
    pub peers: PeerSection,
    /// Admin HTTP endpoint for operators.
    #[serde(default)]
    pub admin: AdminSection,
    /// Access to the platform's key-value service.
    #[serde(default)]
    pub platform: PlatformSection,
    /// Conditions for accepting a bundle, the signed configuration of the fleet.
    #[serde(default)]
    pub bundles: BundleSection,
    /// Format and level of logs.
    #[serde(default)]
    pub log: LogSection,
    /// Address translation, such as behind a NAT router: maps an address to the address
    /// at which this node reaches it.
    #[serde(default)]
    pub reached_at: BTreeMap<SocketAddr, SocketAddr>,
    /// Safety checks. Neither a file nor a flag can set them; the lab disables one of them
    /// to show that its checker detects the resulting violations.
    #[doc(hidden)]
    #[serde(skip)]
    pub checks: SafetyChecks,
}

/// Location of the node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
}

/// Listener for callers and their credentials.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSection {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Worker threads for sessions.
    pub workers: usize,
    /// Certificate and key; `None` disables TLS.
    pub tls: Option<TlsSection>,
    /// Passwords by user. Without any password or verifier, callers are not authenticated;
    /// this is only accepted on loopback.
    pub passwords: BTreeMap<String, Secret>,
    /// SCRAM verifiers by user, in the format of PostgreSQL's `pg_authid.rolpassword`.
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

/// Certificate and key for TLS with callers; reloaded when the files change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSection {
    /// File of the certificate chain, in PEM.
    pub certificate: PathBuf,
    /// File of the private key, in PEM.
    pub key: PathBuf,
    /// Interval in seconds at which the files are checked for changes.
    #[serde(default = "default_reload_seconds")]
    pub reload_seconds: u64,
    /// Whether callers without TLS are refused.
    #[serde(default)]
    pub required: bool,
}

fn default_reload_seconds() -> u64 {
    10
}

/// Keys of session tokens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TokenSection {
    /// Keys that authenticate tokens, the same on every proxy: the first one is used for new
    /// tokens, the others are still accepted.
    pub keys: Vec<HexKey>,
}

/// Connections to databases.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendSection {
    /// Passwords of the groups' users; no entry for a group whose databases require no
    /// password.
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

/// Networking with the other proxies of the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSection {
    /// Address to listen on, by UDP and TCP; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Address at which other proxies reach this node; `None` stands for the listen
    /// address.
    pub advertise: Option<SocketAddr>,
    /// Peer addresses of proxies to contact first when joining the fleet.
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

/// Admin HTTP endpoint for operators.
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

/// Access to the platform's key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSection {
    /// Base URLs, such as `http://127.0.0.1:2379`.
    pub urls: Vec<String>,
    /// Request timeout in milliseconds.
    pub timeout_ms: u64,
    /// Whether the proxy registers itself in the list of machines, under a lease.
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
    /// Returns [`PlatformSection::timeout_ms`] as a duration.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

/// Conditions for accepting a bundle, the signed configuration of the fleet.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BundleSection {
    /// Public keys of the operators whose approvals are accepted, in hexadecimal.
    pub trusted_keys: Vec<String>,
}

/// Format and level of logs.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSection {
    /// Whether log lines are plain text or JSON objects.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
}

/// Whether a log line is plain text or a JSON object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Time, level and message.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Least severe level that is logged; each level includes the ones listed before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Also warnings of conditions that may lead to a failure.
    Warn,
    /// Also information for operators.
    #[default]
    Info,
    /// Also details for developers.
    Debug,
}

impl ProxySettings {
    /// Creates the settings of a proxy in `zone` of `region`, with every listen address on
    /// loopback and every port chosen by the system.
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
