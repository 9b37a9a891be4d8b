//! What the caller side is told when it starts.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hookpoint_coordination::request::SafetyChecks;
use hookpoint_protocol::scram::Verifier;
use thiserror::Error;

/// Settings of the caller side.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address to listen on; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Who may begin a session.
    pub credentials: CredentialStore,
    /// Certificate and key; without them TLS is not offered.
    pub tls: Option<TlsSettings>,
    /// Keys of session tokens: the current one first, then those still accepted. With
    /// none, sessions get no token.
    pub token_keys: Vec<Vec<u8>>,
    /// Worker threads that sessions are spread over, at least 1.
    pub arbiters: usize,
    /// Longest time from the connection to the end of the authentication.
    pub startup_timeout: Duration,
    /// Longest time a caller may take next to nothing of what is sent to it.
    pub write_timeout: Duration,
    /// Safety checks; the lab alone switches one off.
    pub checks: SafetyChecks,
}

impl CallerSettings {
    /// Settings with defaults for a listener at `listen`: no credentials, no TLS, no
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

/// Files of a certificate and its key, read again when they change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// Certificate chain in PEM form.
    pub certificate: PathBuf,
    /// Private key in PEM form.
    pub key: PathBuf,
    /// How often the files are looked at.
    pub reload_interval: Duration,
    /// Whether a session without TLS is refused.
    pub required: bool,
}

/// What a user proves itself with.
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

/// Credentials by user. An empty store trusts everyone, and then the listener must not
/// be reachable from beyond loopback.
#[derive(Clone, Debug, Default)]
pub struct CredentialStore {
    users: BTreeMap<String, Credential>,
}

impl CredentialStore {
    /// A store of these users.
    pub fn new(users: impl IntoIterator<Item = (String, Credential)>) -> Self {
        Self {
            users: users.into_iter().collect(),
        }
    }

    /// Whether everyone is trusted.
    pub fn is_empty(&self) -> bool {
        self.users.is_empty()
    }

    /// The credential of `user`.
    pub fn get(&self, user: &str) -> Option<&Credential> {
        self.users.get(user)
    }

    /// Users and their credentials, in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Credential)> {
        self.users.iter()
    }
}

/// Why the caller side did not start, or did not take new TLS files.
#[derive(Debug, Error)]
pub enum CallerError {
    /// Without credentials the listener would be open to the network.
    #[error("no credentials are set, so listening on {address} beyond loopback is refused")]
    TrustBeyondLoopback {
        /// Address asked for.
        address: SocketAddr,
    },
    /// The address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// Address asked for.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A TLS file cannot be read.
    #[error("cannot read {path}: {source}")]
    TlsFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A TLS file does not hold what it should.
    #[error("{path} holds no usable {content}")]
    TlsContent {
        /// The file.
        path: PathBuf,
        /// What was looked for.
        content: TlsContent,
    },
    /// Certificate and key do not work together.
    #[error("the certificate and key are not usable: {0}")]
    Tls(#[from] rustls::Error),
}

/// Content of a TLS file.
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
