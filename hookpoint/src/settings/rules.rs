//! Validation rules for settings.

use std::net::SocketAddr;

use hookpoint_state::bundle::{KeyError, TrustedKeys};
use hookpoint_state::document::{DocumentReason, KeyPath};
use thiserror::Error;

use super::ProxySettings;

/// Maximum number of worker threads of one kind.
const MAXIMUM_WORKERS: usize = 256;

/// Rule that settings break.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsReason {
    /// The document cannot be decoded.
    #[error(transparent)]
    Document(DocumentReason),
    /// A zone or region name is empty.
    #[error("the name is empty")]
    EmptyName,
    /// The caller listener is not limited to loopback, although no credentials are
    /// configured: it would be open to the network.
    #[error("without passwords or verifiers only loopback may be listened on")]
    CallersNotAuthenticated,
    /// The peer listener is not limited to loopback, although no fleet keys are
    /// configured: the node would accept messages of any machine.
    #[error("without fleet keys only loopback may be listened on")]
    PeersNotAuthenticated,
    /// An address has port 0 or an unspecified IP address, so other proxies cannot reach
    /// it.
    #[error("`{address}` is not the address of one machine")]
    UnusableAddress {
        /// The rejected address.
        address: SocketAddr,
    },
    /// `advertise` is missing, although the proxy listens on all addresses.
    #[error("`advertise` is needed when all addresses are listened on")]
    AdvertiseNeeded,
    /// A number of threads is out of range.
    #[error("{value} is outside 1 to {MAXIMUM_WORKERS}")]
    Workers {
        /// The rejected number.
        value: usize,
    },
    /// A URL is not of the form `http://ip:port`.
    #[error("`{url}` is no URL of the form http://ip:port")]
    BadUrl {
        /// The rejected text, limited to 128 characters.
        url: String,
    },
    /// A trusted key is not a valid public key.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// A platform is configured without a trusted key, so no bundle could ever come into
    /// force.
    #[error("with a platform at least one trusted key is needed")]
    NoTrustedKey,
    /// A duration is zero.
    #[error("the time must be longer than zero")]
    ZeroTime,
    /// A user has both a password and a verifier.
    #[error("the user has a password already")]
    TwoCredentials,
}

type Violation = (KeyPath, SettingsReason);

/// Returns every rule that `settings` break, with the key concerned.
pub(super) fn check(settings: &ProxySettings) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_node(settings, &mut violations);
    check_callers(settings, &mut violations);
    check_workers("backends", settings.backends.workers, &mut violations);
    check_peers(settings, &mut violations);
    check_platform(settings, &mut violations);
    violations
}

fn section(name: &str) -> KeyPath {
    KeyPath::root().key(name)
}

fn check_node(settings: &ProxySettings, violations: &mut Vec<Violation>) {
    let names = [
        ("zone", settings.node.zone.as_str()),
        ("region", settings.node.region.as_str()),
    ];
    for (key, name) in names {
        if name.is_empty() {
            violations.push((section("node").key(key), SettingsReason::EmptyName));
        }
    }
}

fn check_workers(name: &str, value: usize, violations: &mut Vec<Violation>) {
    if value == 0 || value > MAXIMUM_WORKERS {
        let path = section(name).key("workers");
        violations.push((path, SettingsReason::Workers { value }));
    }
}

fn check_callers(settings: &ProxySettings, violations: &mut Vec<Violation>) {
    let callers = &settings.callers;
    let path = section("callers");
    let accepts_any_caller = callers.passwords.is_empty() && callers.verifiers.is_empty();
    if accepts_any_caller && !callers.listen.ip().is_loopback() {
        violations.push((path.key("listen"), SettingsReason::CallersNotAuthenticated));
    }
    check_workers("callers", callers.workers, violations);
    for user in callers.verifiers.keys() {
        if callers.passwords.contains_key(user) {
            let path = path.key("verifiers").key(user);
            violations.push((path, SettingsReason::TwoCredentials));
        }
    }
    if let Some(tls) = &callers.tls
        && tls.reload_seconds == 0
    {
        let path = path.key("tls").key("reload_seconds");
        violations.push((path, SettingsReason::ZeroTime));
    }
}

fn check_peers(settings: &ProxySettings, violations: &mut Vec<Violation>) {
    let peers = &settings.peers;
    let path = section("peers");
    if peers.keys.is_empty() && !peers.listen.ip().is_loopback() {
        violations.push((path.key("listen"), SettingsReason::PeersNotAuthenticated));
    }
    match peers.advertise {
        Some(address) => check_reachable(path.key("advertise"), address, violations),
        None if peers.listen.ip().is_unspecified() => {
            violations.push((path.key("listen"), SettingsReason::AdvertiseNeeded));
        }
        None => {}
    }
    for (index, seed) in peers.seeds.iter().enumerate() {
        check_reachable(path.key("seeds").index(index), *seed, violations);
    }
}

fn check_reachable(path: KeyPath, address: SocketAddr, violations: &mut Vec<Violation>) {
    if address.port() == 0 || address.ip().is_unspecified() {
        violations.push((path, SettingsReason::UnusableAddress { address }));
    }
}

fn check_platform(settings: &ProxySettings, violations: &mut Vec<Violation>) {
    let platform = &settings.platform;
    let path = section("platform");
    for (index, url) in platform.urls.iter().enumerate() {
        if !is_base_url(url) {
            let path = path.key("urls").index(index);
            let url = url.chars().take(128).collect();
            violations.push((path, SettingsReason::BadUrl { url }));
        }
    }
    if platform.timeout_ms == 0 {
        violations.push((path.key("timeout_ms"), SettingsReason::ZeroTime));
    }
    let trusted = section("bundles").key("trusted_keys");
    let keys = &settings.bundles.trusted_keys;
    if let Err((index, error)) = TrustedKeys::read(keys) {
        violations.push((trusted.index(index), error.into()));
    } else if keys.is_empty() && !platform.urls.is_empty() {
        violations.push((trusted, SettingsReason::NoTrustedKey));
    }
}

/// Returns whether `url` has the form `http://ip:port`, with or without trailing slashes.
pub fn is_base_url(url: &str) -> bool {
    let address = url.strip_prefix("http://").unwrap_or_default();
    let address = address.trim_end_matches('/');
    address.parse::<SocketAddr>().is_ok()
}
