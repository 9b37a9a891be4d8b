//! Why a proxy did not start.

use hookpoint_state::bundle::KeyError;
use hookpoint_transport::admin::AdminError;
use hookpoint_transport::caller::CallerError;
use hookpoint_transport::peer::FleetError;
use thiserror::Error;

/// Why a proxy did not start.
#[derive(Debug, Error)]
pub enum ProxyError {
    /// The caller side.
    #[error("the caller side did not start: {0}")]
    Callers(#[from] CallerError),
    /// The side towards other proxies.
    #[error("the fleet side did not start: {0}")]
    Fleet(#[from] FleetError),
    /// The operators' endpoint.
    #[error("the operators' endpoint did not start: {0}")]
    Admin(#[from] AdminError),
    /// A trusted key.
    #[error("trusted key {index} cannot be used: {source}")]
    TrustedKey {
        /// Place in the list, from 0.
        index: usize,
        /// Why.
        source: KeyError,
    },
    /// A SCRAM verifier.
    #[error("the verifier of user `{user}` is not one")]
    Verifier {
        /// The user.
        user: String,
    },
    /// A metric.
    #[error("a metric was refused: {0}")]
    Metric(#[from] prometheus::Error),
    /// A thread of the proxy ended while it started.
    #[error("a thread of the proxy ended while it started")]
    ThreadEnded,
}
