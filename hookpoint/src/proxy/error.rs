//! Errors at the start of a proxy.

use hookpoint_state::bundle::KeyError;
use hookpoint_transport::admin::AdminError;
use hookpoint_transport::caller::CallerError;
use hookpoint_transport::peer::FleetError;
use thiserror::Error;

/// Reason why a proxy did not start.
#[derive(Debug, Error)]
pub enum ProxyError {
    /// The listener for callers did not start.
    #[error("the caller listener did not start: {0}")]
    Callers(#[from] CallerError),
    /// The networking with other proxies did not start.
    #[error("fleet networking did not start: {0}")]
    Fleet(#[from] FleetError),
    /// The admin endpoint did not start.
    #[error("the admin endpoint did not start: {0}")]
    Admin(#[from] AdminError),
    /// A trusted key in the settings is invalid.
    #[error("trusted key {index} cannot be used: {source}")]
    TrustedKey {
        /// Index in the list, from 0.
        index: usize,
        /// Why the key is rejected.
        source: KeyError,
    },
    /// A user's SCRAM verifier in the settings is malformed.
    #[error("the SCRAM verifier of user `{user}` is malformed")]
    Verifier {
        /// Name of the user.
        user: String,
    },
    /// A metric could not be registered.
    #[error("a metric could not be registered: {0}")]
    Metric(#[from] prometheus::Error),
    /// A thread of the proxy ended during the start.
    #[error("a thread of the proxy ended during the start")]
    ThreadEnded,
}
