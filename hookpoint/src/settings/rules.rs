//! The rules of settings.

use std::net::SocketAddr;

use hookpoint_state::bundle::{KeyError, TrustedKeys};
use hookpoint_state::document::{DocumentReason, KeyPath};
use thiserror::Error;

use super::ProxySettings;

/// Most worker threads of one kind.
const MAXIMUM_WORKERS: usize = 256;

/// What is wrong with settings.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsReason {
    /// They cannot be read.
    #[error(transparent)]
    Document(DocumentReason),
    /// A name is empty.
    #[error("the name is empty")]
    EmptyName,
    /// Without credentials the listener would be open to the network.
    #[error("without passwords or verifiers only loopback may be listened on")]
    OpenToStrangers,
    /// Without fleet keys the node would believe any machine.
    #[error("without fleet keys only loopback may be listened on")]
    OpenToPeers,
    /// Others cannot reach an address without a port or machine.
    #[error("`{address}` is not the address of one machine")]
    UnusableAddress {
        /// The address.
        address: SocketAddr,
    },
    /// Others have to be told one address when all are listened on.
    #[error("`advertise` is needed when all addresses are listened on")]
    AdvertiseNeeded,
    /// A number of threads outside its range.
    #[error("{value} is outside 1 to {MAXIMUM_WORKERS}")]
    Workers {
        /// The number.
        value: usize,
    },
    /// Not a base URL.
    #[error("`{url}` is no URL of the form http://ip:port")]
    BadUrl {
        /// The text.
        url: String,
    },
    /// Not a public key.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// No bundle could ever come into force.
    #[error("with a platform at least one trusted key is needed")]
    NoTrustedKey,
    /// Zero milliseconds or seconds.
    #[error("the time must be longer than zero")]
    ZeroTime,
    /// A user has both a password and a verifier.
    #[error("the user has a password already")]
    TwoCredentials,
}

type Finding = (KeyPath, SettingsReason);

/// Every rule that `settings` break.
pub(super) fn check(settings: &ProxySettings) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_node(settings, &mut findings);
    check_callers(settings, &mut findings);
    check_workers("backends", settings.backends.workers, &mut findings);
    check_peers(settings, &mut findings);
    check_platform(settings, &mut findings);
    findings
}

fn section(name: &str) -> KeyPath {
    KeyPath::root().key(name)
}

fn check_node(settings: &ProxySettings, findings: &mut Vec<Finding>) {
    let names = [
        ("zone", settings.node.zone.as_str()),
        ("region", settings.node.region.as_str()),
    ];
    for (key, name) in names {
        if name.is_empty() {
            findings.push((section("node").key(key), SettingsReason::EmptyName));
        }
    }
}

fn check_workers(name: &str, value: usize, findings: &mut Vec<Finding>) {
    if value == 0 || value > MAXIMUM_WORKERS {
        let path = section(name).key("workers");
        findings.push((path, SettingsReason::Workers { value }));
    }
}

fn check_callers(settings: &ProxySettings, findings: &mut Vec<Finding>) {
    let callers = &settings.callers;
    let path = section("callers");
    let trusts_everyone = callers.passwords.is_empty() && callers.verifiers.is_empty();
    if trusts_everyone && !callers.listen.ip().is_loopback() {
        findings.push((path.key("listen"), SettingsReason::OpenToStrangers));
    }
    check_workers("callers", callers.workers, findings);
    for user in callers.verifiers.keys() {
        if callers.passwords.contains_key(user) {
            let path = path.key("verifiers").key(user);
            findings.push((path, SettingsReason::TwoCredentials));
        }
    }
    if let Some(tls) = &callers.tls
        && tls.reload_seconds == 0
    {
        let path = path.key("tls").key("reload_seconds");
        findings.push((path, SettingsReason::ZeroTime));
    }
}

fn check_peers(settings: &ProxySettings, findings: &mut Vec<Finding>) {
    let peers = &settings.peers;
    let path = section("peers");
    if peers.keys.is_empty() && !peers.listen.ip().is_loopback() {
        findings.push((path.key("listen"), SettingsReason::OpenToPeers));
    }
    match peers.advertise {
        Some(address) => check_reachable(path.key("advertise"), address, findings),
        None if peers.listen.ip().is_unspecified() => {
            findings.push((path.key("listen"), SettingsReason::AdvertiseNeeded));
        }
        None => {}
    }
    for (index, seed) in peers.seeds.iter().enumerate() {
        check_reachable(path.key("seeds").index(index), *seed, findings);
    }
}

fn check_reachable(path: KeyPath, address: SocketAddr, findings: &mut Vec<Finding>) {
    if address.port() == 0 || address.ip().is_unspecified() {
        findings.push((path, SettingsReason::UnusableAddress { address }));
    }
}

fn check_platform(settings: &ProxySettings, findings: &mut Vec<Finding>) {
    let platform = &settings.platform;
    let path = section("platform");
    for (index, url) in platform.urls.iter().enumerate() {
        if !is_base_url(url) {
            let path = path.key("urls").index(index);
            let url = url.chars().take(128).collect();
            findings.push((path, SettingsReason::BadUrl { url }));
        }
    }
    if platform.timeout_ms == 0 {
        findings.push((path.key("timeout_ms"), SettingsReason::ZeroTime));
    }
    let trusted = section("bundles").key("trusted_keys");
    let keys = &settings.bundles.trusted_keys;
    if let Err((index, error)) = TrustedKeys::read(keys) {
        findings.push((trusted.index(index), error.into()));
    } else if keys.is_empty() && !platform.urls.is_empty() {
        findings.push((trusted, SettingsReason::NoTrustedKey));
    }
}

/// Whether `url` has the form `http://ip:port`.
pub fn is_base_url(url: &str) -> bool {
    let address = url.strip_prefix("http://").unwrap_or_default();
    let address = address.trim_end_matches('/');
    address.parse::<SocketAddr>().is_ok()
}
