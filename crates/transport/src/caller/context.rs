//! What all sessions of a node share.

use std::sync::Arc;

use hookpoint_protocol::classify::Classifier;
use tokio::sync::watch;

use crate::caller::authentication::Authenticator;
use crate::caller::counters::UnitCounters;
use crate::caller::registry::{Registry, StopMode};
use crate::caller::setting_checks::AcceptedSettings;
use crate::caller::settings::CallerSettings;
use crate::caller::tls::TlsAcceptance;
use crate::lease::{LeaseSource, TermVerifier};
use crate::shared::Shared;

/// Shared parts of the caller side.
pub struct Context {
    /// Settings.
    pub settings: CallerSettings,
    /// Tables of the node.
    pub shared: Arc<Shared>,
    /// Where connections come from.
    pub leases: Arc<dyn LeaseSource>,
    /// Who verifies terms.
    pub verifier: Arc<dyn TermVerifier>,
    /// The sessions.
    pub registry: Arc<Registry>,
    /// The classifier of statements.
    pub classifier: Classifier,
    /// Who checks callers' credentials.
    pub authenticator: Authenticator,
    /// TLS, if offered.
    pub tls: Option<TlsAcceptance>,
    /// Start-up parameters that databases have accepted.
    pub accepted_settings: AcceptedSettings,
    /// What became of units.
    pub counters: UnitCounters,
    /// How sessions are to go on.
    pub stop: watch::Sender<StopMode>,
}
