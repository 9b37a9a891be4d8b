//! Settings and credentials of the caller listener.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hookpoint_coordination::request::SafetyChecks;
use hookpoint_protocol::scram::Verifier;
use thiserror::Error;

/// Settings of the caller listener.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Credentials of the users that may open a session.
    pub credentials: CredentialStore,
    /// Certificate and key; `None` means that TLS is not offered.
    pub tls: Option<TlsSettings>,
    /// Keys of session tokens: the current one first, then older ones still accepted.
    /// Without keys, sessions get no token.
    pub token_keys: Vec<Vec<u8>>,
    /// Number of worker threads that run sessions, at least 1.
    pub arbiters: usize,
    /// Longest time from the connection to the end of the authentication.
    pub startup_timeout: Duration,
    /// Longest time in which a caller may make almost no progress reading what is sent to
    /// it.
    pub write_timeout: Duration,
    /// Safety checks; only the lab switches one off.
    pub checks: SafetyChecks,
}

impl CallerSettings {
    /// Returns default settings for a listener at `listen`: no credentials, no TLS, no
    /// token keys, one worker.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            credentials: CredentialStore::default(),
            tls: None,
            token_keys: Vec::new(),
            arbiters: 1,
            startup_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(30),
            checks: SafetyChecks::default(),
        }
    }
}

/// Files of a certificate and its key; they are reloaded when they change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Path of the certificate chain in PEM format.
    pub certificate: PathBuf,
    /// Path of the private key in PEM format.
    pub key: PathBuf,
    /// How often the files are checked for changes; zero disables the checks.
    pub reload_interval: Duration,
    /// Whether a session without TLS is refused.
    pub required: bool,
}

/// What a user is authenticated against.
#[derive(Clone)]
pub enum Credential {
    /// A password in clear text; the SCRAM verifier is derived when the proxy starts.
    Password(String),
    /// A SCRAM verifier as PostgreSQL stores it.
    Verifier(Verifier),
}

impl fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Credential::Password(_) => "Password(..)",
            Credential::Verifier(_) => "Verifier(..)",
        })
    }
}

/// Credentials by user name. With an empty store every caller is trusted, and then the
/// listener must not be reachable from beyond loopback.
#[derive(Clone, Debug, Default)]
pub struct CredentialStore {
    users: BTreeMap<String, Credential>,
}

impl CredentialStore {
    /// Creates a store of the given users.
    pub fn new(users: impl IntoIterator<Item = (String, Credential)>) -> Self {
        Self {
            users: users.into_iter().collect(),
        }
    }

    /// Returns whether the store is empty, so that every caller is trusted.
    pub fn is_empty(&self) -> bool {
        self.users.is_empty()
    }

    /// Returns the credential of `user`.
    pub fn get(&self, user: &str) -> Option<&Credential> {
        self.users.get(user)
    }

    /// Iterates over users and credentials, ordered by user name.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Credential)> {
        self.users.iter()
    }
}

/// Why the caller listener did not start, or did not reload its TLS files.
#[derive(Debug, Error)]
pub enum CallerError {
    /// Without credentials the listener would be open to the network.
    #[error("no credentials are set, so listening on {address} beyond loopback is refused")]
    TrustOutsideLoopback {
        /// Address that the listener was to use.
        address: SocketAddr,
    },
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address that the listener was to use.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A TLS file cannot be read.
    #[error("cannot read {path}: {source}")]
    TlsFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A TLS file does not contain what it should.
    #[error("{path} holds no usable {content}")]
    TlsContent {
        /// Path of the file.
        path: PathBuf,
        /// The content that was expected.
        content: TlsContent,
    },
    /// Certificate and key do not match or are not accepted.
    #[error("the certificate and key are not usable: {0}")]
    Tls(#[from] rustls::Error),
}

/// Expected content of a TLS file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TlsContent {
    /// A certificate chain.
    Certificate,
    /// A private key.
    Key,
}

impl fmt::Display for TlsContent {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            TlsContent::Certificate => "certificate",
            TlsContent::Key => "private key",
        })
    }
}
